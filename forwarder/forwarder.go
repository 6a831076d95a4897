// This file holds the Forwarder, which routes each event to its handler, notifies the
// dispatcher, and applies the dispatcher's decisions.

package forwarder

import (
	"fmt"
	"math"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/timerqueue"
)

// Forwarder is the state machine that carries all requests of one gateway to storage
// nodes. It is not safe for concurrent use.
type Forwarder struct {
	// Trace, if not nil, is called after the dispatcher has handled an event. It receives
	// the event and the actions that the dispatcher returned.
	Trace func(now time.Duration, ev dispatch.Event, acts []dispatch.Action)

	cfg         Config
	dispatcher  *dispatch.Dispatcher
	now         time.Duration
	requests    map[dispatch.RequestID]*request
	conns       map[ConnID]*conn
	nodes       map[dispatch.NodeID]*node
	sortedNodes []*node // the values of nodes, sorted by ID
	lastConnID  ConnID

	timers          timerqueue.Queue[timer]
	wakeAt          time.Duration // time of the pending SetTimer, or math.MaxInt64 if none is pending
	dispatcherTimer dispatcherTimer

	dispatcherEvents []dispatch.Event // events that the dispatcher has not handled yet, oldest first
	actions          []Action         // actions that the current call of Handle returns
}

// New returns a Forwarder that has no nodes yet. If a setting is invalid, the returned
// error wraps a *ConfigError or the dispatcher's own error.
func New(cfg Config) (*Forwarder, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	dispatcher, err := dispatch.New(cfg.Dispatch, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	return &Forwarder{
		cfg:        cfg,
		dispatcher: dispatcher,
		requests:   map[dispatch.RequestID]*request{},
		conns:      map[ConnID]*conn{},
		nodes:      map[dispatch.NodeID]*node{},
		wakeAt:     math.MaxInt64,
	}, nil
}

// Requests returns the number of unfinished requests.
func (f *Forwarder) Requests() int { return len(f.requests) }

// Conns returns the number of connections to nodes, including those being dialed.
func (f *Forwarder) Conns() int { return len(f.conns) }

// Handle processes one event and returns the actions that the caller must perform, in
// order. The returned slice is valid until the next call. If now is before the time of an
// earlier call, Handle uses the earlier call's time instead.
func (f *Forwarder) Handle(now time.Duration, ev Event) []Action {
	f.actions = f.actions[:0]
	f.now = max(now, f.now)
	switch e := ev.(type) {
	case StartRequest:
		f.onStartRequest(e)
	case ClientCanceled:
		f.onClientCanceled(e)
	case AbortRequest:
		f.cancel(e.ID)
	case BodyStreaming:
		f.onBodyStreaming(e.ID)
	case BodySent:
		f.onBodySent(e.ID)
	case EndpointUpdate:
		f.onEndpointUpdate(e)
	case DialCompleted:
		f.onDialCompleted(e)
	case ResponseHeaders:
		f.onResponseHeaders(e)
	case ResponseCompleted:
		f.onResponseCompleted(e)
	case ConnectionLost:
		f.onConnectionLost(e)
	case Shutdown:
		f.onShutdown()
	case TimerFired:
		f.wakeAt = math.MaxInt64
	}
	f.runDispatcher()
	f.runTimers()
	f.setTimer()
	return f.actions
}

// emit appends an action to the list that Handle returns.
func (f *Forwarder) emit(a Action) { f.actions = append(f.actions, a) }

// notify queues an event for the dispatcher. The next runDispatcher delivers it.
func (f *Forwarder) notify(ev dispatch.Event) {
	f.dispatcherEvents = append(f.dispatcherEvents, ev)
}

// runDispatcher passes the queued events to the dispatcher and applies the resulting
// actions. Actions can queue further events, so it repeats until the queue is empty.
func (f *Forwarder) runDispatcher() {
	for len(f.dispatcherEvents) > 0 {
		ev := f.dispatcherEvents[0]
		f.dispatcherEvents = f.dispatcherEvents[1:]
		acts := f.dispatcher.Handle(f.now, ev)
		if f.Trace != nil {
			f.Trace(f.now, ev, acts)
		}
		for _, a := range acts {
			f.apply(a)
		}
	}
	f.dispatcherEvents = nil
}

// apply carries out one action that the dispatcher returned.
func (f *Forwarder) apply(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.SendAttempt:
		f.startAttempt(a)
	case dispatch.Reject:
		if r := f.requests[a.ID]; r != nil {
			f.attributeQueueTime(r, a.QueueTime)
			f.respond(r, Reject{ID: a.ID, Loop: r.loop, RetryAfter: a.RetryAfter})
		}
	case dispatch.Fail:
		if r := f.requests[a.ID]; r != nil {
			f.attributeQueueTime(r, a.QueueTime)
			f.respond(r, Fail{ID: a.ID, Loop: r.loop, TimedOut: r.timedOut})
		}
	case dispatch.CancelAttempt:
		// Canceling the only attempt of a request that cannot be replayed would fail the
		// request, so such an attempt continues.
		if r := f.requests[a.ID]; r != nil && r.attempt == a.Attempt && !r.notReplayable {
			f.abandonAttempt(r, dispatch.Canceled)
		}
	case dispatch.SetTimer:
		f.dispatcherTimer = dispatcherTimer{at: a.At, token: a.Token, pending: true}
	case dispatch.Watch:
		if a.On {
			f.emit(PollDiscovery{})
		}
	}
}
