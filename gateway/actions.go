package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/objectapi"
)

// handle passes an event to the forwarder, and applies this worker's actions.
func (w *loopWorker) handle(ev forwarder.Event) { w.gateway.core.handle(w, ev) }

// applyActions applies the forwarder's actions for this worker, in order. A nested call leaves them to
// the outer one.
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

// discardResponse notes of a response that is not for the client whether the node failed. The request is
// nil where it is over.
func (w *loopWorker) discardResponse(r *nodeRequest, result nodeResult) {
	if r != nil && result.resp != nil {
		r.nodeFailed = resultOfStatus(result.resp.Status) == dispatch.ServerError
	}
}

// rejectRequest completes a request that has no further attempt. After an internal error of its node it
// fails: a rejection would tell the client that a later retry helps.
func (w *loopWorker) rejectRequest(a forwarder.Reject) {
	if r := w.requests[a.ID]; r != nil && r.nodeFailed {
		w.gateway.metrics.failed.Inc()
		w.completeRequest(a.ID, nodeResult{kind: resultFailed})
		return
	}
	w.gateway.metrics.rejected.Inc()
	w.completeRequest(a.ID, nodeResult{kind: resultRejected, retryAfter: a.RetryAfter})
}

func (w *loopWorker) forwardResponse(a forwarder.ForwardResponse) {
	r := w.remove(a.ID)
	if r == nil {
		return
	}
	result := nodeResult{kind: resultFailed}
	if n := w.conns[a.Conn]; n != nil {
		result = n.takeResult()
	}
	r.onResult(result)
}

// completeRequest gives a node request its result, unless it was canceled.
func (w *loopWorker) completeRequest(id dispatch.RequestID, result nodeResult) {
	if r := w.remove(id); r != nil {
		r.onResult(result)
	}
}

// remove removes a node request and marks it completed; nil if there is none.
func (w *loopWorker) remove(id dispatch.RequestID) *nodeRequest {
	r := w.requests[id]
	if r != nil {
		delete(w.requests, id)
		r.completed = true
	}
	return r
}

// startRequest passes a node request to the forwarder. Its result may come before startRequest returns.
func (w *loopWorker) startRequest(r *nodeRequest, d dispatch.Request) {
	r.id = dispatch.RequestID(w.gateway.nextID.Add(1))
	d.ID = r.id
	r.worker = w
	w.requests[r.id] = r
	w.handle(forwarder.StartRequest{Request: d, Loop: w.index, NotReplayable: r.source != nil})
}

// cancelRequest cancels a node request whose result is not needed. It is charged for what was streamed. It
// has no effect on a request that is nil, not started or completed.
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

// moveToUnattributed removes a node request that the forwarder is about to abort, and keeps it until it has been
// attributed.
func (w *loopWorker) moveToUnattributed(r *nodeRequest) {
	if w.remove(r.id) != nil && w.gateway.attribution != nil {
		w.unattributed[r.id] = r
	}
}
