package storagenode

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap/zaptest/observer"
)

// A data directory that was moved serves its objects, also where it is moved again after a write: its journal
// holds the names of files with the directory in which they were written.
func TestMovedDirectoryServesItsObjects(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "first")
	d, n, _ := openNode(t, dir)
	storeObjects(t, n)
	for _, name := range []string{"second", "third"} {
		n.Stop()
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
		moved := filepath.Join(t.TempDir(), name)
		if err := os.Rename(dir, moved); err != nil {
			t.Fatal(err)
		}
		dir = moved
		var logs *observer.ObservedLogs
		d, n, logs = openNode(t, dir)
		for i := range 6 {
			if s, b := request(t, n, "GET", fmt.Sprint("/photos/k", i), ""); s != 200 || b != objectText(i) {
				t.Errorf("%s: k%d: %d, %d bytes", name, i, s, len(b))
			}
		}
		if s, b := request(t, n, "PUT", "/photos/k0", objectText(0)); s != 200 {
			t.Fatal(s, b)
		}
		if logs.Len() > 0 {
			t.Errorf("logged: %v", logs.All())
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}
