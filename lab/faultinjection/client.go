package faultinjection

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"chalkstand/lab/invariants"
	"chalkstand/lab/sigv4client"
)

// clientRequest describes a request that a client sends.
type clientRequest struct {
	tag         string // identifies the request in the logs of clients and nodes
	method      string
	path        string
	byteRange   string // value of the Range header; if empty, the request has none
	body        []byte
	class       int
	key         string
	cancelAfter time.Duration // the client closes the connection this long after sending; 0 means never

	// check returns a description of the error in a response's content, or "" if the content is correct.
	// If check is nil, the client does not check the content.
	check func(status int, body []byte) string
}

// encode signs the request and returns its HTTP/1.1 encoding.
func (q clientRequest) encode(ctx context.Context, addr string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+addr+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("x-amz-meta-tag", q.tag)
	if q.byteRange != "" {
		r.Header.Set("Range", q.byteRange)
	}
	sigv4client.Request(r, keyID, secret, time.Now())
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// client sends requests to one gateway instance.
type client struct {
	pool    *connPool
	now     func() time.Duration
	timeout time.Duration
	onExtra func(*invariants.Request) // called with a connection's last request if bytes follow its response
}

// send sends a request once and records the outcome. It returns the Retry-After of a rejection, or 0.
func (c client) send(ctx context.Context, q clientRequest, record *invariants.Request) (retryAfter time.Duration) {
	defer func() { record.Ended = c.now() }()
	encoded, err := q.encode(ctx, c.pool.addr)
	if err != nil {
		record.ContentError = err.Error()
		return 0
	}
	conn, err := c.pool.get(ctx, c.onExtra)
	if err != nil {
		record.ClientCanceled = true // no gateway listens, so none accepted the request
		return 0
	}
	record.Sent = c.now()
	timeout := c.timeout
	if q.cancelAfter > 0 {
		timeout = min(timeout, q.cancelAfter)
	}
	conn.setDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(encoded); err != nil && canceledByClient(err, q) {
		record.ClientCanceled = true
		conn.close()
		return 0
	}
	// Also after a failed write: the gateway may have responded before it read the whole request.
	return c.receive(conn, q, record)
}

// canceledByClient reports whether err results from the client's own cancellation of the request.
func canceledByClient(err error, q clientRequest) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && q.cancelAfter > 0
}

// receive reads and records the response, then returns the connection to the pool or closes it. It returns the
// Retry-After of a rejection, or 0.
func (c client) receive(conn *clientConn, q clientRequest, record *invariants.Request) time.Duration {
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: q.method})
	if err != nil {
		record.ClientCanceled = canceledByClient(err, q)
		conn.close()
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // the error does not matter: the body was read to its end or to an error
	record.Responses, record.Status = 1, resp.StatusCode
	if err != nil {
		record.Aborted = true
		record.ClientCanceled = errors.Is(err, os.ErrDeadlineExceeded)
		conn.close()
		return 0
	}
	record.HasRetryAfter = resp.Header.Get("Retry-After") != ""
	if q.check != nil {
		record.ContentError = q.check(resp.StatusCode, body)
	}
	if conn.reader.Buffered() > 0 {
		record.Responses++
		conn.close()
		return 0
	}
	conn.setDeadline(time.Time{})
	conn.lastRequest = record
	if resp.Close {
		conn.close()
	} else {
		c.pool.put(conn)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	ms, _ := strconv.Atoi(resp.Header.Get("x-chalkstand-retry-after-ms")) // ms is 0 if the header is absent
	return time.Duration(max(ms, 1)) * time.Millisecond
}
