package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"chalkstand/lab/invariants"
)

// Times and limits of a client.
const (
	dialTimeout       = time.Second
	meanThinkTime     = 30 * time.Millisecond  // mean pause between a response and the next request
	redialPause       = 20 * time.Millisecond  // pause after a failed dial
	responseGrace     = time.Second            // time for which a client goes on waiting for an overdue response
	lastDialAfter     = 300 * time.Millisecond // clients open no connections later than this after SIGTERM
	minCancelAfter    = 20 * time.Millisecond  // shortest time after which a client cancels a request
	cancelAfterSpread = 200 * time.Millisecond // range of the random time that is added to minCancelAfter
	maxPipelined      = 4                      // maximum number of requests that a client sends at once
	pipeliningShare   = 0.3                    // share of the clients that pipeline, if the protocol allows it
)

// request describes a request that a client sends.
type request struct {
	tag   string // identifies the request in the logs of clients and nodes
	class int
	key   string
	shard int
	body  []byte // content that a write stores; nil for other requests
}

// response holds the properties of a response that the checks need.
type response struct {
	status     int // HTTP status, or its equivalent in the RESP protocol
	retryAfter bool
	closing    bool // whether the server closes the connection after this response
	mismatched bool // whether this is the response to another request
}

// protocol encodes requests and decodes responses for a client of the program.
type protocol interface {
	encode(q request, addr string) ([]byte, error)
	// readResponse reads the response to a request. It returns an *abortedError if the response begins but does not
	// arrive completely.
	readResponse(r *bufio.Reader, q request) (response, error)
	supportsPipelining() bool
}

// abortedError reports that a response began but did not arrive completely.
type abortedError struct {
	status int
	err    error
}

func (e *abortedError) Error() string { return e.err.Error() }

func (e *abortedError) Unwrap() error { return e.err }

// unanswered records a request whose connection ended before the response.
type unanswered struct {
	record   *invariants.Request
	closedAt time.Duration
	reason   error
}

// clientLog collects the records of all clients.
type clientLog struct {
	mu          sync.Mutex
	requests    []*invariants.Request
	unanswered  []unanswered
	failedDials int
}

func (l *clientLog) add(r *invariants.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

func (l *clientLog) addUnanswered(u unanswered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(l.unanswered, u)
}

// client sends requests on one connection at a time. It uses a connection until the connection closes.
type client struct {
	run       *run
	index     int
	rng       *rand.Rand
	pipelined int // maximum number of requests that the client sends at once
	conn      net.Conn
	reader    *bufio.Reader
	sent      int
	onConn    int // number of batches of requests that the client has sent on its connection
}

func newClient(r *run, phase, index int) *client {
	c := &client{run: r, index: phase*1000 + index, pipelined: 1}
	c.rng = rand.New(rand.NewPCG(r.options.Seed, uint64(100+c.index)))
	if r.system.protocol().supportsPipelining() && c.rng.Float64() < pipeliningShare {
		c.pipelined = 2 + c.rng.IntN(maxPipelined-1)
	}
	return c
}

// loop sends requests until ctx ends. Once SIGTERM was sent more than lastDialAfter ago, the client opens no new
// connections, and loop ends when the current connection closes.
func (c *client) loop(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			if c.run.terminatingFor(lastDialAfter) || !sleep(ctx, redialPause) {
				return
			}
			continue
		}
		c.exchange(ctx)
		think := time.Duration(c.rng.ExpFloat64() * float64(meanThinkTime))
		if !sleep(ctx, think) {
			return
		}
	}
}

func (c *client) dial(ctx context.Context) bool {
	if c.run.terminatingFor(lastDialAfter) {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.run.system.addr())
	if err != nil {
		c.run.clients.mu.Lock()
		c.run.clients.failedDials++
		c.run.clients.mu.Unlock()
		return false
	}
	c.conn = conn
	c.onConn = 0
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the outcomes of its requests are already recorded
		c.conn = nil
	}
}

