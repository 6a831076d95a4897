package storagenode

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// openNode starts a node on the data set of a directory, whose errors are observed.
func openNode(t *testing.T, dir string) (*Dataset, *Node, *observer.ObservedLogs) {
	t.Helper()
	d, err := OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	return d, startNode(t, d, Config{ID: "a", Logger: zap.New(core)}), logs
}

// storeObjects creates a bucket with objects k0 to k5 of different lengths.
func storeObjects(t *testing.T, n *Node) {
	t.Helper()
	request(t, n, "PUT", "/photos", "")
	for i := range 6 {
		if s, b := request(t, n, "PUT", fmt.Sprint("/photos/k", i), objectText(i)); s != 200 {
			t.Fatal(s, b)
		}
	}
}

func objectText(i int) string { return strings.Repeat(strconv.Itoa(i), 1000*i) }

// An object whose file is missing is an internal error and is logged with the file; one whose file is too short
// is a response that breaks off, logged too. Neither tells the client that a retry helps.
func TestUnreadableObjectIsAnInternalError(t *testing.T) {
	dir := t.TempDir()
	d, n, logs := openNode(t, dir)
	defer d.Close()
	storeObjects(t, n)
	blobOf := func(key string) string {
		o, err := d.get("photos", key)
		if err != nil {
			t.Fatal(err)
		}
		return o.blob.files[0]
	}
	missing, short := blobOf("k1"), blobOf("k5")
	if err := os.Remove(missing); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(short, 100); err != nil {
		t.Fatal(err)
	}
	status, body := request(t, n, "GET", "/photos/k1", "")
	if status != 500 || !strings.Contains(body, "InternalError") || strings.Contains(body, dir) {
		t.Errorf("missing file: %d %s", status, body)
	}
	if s, _ := request(t, n, "HEAD", "/photos/k1", ""); s != 500 {
		t.Errorf("HEAD, missing file: %d", s)
	}
	if s, _ := request(t, n, "GET", "/photos/k5", ""); s != -200 {
		t.Errorf("short file: %d, want a response that breaks off", s)
	}
	if entries := logs.All(); len(entries) != 3 || !strings.Contains(fmt.Sprint(entries[0].ContextMap()["error"]), missing) ||
		entries[2].ContextMap()["object"] != "/photos/k5" {
		t.Errorf("logged: %v", entries)
	}
	if s, _ := request(t, n, "GET", "/photos/k2", ""); s != 200 {
		t.Errorf("an object beside them: %d", s)
	}
}

// A directory that cannot be written to is the node's fault, not the client's.
func TestUnwritableDirectoryIsAnInternalError(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	d, n, logs := openNode(t, dir)
	defer d.Close()
	request(t, n, "PUT", "/photos", "")
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if status, body := request(t, n, "PUT", "/photos/k", "text"); status != 500 || strings.Contains(body, dir) {
		t.Errorf("%d %s", status, body)
	}
	if logs.Len() != 1 {
		t.Errorf("logged: %v", logs.All())
	}
}
