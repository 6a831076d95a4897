// Requests: their start, their cancellation by the client, and their one final response.

package forwarder

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/internal/timerqueue"
)

// stage is the stage of a request.
type stage int

const (
	stageWaiting   stage = iota // with the dispatcher: queued, or between attempts
	stageDialing                // its attempt waits for a connection
	stageInFlight               // its attempt was sent
	stageStreaming              // the headers of its response were passed on
	stageDetached               // in flight, but no longer counted by the dispatcher
	stageDone
)

// request is an unfinished request with its current or last attempt.
type request struct {
	req           dispatch.Request
	class         *dispatch.Class
	loop          LoopID
	stage         stage
	deadline      time.Duration // of the client, less the response margin
	notReplayable bool
	chargedUnits  float64 // cost that the dispatcher counts
	streamNode    *node   // among whose streams it counts

	conn             *conn
	timer            *timerqueue.Timer[timer] // the attempt's timeout
	attempt          int                      // from 0; -1 before the first
	attemptStartedAt time.Duration            // when the dispatcher decided on it
	bodySent         bool
	timedOut         bool          // the last attempt timed out
	resultReported   bool          // the dispatcher knows that the request is over
	ambiguous        bool          // an attempt may have been executed
	ambiguousSince   time.Duration // start of the first such attempt
	headersAt        time.Duration // when the response's headers were passed on
	headersInfo      ResponseInfo

	attribution requestAttribution
}

func (f *Forwarder) onStartRequest(e StartRequest) {
	if f.requests[e.Request.ID] != nil {
		return // a duplicate
	}
	class := e.Request.Class
	if len(f.requests) >= f.cfg.MaxRequests || class < 0 || class >= len(f.cfg.Dispatch.Classes) {
		f.attributeRejection(e)
		f.emit(Reject{ID: e.Request.ID, Loop: e.Loop, RetryAfter: f.cfg.Dispatch.MaxRetryAfter})
		return
	}
	r := &request{
		req:           e.Request,
		class:         &f.cfg.Dispatch.Classes[class],
		loop:          e.Loop,
		attempt:       -1,
		notReplayable: e.NotReplayable,
		chargedUnits:  e.Request.Units,
		deadline:      f.now + e.Request.Timeout - f.cfg.ResponseMargin,
	}
	r.attribution.span = attribution.StartSpan(f.now, attribution.QueuedUnknown)
	f.requests[r.req.ID] = r
	f.notify(e.Request)
}

func (f *Forwarder) onClientCanceled(e ClientCanceled) {
	if r := f.requests[e.ID]; r != nil && r.stage == stageStreaming {
		f.correctCost(r, e.Units)
	}
	f.cancel(e.ID)
}

// cancel ends a request that its client has canceled. An attempt that is in flight
// ends with it, and its connection is closed.
func (f *Forwarder) cancel(id dispatch.RequestID) {
	r := f.requests[id]
	if r == nil {
		return
	}
	switch r.stage {
	case stageWaiting:
		f.notify(dispatch.ClientCanceled{ID: id})
	case stageDialing:
		f.notify(dispatch.ClientCanceled{ID: id})
		f.reportResult(r, dispatch.NotSent, ResponseInfo{}, true)
	case stageInFlight:
		f.notify(dispatch.ClientCanceled{ID: id})
		f.reportResult(r, dispatch.Canceled, ResponseInfo{}, true)
	case stageStreaming:
		f.reportStreamed(r)
	}
	f.releaseConn(r)
	f.finish(r, nil)
}

// respond gives a request a final response that is not its attempt's, and ends the
// attempt.
func (f *Forwarder) respond(r *request, response Action) {
	if r.stage == stageDone {
		return
	}
	f.releaseConn(r)
	f.finish(r, response)
}

// finish removes a request, with its final response; nil where its client has canceled.
func (f *Forwarder) finish(r *request, response Action) {
	r.stage = stageDone
	f.stopTimer(r)
	f.leaveNode(r)
	f.attribute(r, outcomeOf(response))
	if response != nil {
		f.emit(response)
	}
	if r.streamNode != nil {
		r.streamNode.streamCount--
		r.streamNode = nil
	}
	delete(f.requests, r.req.ID)
}

// releaseConn separates a request from its connection. A connection on which a response
// may still arrive is closed, so that no other request receives it.
func (f *Forwarder) releaseConn(r *request) {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	c.request = nil
	if c.state == connBusy {
		f.closeConn(c)
	}
}
