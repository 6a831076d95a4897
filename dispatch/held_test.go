package dispatch

import (
	"testing"
	"time"
)

// heldRun feeds a dispatcher and moves time from timer to timer.
type heldRun struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Duration
	wake time.Duration
	sent map[RequestID]SendAttempt
	at   map[RequestID]time.Duration
	gone map[RequestID]QueueTime // refused
}

func newHeldRun(t *testing.T, cfg Config) *heldRun {
	cfg.DispatcherCount, cfg.MeanUnits, cfg.MaxUnits, cfg.MaxRetryAfter = 1, 1, 2, time.Second
	cfg.Classes = []Class{{LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &heldRun{t: t, d: d, wake: 1 << 62, sent: map[RequestID]SendAttempt{}, at: map[RequestID]time.Duration{}, gone: map[RequestID]QueueTime{}}
	return h
}

func (h *heldRun) tell(ev Event) {
	for _, a := range h.d.Handle(h.now, ev) {
		switch a := a.(type) {
		case SendAttempt:
			h.sent[a.ID], h.at[a.ID] = a, h.now
		case Reject:
			h.gone[a.ID] = a.QueueTime
		case SetTimer:
			h.wake = min(h.wake, a.At)
		}
	}
}

func (h *heldRun) until(end time.Duration) {
	for h.wake <= end {
		h.now, h.wake = max(h.now, h.wake), 1<<62
		h.tell(TimerFired{Token: "wake"})
	}
	h.now = end
}

func (h *heldRun) ask(id RequestID, vol VolumeID) {
	h.tell(Request{ID: id, Volume: vol, Units: 1, Dispatchers: 1, Timeout: 20 * time.Second})
}

func (h *heldRun) end(id RequestID, s AttemptResult) {
	h.tell(AttemptCompleted{ID: id, Attempt: 0, Node: "a", Result: s, Responded: true, Latency: 20 * time.Millisecond})
}

var plain = []Plan{{Weight: 1, Reserve: 1000, Price: 1}}

func TestHeldInLine(t *testing.T) {
	h := newHeldRun(t, Config{Plans: plain})
	h.tell(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(6) {
		h.ask(i+1, "v")
	}
	if len(h.sent) != minConcurrency {
		t.Fatalf("%d sent", len(h.sent))
	}
	h.until(30 * time.Millisecond)
	h.end(1, OK)
	if got := h.sent[5].QueueTime; got != (QueueTime{Concurrency: 30 * time.Millisecond}) || h.sent[1].QueueTime != (QueueTime{}) {
		t.Fatalf("%+v", got)
	}
}

func TestHeldByALimit(t *testing.T) {
	h := newHeldRun(t, Config{Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1, RateLimit: 10, Burst: 4, Slack: 1}}})
	h.tell(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	h.ask(1, "v") // the limit's store starts empty
	h.until(time.Second)
	if got := h.sent[1].QueueTime; got.RateLimit != h.at[1] || got.RateLimit < 90*time.Millisecond || got.Concurrency != 0 {
		t.Fatalf("sent at %v, %+v", h.at[1], got)
	}
}

func TestHeldByAColdNode(t *testing.T) {
	h := newHeldRun(t, Config{Plans: plain, SlowStart: SlowStart{InitialCapacity: 0.2, WarmUp: 10 * time.Second, OverloadFactor: 2, Window: time.Second, InitialUnits: 2}})
	h.now = time.Minute
	h.tell(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a", Started: h.now}}})
	for i := range RequestID(4) {
		h.ask(i+1, "v")
		h.until(h.now + 10*time.Millisecond)
	}
	h.until(h.now + 9*time.Second)
	cold := time.Duration(0)
	for id, a := range h.sent {
		if a.QueueTime.RateLimit != 0 || a.QueueTime.Ejected != 0 {
			t.Fatalf("%d: %+v", id, a.QueueTime)
		}
		cold += a.QueueTime.SlowStart
	}
	for _, g := range h.gone {
		cold += g.SlowStart
	}
	if cold < 50*time.Millisecond {
		t.Fatalf("%v put down to the cold node; sent %d, refused %d", cold, len(h.sent), len(h.gone))
	}
	// Once it is warm nothing is put down to that any more.
	for id := RequestID(1); id <= 4; id++ {
		if _, out := h.sent[id]; out {
			h.end(id, OK)
		}
	}
	h.until(h.now + 12*time.Second)
	for i := range RequestID(6) {
		h.ask(10+i, "v")
	}
	h.until(h.now + 30*time.Millisecond)
	h.end(10, OK)
	h.end(11, OK)
	for id := RequestID(10); id < 16; id++ {
		if a, out := h.sent[id]; !out || a.QueueTime.SlowStart != 0 {
			t.Fatalf("%d at the warm node: %+v", id, h.sent[id])
		}
	}
}

// Whatever stands in the way, the parts are the time that the request was queued:
// nothing twice, nothing left out.
func TestHeldPartsSum(t *testing.T) {
	h := newHeldRun(t, Config{
		Plans:     []Plan{{Weight: 1, Reserve: 1000, Price: 1, RateLimit: 80, Burst: 8, Slack: 1}},
		SlowStart: SlowStart{InitialCapacity: 0.2, WarmUp: 3 * time.Second, OverloadFactor: 2, Window: time.Second, InitialUnits: 8},
	})
	h.now = time.Minute
	h.tell(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a", Started: h.now}}})
	asked := map[RequestID]time.Duration{}
	for i := range RequestID(400) {
		id := i + 1
		asked[id] = h.now
		h.ask(id, VolumeID(rune('u'+i%3)))
		h.until(h.now + time.Duration(7+i%5)*time.Millisecond)
		for k := RequestID(1); k <= id; k++ { // the first that is old enough ends
			if _, out := h.sent[k]; out && h.at[k] <= h.now-25*time.Millisecond {
				s := OK
				if k%60 > 56 {
					s = TimedOut // three in a row make it suspect
				}
				a := h.sent[k]
				if got, want := a.QueueTime.Concurrency+a.QueueTime.RateLimit+a.QueueTime.SlowStart+a.QueueTime.Ejected, h.at[k]-asked[k]; got != want {
					t.Fatalf("%d: parts %+v sum to %v, it waited %v", k, a.QueueTime, got, want)
				}
				delete(h.sent, k)
				h.end(k, s)
				break
			}
		}
	}
	if len(h.at) < 30 {
		t.Fatalf("only %d sent", len(h.at))
	}
}
