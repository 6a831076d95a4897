package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	kit "chalkstand/internal/testkit"
)

// shortDrain is the time that a test gives Drain, far less than the deadlines of the request classes.
const shortDrain = 500 * time.Millisecond

// silentNode starts a node that reads requests and answers none. If readBody is false, it does not
// read the bodies either. It returns the node's address and a channel that receives a value for each
// request.
func silentNode(t *testing.T, readBody bool) (addr string, received chan struct{}) {
	t.Helper()
	received = make(chan struct{}, 64)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if readBody {
			_, _ = io.Copy(io.Discard, r.Body) // an error ends the request, as the test intends
		}
		received <- struct{}{}
		<-r.Context().Done()
	})}
	ln := kit.Must((&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0"))(t)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String(), received
}

// startWithSilentNode starts a site whose only node is silent. Its bucket photos exists at no node.
func startWithSilentNode(t *testing.T, readBody bool) (*kit.Site, chan struct{}) {
	t.Helper()
	addr, received := silentNode(t, readBody)
	site := kit.Start(t, kit.Settings(1), nil)
	site.Gateway.UpdateEndpoints(dispatch.Snapshot, []forwarder.Node{{Addr: addr, Node: dispatch.Node{ID: "silent"}}})
	return site, received
}

// drainBriefly drains and closes a gateway as the program does at SIGTERM, and checks that Drain reports
// that it had to answer open requests.
func drainBriefly(t *testing.T, g *gateway.Gateway) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shortDrain)
	defer cancel()
	if err := g.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Drain returned %v, want an error that wraps context.DeadlineExceeded", err)
	}
	if err := g.Close(); err != nil {
		t.Error(err)
	}
}

// answer is the outcome of a request of a test client.
type answer struct {
	response kit.Response
	err      error
}

// sendInBackground sends a request and returns a channel that receives its answer.
func sendInBackground(site *kit.Site, method, path string, body io.Reader) chan answer {
	answered := make(chan answer, 1)
	go func() {
		response, err := site.TryDo(method, path, nil, body)
		answered <- answer{response, err}
	}()
	return answered
}

// TestDrainAnswersRequestsOfSilentNode guards against requests that get no answer when a node hangs through
// the whole of a shutdown: their connections were closed at the end of drain_wait.
func TestDrainAnswersRequestsOfSilentNode(t *testing.T) {
	upload := bytes.Repeat([]byte("x"), 100<<10) // more than limits.replay, so that it is streamed
	for _, c := range []struct {
		name, method string
		body         []byte
		status       int
	}{
		{"upload that is streamed", http.MethodPut, upload, http.StatusInternalServerError},
		{"write that may have been executed", http.MethodPut, []byte("x"), http.StatusInternalServerError},
		{"read", http.MethodGet, nil, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			site, received := startWithSilentNode(t, true)
			answered := sendInBackground(site, c.method, "/photos/k", bytes.NewReader(c.body))
			<-received
			drainBriefly(t, site.Gateway)
			got := <-answered
			if got.err != nil || got.response.Status != c.status || !got.response.Close {
				t.Fatalf("got response %v, close %t, error %v; want status %d on a connection that closes",
					got.response, got.response.Close, got.err, c.status)
			}
			if retryAfter := got.response.Header.Get("Retry-After"); (retryAfter != "") != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("got Retry-After %q with status %d, want one with status 503 alone", retryAfter, c.status)
			}
		})
	}
}

// TestDrainAnswersQueuedRequests guards against the same loss of requests that no node has received: a second
// write of a key waits for the first one, and is rejected because its client may repeat it.
func TestDrainAnswersQueuedRequests(t *testing.T) {
	site, received := startWithSilentNode(t, true)
	first := sendInBackground(site, http.MethodPut, "/photos/k", bytes.NewReader([]byte("first")))
	<-received
	second := sendInBackground(site, http.MethodPut, "/photos/k", bytes.NewReader([]byte("second")))
	waitUntil(t, "both writes are in flight", func() bool { return site.Gateway.InFlight() == 2 })
	drainBriefly(t, site.Gateway)
	if got := <-first; got.err != nil || got.response.Status != http.StatusInternalServerError {
		t.Errorf("first write: got response %v, error %v, want status 500", got.response, got.err)
	}
	if got := <-second; got.err != nil || got.response.Status != http.StatusServiceUnavailable {
		t.Errorf("second write: got response %v, error %v, want status 503", got.response, got.err)
	}
}

