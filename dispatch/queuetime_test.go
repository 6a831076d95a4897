package dispatch

import (
	"testing"
	"time"
)

// timedRig feeds a dispatcher and moves time from timer to timer.
type timedRig struct {
	t        *testing.T
	d        *Dispatcher
	now      time.Duration
	wakeAt   time.Duration
	sent     map[RequestID]SendAttempt
	sentAt   map[RequestID]time.Duration
	rejected map[RequestID]QueueTime // refused
}

func newTimedRig(t *testing.T, cfg Config) *timedRig {
	cfg.DispatcherCount, cfg.MeanUnits, cfg.MaxUnits, cfg.MaxRetryAfter = 1, 1, 2, time.Second
	cfg.Classes = []Class{{LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &timedRig{t: t, d: d, wakeAt: 1 << 62, sent: map[RequestID]SendAttempt{}, sentAt: map[RequestID]time.Duration{}, rejected: map[RequestID]QueueTime{}}
	return h
}

func (h *timedRig) handle(ev Event) {
	for _, a := range h.d.Handle(h.now, ev) {
		switch a := a.(type) {
		case SendAttempt:
			h.sent[a.ID], h.sentAt[a.ID] = a, h.now
		case Reject:
			h.rejected[a.ID] = a.QueueTime
		case SetTimer:
			h.wakeAt = min(h.wakeAt, a.At)
		}
	}
}

func (h *timedRig) advanceTo(end time.Duration) {
	for h.wakeAt <= end {
		h.now, h.wakeAt = max(h.now, h.wakeAt), 1<<62
		h.handle(TimerFired{Token: "wake"})
	}
	h.now = end
}

func (h *timedRig) request(id RequestID, vol VolumeID) {
	h.handle(Request{ID: id, Volume: vol, Units: 1, Dispatchers: 1, Timeout: 20 * time.Second})
}

func (h *timedRig) complete(id RequestID, s AttemptResult) {
	h.handle(AttemptCompleted{ID: id, Attempt: 0, Node: "a", Result: s, Responded: true, Latency: 20 * time.Millisecond})
}

var unlimitedPlans = []Plan{{Weight: 1, Reserve: 1000, Price: 1}}

func TestQueueTimeOfConcurrency(t *testing.T) {
	h := newTimedRig(t, Config{Plans: unlimitedPlans})
	h.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(6) {
		h.request(i+1, "v")
	}
	if len(h.sent) != minConcurrency {
		t.Fatalf("%d sent", len(h.sent))
	}
	h.advanceTo(30 * time.Millisecond)
	h.complete(1, OK)
	if got := h.sent[5].QueueTime; got != (QueueTime{Concurrency: 30 * time.Millisecond}) || h.sent[1].QueueTime != (QueueTime{}) {
		t.Fatalf("%+v", got)
	}
}

func TestQueueTimeOfRateLimit(t *testing.T) {
	h := newTimedRig(t, Config{Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1, RateLimit: 10, Burst: 4, Slack: 1}}})
	h.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	h.request(1, "v") // the limit's store starts empty
	h.advanceTo(time.Second)
	if got := h.sent[1].QueueTime; got.RateLimit != h.sentAt[1] || got.RateLimit < 90*time.Millisecond || got.Concurrency != 0 {
		t.Fatalf("sent at %v, %+v", h.sentAt[1], got)
	}
}

func TestQueueTimeOfSlowStart(t *testing.T) {
	h := newTimedRig(t, Config{Plans: unlimitedPlans, SlowStart: SlowStart{InitialCapacity: 0.2, WarmUp: 10 * time.Second, OverloadFactor: 2, Window: time.Second, InitialUnits: 2}})
	h.now = time.Minute
	h.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a", Started: h.now}}})
	for i := range RequestID(4) {
		h.request(i+1, "v")
		h.advanceTo(h.now + 10*time.Millisecond)
	}
	h.advanceTo(h.now + 9*time.Second)
	cold := time.Duration(0)
	for id, a := range h.sent {
		if a.QueueTime.RateLimit != 0 || a.QueueTime.Ejected != 0 {
			t.Fatalf("%d: %+v", id, a.QueueTime)
		}
		cold += a.QueueTime.SlowStart
	}
	for _, g := range h.rejected {
		cold += g.SlowStart
	}
	if cold < 50*time.Millisecond {
		t.Fatalf("%v put down to the cold node; sent %d, refused %d", cold, len(h.sent), len(h.rejected))
	}
	// Once it is warm nothing is put down to that any more.
	for id := RequestID(1); id <= 4; id++ {
		if _, out := h.sent[id]; out {
			h.complete(id, OK)
		}
	}
	h.advanceTo(h.now + 12*time.Second)
	for i := range RequestID(6) {
		h.request(10+i, "v")
	}
	h.advanceTo(h.now + 30*time.Millisecond)
	h.complete(10, OK)
	h.complete(11, OK)
	for id := RequestID(10); id < 16; id++ {
		if a, out := h.sent[id]; !out || a.QueueTime.SlowStart != 0 {
			t.Fatalf("%d at the warm node: %+v", id, h.sent[id])
		}
	}
}

// Whatever stands in the way, the parts are the time that the request was queued:
// nothing twice, nothing left out.
func TestQueueTimePartsSumToWait(t *testing.T) {
	h := newTimedRig(t, Config{
		Plans:     []Plan{{Weight: 1, Reserve: 1000, Price: 1, RateLimit: 80, Burst: 8, Slack: 1}},
		SlowStart: SlowStart{InitialCapacity: 0.2, WarmUp: 3 * time.Second, OverloadFactor: 2, Window: time.Second, InitialUnits: 8},
	})
	h.now = time.Minute
	h.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a", Started: h.now}}})
	asked := map[RequestID]time.Duration{}
	for i := range RequestID(400) {
		id := i + 1
		asked[id] = h.now
		h.request(id, VolumeID(rune('u'+i%3)))
		h.advanceTo(h.now + time.Duration(7+i%5)*time.Millisecond)
		for k := RequestID(1); k <= id; k++ { // the first that is old enough ends
			if _, out := h.sent[k]; out && h.sentAt[k] <= h.now-25*time.Millisecond {
				s := OK
				if k%60 > 56 {
					s = TimedOut // three in a row make it suspect
				}
				a := h.sent[k]
				if got, want := a.QueueTime.Concurrency+a.QueueTime.RateLimit+a.QueueTime.SlowStart+a.QueueTime.Ejected, h.sentAt[k]-asked[k]; got != want {
					t.Fatalf("%d: parts %+v sum to %v, it waited %v", k, a.QueueTime, got, want)
				}
				delete(h.sent, k)
				h.complete(k, s)
				break
			}
		}
	}
	if len(h.sentAt) < 30 {
		t.Fatalf("only %d sent", len(h.sentAt))
	}
}
