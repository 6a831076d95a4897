package soak

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"chalkstand/lab/invariants"
)

// Times of a client.
const (
	dialTimeout     = time.Second
	meanThinkTime   = 30 * time.Millisecond
	redialPause     = 20 * time.Millisecond
	responseGrace   = time.Second // beyond the time in which a response is due
	lastDialAfter   = 300 * time.Millisecond
	minPatience     = 20 * time.Millisecond
	patienceSpread  = 200 * time.Millisecond
	maxPipelined    = 4
	pipeliningShare = 0.3 // of the clients, where the protocol allows it
)

// request is a request that a client sends.
type request struct {
	tag   string
	class int
	key   string
	shard int
	body  []byte // of a write
}

// response is what a client learns of a response.
type response struct {
	status     int // as of HTTP
	retryAfter bool
	closing    bool // the server closes the connection after it
	wrong      bool // it is the response to another request
}

// protocol is how clients speak with the program.
type protocol interface {
	encode(q request, addr string) ([]byte, error)
	// readResponse reads the response to a request. An error after the response began is an *abortedError.
	readResponse(r *bufio.Reader, q request) (response, error)
	pipelines() bool
}

// abortedError means that a response began and broke off.
type abortedError struct {
	status int
	err    error
}

func (e *abortedError) Error() string { return e.err.Error() }

func (e *abortedError) Unwrap() error { return e.err }

// unanswered is a request whose connection ended without a response.
type unanswered struct {
	record   *invariants.Request
	closedAt time.Duration
	reason   error
}

// clientLog collects the records of all clients.
type clientLog struct {
	mu         sync.Mutex
	requests   []*invariants.Request
	unanswered []unanswered
	connsLost  int // that could not be opened
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

// client sends requests on one connection at a time, and goes on using it for as long as it is open.
type client struct {
	run       *run
	index     int
	rng       *rand.Rand
	pipelined int // requests that it sends at a time
	conn      net.Conn
	reader    *bufio.Reader
	sent      int
}

func newClient(r *run, phase, index int) *client {
	c := &client{run: r, index: phase*1000 + index, pipelined: 1}
	c.rng = rand.New(rand.NewPCG(r.options.Seed, uint64(100+c.index)))
	if r.system.protocol().pipelines() && c.rng.Float64() < pipeliningShare {
		c.pipelined = 2 + c.rng.IntN(maxPipelined-1)
	}
	return c
}

// loop sends requests until ctx ends. Once the program was told to stop, the client goes on only for as long
// as it has a connection.
func (c *client) loop(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			if c.run.stopping(lastDialAfter) || !sleep(ctx, redialPause) {
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
	if c.run.stopping(lastDialAfter) {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.run.system.addr())
	if err != nil {
		c.run.clients.mu.Lock()
		c.run.clients.connsLost++
		c.run.clients.mu.Unlock()
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // what came of its requests is recorded
		c.conn = nil
	}
}

// exchange sends one request, or several at once, and reads the responses.
func (c *client) exchange(ctx context.Context) {
	var text []byte
	requests := make([]request, 1+c.rng.IntN(c.pipelined))
	for i := range requests {
		requests[i] = c.nextRequest()
		encoded, err := c.run.system.protocol().encode(requests[i], c.run.system.addr())
		if err != nil {
			panic(err) // a fault of this package
		}
		text = append(text, encoded...)
	}
	patience := time.Duration(0)
	if c.rng.Float64() < c.run.plan.Impatient {
		patience = minPatience + time.Duration(c.rng.Int64N(int64(patienceSpread)))
	}
	deadline := c.deadline(requests, patience)
	if _, err := c.conn.Write(text); err != nil {
		c.recordAll(requests, c.run.now(), err, patience > 0)
		return
	}
	sent := c.run.now()
	previous := sent // the response to the request before
	for i, q := range requests {
		_ = c.conn.SetReadDeadline(time.Now().Add(deadline)) // a read on a closed connection fails, too
		resp, err := c.run.system.protocol().readResponse(c.reader, q)
		if err != nil {
			c.recordAll(requests[i:], sent, err, patience > 0)
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

// deadline returns how long the client waits for a response.
func (c *client) deadline(requests []request, patience time.Duration) time.Duration {
	if patience > 0 {
		return patience
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

// record records a response. Responses come in the order of the requests: where the one before came after
// this one was due, the time for which it had to wait does not count.
func (c *client) record(q request, sent, previous time.Duration, resp response) {
	r := c.newRecord(q, max(sent, previous-c.run.params.Classes[q.class].Deadline))
	r.Responses, r.Status, r.HasRetryAfter = 1, resp.status, resp.retryAfter
	if resp.wrong {
		r.ContentError = "the response to another request"
	}
	c.run.clients.add(r)
}

// recordAll records requests that were not answered and closes the connection.
func (c *client) recordAll(requests []request, sent time.Duration, err error, impatient bool) {
	c.close()
	for i, q := range requests {
		r := c.newRecord(q, sent)
		var aborted *abortedError
		switch {
		case impatient && errors.Is(err, os.ErrDeadlineExceeded):
			r.ClientCanceled = true
		case i == 0 && errors.As(err, &aborted):
			r.Responses, r.Status, r.Aborted = 1, aborted.status, true
		default:
			c.run.clients.addUnanswered(unanswered{r, r.Ended, err})
		}
		c.run.clients.add(r)
	}
}

// nextRequest draws a request.
func (c *client) nextRequest() request {
	c.sent++
	object := c.rng.IntN(objects)
	if c.rng.Float64() < hotShare {
		object = c.rng.IntN(hotObjects)
	}
	q := request{
		tag:   tagOf(c.index, c.sent),
		key:   keyOf(object),
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

// sleep waits. It returns false if the context ends before.
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
