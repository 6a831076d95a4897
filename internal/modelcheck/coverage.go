package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
)

// Coverage counts which transitions of requests in the forwarder were taken: the kind
// of event, the stage before and the stage after.
type Coverage struct {
	mu    sync.Mutex
	taken map[Transition]int64
}

// Transition is one way of a request from stage to stage.
type Transition struct {
	Event      string
	From, To   string
	OtherEvent bool // the event was of another request
}

func (t Transition) String() string {
	s := fmt.Sprintf("%-9s %-9s -> %s", t.Event, t.From, t.To)
	if t.OtherEvent {
		s += " (event of another)"
	}
	return s
}

// stageNames are those of the forwarder's stages, in their order.
var stageNames = []string{"waiting", "dialing", "inFlight", "streaming", "detached", "done"}

const none = "-"

// stages reads where the forwarder has each request, by reflection: what decides has
// no need to tell.
func stages(x *forwarder.Forwarder) map[dispatch.RequestID]string {
	out := map[dispatch.RequestID]string{}
	calls := reflect.ValueOf(x).Elem().FieldByName("requests")
	for it := calls.MapRange(); it.Next(); {
		out[dispatch.RequestID(it.Key().Uint())] = stageNames[it.Value().Elem().FieldByName("stage").Int()]
	}
	return out
}

type observed struct {
	event string
	of    dispatch.RequestID
	from  map[dispatch.RequestID]string
}

func (c *Coverage) before(w *World, ev forwarder.Event) *observed {
	if c == nil {
		return nil
	}
	o := &observed{event: strings.TrimPrefix(fmt.Sprintf("%T", ev), "forwarder."), from: stages(w.fwd)}
	onConn := func(id forwarder.ConnID) {
		conns := reflect.ValueOf(w.fwd).Elem().FieldByName("conns")
		if k := conns.MapIndex(reflect.ValueOf(id)); k.IsValid() {
			if call := k.Elem().FieldByName("request"); !call.IsNil() {
				o.of = dispatch.RequestID(call.Elem().FieldByName("req").FieldByName("ID").Uint())
			}
		}
	}
	switch e := ev.(type) {
	case forwarder.StartRequest:
		o.of = e.Request.ID
	case forwarder.ClientCanceled:
		o.of = e.ID
	case forwarder.BodyStreaming:
		o.of = e.ID
	case forwarder.BodySent:
		o.of = e.ID
	case forwarder.DialCompleted:
		onConn(e.Conn)
	case forwarder.ResponseHeaders:
		onConn(e.Conn)
	case forwarder.ResponseCompleted:
		onConn(e.Conn)
	case forwarder.ConnectionLost:
		onConn(e.Conn)
	}
	return o
}

func (c *Coverage) after(w *World, o *observed) {
	if o == nil {
		return
	}
	now := stages(w.fwd)
	ids := map[dispatch.RequestID]bool{}
	for id := range now {
		ids[id] = true
	}
	for id := range o.from {
		ids[id] = true
	}
	ids[o.of] = ids[o.of] || o.of != 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range ids {
		from, to := o.from[id], now[id]
		if from == "" {
			from = none
		}
		if to == "" {
			to = none
		}
		if own := id == o.of || o.of == 0; own || from != to {
			c.taken[Transition{o.event, from, to, !own}]++
		}
	}
}

// NewCoverage returns a count of nothing.
func NewCoverage() *Coverage { return &Coverage{taken: map[Transition]int64{}} }

// Add adds another's counts.
func (c *Coverage) Add(o *Coverage) {
	for t, n := range o.taken {
		c.taken[t] += n
	}
}

// Transitions returns the transitions that were taken, in order, with their counts.
func (c *Coverage) Transitions() ([]Transition, map[Transition]int64) {
	var ts []Transition
	for t := range c.taken {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, func(a, b Transition) int { return strings.Compare(a.String(), b.String()) })
	return ts, c.taken
}

// Missing returns the pairs of event and stage that no request met: each kind of event
// at each stage that it could find its request at.
func (c *Coverage) Missing() []string {
	met := map[string]bool{}
	for t := range c.taken {
		if !t.OtherEvent {
			met[t.Event+" "+t.From] = true
		}
	}
	var out []string
	for _, p := range EventStages() {
		if !met[p] {
			out = append(out, p)
		}
	}
	return out
}

// EventStages are all pairs of an event and a stage at which it can find its request.
func EventStages() []string {
	return []string{
		"StartRequest -", "ClientCanceled waiting", "ClientCanceled dialing", "ClientCanceled inFlight", "ClientCanceled streaming", "ClientCanceled detached", "ClientCanceled -",
		"DialCompleted dialing", "DialCompleted -", "ResponseHeaders inFlight", "ResponseHeaders detached", "ResponseHeaders -", "ResponseCompleted inFlight", "ResponseCompleted streaming", "ResponseCompleted detached", "ResponseCompleted -",
		"ConnectionLost dialing", "ConnectionLost inFlight", "ConnectionLost streaming", "ConnectionLost detached", "ConnectionLost -", "BodyStreaming inFlight", "BodyStreaming detached", "BodySent inFlight", "BodySent detached",
		"TimerFired waiting", "TimerFired dialing", "TimerFired inFlight", "TimerFired streaming", "TimerFired detached",
		"EndpointUpdate waiting", "EndpointUpdate dialing", "EndpointUpdate inFlight", "EndpointUpdate streaming", "EndpointUpdate detached",
	}
}
