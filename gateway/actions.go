package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/objectapi"
)

// handle passes an event to the forwarder, and applies the resulting actions for this worker.
func (w *loopWorker) handle(ev forwarder.Event) { w.gateway.core.handle(w, ev) }

// applyActions applies the queued forwarder actions for this worker in order. Applying an action may
// call applyActions again. The nested call returns at once, and the outer call applies the new
// actions.
func (w *loopWorker) applyActions() {
	if w.applying {
		return
	}
	w.applying = true
	for {
		w.gateway.core.mu.Lock()
		w.wakePosted = false
		actions := w.actions
		w.actions = w.spareActions[:0]
		w.gateway.core.mu.Unlock()
		w.spareActions = actions
		if len(actions) == 0 {
			break
		}
		for i, a := range actions {
			actions[i] = nil
			w.apply(a)
		}
	}
	w.applying = false
}

// apply applies one action of the forwarder.
func (w *loopWorker) apply(a forwarder.Action) {
	switch a := a.(type) {
	case forwarder.Dial:
		w.dial(a)
	case forwarder.SendRequest:
		if n, r := w.conns[a.Conn], w.requests[a.ID]; n != nil && r != nil {
			r.nodeFailed = false
			n.send(r, a)
		}
	case forwarder.CloseConn:
		if n := w.conns[a.Conn]; n != nil {
			delete(w.conns, a.Conn)
			n.close()
		}
	case forwarder.ForwardResponse:
		w.forwardResponse(a)
	case forwarder.RequestAttributed:
		w.requestAttributed(a)
	case forwarder.DiscardResponse:
		if n := w.conns[a.Conn]; n != nil {
			w.discardResponse(w.requests[a.ID], n.takeResult())
		}
	case forwarder.Reject:
		w.rejectRequest(a)
	case forwarder.Fail:
		w.gateway.metrics.failed.Inc()
		w.completeRequest(a.ID, nodeResult{kind: resultFailed, timedOut: a.TimedOut})
	case forwarder.AbortResponse:
		w.gateway.metrics.aborted.Inc()
		w.completeRequest(a.ID, nodeResult{kind: resultAborted})
	}
}

// discardResponse records in the request whether a discarded response was an internal error of the
// node. The parameter r is nil if the request has already ended.
func (w *loopWorker) discardResponse(r *nodeRequest, result nodeResult) {
	if r != nil && result.resp != nil {
		r.nodeFailed = resultOfStatus(result.resp.Status) == dispatch.ServerError
	}
}

// rejectRequest completes a request that the forwarder has rejected. If the node's response to the
// last attempt was an internal error, the result is a failure instead, because a rejection would tell
// the client that a later retry helps.
func (w *loopWorker) rejectRequest(a forwarder.Reject) {
	if r := w.requests[a.ID]; r != nil && r.nodeFailed {
		w.gateway.metrics.failed.Inc()
		w.completeRequest(a.ID, nodeResult{kind: resultFailed})
		return
	}
	w.gateway.metrics.rejected.Inc()
	w.completeRequest(a.ID, nodeResult{kind: resultRejected, retryAfter: a.RetryAfter})
}

// forwardResponse completes a request with the response that its connection holds.
func (w *loopWorker) forwardResponse(a forwarder.ForwardResponse) {
	r := w.removeRequest(a.ID)
	if r == nil {
		return
	}
	result := nodeResult{kind: resultFailed}
	if n := w.conns[a.Conn]; n != nil {
		result = n.takeResult()
	}
	r.onResult(result)
}

// completeRequest passes the result of a node request to its onResult function, unless the request
// was canceled.
func (w *loopWorker) completeRequest(id dispatch.RequestID, result nodeResult) {
	if r := w.removeRequest(id); r != nil {
		r.onResult(result)
	}
}

// removeRequest removes the node request with this ID, marks it completed, and returns it. It returns nil if
// the worker has no such request.
func (w *loopWorker) removeRequest(id dispatch.RequestID) *nodeRequest {
	r := w.requests[id]
	if r != nil {
		delete(w.requests, id)
		r.completed = true
	}
	return r
}

// startRequest passes a node request to the forwarder. The request's onResult function may be called
// before startRequest returns.
func (w *loopWorker) startRequest(r *nodeRequest, d dispatch.Request) {
	r.id = dispatch.RequestID(w.gateway.nextID.Add(1))
	d.ID = r.id
	r.worker = w
	w.requests[r.id] = r
	w.handle(forwarder.StartRequest{Request: d, Loop: w.index, NotReplayable: r.source != nil})
}

// cancelRequest cancels a node request whose result is no longer needed. A canceled read is charged
// for the bytes streamed so far. Nothing happens if r is nil, not started or completed.
func (w *loopWorker) cancelRequest(r *nodeRequest) {
	if r == nil || r.completed || r.worker == nil {
		return
	}
	w.moveToUnattributed(r)
	canceled := forwarder.ClientCanceled{ID: r.id}
	if r.readsObject {
		canceled.Units = w.gateway.costs.Cost(objectapi.GetObject, r.streamedBytes).Units
	}
	w.handle(canceled)
}

// moveToUnattributed removes a node request that the forwarder is about to cancel or abort. If
// attribution is on, the worker keeps the request until its attribution arrives.
func (w *loopWorker) moveToUnattributed(r *nodeRequest) {
	if w.removeRequest(r.id) != nil && w.gateway.attribution != nil {
		w.unattributed[r.id] = r
	}
}
