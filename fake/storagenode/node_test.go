package storagenode

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// request sends a request on a new connection and returns the status and the body of the response. It
// returns 0 and the error if there is no response. If reading the body fails, it returns the negated
// status and the error.
func request(t *testing.T, n *Node, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.Addr()+path, strings.NewReader(body))
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

func startNode(t *testing.T, d *Dataset, cfg Config) *Node {
	t.Helper()
	n, err := Start("127.0.0.1:0", cfg, d, nil, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// A node that opens the directory of a stopped node has its objects and uploads, even if the journal
// ends with an incomplete line. Two nodes cannot open a directory at the same time.
func TestReopenDataset(t *testing.T) {
	dir := t.TempDir()
	d, err := OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenDataset(dir); err == nil {
		t.Fatal("opening the data set twice succeeded, want an error")
	}
	n := startNode(t, d, Config{ID: "a"})
	request(t, n, "PUT", "/photos", "")
	request(t, n, "PUT", "/gone", "")
	for i := range 5 {
		if s, b := request(t, n, "PUT", fmt.Sprint("/photos/k", i), strings.Repeat("x", 1000*i)); s != 200 {
			t.Fatalf("PUT of k%d: got status %d and body %s, want 200", i, s, b)
		}
	}
	request(t, n, "DELETE", "/photos/k3", "")
	request(t, n, "DELETE", "/gone", "")
	_, doc := request(t, n, "POST", "/photos/big?uploads", "")
	id := doc[strings.Index(doc, "<UploadId>")+10 : strings.Index(doc, "</UploadId>")]
	if s, b := request(t, n, "PUT", "/photos/big?partNumber=1&uploadId="+id, "part one"); s != 200 {
		t.Fatalf("PUT of part 1: got status %d and body %s, want 200", s, b)
	}
	_, before := request(t, n, "GET", "/photos", "")
	n.Stop()
	d.Close()
	appendToJournal(t, dir, `{"What":"put","Bucket":"pho`)

	d, err = OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	n = startNode(t, d, Config{ID: "b"})
	if _, after := request(t, n, "GET", "/photos", ""); after != before || strings.Contains(after, "k3") {
		t.Fatalf("want the list of objects to stay the same without k3\nbefore reopening: %s\nafter: %s", before, after)
	}
	if _, b := request(t, n, "GET", "/photos/k4", ""); b != strings.Repeat("x", 4000) {
		t.Fatalf("GET /photos/k4 returned %d bytes, want the 4000 stored bytes", len(b))
	}
	if s, _ := request(t, n, "GET", "/gone", ""); s != 404 {
		t.Fatal("the deleted bucket /gone exists after reopening, want status 404")
	}
	completion := `<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>` + etagOf(t, "part one") +
		`</ETag></Part></CompleteMultipartUpload>`
	if s, b := request(t, n, "POST", "/photos/big?uploadId="+id, completion); s != 200 {
		t.Fatalf("completing the upload: got status %d and body %s, want 200", s, b)
	}
	if _, b := request(t, n, "GET", "/photos/big", ""); b != "part one" {
		t.Fatalf("GET of the completed object: got body %s, want %q", b, "part one")
	}
}

// appendToJournal appends text to the journal in dir, such as an incomplete line that a crash may leave.
func appendToJournal(t *testing.T, dir, text string) {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString(text); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// etagOf returns the entity tag of a part with the given body.
func etagOf(t *testing.T, body string) string {
	t.Helper()
	got, err := NewDataset("").receive(strings.NewReader(body), -1, "")
	if err != nil {
		t.Fatal(err)
	}
	return got.md5
}

func TestFaults(t *testing.T) {
	n := startNode(t, NewDataset(""), Config{ID: "a", DedupWindow: time.Minute})
	request(t, n, "PUT", "/photos", "")
	request(t, n, "PUT", "/photos/k", strings.Repeat("x", 100_000))
	for _, x := range []struct {
		name  string
		fault Fault
		want  int
	}{
		{"reject", Fault{Kind: Reject}, 503},
		{"server error", Fault{Kind: ServerError}, 500},
		{"reset connection", Fault{Kind: ResetConnection}, 0},
		{"lose response", Fault{Kind: LoseResponse, Hold: time.Millisecond}, 0},
		{"stall", Fault{Kind: Stall, Hold: time.Millisecond}, 0},
		{"truncate response", Fault{Kind: TruncateResponse}, -200},
		{"stall in response", Fault{Kind: StallInResponse, Hold: time.Millisecond}, 200},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.fault.Count = 1
			n.Inject(x.fault)
			if s, b := request(t, n, "GET", "/photos/k", ""); s != x.want {
				t.Errorf("GET: got status %d and body %.60s, want status %d", s, b, x.want)
			}
			n.ClearFaults()
		})
	}
	if s, _ := request(t, n, "GET", "/photos/k", ""); s != 200 {
		t.Errorf("GET after all faults: got status %d, want 200", s)
	}
}

func TestScript(t *testing.T) {
	n := startNode(t, NewDataset(""), Config{ID: "a"})
	request(t, n, "PUT", "/photos", "")
	request(t, n, "PUT", "/photos/k", "text")
	script, err := ParseScript([]byte(`[{"kind": "refuse", "method": "GET", "path": "/photos/", "count": 2}, // two
		{"kind": "die", "at_ms": 30},]`))
	if err != nil {
		t.Fatal(err)
	}
	if s, b := request(t, n, "GET", "/photos/k", ""); s != 200 {
		t.Fatalf("GET before the script: got status %d and body %s, want 200", s, b)
	}
	n.RunScript(script[1:])
	<-n.Done()
	if s, _ := request(t, n, "GET", "/photos/k", ""); s != 0 {
		t.Errorf("GET from the stopped node: got status %d, want no response", s)
	}
}

func TestInvalidScript(t *testing.T) {
	for name, script := range map[string]string{
		"unknown kind":    `[{"kind": "rain"}]`,
		"unknown field":   `[{"kind": "slow", "speed": 1}]`,
		"share above 1":   `[{"kind": "slow", "share": 2}]`,
		"incomplete JSON": `{`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseScript([]byte(script)); err == nil {
				t.Errorf("ParseScript accepted %s, want an error", script)
			}
		})
	}
}
