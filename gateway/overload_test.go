package gateway_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"chalkstand/attribution"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	kit "chalkstand/internal/testkit"
)

// clientTimeout is the maximum time that a test client waits for a response.
const clientTimeout = 20 * time.Second

// testClient is a client connection on which each request reads the same object.
type testClient struct {
	net.Conn
	reader *bufio.Reader
	addr   string
	path   string
}

func dialTestClient(t *testing.T, addr, path string) testClient {
	t.Helper()
	conn := kit.Dial(t, addr)
	return testClient{Conn: conn, reader: bufio.NewReader(conn), addr: addr, path: path}
}

func (c testClient) sendRequest(t *testing.T, secret string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.addr+c.path, nil)
	if err != nil {
		t.Fatal(err)
	}
	kit.SignRequest(r, kit.KeyID, secret, time.Now())
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
}

func (c testClient) readResponse(t *testing.T) kit.Response {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(clientTimeout)); err != nil {
		t.Fatal(err)
	}
	return kit.ReadResponse(t, c.reader)
}

// overloadSettings returns settings for a gateway with one event loop and overload control. If
// retryAfter is 0, overload control is off. With these settings no other component rejects requests
// within clientTimeout, however busy the machine is.
func overloadSettings(retryAfter time.Duration) settings.Settings {
	s := kit.Settings(1)
	s.Loops = 1
	s.FairSharing.Overload = settings.Overload{}
	if retryAfter > 0 {
		s.FairSharing.Overload = settings.Overload{
			Target:        1,
			Interval:      settings.Duration(time.Minute),
			RetryAfter:    settings.Duration(retryAfter),
			MaxRetryAfter: settings.Duration(2 * retryAfter),
		}
	}
	// With one attempt per request, the dispatcher does not cancel attempts that it presumes lost because
	// the node was slow. It therefore does not reject requests when the retry budget is spent. Latency
	// objectives longer than clientTimeout keep the dispatcher from shedding load.
	s.Rules.MaxAttempts = 1
	s.Limits.Connect = settings.Duration(3 * clientTimeout)
	for i := range s.Classes {
		s.Classes[i].LatencyObjective = settings.Duration(3 * clientTimeout)
		s.Classes[i].Deadline = settings.Duration(6 * clientTimeout)
	}
	return s
}

// startOverloaded starts a site whose volume photos is overloaded. It blocks the gateway's loop until
// each of the given number of clients has sent a request, so all of these requests are waiting when the
// loop continues. If overload control is off, every second client reads from the bucket loans.
func startOverloaded(
	t *testing.T,
	s settings.Settings,
	clients int,
	secret string,
	opts ...gateway.Option,
) (*kit.Site, []testClient) {
	t.Helper()
	site := kit.Start(t, s, nil, opts...)
	for _, b := range []string{"photos", "loans"} {
		site.Data[0].AddBucket(b, time.Now())
		site.Data[0].Store(b, "small", []byte("a photo"))
	}
	var all []testClient
	for i := range clients {
		path := "/photos/small"
		if s.FairSharing.Overload.Target == 0 && i%2 == 1 {
			path = "/loans/small"
		}
		all = append(all, dialTestClient(t, site.Addr, path))
	}
	for _, c := range all { // the first request assigns the connection to its volume
		c.sendRequest(t, kit.Secret)
		if resp := c.readResponse(t); resp.Status != http.StatusOK {
			t.Fatalf("first request of a connection: got response %v, want status 200", resp)
		}
	}
	release := site.Gateway.Overload("photos")
	for _, c := range all {
		c.sendRequest(t, secret)
	}
	release()
	return site, all
}

// TestOverloadRejectsBeforeSignatureCheck sends two requests with a wrong signature that arrive
// together. The request that had to wait must be rejected with a retry time before its signature is
// checked. The signature of the request that did not wait must be checked.
func TestOverloadRejectsBeforeSignatureCheck(t *testing.T) {
	_, all := startOverloaded(t, overloadSettings(time.Second), 2, "a wrong secret")
	headers := map[int]http.Header{}
	for _, c := range all {
		resp := c.readResponse(t)
		headers[resp.Status] = resp.Header
	}
	if headers[http.StatusForbidden] == nil || headers[http.StatusServiceUnavailable].Get("Retry-After") == "" {
		t.Errorf("response headers by status = %v, want one status 403 and one 503 with Retry-After", headers)
	}
}

