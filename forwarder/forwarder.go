// The Forwarder itself: it passes events to their handlers, passes the dispatcher's
// events to the dispatcher, and applies the dispatcher's decisions.

package forwarder

import (
	"fmt"
	"math"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/timerqueue"
)

// Forwarder is the state machine of one gateway's requests. It is not safe for
// concurrent use.
type Forwarder struct {
	// Trace, when set, is called with each event of the dispatcher and the actions that
	// the dispatcher returned.
	Trace func(now time.Duration, ev dispatch.Event, acts []dispatch.Action)

	cfg         Config
	dispatcher  *dispatch.Dispatcher
	now         time.Duration
	requests    map[dispatch.RequestID]*request
	conns       map[ConnID]*conn
	nodes       map[dispatch.NodeID]*node
	sortedNodes []*node // by ID
	lastConnID  ConnID

	timers          timerqueue.Queue[timer]
	wakeAt          time.Duration // of the last SetTimer; math.MaxInt64 where none is pending
	dispatcherTimer dispatcherTimer

	dispatcherEvents []dispatch.Event // not yet handled by the dispatcher, in order
	actions          []Action         // of the current event
}

// New returns a Forwarder without endpoints. The error of an invalid setting wraps a
// *ConfigError or the dispatcher's own error.
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

// Conns returns the number of connections to nodes.
func (f *Forwarder) Conns() int { return len(f.conns) }

// Handle takes one event and returns the actions to perform, in order. The slice is
// valid until the next call. A time before that of an earlier call counts as that time.
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
	case TimerFired:
		f.wakeAt = math.MaxInt64
	}
	f.runDispatcher()
	f.runTimers()
	f.setTimer()
	return f.actions
}

// emit appends an action to those that Handle returns.
func (f *Forwarder) emit(a Action) { f.actions = append(f.actions, a) }

// notify queues an event for the dispatcher.
func (f *Forwarder) notify(ev dispatch.Event) {
	f.dispatcherEvents = append(f.dispatcherEvents, ev)
}

// runDispatcher passes the queued events to the dispatcher and applies its actions, until
// these cause no further event.
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

// apply carries out one action of the dispatcher.
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
		// A request that cannot be replayed would fail with its attempt, so its attempt is not canceled.
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
