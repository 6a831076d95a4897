package schedulereplay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkstand/lab/sigv4client"
)

// These constants are the outcomes of requests, with the names that the model checker uses.
const (
	outcomeDelivered = "deliver"
	outcomeRejected  = "refuse"
	outcomeFailed    = "fail"
	outcomeAborted   = "cut"
	outcomeCanceled  = "left"
	outcomeNone      = "none" // the connection ended without a response; the model checker has no such outcome
)

// sendRequest sends a client's request and waits until the gateway has accepted it.
func (e *executor) sendRequest(ctx context.Context, i int) error {
	req, err := e.newRequest(ctx, i)
	if err != nil {
		return err
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.clients[i] = c
	e.mu.Unlock()
	if err := req.Write(c); err != nil {
		return err
	}
	e.goroutines.Go(func() { e.receiveResponse(i, c, req) })
	return e.awaitGateway(func() bool { return e.gateway.InFlight() == e.unanswered() || e.hasOutcome(i) })
}

// newRequest returns a signed HTTP request with the class and key of a request in the scenario.
func (e *executor) newRequest(ctx context.Context, i int) (*http.Request, error) {
	r := e.requests[i-1]
	method := methods[r.Class]
	if method == "" || r.NotReplayable || r.Shard != 0 {
		return nil, fmt.Errorf("a request that is not replayable, is not of shard 0, or has a class without a method %w", ErrUnsupported)
	}
	key := r.Key
	if key == "" {
		key = "object-" + strconv.Itoa(i)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.addr+"/photos/"+key, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("x-amz-meta-tag", strconv.Itoa(i))
	if method == http.MethodPut {
		body := "x"
		req.Body = io.NopCloser(strings.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	sigv4client.Request(req, keyID, secret, time.Now())
	return req, nil
}

// cancelRequest closes a client's connection and waits until the gateway has noticed that.
func (e *executor) cancelRequest(i int) error {
	e.mu.Lock()
	c := e.clients[i]
	e.outcomes[i] = outcomeCanceled
	e.mu.Unlock()
	if err := c.Close(); err != nil {
		return err
	}
	return e.awaitGateway(func() bool { return e.gateway.InFlight() == e.unanswered() })
}

// unanswered returns the number of requests that were sent and have no outcome yet.
func (e *executor) unanswered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for i := range e.clients {
		if e.outcomes[i] == "" {
			n++
		}
	}
	return n
}

// hasOutcome reports whether the executor has recorded an outcome for a request.
func (e *executor) hasOutcome(i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outcomes[i] != ""
}

// receiveResponse reads a client's response and records the request's outcome.
func (e *executor) receiveResponse(i int, c net.Conn, req *http.Request) {
	outcome := readOutcome(c, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outcomes[i] == "" && !e.closed {
		e.outcomes[i] = outcome
	}
	e.changed.Broadcast()
}

// readOutcome reads a response and returns the outcome of its request.
func readOutcome(c net.Conn, req *http.Request) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return outcomeNone
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // the body has been read; stop closes the connection
	switch {
	case err != nil:
		return outcomeAborted
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return outcomeRejected
	case resp.StatusCode >= http.StatusInternalServerError:
		return outcomeFailed
	case resp.StatusCode != http.StatusOK:
		return resp.Status
	}
	return outcomeDelivered
}
