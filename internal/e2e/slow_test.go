package e2e

import (
	"bufio"
	"chalkstand/fake/storagenode"
	"chalkstand/internal/settings"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	kit "chalkstand/internal/testkit"
)

func impatient() settings.Settings {
	s := kit.Settings(1)
	s.Limits.ClientHead = settings.Duration(150 * time.Millisecond)
	s.Limits.ClientIdle = settings.Duration(300 * time.Millisecond)
	s.Limits.ClientBody = settings.Duration(300 * time.Millisecond)
	return s
}

// put writes the head of a signed PUT, and so much of its body.
func putHead(t testing.TB, e *kit.Site, path string, length int, expect bool) (net.Conn, *bufio.Reader) {
	t.Helper()
	r := kit.Must(http.NewRequest("PUT", "http://"+e.Addr+path, nil))(t)
	kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
	var text strings.Builder
	fmt.Fprintf(&text, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, e.Addr, length)
	if expect {
		text.WriteString("Expect: 100-continue\r\n")
	}
	r.Header.Write(&text)
	c := kit.Must(net.Dial("tcp", e.Addr))(t)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text.String()+"\r\n")
	return c, bufio.NewReader(c)
}

// Who does not go on is answered, or let go, and does not keep the gateway.
func TestSlowClientsAreGivenUp(t *testing.T) {
	e := kit.Start(t, impatient(), nil)
	bucket(t, e, "photos")
	if got := raw(t, e, "GET /photos/k HTTP/1.1\r\nHost"); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("half a head: %q", got)
	}
	if got := raw(t, e, ""); got != "" {
		t.Errorf("an idle connection got %q", got)
	}
	for _, n := range []int{1000, 1 << 20} { // held, and streaming
		c, r := putHead(t, e, "/photos/k", n, false)
		c.Write(make([]byte, 500))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%d bytes: %v", n, err)
		}
		if b := kit.ReadAll(t, resp.Body); resp.StatusCode != 400 || !strings.Contains(string(b), "RequestTimeout") || !resp.Close {
			t.Errorf("half a body of %d: %d %s", n, resp.StatusCode, b)
		}
	}
	if n := e.Data[0].Objects("photos"); n != 0 {
		t.Errorf("%d objects stored", n)
	}
	wait(t, func() bool { return e.G.InFlight() == 0 })
}

// A client that waits for 100 Continue gets it when its body is wanted, and an
// answer without it when it is not.
func TestExpectContinue(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	for _, n := range []int{1000, 1 << 20} {
		c, r := putHead(t, e, "/photos/k", n, true)
		if line := kit.Must(r.ReadString('\n'))(t); line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("%d bytes: %q", n, line)
		}
		r.ReadString('\n')
		c.Write(make([]byte, n))
		resp := kit.Must(http.ReadResponse(r, nil))(t)
		if kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
			t.Fatalf("%d bytes: %d", n, resp.StatusCode)
		}
	}
	// The dispatcher knows no node that serves: refused before the body is asked for.
	e.List(e.Nodes[0], 0, 1)
	_, r := putHead(t, e, "/photos/k", 1<<20, true)
	resp := kit.Must(http.ReadResponse(r, nil))(t)
	if kit.ReadAll(t, resp.Body); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Fatalf("%d %v", resp.StatusCode, resp.Header)
	}
}

// A node that takes a body's head and no more is given up; what the gateway holds
// meanwhile is bounded.
func TestNodeThatStopsTaking(t *testing.T) {
	s := impatient()
	s.Limits.ClientBody = settings.Duration(time.Second)
	e := kit.Start(t, s, nil)
	bucket(t, e, "photos")
	e.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.Stall, Count: 1, For: 20 * time.Second})
	done := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest("PUT", "http://"+e.Addr+"/photos/k", strings.NewReader(strings.Repeat("x", 64<<20)))
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		resp, err := (&http.Transport{}).RoundTrip(r)
		if err != nil {
			done <- 0
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		done <- resp.StatusCode
	}()
	most := 0
	for {
		select {
		case status := <-done:
			if status != 500 && status != 504 && status != 0 {
				t.Errorf("status %d", status)
			}
			if most == 0 || most > 64<<10 {
				t.Errorf("%d bytes held at most", most)
			}
			return
		default:
			most = max(most, e.G.BufferedBytes())
		}
	}
}

