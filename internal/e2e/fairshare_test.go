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

const largeSize = 2 << 20 // bytes in the object "large" of each bucket that startContendedSite creates

// startContendedSite starts a site whose single event loop streams one response at a time from the node and ends
// each grant after 16 KiB, so that concurrent responses take turns often. The buckets photos and loans each hold the
// object "large". If change is not nil, startContendedSite calls change to edit the settings before the site starts.
func startContendedSite(t *testing.T, change func(*settings.Settings), opts ...gateway.Option) *kit.Site {
	t.Helper()
	s := kit.Settings(1)
	s.Loops = 1
	s.FairSharing.Depth = 1
	s.FairSharing.WaitersPerGrant = 1000
	s.FairSharing.GrantBytes = 16 << 10
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

// bucketContent returns n bytes that differ from bucket to bucket, so that a test notices data of another bucket.
func bucketContent(bucket string, n int) []byte {
	return bytes.Repeat([]byte(bucket+" line seven, "), n/len(bucket)+1)[:n]
}

// checkLargeObject reads a bucket's object "large" and checks its content.
func checkLargeObject(t *testing.T, what string, site *kit.Site, bucket string) {
	t.Helper()
	resp := site.Do(http.MethodGet, "/"+bucket+"/large", nil, nil)
	kit.CheckEqual(t, what, resp.Body, bucketContent(bucket, largeSize))
}

// TestContendingStreamsAreWhole checks that responses that contend for a node arrive whole. At the same time, other
// clients disconnect in the middle of a response, disconnect while their response waits for a grant, or do not read.
func TestContendingStreamsAreWhole(t *testing.T) {
	const (
		clients         = 24
		disconnectEvery = 3 // every third client disconnects
	)
	site := startContendedSite(t, nil)
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

// sendWithoutReading sends a GET request and never reads the response. The connection has a small receive buffer, so
// that the response blocks early.
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

// checkDisconnectInStream reads the first 100 KiB of a bucket's object "large" and then disconnects. Any goroutine
// may call checkDisconnectInStream.
func checkDisconnectInStream(t *testing.T, site *kit.Site, bucket string) {
	t.Helper()
	resp, err := site.TryOpenStream("/" + bucket + "/large")
	if err != nil {
		t.Errorf("GET of the large object in %s: %v", bucket, err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.CopyN(io.Discard, resp.Body, 100<<10); err != nil {
		t.Errorf("read the start of the large object in %s: %v", bucket, err)
	}
}

// checkStream reads a bucket's object "large" and checks its content. Any goroutine may call checkStream.
func checkStream(t *testing.T, site *kit.Site, bucket string) {
	t.Helper()
	resp, err := site.TryDo(http.MethodGet, "/"+bucket+"/large", nil, nil)
	if err != nil || resp.Status != http.StatusOK || !bytes.Equal(resp.Body, bucketContent(bucket, largeSize)) {
		t.Errorf("GET of the large object in %s: got status %d, %d bytes and error %v, want the whole object",
			bucket, resp.Status, len(resp.Body), err)
	}
}

// TestStalledStreamIsAborted checks that the gateway aborts a response whose node stalls after the response has given
// up its grant to other responses. The other responses must continue in the meantime.
func TestStalledStreamIsAborted(t *testing.T) {
	site := startContendedSite(t, func(s *settings.Settings) {
		s.Limits.ClientBody = settings.Duration(500 * time.Millisecond)
	})
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.StallInResponse, Count: 1, For: 20 * time.Second})
	resp := site.OpenStream("/photos/large")
	for range 3 {
		checkLargeObject(t, "GET beside a stalled response", site, "loans")
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("stalled response: got %d bytes and no error, want an error", len(b))
	}
}

// TestByteRateLimitPacesBodies checks that a volume's byte rate limit slows down bodies in both directions and aborts
// none of them. The limit must not apply to other volumes.
func TestByteRateLimitPacesBodies(t *testing.T) {
	// The burst of 0.5 MiB passes at once, so the gateway paces the other (2 - 0.5) MiB of the body at 8 MiB per
	// second. minElapsed is shorter than the resulting time by one scheduling slice.
	const minElapsed = 170 * time.Millisecond
	site := startContendedSite(t, func(s *settings.Settings) {
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
			t.Fatalf("%s: got status %d with %d bytes, want status 200", tt.method, resp.Status, len(resp.Body))
		}
		if tt.method == http.MethodGet {
			kit.CheckEqual(t, tt.method, resp.Body, tt.want)
		}
		if elapsed < minElapsed {
			t.Errorf("%s at the byte rate limit took %v, want at least %v", tt.method, elapsed, minElapsed)
		}
	}
	checkLargeObject(t, "GET from another volume", site, "loans")
}

// TestByteRateLimitRejects checks that the gateway rejects a request if the request's volume is at its byte rate limit
// and the request would have to wait longer than share.max_wait. The rejection must have a Retry-After header.
func TestByteRateLimitRejects(t *testing.T) {
	site := startContendedSite(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 0.5
		s.Plans[0].MiBBurst = 0.125
		s.FairSharing.MaxDelay = settings.Duration(time.Millisecond)
	})
	longResponse := site.OpenStream("/photos/large") // keeps the volume photos at its limit
	var reader sync.WaitGroup
	reader.Go(func() {
		_, _ = io.Copy(io.Discard, longResponse.Body) // copies until the test closes the body
	})
	defer reader.Wait()
	defer longResponse.Body.Close()
	for range 200 {
		resp := site.Do(http.MethodHead, "/photos/large", nil, nil)
		if resp.Status != http.StatusServiceUnavailable {
			continue
		}
		if resp.Header.Get("Retry-After") == "" {
			t.Error("HEAD at the byte rate limit: got a rejection without Retry-After, want one with it")
		}
		other := site.Do(http.MethodHead, "/loans/large", nil, nil)
		if other.Status != http.StatusOK {
			t.Errorf("HEAD from another volume: got %v, want status 200", other)
		}
		return
	}
	t.Error("200 HEAD requests at the byte rate limit: got no rejection, want at least one")
}

// TestRateLimitedVolumeIsNotOverloaded checks that the gateway delays requests that wait for their volume's byte
// rate limit, and does not reject them. Such a wait is no sign of an overloaded event loop.
func TestRateLimitedVolumeIsNotOverloaded(t *testing.T) {
	site := startContendedSite(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 4
		s.Plans[0].MiBBurst = 0.125
		s.FairSharing.Overload.Target = settings.Duration(10 * time.Millisecond)
		s.FairSharing.Overload.Interval = settings.Duration(150 * time.Millisecond)
		s.FairSharing.MaxDelay = settings.Duration(time.Minute)
	})
	site.Data[0].Store("photos", "k", bucketContent("photos", 100<<10))
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for range 3 {
				resp, err := site.TryDo(http.MethodGet, "/photos/k", nil, nil)
				if err != nil || resp.Status != http.StatusOK {
					t.Errorf("GET at the byte rate limit: got status %d and error %v, want status 200", resp.Status, err)
				}
			}
		})
	}
	clients.Wait()
}

