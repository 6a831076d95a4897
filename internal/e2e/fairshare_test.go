package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	kit "chalkstand/internal/testkit"
)

const largeSize = 2 << 20 // of the object "large" in each bucket of startContended

// startContended starts a site with one event loop, where responses contend for the node's link every few
// bytes. It has the buckets photos and loans. change, unless it is nil, changes the settings.
func startContended(t *testing.T, change func(*settings.Settings), opts ...gateway.Option) *kit.Site {
	t.Helper()
	s := kit.Settings(1)
	s.Loops = 1
	s.Share.Depth = 1
	s.Share.Crowd = 1000
	s.Share.Draw = 16 << 10
	if change != nil {
		change(&s)
	}
	site := kit.Start(t, s, nil, opts...)
	for _, b := range []string{"photos", "loans"} {
		site.Data[0].AddBucket(b, time.Now())
		site.Data[0].Store(b, "large", bucketContent(b, largeSize))
	}
	return site
}

// bucketContent returns n bytes that tell the objects of different buckets apart.
func bucketContent(bucket string, n int) []byte {
	return bytes.Repeat([]byte(bucket+" line seven, "), n/len(bucket)+1)[:n]
}

// checkLarge reads a bucket's large object.
func checkLarge(t *testing.T, what string, site *kit.Site, bucket string) {
	t.Helper()
	resp := site.Do(http.MethodGet, "/"+bucket+"/large", nil, nil)
	kit.CheckEqual(t, what, resp.Body, bucketContent(bucket, largeSize))
}

// Responses that contend for a node are whole, while other clients disconnect in the middle of theirs, while
// waiting for a grant, or do not read.
func TestContendingStreamsAreWhole(t *testing.T) {
	const (
		clients         = 24
		disconnectEvery = 3 // each third client disconnects
	)
	site := startContended(t, nil)
	sendWithoutReading(t, site, "/photos/large")
	var readers sync.WaitGroup
	for i := range clients {
		bucket := []string{"photos", "loans"}[i%2]
		readers.Go(func() {
			if i%disconnectEvery == disconnectEvery-1 {
				checkDisconnectInStream(t, site, bucket)
			} else {
				checkStream(t, site, bucket)
			}
		})
	}
	readers.Wait()
}

// sendWithoutReading sends a GET on a connection with a small receive buffer that nobody reads.
func sendWithoutReading(t *testing.T, site *kit.Site, path string) {
	t.Helper()
	c := site.Dial()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if err := site.NewRequest(http.MethodGet, path, nil).Write(c); err != nil {
		t.Fatal(err)
	}
}

// checkDisconnectInStream reads the first bytes of a large object. It may be called in any goroutine.
func checkDisconnectInStream(t *testing.T, site *kit.Site, bucket string) {
	t.Helper()
	resp, err := site.TryOpenStream("/" + bucket + "/large")
	if err != nil {
		t.Errorf("%s: %v", bucket, err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.CopyN(io.Discard, resp.Body, 100<<10); err != nil {
		t.Errorf("%s: %v", bucket, err)
	}
}

// checkStream reads a large object. It may be called in any goroutine.
func checkStream(t *testing.T, site *kit.Site, bucket string) {
	t.Helper()
	resp, err := site.TryDo(http.MethodGet, "/"+bucket+"/large", nil, nil)
	if err != nil || resp.Status != http.StatusOK || !bytes.Equal(resp.Body, bucketContent(bucket, largeSize)) {
		t.Errorf("%s: status %d, %d bytes, %v", bucket, resp.Status, len(resp.Body), err)
	}
}

// A response whose node stalls after it has yielded to others is aborted, and the others continue meanwhile.
func TestStalledStreamIsAborted(t *testing.T) {
	site := startContended(t, func(s *settings.Settings) {
		s.Limits.ClientBody = settings.Duration(500 * time.Millisecond)
	})
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.StallInResponse, Count: 1, For: 20 * time.Second})
	resp := site.OpenStream("/photos/large")
	for range 3 {
		checkLarge(t, "beside a stalled response", site, "loans")
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d bytes without an error", len(b))
	}
}

// A volume's byte rate limit paces bodies in both directions and aborts none. Other volumes are not paced.
func TestByteRateLimitPacesBodies(t *testing.T) {
	// (2 - 0.5) MiB at 8 MiB a second, less one scheduling slice.
	const minElapsed = 170 * time.Millisecond
	site := startContended(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 8
		s.Plans[0].MiBBurst = 0.5
	})
	content := bucketContent("photos", largeSize)
	for _, tt := range []struct {
		method string
		body   io.Reader
		want   []byte
	}{
		{http.MethodGet, nil, content},
		{http.MethodPut, bytes.NewReader(content), nil},
	} {
		start := time.Now()
		resp := site.Do(tt.method, "/photos/large", nil, tt.body)
		elapsed := time.Since(start)
		if resp.Status != http.StatusOK {
			t.Fatalf("%s: status %d, %d bytes", tt.method, resp.Status, len(resp.Body))
		}
		if tt.method == http.MethodGet {
			kit.CheckEqual(t, tt.method, resp.Body, tt.want)
		}
		if elapsed < minElapsed {
			t.Errorf("%s took %v, at least %v", tt.method, elapsed, minElapsed)
		}
	}
	checkLarge(t, "another volume", site, "loans")
}