// exchange sends one request, or several requests at once, and records the outcome of each.
func (c *client) exchange(ctx context.Context) {
	var batch []byte
	requests := make([]request, 1+c.rng.IntN(c.pipelined))
	for i := range requests {
		requests[i] = c.nextRequest()
		encoded, err := c.run.system.protocol().encode(requests[i], c.run.system.addr())
		if err != nil {
			panic(err) // a bug in this package
		}
		batch = append(batch, encoded...)
	}
	cancelAfter := time.Duration(0)
	if c.rng.Float64() < c.run.plan.CancelShare {
		cancelAfter = minCancelAfter + time.Duration(c.rng.Int64N(int64(cancelAfterSpread)))
	}
	deadline := c.deadline(requests, cancelAfter)
	c.onConn++
	if _, err := c.conn.Write(batch); err != nil {
		c.recordAll(requests, c.run.now(), err, cancelAfter > 0)
		return
	}
	sent := c.run.now()
	previous := sent // time of the previous response; before the first response, the send time
	for i, q := range requests {
		_ = c.conn.SetReadDeadline(time.Now().Add(deadline)) // fails only on a closed connection, where the read fails, too
		resp, err := c.run.system.protocol().readResponse(c.reader, q)
		if err != nil {
			c.recordAll(requests[i:], sent, err, cancelAfter > 0)
			return
		}
		c.record(q, sent, previous, resp)
		previous = c.run.now()
		if resp.closing {
			c.recordAll(requests[i+1:], sent, net.ErrClosed, false)
			c.close()
			return
		}
	}
	if ctx.Err() == nil && c.reader.Buffered() > 0 {
		c.run.report(invariants.NoRequestLost, "bytes behind the response to %s", requests[len(requests)-1].tag)
		c.close()
	}
}

// deadline returns how long the client waits for each response. cancelAfter is the time after which the client
// cancels, or 0 if it does not cancel.
func (c *client) deadline(requests []request, cancelAfter time.Duration) time.Duration {
	if cancelAfter > 0 {
		return cancelAfter
	}
	longest := time.Duration(0)
	for _, q := range requests {
		longest = max(longest, c.run.params.Classes[q.class].Deadline)
	}
	return longest + c.run.params.ResponseTolerance + responseGrace
}

func (c *client) newRecord(q request, sent time.Duration) *invariants.Request {
	return &invariants.Request{
		Tag:     q.tag,
		Gateway: programName,
		Class:   q.class,
		Key:     q.key,
		Sent:    sent,
		Ended:   c.run.now(),
	}
}

// record records a response. Pipelined responses arrive in the order of their requests, so a late response delays
// all later ones. If the previous response arrived after this response was due, record shifts the request's send
// time to a later time, so that the delay does not count against this response.
func (c *client) record(q request, sent, previous time.Duration, resp response) {
	r := c.newRecord(q, max(sent, previous-c.run.params.Classes[q.class].Deadline))
	r.Responses, r.Status, r.HasRetryAfter = 1, resp.status, resp.retryAfter
	if resp.mismatched {
		r.ContentError = "the response to another request"
	}
	c.run.clients.add(r)
}

// recordAll closes the connection and records requests without a complete response. canceling reports whether the
// client waited only for a short time in order to cancel the requests.
func (c *client) recordAll(requests []request, sent time.Duration, err error, canceling bool) {
	reason := fmt.Sprintf("%v; connection from %v, request %d of the connection", err, c.conn.LocalAddr(), c.onConn)
	c.close()
	for i, q := range requests {
		r := c.newRecord(q, sent)
		r.NoReply = reason
		var aborted *abortedError
		switch {
		case canceling && errors.Is(err, os.ErrDeadlineExceeded):
			r.ClientCanceled = true
		case i == 0 && errors.As(err, &aborted):
			r.Responses, r.Status, r.Aborted = 1, aborted.status, true
		default:
			c.run.clients.addUnanswered(unanswered{r, r.Ended, err})
		}
		c.run.clients.add(r)
	}
}

// nextRequest draws the client's next request at random.
func (c *client) nextRequest() request {
	c.sent++
	object := c.rng.IntN(objects)
	if c.rng.Float64() < hotShare {
		object = c.rng.IntN(hotObjects)
	}
	q := request{
		tag:   requestTag(c.index, c.sent),
		key:   objectKey(object),
		shard: object % shards,
		class: classRead,
	}
	switch draw := c.rng.IntN(10); {
	case draw < 6:
	case draw < 9:
		q.class = classWrite
		q.body = []byte(q.tag)
	default:
		q.class = classRemove
	}
	return q
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