// TestArrivalOrderScheduling checks that the gateway serves reads and writes when it schedules responses in the order
// of arrival. This order exists for comparison with fair scheduling.
func TestArrivalOrderScheduling(t *testing.T) {
	site := startContendedSite(t, func(s *settings.Settings) { s.FairSharing.Order = "arrival" })
	for i := range 3 {
		checkLargeObject(t, fmt.Sprint("read ", i), site, "loans")
	}
	resp := site.Do(http.MethodPut, "/photos/small", nil, strings.NewReader("x"))
	checkStatus(t, "PUT", resp, http.StatusOK)
}

// TestRateLimitedBodyDoesNotTimeOut checks that a body does not time out if the gateway's own rate limit delays the
// body for longer than the body timeout.
func TestRateLimitedBodyDoesNotTimeOut(t *testing.T) {
	site := startContendedSite(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond = 0.0625
		s.Plans[0].MiBBurst = 0.001
		s.FairSharing.Quantum = 16 << 10 // one quantum takes a quarter of a second at 0.0625 MiB per second
		s.Limits.ClientBody = settings.Duration(50 * time.Millisecond)
		s.FairSharing.MaxDelay = settings.Duration(time.Minute)
	})
	body := bucketContent("photos", 100<<10)
	site.Data[0].Store("photos", "k", body)
	resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
	kit.CheckEqual(t, "GET", resp.Body, body)
	resp = site.Do(http.MethodPut, "/photos/k", nil, bytes.NewReader(body))
	checkStatus(t, "PUT", resp, http.StatusOK)
}

// TestVolumeUsage checks that the gateway adds up a volume's usage over all event loops.
func TestVolumeUsage(t *testing.T) {
	const reads = 4
	site := startContendedSite(t, func(s *settings.Settings) { s.Loops = 2 })
	for range reads {
		site.Do(http.MethodGet, "/photos/large", nil, nil)
	}
	for _, u := range site.Gateway.VolumeUsage() {
		if u.Volume == "photos" {
			if u.Bytes < reads*largeSize || u.LoopTime <= 0 || u.Weight != 1 {
				t.Errorf("usage of photos: got %+v, want weight 1, some loop time and at least %d bytes", u, reads*largeSize)
			}
			return
		}
	}
	t.Error("VolumeUsage: got no entry for photos, want one")
}

// TestActualSizeIsCharged checks the cost corrections of reads whose size the gateway had to estimate. The response
// header states the actual size, which the gateway then charges. If the client disconnects before the end of the
// response, the gateway charges only the bytes received from the node.
func TestActualSizeIsCharged(t *testing.T) {
	const (
		estimate  = 1 + 1.0/16 // units for a read of unknown size: one, plus one per MiB of the assumed 64 KiB
		cost2MiB  = 1 + 2.0
		cost12MiB = 1 + 12.0
		hugeSize  = 12 << 20 // bytes in the object "huge"
	)
	corrections := make(chan float64, 16)
	trace := gateway.WithTrace(func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if c, ok := ev.(dispatch.CostCorrection); ok {
			corrections <- c.Units
		}
	})
	site := startContendedSite(t, nil, trace)
	knownSize := http.Header{"Range": {"bytes=0-200000"}}
	site.Do(http.MethodGet, "/photos/large", knownSize, nil)
	site.Do(http.MethodGet, "/photos/large", nil, nil)
	if got := <-corrections; got != cost2MiB-estimate {
		t.Errorf("cost correction for 2 MiB: got %g units, want %g", got, cost2MiB-estimate)
	}
	site.Data[0].Store("photos", "huge", bucketContent("photos", hugeSize))
	resp := site.OpenStream("/photos/huge")
	if _, err := io.CopyN(io.Discard, resp.Body, 100<<10); err != nil {
		t.Error(err)
	}
	resp.Body.Close()
	atHeader, atDisconnect := <-corrections, <-corrections
	if atHeader != cost12MiB-estimate || atDisconnect >= 0 || atDisconnect < 1-cost12MiB {
		t.Errorf("client disconnects while reading 12 MiB: got corrections of %g units at the response header and %g units "+
			"at the disconnect, want the full size first and then a partial refund", atHeader, atDisconnect)
	}
}