// A request of a volume at its byte rate limit that would wait too long is rejected with a retry time.
func TestByteRateLimitRejects(t *testing.T) {
	site := startContended(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 0.5
		s.Plans[0].MiBBurst = 0.125
		s.Share.MaxWait = settings.Duration(time.Millisecond)
	})
	long := site.OpenStream("/photos/large") // keeps its volume at the limit
	var reader sync.WaitGroup
	reader.Go(func() {
		_, _ = io.Copy(io.Discard, long.Body) // until it is closed
	})
	defer reader.Wait()
	defer long.Body.Close()
	for range 200 {
		resp := site.Do(http.MethodHead, "/photos/large", nil, nil)
		if resp.Status != http.StatusServiceUnavailable {
			continue
		}
		if resp.Header.Get("Retry-After") == "" {
			t.Error("rejected without Retry-After")
		}
		other := site.Do(http.MethodHead, "/loans/large", nil, nil)
		if other.Status != http.StatusOK {
			t.Errorf("another volume: %v", other)
		}
		return
	}
	t.Error("no request over the limit was rejected")
}

// Requests that wait for their volume's byte rate are no sign of an overloaded event loop: they are paced, not
// rejected.
func TestRateLimitedVolumeIsNotOverloaded(t *testing.T) {
	site := startContended(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 4
		s.Plans[0].MiBBurst = 0.125
		s.Share.Overload.Target = settings.Duration(10 * time.Millisecond)
		s.Share.Overload.Interval = settings.Duration(150 * time.Millisecond)
		s.Share.MaxWait = settings.Duration(time.Minute)
	})
	site.Data[0].Store("photos", "k", bucketContent("photos", 100<<10))
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for range 3 {
				resp, err := site.TryDo(http.MethodGet, "/photos/k", nil, nil)
				if err != nil || resp.Status != http.StatusOK {
					t.Errorf("status %d, %v", resp.Status, err)
				}
			}
		})
	}
	clients.Wait()
}

// Scheduling in order of arrival, which is there for comparison, serves reads and writes.
func TestArrivalOrderScheduling(t *testing.T) {
	site := startContended(t, func(s *settings.Settings) { s.Share.Order = "arrival" })
	for i := range 3 {
		checkLarge(t, fmt.Sprint("read ", i), site, "loans")
	}
	resp := site.Do(http.MethodPut, "/photos/small", nil, strings.NewReader("x"))
	checkStatus(t, "PUT", resp, http.StatusOK)
}

// A body that the gateway itself paces for longer than the timeout of bodies does not time out.
func TestRateLimitedBodyDoesNotTimeOut(t *testing.T) {
	site := startContended(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 0.0625
		s.Plans[0].MiBBurst = 0.001
		s.Share.Quantum = 16 << 10 // a quarter of a second at this rate
		s.Limits.ClientBody = settings.Duration(50 * time.Millisecond)
		s.Share.MaxWait = settings.Duration(time.Minute)
	})
	body := bucketContent("photos", 100<<10)
	site.Data[0].Store("photos", "k", body)
	resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
	kit.CheckEqual(t, "GET", resp.Body, body)
	resp = site.Do(http.MethodPut, "/photos/k", nil, bytes.NewReader(body))
	checkStatus(t, "PUT", resp, http.StatusOK)
}

// Usage is counted by volume, over all event loops.
func TestVolumeUsage(t *testing.T) {
	const reads = 4
	site := startContended(t, func(s *settings.Settings) { s.Loops = 2 })
	for range reads {
		site.Do(http.MethodGet, "/photos/large", nil, nil)
	}
	for _, u := range site.Gateway.VolumeUsage() {
		if u.Volume == "photos" {
			if u.Bytes < reads*largeSize || u.LoopTime <= 0 || u.Weight != 1 {
				t.Errorf("%+v after %d bytes", u, reads*largeSize)
			}
			return
		}
	}
	t.Error("no usage of photos")
}

// A read whose size was estimated is charged for its actual size once the response header tells it, and for
// what the gateway received where its client disconnects before the end.
func TestActualSizeIsCharged(t *testing.T) {
	const (
		estimate   = 1 + 1.0/16 // cost of a read of unknown size: one unit, and one each MiB
		cost2MiB   = 1 + 2.0
		cost12MiB  = 1 + 12.0
		hugeObject = 12 << 20 // bytes
	)
	corrections := make(chan float64, 16)
	trace := gateway.WithTrace(func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if c, ok := ev.(dispatch.CostCorrection); ok {
			corrections <- c.Units
		}
	})
	site := startContended(t, nil, trace)
	knownSize := http.Header{"Range": {"bytes=0-200000"}}
	site.Do(http.MethodGet, "/photos/large", knownSize, nil)
	site.Do(http.MethodGet, "/photos/large", nil, nil)
	if got := <-corrections; got != cost2MiB-estimate {
		t.Errorf("correction by %g units, want %g", got, cost2MiB-estimate)
	}
	site.Data[0].Store("photos", "huge", bucketContent("photos", hugeObject))
	resp := site.OpenStream("/photos/huge")
	if _, err := io.CopyN(io.Discard, resp.Body, 100<<10); err != nil {
		t.Error(err)
	}
	resp.Body.Close()
	atHeader, atDisconnect := <-corrections, <-corrections
	if atHeader != cost12MiB-estimate || atDisconnect >= 0 || atDisconnect < 1-cost12MiB {
		t.Errorf("corrections by %g and %g units for a client that disconnected", atHeader, atDisconnect)
	}
}
