package attributiontest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"chalkstand/lab/sigv4client"
)

const (
	maxIdleConns = 256

	// receiveBufferBytes is the size of a client's receive buffer. It is small because the gateway
	// counts bytes in the client's receive buffer as received.
	receiveBufferBytes = 64 << 10

	// slowReadBytes is the number of bytes that a slow client reads between two pauses.
	slowReadBytes = 256 << 10
)

// newTransport returns a transport whose connections have a small receive buffer.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DialContext: dial}
}

// dial opens a connection with a receive buffer of receiveBufferBytes.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetReadBuffer(receiveBufferBytes); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// read requests an object and adds the latency to the volume's measured time. The latency is the
// time from the first byte of the request to the last byte of the response. If pause is not 0, read
// pauses after each slowReadBytes of the response.
func (r *testRun) read(ctx context.Context, volume, key string, pause time.Duration) {
	r.mu.Lock()
	addr := r.addr
	r.mu.Unlock()
	url := fmt.Sprintf("http://%s/%s/%s", addr, volume, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		r.failf("create request: %v", err)
		return
	}
	sigv4client.Request(req, keyID, secret, r.wallClock())
	start := time.Now()
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		if !connectionLost(err) {
			r.failf("GET of volume %s: got error %v, want a response", volume, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // consume has read the body, so an error has no effect
	consume(resp.Body, pause)
	latency := time.Since(start)
	r.mu.Lock()
	r.measured[volume] += latency
	r.mu.Unlock()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		r.failf("GET of volume %s: got status %d, want 200 or 503", volume, resp.StatusCode)
	}
}

// connectionLost reports whether a request failed because its connection was lost, as happens when a
// gateway is closed. It returns false for an error that only wraps a connection error, because such an
// error has another cause.
func connectionLost(err error) bool {
	_, isNetError := err.(net.Error)   //nolint:errorlint // wrapped errors are failures
	return isNetError || err == io.EOF //nolint:errorlint // wrapped errors are failures
}

// consume reads a response body up to its end or the first error. The time of an incomplete body
// counts too, because the gateway also attributes it.
func consume(body io.Reader, pause time.Duration) {
	if pause == 0 {
		_, _ = io.Copy(io.Discard, body)
		return
	}
	part := make([]byte, slowReadBytes)
	for {
		if _, err := io.ReadFull(body, part); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// startClients starts n clients. Each client reads small objects of a volume, one after the other, until
// the channel is closed. Before each request, a client waits for a random time between 0.5 and 1.5
// times the pause.
func (r *testRun) startClients(ctx context.Context, n int, volume string, pause time.Duration, until <-chan struct{}) {
	r.mu.Lock()
	seed := r.rng.Uint64()
	r.mu.Unlock()
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		r.clients.Go(func() {
			for {
				wait := time.Duration(float64(pause) * (0.5 + rng.Float64()))
				select {
				case <-until:
					return
				case <-time.After(wait):
				}
				r.read(ctx, volume, smallKey, 0)
			}
		})
	}
}

// closedAfter returns a channel that is closed once the duration has passed.
func closedAfter(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}
