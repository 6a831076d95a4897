package dispatch

import (
	"testing"
	"time"
)

// timedFixture is a test fixture: a dispatcher with one class of requests whose timers fire when they
// are due.
type timedFixture struct {
	d        *Dispatcher
	now      time.Duration
	wakeAt   time.Duration
	sent     map[RequestID]SendAttempt
	sentAt   map[RequestID]time.Duration
	rejected map[RequestID]QueueTime
}

// noTimer is the value of wakeAt if no timer is set. It is later than every timer.
const noTimer = 1 << 62

func newTimedFixture(t *testing.T, cfg Config) *timedFixture {
	t.Helper()
	cfg.DispatcherCount = 1
	cfg.MeanUnits = 1
	cfg.MaxUnits = 2
	cfg.MaxRetryAfter = time.Second
	cfg.Classes = []Class{{LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &timedFixture{
		d:        d,
		wakeAt:   noTimer,
		sent:     map[RequestID]SendAttempt{},
		sentAt:   map[RequestID]time.Duration{},
		rejected: map[RequestID]QueueTime{},
	}
}

func (r *timedFixture) handle(ev Event) {
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

func (r *timedFixture) advanceTo(end time.Duration) {
	for r.wakeAt <= end {
		r.now = max(r.now, r.wakeAt)
		r.wakeAt = noTimer
		r.handle(TimerFired{Token: "wake"})
	}
	r.now = end
}

func (r *timedFixture) request(id RequestID, volume VolumeID) {
	r.handle(Request{ID: id, Volume: volume, Units: 1, Dispatchers: 1, Timeout: 20 * time.Second})
}

func (r *timedFixture) complete(id RequestID, result AttemptResult) {
	r.handle(AttemptCompleted{ID: id, Attempt: 0, Node: "a", Result: result, Responded: true, Latency: 20 * ms})
}

// firstSentBefore returns the lowest ID among the requests in flight that were sent no later
// than the time at.
func (r *timedFixture) firstSentBefore(at time.Duration) (first RequestID, ok bool) {
	for id := range r.sent {
		if r.sentAt[id] <= at && (!ok || id < first) {
			first, ok = id, true
		}
	}
	return first, ok
}

var unlimitedPlans = []Plan{{Weight: 1, Reserve: 1000}}

func TestQueueTimeOfConcurrency(t *testing.T) {
	r := newTimedFixture(t, Config{Plans: unlimitedPlans})
	r.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(6) {
		r.request(i+1, "v")
	}
	if len(r.sent) != minConcurrency {
		t.Fatalf("got %d requests sent at once, want the minimum concurrency", len(r.sent))
	}
	r.advanceTo(30 * ms)
	r.complete(1, OK)
	if got := r.sent[5].QueueTime; got != (QueueTime{Concurrency: 30 * ms}) || r.sent[1].QueueTime != (QueueTime{}) {
		t.Fatalf("queue time of request 5: got %+v, want 30 ms of concurrency; request 1 must have none", got)
	}
}

func TestQueueTimeOfRateLimit(t *testing.T) {
	r := newTimedFixture(t, Config{Plans: []Plan{{Weight: 1, Reserve: 1000, RateLimit: 10, Burst: 4, Slack: 1}}})
	r.handle(EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	r.request(1, "v") // this request waits, because the token bucket starts empty
	r.advanceTo(time.Second)
	if got := r.sent[1].QueueTime; got.RateLimit != r.sentAt[1] || got.RateLimit < 90*ms || got.Concurrency != 0 {
		t.Fatalf("request sent at %v: got queue time %+v, want all of it from the rate limit and at least 90 ms", r.sentAt[1], got)
	}
}

func TestQueueTimeOfSlowStart(t *testing.T) {
	r := newTimedFixture(t, Config{Plans: unlimitedPlans, SlowStart: SlowStart{
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
			t.Fatalf("request %d: got queue time %+v, want none from rate limit and ejection", id, a.QueueTime)
		}
		slowStart += a.QueueTime.SlowStart
	}
	for _, queueTime := range r.rejected {
		slowStart += queueTime.SlowStart
	}
	if slowStart < 50*ms {
		t.Fatalf("queue time from slow start: got %v in total, want at least 50 ms; %d requests sent, %d rejected", slowStart, len(r.sent), len(r.rejected))
	}
	// Requests to a node that has warmed up must have no queue time from slow start.
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
			t.Fatalf("request %d to the warm node: got attempt %+v, want it sent without queue time from slow start", id, r.sent[id])
		}
	}
}

// TestQueueTimePartsSumToWait checks that the parts of the queue time add up to the time for
// which the request was queued, regardless of what blocked it.
func TestQueueTimePartsSumToWait(t *testing.T) {
	r := newTimedFixture(t, Config{
		Plans: []Plan{{Weight: 1, Reserve: 1000, RateLimit: 80, Burst: 8, Slack: 1}},
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
			t.Fatalf("request %d: parts of the queue time %+v: got sum %v, want %v", done, parts, sum, want)
		}
		result := OK
		if done%60 > 56 {
			result = TimedOut // three consecutive timeouts eject the node
		}
		delete(r.sent, done)
		r.complete(done, result)
	}
	if len(r.sentAt) < 30 {
		t.Fatalf("got %d requests sent, want at least 30", len(r.sentAt))
	}
}
