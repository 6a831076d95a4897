package storagenode

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func ask(t *testing.T, n *Node, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return -resp.StatusCode, err.Error()
	}
	return resp.StatusCode, string(b)
}

func run(t *testing.T, d *Dataset, cfg Config) *Node {
	t.Helper()
	n, err := Start("127.0.0.1:0", cfg, d, nil, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// A successor takes over what its predecessor stored, also behind a line that broke
// off; two nodes never hold one directory.
func TestSuccessorTakesTheDirectoryOver(t *testing.T) {
	dir := t.TempDir()
	d, err := OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenDataset(dir); err == nil {
		t.Fatal("two hold it")
	}
	n := run(t, d, Config{ID: "a"})
	ask(t, n, "PUT", "/photos", "")
	ask(t, n, "PUT", "/gone", "")
	for i := range 5 {
		if s, b := ask(t, n, "PUT", fmt.Sprint("/photos/k", i), strings.Repeat("x", 1000*i)); s != 200 {
			t.Fatal(s, b)
		}
	}
	ask(t, n, "DELETE", "/photos/k3", "")
	ask(t, n, "DELETE", "/gone", "")
	_, doc := ask(t, n, "POST", "/photos/big?uploads", "")
	id := doc[strings.Index(doc, "<UploadId>")+10 : strings.Index(doc, "</UploadId>")]
	if s, b := ask(t, n, "PUT", "/photos/big?partNumber=1&uploadId="+id, "part one"); s != 200 {
		t.Fatal(s, b)
	}
	_, before := ask(t, n, "GET", "/photos", "")
	n.Stop()
	d.Close()
	f, _ := os.OpenFile(filepath.Join(dir, journalName), os.O_APPEND|os.O_WRONLY, 0)
	f.WriteString(`{"What":"put","Bucket":"pho`)
	f.Close()

	d, err = OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	n = run(t, d, Config{ID: "b"})
	if _, after := ask(t, n, "GET", "/photos", ""); after != before || strings.Contains(after, "k3") {
		t.Fatalf("before %s\nafter %s", before, after)
	}
	if _, b := ask(t, n, "GET", "/photos/k4", ""); b != strings.Repeat("x", 4000) {
		t.Fatalf("%d bytes", len(b))
	}
	if s, _ := ask(t, n, "GET", "/gone", ""); s != 404 {
		t.Fatal("a deleted bucket is back")
	}
	if s, b := ask(t, n, "POST", "/photos/big?uploadId="+id, `<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>`+etagOf(b2("part one"))+`</ETag></Part></CompleteMultipartUpload>`); s != 200 {
		t.Fatal(s, b)
	}
	if _, b := ask(t, n, "GET", "/photos/big", ""); b != "part one" {
		t.Fatal(b)
	}
}

func b2(s string) []byte { return []byte(s) }

func etagOf(b []byte) string {
	_, sum, _, _ := NewDataset("").receive(bytes.NewReader(b), -1, "")
	return sum
}

func TestFaults(t *testing.T) {
	d := NewDataset("")
	n := run(t, d, Config{ID: "a", DedupWindow: time.Minute})
	ask(t, n, "PUT", "/photos", "")
	ask(t, n, "PUT", "/photos/k", strings.Repeat("x", 100_000))
	for _, x := range []struct {
		f    Fault
		want int
	}{
		{Fault{Kind: Reject}, 503},
		{Fault{Kind: ServerError}, 500},
		{Fault{Kind: ResetConnection}, 0},
		{Fault{Kind: LoseResponse, Hold: time.Millisecond}, 0},
		{Fault{Kind: Stall, Hold: time.Millisecond}, 0},
		{Fault{Kind: TruncateResponse}, -200},
		{Fault{Kind: StallInResponse, Hold: time.Millisecond}, 200},
	} {
		x.f.Count = 1
		n.Inject(x.f)
		if s, b := ask(t, n, "GET", "/photos/k", ""); s != x.want {
			t.Errorf("fault %d: %d %.60s", x.f.Kind, s, b)
		}
		n.ClearFaults()
	}
	if s, _ := ask(t, n, "GET", "/photos/k", ""); s != 200 {
		t.Errorf("after all faults: %d", s)
	}
	orders, err := ParseScript([]byte(`[{"kind": "refuse", "method": "GET", "path": "/photos/", "count": 2}, // two
		{"kind": "die", "at_ms": 30},]`))
	if err != nil {
		t.Fatal(err)
	}
	n.RunScript(orders[1:])
	<-n.Done()
	if s, _ := ask(t, n, "GET", "/photos/k", ""); s != 0 {
		t.Errorf("a dead node answers %d", s)
	}
	for _, bad := range []string{`[{"kind": "rain"}]`, `[{"kind": "slow", "speed": 1}]`, `[{"kind": "slow", "share": 2}]`, `{`} {
		if _, err := ParseScript([]byte(bad)); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}
