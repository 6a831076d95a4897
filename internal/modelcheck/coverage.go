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

// Coverage counts the transitions of requests between the forwarder's stages. Concurrent walks
// and searches may share one Coverage. Its exported methods are not safe for concurrent use.
type Coverage struct {
	mu    sync.Mutex
	taken map[Transition]int64
}

// Transition is a change of a request's stage, or an event that left the stage unchanged.
type Transition struct {
	Event      string // type name of the event in package forwarder
	From, To   string // stages before and after the event; noStage if the forwarder does not have the request
	OtherEvent bool   // the event belonged to another request
}

func (t Transition) String() string {
	s := fmt.Sprintf("%-9s %-9s -> %s", t.Event, t.From, t.To)
	if t.OtherEvent {
		s += " (event of another)"
	}
	return s
}

// stageNames lists the names of the forwarder's stages. The numeric value of a stage is its index.
var stageNames = []string{"waiting", "dialing", "inFlight", "streaming", "detached", "done"}

// noStage stands for the stage of a request that the forwarder does not have.
const noStage = "-"

// eventStages lists, for each event, the stages in which its request can be when the event
// happens.
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
	{"Shutdown", []string{"waiting", "dialing", "inFlight", "streaming", "detached"}},
	{"TimerFired", []string{"waiting", "dialing", "inFlight", "streaming", "detached"}},
	{"EndpointUpdate", []string{"waiting", "dialing", "inFlight", "streaming", "detached"}},
}

// EventStages returns every possible pair of an event and the stage of its request. Each pair has
// the form "EVENT STAGE".
func EventStages() []string {
	var pairs []string
	for _, e := range eventStages {
		for _, stage := range e.stages {
			pairs = append(pairs, e.event+" "+stage)
		}
	}
	return pairs
}

// NewCoverage returns a Coverage without counts.
func NewCoverage() *Coverage { return &Coverage{taken: map[Transition]int64{}} }

// Add adds the counts of another Coverage to this one.
func (c *Coverage) Add(o *Coverage) {
	for t, n := range o.taken {
		c.taken[t] += n
	}
}

// Transitions returns the transitions that were taken, sorted by their text, and the count of
// each one.
func (c *Coverage) Transitions() ([]Transition, map[Transition]int64) {
	var transitions []Transition
	for t := range c.taken {
		transitions = append(transitions, t)
	}
	slices.SortFunc(transitions, func(a, b Transition) int { return strings.Compare(a.String(), b.String()) })
	return transitions, c.taken
}

// Missing returns the entries of EventStages that no walk or search has reached.
func (c *Coverage) Missing() []string {
	met := map[string]bool{}
	for t := range c.taken {
		if !t.OtherEvent {
			met[t.Event+" "+t.From] = true
		}
	}
	return slices.DeleteFunc(EventStages(), func(pair string) bool { return met[pair] })
}

// observation holds an event and the stages of all requests before it.
type observation struct {
	event        string
	request      dispatch.RequestID // request that the event belongs to; 0 if there is none
	stagesBefore map[dispatch.RequestID]string
}

// beforeEvent records the stages of all requests before the forwarder handles an event. It
// returns nil if the Coverage is nil.
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

// afterEvent counts the transitions that an event caused, after the forwarder has handled it.
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

// stageOrNone returns the stage, or noStage for an empty string.
func stageOrNone(stage string) string {
	if stage == "" {
		return noStage
	}
	return stage
}

// stages uses reflection to return the stage of each request that a forwarder holds.
func stages(f *forwarder.Forwarder) map[dispatch.RequestID]string {
	out := map[dispatch.RequestID]string{}
	requests := reflect.ValueOf(f).Elem().FieldByName("requests")
	for it := requests.MapRange(); it.Next(); {
		out[dispatch.RequestID(it.Key().Uint())] = stageNames[it.Value().Elem().FieldByName("stage").Int()]
	}
	return out
}

// eventRequest returns the ID of the request that an event belongs to, or 0 if there is none.
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

// connRequest uses reflection to return the ID of the request that a forwarder's connection
// carries, or 0 if there is none.
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
