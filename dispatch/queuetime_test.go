package dispatch

import (
	"testing"
	"time"
)

// timedRig runs a dispatcher with one class and fires its timers when they are due.
type timedRig struct {
	d        *Dispatcher
	now      time.Duration
	wakeAt   time.Duration
	sent     map[RequestID]SendAttempt
	sentAt   map[RequestID]time.Duration
	rejected map[RequestID]QueueTime
}

// noTimer is later than every timer.
const noTimer = 1 << 62

func newTimedRig(t *testing.T, cfg Config) *timedRig {
	t.Helper()
	cfg.DispatcherCount = 1
	cfg.MeanUnits = 1
	cfg.MaxUnits = 2
	cfg.MaxRetryAfter = time.Second
	cfg.Classes = []Class{{LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &timedRig{
		d:        d,
		wakeAt:   noTimer,
		sent:     map[RequestID]SendAttempt{},
		sentAt:   map[RequestID]time.Duration{},
		rejected: map[RequestID]QueueTime{},
	}
}

func (r *timedRig) handle(ev Event) {
	for _, a := range r.d.Handle(r.now, ev) {
		switch a := a.(type) {
		case SendAttempt:
			r.sent[a.ID] = a
			r.sentAt[a.ID] = r.now
		case Reject:
			r.rejected[a.ID] = a.QueueTime
		case SetTimer:
			r.wakeAt = min(r.wakeAt, a.At)
		}
	}
}

func (r *timedRig) advanceTo(end time.Duration) {
	for r.wakeAt <= end {
		r.now = max(r.now, r.wakeAt)
		r.wakeAt = noTimer
		r.handle(TimerFired{Token: "wake"})
	}
	r.now = end
}

func (r *timedRig) request(id RequestID, volume VolumeID) {
	r.handle(Request{ID: id, Volume: volume, Units: 1, Dispatchers: 1, Timeout: 20 * time.Second})
}

func (r *timedRig) complete(id RequestID, result AttemptResult) {
	r.handle(AttemptCompleted{ID: id, Attempt: 0, Node: "a", Result: result, Responded: true, Latency: 20 * ms})
}

// firstSentBefore returns the request with the lowest ID among those in flight that were sent by
// a time.
func (r *timedRig) firstSentBefore(at time.Duration) (first RequestID, ok bool) {
	for id := range r.sent {
		if r.sentAt[id] <= at && (!ok || id < first) {
			first, ok = id, true
		}
	}
	return first, ok
}

var unlimitedPlans = []Plan{{Weight: 1, Reserve: 1000, Price: 1}}

func TestQueueTimeOfConcurrency(t *testing.T) {
	r := newTimedRig(t, Config{Plans: unlimitedPlans})
	r.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(6) {
		r.request(i+1, "v")
	}
	if len(r.sent) != minConcurrency {
		t.Fatalf("%d sent", len(r.sent))
	}
	r.advanceTo(30 * ms)
	r.complete(1, OK)
	if got := r.sent[5].QueueTime; got != (QueueTime{Concurrency: 30 * ms}) || r.sent[1].QueueTime != (QueueTime{}) {
		t.Fatalf("%+v", got)
	}
}

func TestQueueTimeOfRateLimit(t *testing.T) {
	r := newTimedRig(t, Config{Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1, RateLimit: 10, Burst: 4, Slack: 1}}})
	r.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	r.request(1, "v") // the bucket starts empty
	r.advanceTo(time.Second)
	if got := r.sent[1].QueueTime; got.RateLimit != r.sentAt[1] || got.RateLimit < 90*ms || got.Concurrency != 0 {
		t.Fatalf("sent at %v, %+v", r.sentAt[1], got)
	}
}

func TestQueueTimeOfSlowStart(t *testing.T) {
	r := newTimedRig(t, Config{Plans: unlimitedPlans, SlowStart: SlowStart{
		InitialCapacity: 0.2,
		WarmUp:          10 * time.Second,
		OverloadFactor:  2,
		Window:          time.Second,
		InitialUnits:    2,
	}})
	r.now = time.Minute
	r.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a", Started: r.now}}})
	for i := range RequestID(4) {
		r.request(i+1, "v")
		r.advanceTo(r.now + 10*ms)
	}
	r.advanceTo(r.now + 9*time.Second)
	slowStart := time.Duration(0)
	for id, a := range r.sent {
		if a.QueueTime.RateLimit != 0 || a.QueueTime.Ejected != 0 {
			t.Fatalf("%d: %+v", id, a.QueueTime)
		}
		slowStart += a.QueueTime.SlowStart
	}
	for _, queueTime := range r.rejected {
		slowStart += queueTime.SlowStart
	}
	if slowStart < 50*ms {
		t.Fatalf("%v of slow start; sent %d, rejected %d", slowStart, len(r.sent), len(r.rejected))
	}
	// A warm node adds none.
	for id := RequestID(1); id <= 4; id++ {
		if _, ok := r.sent[id]; ok {
			r.complete(id, OK)
		}
	}
	r.advanceTo(r.now + 12*time.Second)
	for i := range RequestID(6) {
		r.request(10+i, "v")
	}
	r.advanceTo(r.now + 30*ms)
	r.complete(10, OK)
	r.complete(11, OK)
	for id := RequestID(10); id < 16; id++ {
		if a, ok := r.sent[id]; !ok || a.QueueTime.SlowStart != 0 {
			t.Fatalf("%d at the warm node: %+v", id, r.sent[id])
		}
	}
}

// Whatever blocks a request, the parts of its queue time sum to the time that it was queued.
func TestQueueTimePartsSumToWait(t *testing.T) {
	r := newTimedRig(t, Config{
		Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1, RateLimit: 80, Burst: 8, Slack: 1}},
		SlowStart: SlowStart{
			InitialCapacity: 0.2,
			WarmUp:          3 * time.Second,
			OverloadFactor:  2,
			Window:          time.Second,
			InitialUnits:    8,
		},
	})
	r.now = time.Minute
	r.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a", Started: r.now}}})
	arrivedAt := map[RequestID]time.Duration{}
	for i := range RequestID(400) {
		id := i + 1
		arrivedAt[id] = r.now
		r.request(id, VolumeID(rune('u'+i%3)))
		r.advanceTo(r.now + time.Duration(7+i%5)*ms)
		done, ok := r.firstSentBefore(r.now - 25*ms)
		if !ok {
			continue
		}
		parts := r.sent[done].QueueTime
		sum := parts.Concurrency + parts.RateLimit + parts.SlowStart + parts.Ejected
		if want := r.sentAt[done] - arrivedAt[done]; sum != want {
			t.Fatalf("%d: parts %+v sum to %v, it waited %v", done, parts, sum, want)
		}
		result := OK
		if done%60 > 56 {
			result = TimedOut // three in a row eject the node
		}
		delete(r.sent, done)
		r.complete(done, result)
	}
	if len(r.sentAt) < 30 {
		t.Fatalf("only %d sent", len(r.sentAt))
	}
}
