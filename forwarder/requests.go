// This file handles the lifecycle of requests: the start, the cancellation by the client,
// and the final response.

package forwarder

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/internal/timerqueue"
)

// stage is the stage of a request's lifecycle.
type stage int

const (
	stageWaiting   stage = iota // the dispatcher holds the request in its queue or between two attempts
	stageDialing                // the current attempt waits for a connection
	stageInFlight               // the current attempt was sent to a node
	stageStreaming              // the client has received the headers of the response
	stageDetached               // the attempt is in flight, but the dispatcher no longer counts it
	stageDone                   // the request has finished
)

// request is an unfinished request together with its current or most recent attempt.
type request struct {
	req           dispatch.Request
	class         *dispatch.Class
	loop          LoopID
	stage         stage
	deadline      time.Duration // the client's deadline minus the response margin
	notReplayable bool
	chargedUnits  float64 // cost that the dispatcher currently counts for the request
	streamNode    *node   // node whose streamCount includes the request, or nil

	conn             *conn
	timer            *timerqueue.Timer[timer] // timeout of the current attempt
	attempt          int                      // number of the current attempt, from 0; -1 before the first
	attemptStartedAt time.Duration            // when the dispatcher started the current attempt
	bodySent         bool
	timedOut         bool          // whether the last attempt timed out
	resultReported   bool          // whether the dispatcher has been told that the request is finished
	ambiguous        bool          // whether a node may have executed one of the attempts
	ambiguousSince   time.Duration // start of the first attempt that a node may have executed
	headersAt        time.Duration // when the response's headers were passed on to the client
	headersInfo      ResponseInfo

	attribution requestAttribution
}

func (f *Forwarder) onStartRequest(e StartRequest) {
	if f.requests[e.Request.ID] != nil {
		return // a request with this ID already exists
	}
	class := e.Request.Class
	if len(f.requests) >= f.cfg.MaxRequests || class < 0 || class >= len(f.cfg.Dispatch.Classes) {
		f.attributeRejection(e)
		f.emit(Reject{ID: e.Request.ID, Loop: e.Loop, RetryAfter: f.cfg.Dispatch.DefaultRetryAfter()})
		return
	}
	// The response still has to reach the client. A client with little time keeps at least half of it.
	timeout := e.Request.Timeout - min(f.cfg.ResponseMargin, e.Request.Timeout/2)
	r := &request{
		req:           e.Request,
		class:         &f.cfg.Dispatch.Classes[class],
		loop:          e.Loop,
		attempt:       -1,
		notReplayable: e.NotReplayable,
		chargedUnits:  e.Request.Units,
		deadline:      f.now + timeout,
	}
	r.req.Timeout = timeout
	r.attribution.span = attribution.StartSpan(f.now, attribution.QueuedUnknown)
	f.requests[r.req.ID] = r
	f.notify(r.req)
}

func (f *Forwarder) onClientCanceled(e ClientCanceled) {
	if r := f.requests[e.ID]; r != nil && r.stage == stageStreaming {
		f.correctCost(r, e.Units)
	}
	f.cancel(e.ID)
}

// cancel ends a request without a final response. If an attempt is in flight, cancel ends
// the attempt, too, and closes its connection.
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

// respond ends a request with a final response that the gateway generates. It also ends
// the current attempt, if there is one.
func (f *Forwarder) respond(r *request, response Action) {
	if r.stage == stageDone {
		return
	}
	f.releaseConn(r)
	f.finish(r, response)
}

// finish emits the final response of a request and removes the request. A nil response
// means that the request was canceled and gets no response.
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

// releaseConn detaches a request from its connection. If a response may still arrive on
// the connection, releaseConn closes it, so that no other request receives that response.
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
