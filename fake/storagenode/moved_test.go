package storagenode

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap/zaptest/observer"
)

// A node finds its objects after the data directory was moved, even if it is written to and moved again. The journal
// contains paths with the directory in which each file was written.
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
				t.Errorf("directory %q: GET k%d: got status %d and %d bytes, want 200 and the stored bytes",
					name, i, s, len(b))
			}
		}
		if s, b := request(t, n, "PUT", "/photos/k0", objectText(0)); s != 200 {
			t.Fatalf("PUT of k0 in directory %q: got status %d and body %s, want 200", name, s, b)
		}
		if logs.Len() > 0 {
			t.Errorf("got log entries %v, want none", logs.All())
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}
