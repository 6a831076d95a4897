package e2e

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/internal/settings"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/minio/minio-go/v7"

	kit "chalkstand/internal/testkit"
)

func putMinio(m *minio.Client, bucket, key string, b []byte) (minio.UploadInfo, error) {
	c, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	return m.PutObject(c, bucket, key, bytes.NewReader(b), int64(len(b)), minio.PutObjectOptions{DisableMultipart: true})
}

func quick(shards int) settings.Settings {
	s := kit.Settings(shards)
	s.Classes[0].Aim, s.Classes[0].Deadline = settings.Duration(300*time.Millisecond), settings.Duration(600*time.Millisecond)
	return s
}

// oneAtATime checks that no request had two attempts at nodes at once.
func oneAtATime(t *testing.T, log []storagenode.LogEntry) {
	t.Helper()
	byRequest := map[uint64][]storagenode.LogEntry{}
	for _, e := range log {
		byRequest[e.Request] = append(byRequest[e.Request], e)
	}
	for id, es := range byRequest {
		for i, a := range es {
			for _, b := range es[i+1:] {
				if a.Attempt == b.Attempt {
					t.Errorf("request %d: attempt %d came twice", id, a.Attempt)
				}
			}
		}
	}
}

// A range read whose node stalls is answered once, in time, and not doubled.
func TestStalledRangeIsNotDoubled(t *testing.T) {
	e := kit.Start(t, quick(1), nil)
	c := bucket(t, e, "photos")
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: strings.NewReader("0123456789")}))(t)
	before := len(e.Nodes[0].Log())
	e.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.Stall, Count: 1, For: 5 * time.Second})
	start := time.Now()
	resp := e.Signed("GET", "/photos/k", http.Header{"Range": {"bytes=2-4"}}, nil)
	body := kit.ReadAll(t, resp.Body)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %s", resp.StatusCode, body)
	}
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Fatalf("answered after %v, the client's time is 600ms", took)
	}
	if got := e.Nodes[0].Log()[before:]; len(got) != 1 {
		t.Fatalf("%d attempts reached the node", len(got))
	}
	resp = e.Signed("GET", "/photos/k", http.Header{"Range": {"bytes=2-4"}}, nil)
	kit.Same(t, "after the stall", kit.ReadAll(t, resp.Body), []byte("234"))
	oneAtATime(t, e.Log())
}

// A multipart upload whose node starts to drain goes on at the shard's successor,
// and nothing new reaches the drained node after the word.
func TestMultipartOverADrain(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	c := bucket(t, e, "photos")
	up := kit.Must(c.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("photos"), Key: aws.String("k")}))(t)
	var parts []types.CompletedPart
	var want []byte
	var drained time.Duration
	old := e.Nodes[0]
	for i := range 6 {
		if i == 3 {
			e.AddNode("successor", 0, nil)
			e.List(old, 0, dispatch.Draining)
			drained = time.Since(e.Epoch)
		}
		b := kit.Bytes(uint64(i), 5<<20)
		want = append(want, b...)
		p := kit.Must(c.UploadPart(ctx, &s3.UploadPartInput{
			Bucket: aws.String("photos"), Key: aws.String("k"), UploadId: up.UploadId,
			PartNumber: aws.Int32(int32(i + 1)), Body: bytes.NewReader(b),
		}))(t)
		parts = append(parts, types.CompletedPart{ETag: p.ETag, PartNumber: aws.Int32(int32(i + 1))})
	}
	kit.Must(c.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{
		Bucket: aws.String("photos"), Key: aws.String("k"), UploadId: up.UploadId,
		MultipartUpload: &types.CompletedMultipartUpload{Parts: parts},
	}))(t)
	get := kit.Must(c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("k")}))(t)
	kit.Same(t, "the object", kit.ReadAll(t, get.Body), want)
	for _, x := range old.Log() {
		if x.Arrived > drained {
			t.Errorf("%v after the drain was told: %s", x.Arrived-drained, x.Path)
		}
	}
	oneAtATime(t, e.Log())
}

