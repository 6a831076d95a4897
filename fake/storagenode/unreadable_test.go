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

// openNode opens the data set in a directory and starts a node on it. It also returns the logs of the node.
func openNode(t *testing.T, dir string) (*Dataset, *Node, *observer.ObservedLogs) {
	t.Helper()
	d, err := OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	return d, startNode(t, d, Config{ID: "a", Logger: zap.New(core)}), logs
}

// storeObjects creates the bucket photos with the objects k0 to k5, which have different lengths.
func storeObjects(t *testing.T, n *Node) {
	t.Helper()
	request(t, n, "PUT", "/photos", "")
	for i := range 6 {
		if s, b := request(t, n, "PUT", fmt.Sprint("/photos/k", i), objectText(i)); s != 200 {
			t.Fatalf("PUT of k%d: got status %d and body %s, want 200", i, s, b)
		}
	}
}

// objectText returns the content of the object with number i, which has 1000*i bytes.
func objectText(i int) string { return strings.Repeat(strconv.Itoa(i), 1000*i) }

// A request for an object with a missing file gets an internal error. A request for an object whose file is too short
// gets an incomplete response. The node logs both, the missing file with its path. No response asks the client to retry.
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
		t.Errorf("GET with a missing file: got status %d and body %s, want 500 and InternalError without the path", status, body)
	}
	if s, _ := request(t, n, "HEAD", "/photos/k1", ""); s != 500 {
		t.Errorf("HEAD with a missing file: got status %d, want 500", s)
	}
	if s, _ := request(t, n, "GET", "/photos/k5", ""); s != -200 {
		t.Errorf("GET with a short file: got status %d, want -200 for an incomplete response", s)
	}
	if entries := logs.All(); len(entries) != 3 || !strings.Contains(fmt.Sprint(entries[0].ContextMap()["error"]), missing) ||
		entries[2].ContextMap()["object"] != "/photos/k5" {
		t.Errorf("got log entries %v, want 3, the first with the path of k1 and the last with the object k5", entries)
	}
	if s, _ := request(t, n, "GET", "/photos/k2", ""); s != 200 {
		t.Errorf("GET of an intact object: got status %d, want 200", s)
	}
}

// If the node cannot write to its directory, a PUT gets an internal error and not an error about the request.
func TestUnwritableDirectoryIsAnInternalError(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	d, n, logs := openNode(t, dir)
	defer d.Close()
	request(t, n, "PUT", "/photos", "")
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if status, body := request(t, n, "PUT", "/photos/k", "text"); status != 500 || strings.Contains(body, dir) {
		t.Errorf("PUT: got status %d and body %s, want 500 and a body without the directory", status, body)
	}
	if logs.Len() != 1 {
		t.Errorf("got log entries %v, want 1", logs.All())
	}
}
