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

	// receiveBufferBytes is small: a gateway counts bytes in the client's receive buffer as received.
	receiveBufferBytes = 64 << 10

	// slowReadBytes is what a slow client reads at a time.
	slowReadBytes = 256 << 10
)

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DialContext: dial}
}

// dial opens a connection with a small receive buffer.
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

// read reads an object and measures the latency as a client does: from the first byte of the
// request to the last byte of the response. With a pause, it reads slowly, pausing after each part.
func (r *testRun) read(ctx context.Context, volume, key string, pause time.Duration) {
	r.mu.Lock()
	addr := r.addr
	r.mu.Unlock()
	url := fmt.Sprintf("http://%s/%s/%s", addr, volume, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		r.failf("%v", err)
		return
	}
	sigv4client.Request(req, keyID, secret, r.wallClock())
	start := time.Now()
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		if !connectionLost(err) {
			r.failf("GET %s: %v", volume, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // read to its end, or broken off
	consume(resp.Body, pause)
	latency := time.Since(start)
	r.mu.Lock()
	r.measured[volume] += latency
	r.mu.Unlock()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		r.failf("GET %s: status %d", volume, resp.StatusCode)
	}
}

// connectionLost reports whether a request failed because its connection did, as happens when a gateway is
// closed. An error that wraps such an error has another cause.
func connectionLost(err error) bool {
	_, isNetError := err.(net.Error)   //nolint:errorlint // wrapped errors are failures
	return isNetError || err == io.EOF //nolint:errorlint // wrapped errors are failures
}

// consume reads a body to its end. A body that breaks off counts as read: the gateway attributes its time, too.
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

// startClients starts clients that read small objects of a volume, one after the other, until the channel is
// closed. Before each request a client pauses for half to one and a half times the pause.
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

// after returns a channel that is closed after the duration.
func after(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}