// An answer that breaks off after its head was passed on is seen to be broken: it
// is neither short nor spliced from two attempts.
func TestCutAnswerIsSeen(t *testing.T) {
	s := kit.Settings(1)
	s.Limits.ClientBody = settings.Duration(500 * time.Millisecond)
	e := kit.Start(t, s, nil)
	c := bucket(t, e, "photos")
	want := kit.Bytes(1, 1<<20)
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: bytes.NewReader(want)}))(t)
	for _, kind := range []storagenode.FaultKind{storagenode.TruncateResponse, storagenode.StallInResponse} {
		e.Nodes[0].Inject(storagenode.Fault{Kind: kind, Count: 1, For: 20 * time.Second})
		before := len(e.Nodes[0].Log())
		resp := e.Signed("GET", "/photos/k", nil, nil)
		b, err := io.ReadAll(resp.Body)
		if err == nil || resp.StatusCode != 200 || len(b) >= len(want) || !bytes.HasPrefix(want, b) {
			t.Fatalf("fault %d: %d, %d bytes, %v", kind, resp.StatusCode, len(b), err)
		}
		if n := len(e.Nodes[0].Log()) - before; n != 1 {
			t.Fatalf("%d attempts", n)
		}
	}
	// A small answer is held until it is whole: its first attempt's end is not seen.
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("small"), Body: bytes.NewReader(want[:5000])}))(t)
	e.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.TruncateResponse, Count: 1})
	resp := e.Signed("GET", "/photos/small", nil, nil)
	kit.Same(t, "a small answer", kit.ReadAll(t, resp.Body), want[:5000])
	oneAtATime(t, e.Log())
}

// Clients that leave while their request is held, out, or half sent leave nothing
// behind, and what they half sent is not stored.
func TestClientsThatLeave(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) { c.Cores, c.Queue, c.PerUnit = 1, 100, 20*time.Millisecond })
	bucket(t, e, "photos")
	arrived := make(chan storagenode.LogEntry, 1000)
	e.Nodes[0].OnArrival(func(x storagenode.LogEntry) { arrived <- x })
	var conns []net.Conn
	for i := range 40 { // more than may be out at once: some are held
		r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/photos/k%d", e.Addr, i), nil)
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		c := kit.Must(net.Dial("tcp", e.Addr))(t)
		r.Write(c)
		conns = append(conns, c)
	}
	<-arrived
	for _, c := range conns {
		c.Close()
	}
	// Half a body, and away.
	for _, n := range []int{1000, 1 << 20} {
		r, _ := http.NewRequest("PUT", "http://"+e.Addr+"/photos/half", strings.NewReader(strings.Repeat("x", n)))
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		var b bytes.Buffer
		r.Write(&b)
		c := kit.Must(net.Dial("tcp", e.Addr))(t)
		c.Write(b.Bytes()[:b.Len()-n/2])
		if n > 65536 {
			for x := range arrived {
				if strings.HasSuffix(x.Path, "half") {
					break
				}
			}
		}
		c.Close()
	}
	wait(t, func() bool { return e.G.InFlight() == 0 })
	resp := e.Signed("GET", "/photos/half", nil, nil)
	if kit.ReadAll(t, resp.Body); resp.StatusCode != 404 {
		t.Fatalf("half a body: %d", resp.StatusCode)
	}
	oneAtATime(t, e.Log())
}

// wait polls for a state that must come; it fails the test if it does not.
func wait(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the state that was waited for did not come")
		}
	}
}

// Two clients write one key at once: each write is whole, one after the other.
func TestSameKeyTwoWriters(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) { c.PerUnit, c.Cores, c.Queue = 2*time.Millisecond, 8, 100 })
	bucket(t, e, "photos")
	var wg sync.WaitGroup
	for w := range 2 {
		wg.Go(func() {
			body := bytes.Repeat([]byte{byte('a' + w)}, 10_000)
			for range 30 {
				resp := e.Signed("PUT", "/photos/k", nil, bytes.NewReader(body))
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					t.Errorf("%d", resp.StatusCode)
				}
			}
		})
	}
	wg.Wait()
	log := e.Nodes[0].Log()
	for i, a := range log {
		for _, b := range log[i+1:] {
			if a.Path == "/photos/k" && b.Path == a.Path && b.Arrived < a.Ended {
				t.Fatalf("writes of one key at once: %v to %v and %v", a.Arrived, a.Ended, b.Arrived)
			}
		}
	}
	resp := e.Signed("GET", "/photos/k", nil, nil)
	b := kit.ReadAll(t, resp.Body)
	if len(b) != 10_000 || bytes.Count(b, b[:1]) != len(b) {
		t.Fatal("the object is a mixture")
	}
}

