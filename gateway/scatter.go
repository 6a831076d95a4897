package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// shardResponse is the result of the request to one shard of a scatter-gather operation.
type shardResponse struct {
	shard      dispatch.Shard
	kind       resultKind
	retryAfter time.Duration // set if kind is resultRejected
	timedOut   bool          // set if kind is resultFailed and a timeout was the cause
	status     int           // HTTP status, set if kind is resultBuffered
	document   []byte        // response body, set if kind is resultBuffered
}

// scatterGather sends a request to each of several shards, a few at a time, and collects their results.
type scatterGather struct {
	transaction *transaction
	shards      []dispatch.Shard
	newRequest  func(dispatch.Shard) (*nodeRequest, dispatch.Request)
	done        func([]shardResponse)
	responses   []shardResponse // results, in the order of shards
	next        int             // index in shards of the next request to start
	inFlight    int             // number of started requests that have no result yet
	starting    bool            // startMore is running
	finished    bool            // done has been called
}

// scatter sends a request to each shard, at most limits.fan_out at a time. When all have results, it
// calls done with the results in the order of shards. It does not call done if the transaction has
// already responded by then.
func (t *transaction) scatter(
	shards []dispatch.Shard,
	newRequest func(dispatch.Shard) (*nodeRequest, dispatch.Request),
	done func([]shardResponse),
) {
	s := &scatterGather{
		transaction: t,
		shards:      shards,
		newRequest:  newRequest,
		done:        done,
		responses:   make([]shardResponse, len(shards)),
	}
	s.startMore()
}

// startMore starts as many requests as limits.fan_out allows, and calls done after the last result. If a
// result arrives while startMore is starting requests, the nested call returns at once and the outer
// call starts the next request.
func (s *scatterGather) startMore() {
	if s.starting {
		return
	}
	t := s.transaction
	s.starting = true
	for s.next < len(s.shards) && s.inFlight < t.conn.worker.gateway.cfg.Limits.FanOut && !t.responded {
		i := s.next
		s.next++
		s.inFlight++
		r, d := s.newRequest(s.shards[i])
		r.onResult = func(result nodeResult) {
			s.inFlight--
			s.responses[i] = newShardResponse(s.shards[i], result)
			t.removeNodeRequest(r)
			s.startMore()
		}
		t.startNodeRequest(r, d)
	}
	s.starting = false
	if s.inFlight == 0 && s.next == len(s.shards) && !s.finished && !t.responded {
		s.finished = true
		s.done(s.responses)
	}
}

// newShardResponse converts a node's result to the shard's response. It copies the document, which is
// valid only until onResult returns.
func newShardResponse(shard dispatch.Shard, r nodeResult) shardResponse {
	response := shardResponse{shard: shard, kind: r.kind, retryAfter: r.retryAfter, timedOut: r.timedOut}
	if r.kind == resultBuffered {
		response.status = r.resp.Status
		response.document = append([]byte(nil), r.body...)
	}
	return response
}

// requireAll reports whether all shards have responded with one of the given statuses. If not, it
// responds to the client with an error, because the client could mistake a partial result for the
// complete one.
func (t *transaction) requireAll(responses []shardResponse, statuses ...int) bool {
	var retryAfter time.Duration
	worst := resultBuffered
	timedOut := false
	for _, r := range responses {
		switch r.kind {
		case resultRejected:
			retryAfter = max(retryAfter, r.retryAfter)
			if worst == resultBuffered {
				worst = resultRejected
			}
		case resultFailed:
			worst = resultFailed
			timedOut = timedOut || r.timedOut
		}
	}
	switch worst {
	case resultRejected:
		t.respondSlowDown(retryAfter)
		return false
	case resultFailed:
		t.respondFailure(timedOut)
		return false
	}
	for _, r := range responses {
		if slices.Contains(statuses, r.status) {
			continue
		}
		if e, ok := objectapi.ParseError(r.document); ok {
			t.respondError(e, r.status)
		} else {
			t.respondFailure(false)
		}
		return false
	}
	return true
}

// newShardRequest returns the node request for an operation on one shard, with the matching request to
// the dispatcher. The bucket is empty if the operation has none.
func (t *transaction) newShardRequest(
	kind objectapi.Kind,
	method, bucket string,
	q objectapi.Query,
	s dispatch.Shard,
	body []byte,
) (*nodeRequest, dispatch.Request) {
	d := t.newDispatchRequest(kind, t.volume, s, "", int64(len(body)))
	b := make([]byte, 0, headCapacity)
	b = t.appendNodeHead(b, method, bucket, "", q, d, kind.Writes(), "-"+strconv.Itoa(int(s)))
	if method == http.MethodPut || method == http.MethodPost {
		b = http1.AppendLength(b, int64(len(body)))
	}
	return &nodeRequest{
		method:      method,
		head:        b,
		body:        body,
		maxBuffered: t.conn.worker.gateway.cfg.Limits.Document,
	}, d
}

// scatterBucket sends the same request to each shard. The request is for the operation's bucket and has
// no body.
func (t *transaction) scatterBucket(
	shards []dispatch.Shard,
	kind objectapi.Kind,
	method string,
	q objectapi.Query,
	done func([]shardResponse),
) {
	t.scatter(shards, func(s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(kind, method, t.op.Bucket, q, s, nil)
	}, done)
}