func TestVirtualHostStyle(t *testing.T) {
	e := kit.Start(t, kit.Settings(2), nil)
	bucket(t, e, "photos")
	_, port, _ := net.SplitHostPort(e.Addr)
	for _, x := range []struct{ method, body string }{{"PUT", "hello"}, {"GET", ""}} {
		r := kit.Must(http.NewRequest(x.method, "http://"+e.Addr+"/line/k", strings.NewReader(x.body)))(t)
		r.Host = "photos.localhost:" + port
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		resp := kit.Must(http.DefaultTransport.RoundTrip(r))(t)
		if b := kit.ReadAll(t, resp.Body); resp.StatusCode != 200 || x.method == "GET" && string(b) != "hello" {
			t.Fatalf("%s: %d %s", x.method, resp.StatusCode, b)
		}
	}
}

// A body in HTTP's own chunks passes through, its length not known before.
func TestChunkedUpload(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	for _, n := range []int{0, 10, 300_000} {
		want := kit.Bytes(3, n)
		resp := e.Signed("PUT", "/photos/k", nil, io.MultiReader(strings.NewReader(string(want)))) // no length
		if b := kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
			t.Fatalf("%d bytes: %d %s", n, resp.StatusCode, b)
		}
		resp = e.Signed("GET", "/photos/k", nil, nil)
		kit.Same(t, fmt.Sprint(n), kit.ReadAll(t, resp.Body), want)
	}
}

// A client that sends one request behind the other and reads nothing makes the
// gateway hold one answer, not all.
func TestPipelineThatIsNotRead(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	body := kit.Bytes(1, 60_000)
	resp := e.Signed("PUT", "/photos/k", nil, strings.NewReader(string(body)))
	kit.ReadAll(t, resp.Body)
	r := kit.Must(http.NewRequest("GET", "http://"+e.Addr+"/photos/k", nil))(t)
	kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
	var one strings.Builder
	r.Write(&one)
	c := kit.Must(net.Dial("tcp", e.Addr))(t)
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	const n = 300 // 18 MB of answers, more than the sockets take
	go io.WriteString(c, strings.Repeat(one.String(), n))
	most := 0
	wait(t, func() bool { most = max(most, e.G.BufferedBytes()); return most > 0 })
	for range 200 {
		most = max(most, e.G.BufferedBytes())
		time.Sleep(time.Millisecond)
	}
	if most > 192<<10 { // an answer, what came ahead, and a read of the node's
		t.Errorf("%d bytes held", most)
	}
	br := bufio.NewReader(c)
	for i := range n {
		resp := kit.Must(http.ReadResponse(br, nil))(t)
		kit.Same(t, fmt.Sprint("answer ", i), kit.ReadAll(t, resp.Body), body)
	}
}

// A list that lacks a shard is refused: short, it would look whole.
func TestListWithoutAShard(t *testing.T) {
	e := kit.Start(t, kit.Settings(3), nil)
	c := bucket(t, e, "photos")
	for i := range 20 {
		resp := e.Signed("PUT", fmt.Sprint("/photos/k", i), nil, strings.NewReader("x"))
		kit.ReadAll(t, resp.Body)
	}
	for _, f := range []storagenode.FaultKind{storagenode.Reject, storagenode.ServerError} {
		e.Nodes[1].Inject(storagenode.Fault{Kind: f})
		for _, q := range []string{"", "?list-type=2", "?uploads"} {
			resp := e.Signed("GET", "/photos"+q, nil, nil)
			if b := kit.ReadAll(t, resp.Body); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || strings.Contains(string(b), "<Key>") {
				t.Errorf("fault %d, %s: %d %s", f, q, resp.StatusCode, b)
			}
		}
		// Deletes tell which keys are not done.
		var ids []types.ObjectIdentifier
		for i := range 20 {
			ids = append(ids, types.ObjectIdentifier{Key: aws.String(fmt.Sprint("k", i))})
		}
		out := kit.Must(c.DeleteObjects(ctx, &s3.DeleteObjectsInput{Bucket: aws.String("photos"), Delete: &types.Delete{Objects: ids}}))(t)
		if len(out.Deleted) == 0 || len(out.Errors) == 0 || len(out.Deleted)+len(out.Errors) != 20 {
			t.Errorf("fault %d: %d deleted, %d errors", f, len(out.Deleted), len(out.Errors))
		}
		e.Nodes[1].ClearFaults()
	}
	wait(t, func() bool { // the node is suspect for a while
		resp := e.Signed("GET", "/photos", nil, nil)
		b := string(kit.ReadAll(t, resp.Body))
		return resp.StatusCode == 200 && strings.Contains(b, "<Key>")
	})
}
