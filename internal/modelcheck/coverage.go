package modelcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// Coverage counts the transitions of requests between the forwarder's stages. It is safe for
// concurrent use by walks and searches; its other methods are not.
type Coverage struct {
	mu    sync.Mutex
	taken map[Transition]int64
}

// Transition is a change of a request's stage, or an event that left the stage as it was.
type Transition struct {
	Event      string // its type in package forwarder
	From, To   string // stages; noStage for a request that the forwarder does not have
	OtherEvent bool   // the event was that of another request
}

func (t Transition) String() string {
	s := fmt.Sprintf("%-9s %-9s -> %s", t.Event, t.From, t.To)
	if t.OtherEvent {
		s += " (event of another)"
	}
	return s
}

// stageNames are the names of the forwarder's stages, by their values.
var stageNames = []string{"waiting", "dialing", "inFlight", "streaming", "detached", "done"}

const noStage = "-"

// eventStages are the events with the stages at which they can find their request.
var eventStages = []struct {
	event  string
	stages []string
}{
	{"StartRequest", []string{noStage}},
	{"ClientCanceled", []string{"waiting", "dialing", "inFlight", "streaming", "detached", noStage}},
	{"DialCompleted", []string{"dialing", noStage}},
	{"ResponseHeaders", []string{"inFlight", "detached", noStage}},
	{"ResponseCompleted", []string{"inFlight", "streaming", "detached", noStage}},
	{"ConnectionLost", []string{"dialing", "inFlight", "streaming", "detached", noStage}},
	{"BodyStreaming", []string{"inFlight", "detached"}},
	{"BodySent", []string{"inFlight", "detached"}},
	{"TimerFired", []string{"waiting", "dialing", "inFlight", "streaming", "detached"}},
	{"EndpointUpdate", []string{"waiting", "dialing", "inFlight", "streaming", "detached"}},
}

// EventStages returns each event with each stage at which it can find its request.
func EventStages() []string {
	var pairs []string
	for _, e := range eventStages {
		for _, stage := range e.stages {
			pairs = append(pairs, e.event+" "+stage)
		}
	}
	return pairs
}

// NewCoverage returns an empty Coverage.
func NewCoverage() *Coverage { return &Coverage{taken: map[Transition]int64{}} }

// Add adds the counts of another.
func (c *Coverage) Add(o *Coverage) {
	for t, n := range o.taken {
		c.taken[t] += n
	}
}

// Transitions returns the transitions that were taken, in order, and their counts.
func (c *Coverage) Transitions() ([]Transition, map[Transition]int64) {
	var transitions []Transition
	for t := range c.taken {
		transitions = append(transitions, t)
	}
	slices.SortFunc(transitions, func(a, b Transition) int { return strings.Compare(a.String(), b.String()) })
	return transitions, c.taken
}

// Missing returns the entries of EventStages that were never met.
func (c *Coverage) Missing() []string {
	met := map[string]bool{}
	for t := range c.taken {
		if !t.OtherEvent {
			met[t.Event+" "+t.From] = true
		}
	}
	return slices.DeleteFunc(EventStages(), func(pair string) bool { return met[pair] })
}

// observation is an event with the stages of all requests before it.
type observation struct {
	event        string
	request      dispatch.RequestID // of the event; 0 where it is of none
	stagesBefore map[dispatch.RequestID]string
}

// beforeEvent observes an event that is about to be handled; it returns nil on a nil Coverage.
func (c *Coverage) beforeEvent(w *World, ev forwarder.Event) *observation {
	if c == nil {
		return nil
	}
	return &observation{
		event:        strings.TrimPrefix(fmt.Sprintf("%T", ev), "forwarder."),
		request:      eventRequest(w.fwd, ev),
		stagesBefore: stages(w.fwd),
	}
}

// afterEvent counts the transitions of an observed event, once it was handled.
func (c *Coverage) afterEvent(w *World, o *observation) {
	if o == nil {
		return
	}
	to := stages(w.fwd)
	requests := map[dispatch.RequestID]bool{}
	for id := range to {
		requests[id] = true
	}
	for id := range o.stagesBefore {
		requests[id] = true
	}
	requests[o.request] = requests[o.request] || o.request != 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range requests {
		t := Transition{
			Event:      o.event,
			From:       stageOrNone(o.stagesBefore[id]),
			To:         stageOrNone(to[id]),
			OtherEvent: id != o.request && o.request != 0,
		}
		if !t.OtherEvent || t.From != t.To {
			c.taken[t]++
		}
	}
}

func stageOrNone(stage string) string {
	if stage == "" {
		return noStage
	}
	return stage
}

// stages returns the stage of each of a forwarder's requests, by reflection.
func stages(f *forwarder.Forwarder) map[dispatch.RequestID]string {
	out := map[dispatch.RequestID]string{}
	requests := reflect.ValueOf(f).Elem().FieldByName("requests")
	for it := requests.MapRange(); it.Next(); {
		out[dispatch.RequestID(it.Key().Uint())] = stageNames[it.Value().Elem().FieldByName("stage").Int()]
	}
	return out
}

// eventRequest returns the request that an event is of; 0 where it is of none.
func eventRequest(f *forwarder.Forwarder, ev forwarder.Event) dispatch.RequestID {
	switch e := ev.(type) {
	case forwarder.StartRequest:
		return e.Request.ID
	case forwarder.ClientCanceled:
		return e.ID
	case forwarder.BodyStreaming:
		return e.ID
	case forwarder.BodySent:
		return e.ID
	case forwarder.DialCompleted:
		return connRequest(f, e.Conn)
	case forwarder.ResponseHeaders:
		return connRequest(f, e.Conn)
	case forwarder.ResponseCompleted:
		return connRequest(f, e.Conn)
	case forwarder.ConnectionLost:
		return connRequest(f, e.Conn)
	}
	return 0
}

// connRequest returns the request of one of a forwarder's connections, by reflection; 0
// where there is none.
func connRequest(f *forwarder.Forwarder, id forwarder.ConnID) dispatch.RequestID {
	c := reflect.ValueOf(f).Elem().FieldByName("conns").MapIndex(reflect.ValueOf(id))
	if !c.IsValid() {
		return 0
	}
	r := c.Elem().FieldByName("request")
	if r.IsNil() {
		return 0
	}
	return dispatch.RequestID(r.Elem().FieldByName("req").FieldByName("ID").Uint())
}