// A write whose answer is lost is told as what it is: it may have been done.
func TestLostAnswersOfWrites(t *testing.T) {
	s := kit.Settings(1)
	s.Classes[1].Aim, s.Classes[1].Deadline = settings.Duration(300*time.Millisecond), settings.Duration(500*time.Millisecond)
	e := kit.Start(t, s, nil)
	bucket(t, e, "photos")
	for _, f := range []storagenode.FaultKind{storagenode.LoseResponse, storagenode.Stall} {
		e.Nodes[0].Inject(storagenode.Fault{Kind: f, Count: 1})
		resp := e.Signed("PUT", "/photos/k", nil, strings.NewReader("x"))
		if kit.ReadAll(t, resp.Body); resp.StatusCode != 504 {
			t.Fatalf("fault %d: %d", f, resp.StatusCode)
		}
		time.Sleep(60 * time.Millisecond) // the key rests: settle of the test settings
	}
	// A reset before the work: sent again, once, and dropped there if it had run.
	e.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.ResetConnection, Count: 1})
	resp := e.Signed("PUT", "/photos/k2", nil, strings.NewReader("x"))
	if kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
		t.Fatalf("after a reset: %d", resp.StatusCode)
	}
	oneAtATime(t, e.Log())
}

// A body larger than the process may hold passes through, and neither a fast
// sender nor a slow reader makes the gateway hold it.
func TestSlowReaderHoldsTheNodeBack(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	c := bucket(t, e, "photos")
	want := kit.Bytes(2, 32<<20)
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: bytes.NewReader(want)}))(t)
	resp := e.Signed("GET", "/photos/k", nil, nil)
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	wait(t, func() bool { return e.G.BufferedBytes() > 0 })
	for range 50 {
		if h := e.G.BufferedBytes(); h > 64<<10 {
			t.Fatalf("%d bytes held for one stream", h)
		}
		time.Sleep(time.Millisecond)
	}
	rest := kit.ReadAll(t, resp.Body)
	kit.Same(t, "the rest", rest, want[1000:])
}

func TestDrainFinishesWhatWasTaken(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) { c.Cores, c.Queue, c.PerUnit = 2, 100, 30*time.Millisecond })
	bucket(t, e, "photos")
	arrived := make(chan storagenode.LogEntry, 100)
	e.Nodes[0].OnArrival(func(x storagenode.LogEntry) { arrived <- x })
	codes := make(chan int, 8)
	for i := range 8 {
		go func() {
			resp := e.Signed("PUT", fmt.Sprint("/photos/k", i), nil, strings.NewReader("x"))
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			codes <- resp.StatusCode
		}()
	}
	wait(t, func() bool { return e.G.InFlight() == 8 })
	<-arrived
	c, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	if err := e.G.Drain(c); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		if s := <-codes; s != 200 {
			t.Errorf("a request that was taken: %d", s)
		}
	}
	if c, err := net.DialTimeout("tcp", e.Addr, time.Second); err == nil {
		c.Close()
		t.Error("still accepting")
	}
}

// A keyed write whose answer was lost with its connection is sent again to the same
// shard, and dropped there: it ran once.
func TestRepeatOfAKeyedWriteIsDropped(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	before := len(e.Log())
	e.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.LoseResponse, Count: 1, Hold: time.Millisecond})
	resp := e.Signed("PUT", "/photos/k", nil, strings.NewReader("x"))
	if kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
		t.Fatal(resp.Status)
	}
	log := e.Log()[before:]
	if len(log) != 2 || !log[0].Ran || !log[1].Repeat || log[1].Ran || log[0].Key != log[1].Key {
		t.Fatalf("%+v", log)
	}
	oneAtATime(t, e.Log())
}

// More bodies at once than may flow beside the dispatcher's depth: all arrive, and
// small requests beside them are served.
func TestMoreStreamsThanTheBound(t *testing.T) {
	s := kit.Settings(1)
	s.Limits.ConnsPerNode, s.Limits.Streams = 12, 2
	e := kit.Start(t, s, nil)
	c := bucket(t, e, "photos")
	want := kit.Bytes(2, 12<<20)
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: bytes.NewReader(want)}))(t)
	var open []io.ReadCloser
	for range 5 { // readers that wait
		resp := e.Signed("GET", "/photos/k", nil, nil)
		if resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
		open = append(open, resp.Body)
	}
	resp := e.Signed("PUT", "/photos/small", nil, strings.NewReader("x"))
	if kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
		t.Fatalf("beside streams: %s", resp.Status)
	}
	for _, b := range open {
		kit.Same(t, "a stream", kit.ReadAll(t, b), want)
	}
}
