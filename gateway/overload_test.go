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

// clientTimeout bounds the wait for a response.
const clientTimeout = 20 * time.Second

// testClient is a connection that requests the same object again and again.
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

// overloadSettings returns settings of one loop with overload control; retryAfter 0 turns it off.
// Under them no other component rejects requests within clientTimeout, however busy the machine is.
func overloadSettings(retryAfter time.Duration) settings.Settings {
	s := kit.Settings(1)
	s.Loops = 1
	s.Share.Overload = settings.Overload{}
	if retryAfter > 0 {
		s.Share.Overload = settings.Overload{
			Target:   1,
			Interval: settings.Duration(time.Minute),
			Back:     settings.Duration(retryAfter),
			MaxBack:  settings.Duration(2 * retryAfter),
		}
	}
	// With one attempt per request the dispatcher does not cancel attempts that it presumes lost because
	// the node was slow, and so does not reject requests when the retry budget is spent. Latency
	// objectives beyond clientTimeout keep it from shedding load.
	s.Rules.MaxAttempts = 1
	s.Limits.Connect = settings.Duration(3 * clientTimeout)
	for i := range s.Classes {
		s.Classes[i].Aim = settings.Duration(3 * clientTimeout)
		s.Classes[i].Deadline = settings.Duration(6 * clientTimeout)
	}
	return s
}

// startOverloaded starts a site whose volume photos is overloaded, with so many clients whose requests
// are all waiting when its loop goes on.
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
		if s.Share.Overload.Target == 0 && i%2 == 1 {
			path = "/loans/small"
		}
		all = append(all, dialTestClient(t, site.Addr, path))
	}
	for _, c := range all { // assigns the connection to its volume
		c.sendRequest(t, kit.Secret)
		if resp := c.readResponse(t); resp.Status != http.StatusOK {
			t.Fatal(resp)
		}
	}
	release := site.Gateway.Overload("photos")
	for _, c := range all {
		c.sendRequest(t, secret)
	}
	release()
	return site, all
}

// Of two requests that arrive together the one that had to wait is rejected before its signature is
// checked, with a retry time; the one that did not wait is checked.
func TestOverloadRejectsBeforeSignatureCheck(t *testing.T) {
	_, all := startOverloaded(t, overloadSettings(time.Second), 2, "a wrong secret")
	headers := map[int]http.Header{}
	for _, c := range all {
		resp := c.readResponse(t)
		headers[resp.Status] = resp.Header
	}
	if headers[http.StatusForbidden] == nil || headers[http.StatusServiceUnavailable].Get("Retry-After") == "" {
		t.Errorf("%v", headers)
	}
}

// A rejected client that retries before its retry time gets no response until then, and is served
// afterwards. One that leaves meanwhile is forgotten.
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
		t.Fatalf("%d rejected", len(rejected))
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
			t.Errorf("response after %v", time.Since(rejectedAt))
		}
		for resp.Status == http.StatusServiceUnavailable { // it waited behind another that retried
			c.sendRequest(t, kit.Secret)
			resp = c.readResponse(t)
		}
	}
}

// Of a hundred requests that arrive together the last wait for the loop behind the first: their
// attribution says so, names the other volume, and sums to their latency.
func TestEventLoopWaitIsAttributed(t *testing.T) {
	const clients = 100
	received := make(chan attribution.Entry, 4*clients)
	onEntry := gateway.WithAttribution(func(e attribution.Entry) { received <- e })
	site, all := startOverloaded(t, overloadSettings(0), clients, kit.Secret, onEntry)
	for _, c := range all {
		if resp := c.readResponse(t); resp.Status != http.StatusOK {
			t.Error(resp)
		}
	}
	if err := site.Gateway.Close(); err != nil { // flushes the entries
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
		t.Errorf("%d entries, waited %v, %v of it behind photos by loans", entries, waited, behindPhotos)
	}
}

// checkEntry checks the sums of an entry, and returns how long it waited behind the volume photos.
func checkEntry(t *testing.T, e attribution.Entry) time.Duration {
	t.Helper()
	if e.Parts.Total() != e.Ended-e.Started {
		t.Errorf("%v of %v", e.Parts.Total(), e.Ended-e.Started)
	}
	var sum, behindPhotos time.Duration
	for _, b := range e.Behind {
		if b.Volume == e.Volume {
			t.Errorf("%s waited behind itself", e.Volume)
		}
		sum += b.Time
		if b.Volume == "photos" {
			behindPhotos += b.Time
		}
	}
	if loopWait := e.Parts[attribution.EventLoop]; loopWait > 0 {
		queued := loopWait + e.Parts[attribution.QueuedBehindOthers] + e.Parts[attribution.NodeQueue]
		if sum > queued {
			t.Errorf("waited %v behind others, of %v in queues", sum, queued)
		}
	}
	return behindPhotos
}

// A request whose client has left when it is its turn is not started, nor is its body taken for
// another request.
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
		t.Errorf("response: %q", b)
	}
	if n := len(site.Log()) - before; n != 0 {
		t.Errorf("%d requests at the node", n)
	}
}