// TestDrainAnswersIncompleteRequests guards against the same loss of requests of which only a part has arrived:
// no node has received them, so they are rejected.
func TestDrainAnswersIncompleteRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		part int // number of bytes of the body that arrive; below 0, only half of the head arrives
	}{
		{"half of a head", -1},
		{"half of a body", 2 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			site := kit.Start(t, kit.Settings(1), nil)
			var message bytes.Buffer
			if err := site.NewRequest(http.MethodPut, "/photos/k", bytes.NewReader(make([]byte, 4<<10))).Write(&message); err != nil {
				t.Fatal(err)
			}
			end := bytes.Index(message.Bytes(), []byte("\r\n\r\n")) + 4 + c.part
			if c.part < 0 {
				end /= 2
			}
			client := dialTestClient(t, site.Addr, "/photos/k")
			kit.Must(client.Write(message.Next(end)))(t)
			waitUntil(t, "the gateway has read the part", func() bool {
				return site.Gateway.InFlight() == 1 || site.Gateway.BufferedBytes() == end
			})
			drainBriefly(t, site.Gateway)
			if got := client.readResponse(t); got.Status != http.StatusServiceUnavailable || !got.Close {
				t.Errorf("got response %v, close %t, want status 503 on a connection that closes", got, got.Close)
			}
		})
	}
}

// TestDrainAnswersClientThatStillSends guards against an answer that is lost in a reset, because the gateway closes a
// connection whose client is still sending its body.
func TestDrainAnswersClientThatStillSends(t *testing.T) {
	const size = 16 << 20 // more than the kernel buffers
	site, received := startWithSilentNode(t, false)
	client := dialTestClient(t, site.Addr, "/photos/k")
	written := make(chan error, 1)
	go func() {
		r := site.NewRequest(http.MethodPut, "/photos/k", bytes.NewReader(make([]byte, size)))
		written <- r.Write(client)
	}()
	<-received
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	closed := make(chan error, 1)
	go func() {
		_ = site.Gateway.Drain(ctx) // the error says that the upload was open
		closed <- site.Gateway.Close()
	}()
	if err := <-written; err != nil {
		t.Errorf("writing the request: got error %v, want the whole body to be taken", err)
	}
	if got := client.readResponse(t); got.Status != http.StatusInternalServerError || !got.Close {
		t.Errorf("got response %v, close %t, want status 500 on a connection that closes", got, got.Close)
	}
	_ = client.Close() // ends the wait of Drain for this client
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// TestCloseResetsResponsesThatHaveBegun guards against a response that looks complete although it is cut off: a client
// of HTTP/1.0 finds the end of a response of unknown length by the end of the connection.
func TestCloseResetsResponsesThatHaveBegun(t *testing.T) {
	part := make([]byte, 256<<10) // more than limits.replay, so that it is streamed
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(part) // the client's end checks what arrives
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(node.Close)
	site := kit.Start(t, kit.Settings(1), nil)
	endpoint := forwarder.Node{Addr: node.Listener.Addr().String(), Node: dispatch.Node{ID: "streaming"}}
	site.Gateway.UpdateEndpoints(dispatch.Snapshot, []forwarder.Node{endpoint})
	var head bytes.Buffer
	if err := site.NewRequest(http.MethodGet, "/photos/k", nil).Write(&head); err != nil {
		t.Fatal(err)
	}
	client := dialTestClient(t, site.Addr, "/photos/k")
	kit.Must(client.Write(bytes.Replace(head.Bytes(), []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1)))(t)
	resp, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	kit.Must(io.ReadFull(resp.Body, make([]byte, len(part))))(t)
	if err := site.Gateway.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of a response that is cut off: got error %v, want a reset", err)
	}
}