// TestRejectedClientWaitsForItsRetryTime checks clients that retry before the retry time of their
// rejection. They must get no response until the retry time, and must be served after it. A client that
// disconnects during its backoff must not disturb the others.
func TestRejectedClientWaitsForItsRetryTime(t *testing.T) {
	const retryAfter = 200 * time.Millisecond
	_, all := startOverloaded(t, overloadSettings(retryAfter), 8, kit.Secret)
	var rejected []testClient
	for _, c := range all {
		if c.readResponse(t).Status == http.StatusServiceUnavailable {
			rejected = append(rejected, c)
		}
	}
	rejectedAt := time.Now()
	if len(rejected) < 2 {
		t.Fatalf("requests rejected = %d, want at least 2", len(rejected))
	}
	if err := rejected[0].Close(); err != nil {
		t.Fatal(err)
	}
	for _, c := range rejected[1:] {
		c.sendRequest(t, kit.Secret)
	}
	for i, c := range rejected[1:] {
		resp := c.readResponse(t)
		if i == 0 && time.Since(rejectedAt) < retryAfter/2-20*time.Millisecond {
			t.Errorf("got the first response %v after the rejections, want at least half the retry time less 20ms", time.Since(rejectedAt))
		}
		for resp.Status == http.StatusServiceUnavailable { // the retry waited behind another client's retry
			c.sendRequest(t, kit.Secret)
			resp = c.readResponse(t)
		}
	}
}

// TestEventLoopWaitIsAttributed sends a hundred requests that arrive together, so the last requests wait
// for the loop behind the first. The attribution must record this wait and name the other volume, and
// its parts must sum to the latency of each request.
func TestEventLoopWaitIsAttributed(t *testing.T) {
	const clients = 100
	received := make(chan attribution.Entry, 4*clients)
	onEntry := gateway.WithAttribution(func(e attribution.Entry) { received <- e })
	site, all := startOverloaded(t, overloadSettings(0), clients, kit.Secret, onEntry)
	for _, c := range all {
		if resp := c.readResponse(t); resp.Status != http.StatusOK {
			t.Errorf("request on the overloaded loop: got response %v, want status 200", resp)
		}
	}
	if err := site.Gateway.Close(); err != nil { // Close flushes the attribution entries
		t.Error(err)
	}
	close(received)
	var entries int
	var waited, behindPhotos time.Duration
	for e := range received {
		entries++
		waited += e.Parts[attribution.EventLoop]
		behindPhotos += checkEntry(t, e)
	}
	if entries != 2*clients || waited == 0 || behindPhotos == 0 {
		t.Errorf("got %d entries, %v of event loop wait, %v behind photos; want 200 entries and both times above 0", entries, waited, behindPhotos)
	}
}

// checkEntry checks the sums of an attribution entry. It returns how long the entry's request waited
// behind the volume photos.
func checkEntry(t *testing.T, e attribution.Entry) time.Duration {
	t.Helper()
	if e.Parts.Total() != e.Ended-e.Started {
		t.Errorf("parts of the entry sum to %v, want the entry's duration %v", e.Parts.Total(), e.Ended-e.Started)
	}
	var sum, behindPhotos time.Duration
	for _, b := range e.Behind {
		if b.Volume == e.Volume {
			t.Errorf("volume %s is recorded as waiting behind itself, want other volumes only", e.Volume)
		}
		sum += b.Time
		if b.Volume == "photos" {
			behindPhotos += b.Time
		}
	}
	if loopWait := e.Parts[attribution.EventLoop]; loopWait > 0 {
		queued := loopWait + e.Parts[attribution.QueuedBehindOthers] + e.Parts[attribution.NodeQueue]
		if sum > queued {
			t.Errorf("recorded wait behind other volumes = %v, want at most the time in queues, %v", sum, queued)
		}
	}
	return behindPhotos
}

// TestRequestOfClosedClientIsNotStarted checks a request whose client has closed its side before the
// gateway reads the request. The gateway must neither send the request to a node, nor respond to it, nor
// take any of its bytes for another request.
func TestRequestOfClosedClientIsNotStarted(t *testing.T) {
	site, all := startOverloaded(t, overloadSettings(0), 1, kit.Secret)
	c := all[0]
	c.readResponse(t)
	before := len(site.Log())
	release := site.Gateway.Overload("photos")
	c.sendRequest(t, kit.Secret)
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Error(err)
	}
	release()
	if err := c.SetReadDeadline(time.Now().Add(clientTimeout)); err != nil {
		t.Fatal(err)
	}
	if b, err := c.reader.Peek(1); err == nil {
		t.Errorf("got response bytes %q, want the connection to end without a response", b)
	}
	if n := len(site.Log()) - before; n != 0 {
		t.Errorf("the node received %d requests, want 0", n)
	}
}
