package dispatch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// These tests speak of callers: the time that each has left, what others have said before, and whether
// a caller asks for the first time or again.

// callerTimeouts are times that callers may have left.
var callerTimeouts = []time.Duration{ms, 5 * ms, 30 * ms, 100 * ms, 250 * ms, 900 * ms, time.Second, time.Hour}

// learnServiceTime lets n0 serve a few requests, one after another, with the given latency.
func learnServiceTime(r *fixture, latency time.Duration) {
	for range 8 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "earlier"})
		r.now += latency
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: latency})
	}
}

// An idle node serves a caller with any time left, whatever time others have had.
func TestIdleNodeServesAnyTimeLeft(t *testing.T) {
	for _, said := range callerTimeouts {
		for _, left := range callerTimeouts {
			r := newFixture(t, testConfig())
			learnServiceTime(r, 40*ms)
			id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: said})
			r.now += ms / 2
			r.complete(id, 0, OK)
			id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: left})
			expectOutcome(t, fmt.Sprintf("caller with %v left after one that said %v", left, said), acts, id, sent)
		}
	}
}

// A node that had a standing queue counts as idle again after a quiet time, also among many dispatchers,
// each of which must not probe it often.
func TestStandingQueueIsForgotten(t *testing.T) {
	for _, dispatchers := range []int{2, 100} {
		r := standingQueueFixture(t)
		r.d.cfg.DispatcherCount = dispatchers
		n := r.d.nodes["n0"]
		n.inFlight = 0
		r.advance(time.Minute)
		n.lastSentAt = r.now // no probe is due
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: 5 * ms})
		expectOutcome(t, fmt.Sprintf("%d dispatchers: caller with 5 ms left after a quiet time", dispatchers), acts, id, sent)
	}
}

// Callers that leave before a node can have answered are no evidence against the node: others are served
// as before. Attempts that outlast the node's work by far still are.
func TestCallersWithLittleTimeEjectNoNode(t *testing.T) {
	for timeout, isEvidence := range map[time.Duration]bool{5 * ms: false, 30 * ms: false, 900 * ms: true} {
		for _, learned := range []bool{true, false} {
			r := newFixture(t, testConfig())
			if learned {
				learnServiceTime(r, 40*ms)
			}
			for range ejectionThreshold {
				id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: timeout})
				r.now += timeout
				r.complete(id, 0, TimedOut)
			}
			step := fmt.Sprintf("callers that left after %v, service time known: %v", timeout, learned)
			if ejected := r.d.nodes["n0"].ejectedUntil > r.now; ejected != isEvidence {
				t.Errorf("%s: got the node ejected: %v, want %v", step, ejected, isEvidence)
			}
			id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
			if got := outcomeOf(acts, id); !isEvidence && got != sent {
				t.Errorf("%s: next caller %s, want it sent", step, got)
			}
		}
	}
}

// A node that rejects a request because its client's time is over has not failed. One that rejects a
// request with time left has.
func TestLateRejectionsEjectNoNode(t *testing.T) {
	for timeout, isEvidence := range map[time.Duration]bool{5 * ms: false, 900 * ms: true} {
		r := newFixture(t, testConfig())
		for range ejectionThreshold {
			id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass, Timeout: timeout})
			r.now += 5 * ms
			r.complete(id, 0, Rejected)
			r.handle(ClientCanceled{id})
		}
		if ejected := r.d.nodes["n0"].ejectedUntil > r.now; ejected != isEvidence {
			t.Errorf("rejections of requests with %v left after 5 ms: got the node ejected: %v, want %v", timeout, ejected, isEvidence)
		}
	}
}

// callerStep is a request of a random workload.
type callerStep struct {
	pause   time.Duration
	service time.Duration // time after which the node serves the request, if it is sent
	volume  int
	timeout time.Duration
}

// play passes the steps to a dispatcher, as callers of one node that serves one request at a time. It
// returns the actions, with their times.
func play(t *testing.T, steps []callerStep) []string {
	t.Helper()
	r := newFixture(t, testConfig())
	var log []string
	var working []RequestID // sent requests, in the order in which the node serves them
	service := map[RequestID]time.Duration{}
	var freeAt time.Duration
	note := func(acts []Action) {
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %T%+v", r.now, a, a))
			if a, ok := a.(SendAttempt); ok && a.Deadline == 0 {
				working = append(working, a.ID)
			}
		}
	}
	serveUntil := func(until time.Duration) {
		for len(working) > 0 && freeAt <= until {
			id := working[0]
			working = working[1:]
			sentAt := r.now
			if request := r.d.requests[id]; request != nil {
				sentAt = request.sentAt
			}
			done := max(freeAt, sentAt) + service[id]
			if done > until {
				working = append([]RequestID{id}, working...)
				return
			}
			freeAt = done
			r.now = max(r.now, done)
			note(r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: done - sentAt}))
		}
	}
	for _, step := range steps {
		next := r.now + step.pause
		serveUntil(next)
		r.now = next
		note(r.handle(TimerFired{wakeupToken}))
		service[r.id+1] = step.service
		_, acts := r.request(Request{
			Shard: 0, Plan: unlimitedPlan, Volume: VolumeID(fmt.Sprint("v", step.volume)), Timeout: step.timeout,
		})
		note(acts)
	}
	return log
}

// What a caller says about its time decides nothing for others: if a node serves its request at once, all
// other actions are the same for every timeout that covers the service.
func TestTimeoutOfOneCallerDecidesNothingForOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		var steps []callerStep
		for range 40 {
			steps = append(steps, callerStep{
				pause:   time.Duration(rng.IntN(40)) * ms,
				service: time.Duration(5+rng.IntN(30)) * ms,
				volume:  rng.IntN(3),
				timeout: time.Duration(50+rng.IntN(950)) * ms,
			})
		}
		// The first caller finds an idle node, whose answer it can await with each of the timeouts.
		changed := append([]callerStep(nil), steps...)
		steps[0].timeout = 100 * ms
		changed[0].timeout = time.Duration(100+rng.IntN(900)) * ms
		a, b := play(t, steps), play(t, changed)
		if !reflect.DeepEqual(a, b) {
			rt.Fatalf("timeouts %v and %v of the first caller: got actions\n%v\nand\n%v",
				steps[0].timeout, changed[0].timeout, a, b)
		}
	})
}

// A caller that asks again fares like one that asks for the first time with the same time left, at an idle
// node, in a queue and in a standing queue. The retry times are equal, too.
func TestFirstTriesAndRepeatsFareAlike(t *testing.T) {
	for _, left := range callerTimeouts {
		for _, waiting := range []int{0, 4, 6, 20} {
			var answers [2][]Action
			for i, repeats := range []bool{false, true} {
				r := newFixture(t, testConfig())
				learnServiceTime(r, 40*ms)
				// The caller's own first try, or in its place a request of another caller, has been
				// canceled.
				volume := VolumeID("other")
				if repeats {
					volume = "asking"
				}
				r.request(Request{Shard: 1, Plan: unlimitedPlan, Volume: "asking", Timeout: time.Second})
				earlier, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan, Volume: volume, Timeout: time.Second})
				r.now += 20 * ms
				r.handle(ClientCanceled{earlier})
				for range waiting {
					r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "busy", Timeout: time.Second})
				}
				_, answers[i] = r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "asking", Timeout: left})
			}
			if !reflect.DeepEqual(answers[0], answers[1]) {
				t.Errorf("%v left behind %d requests: got %v for a first try and %v for a repeat, want the same",
					left, waiting, answers[0], answers[1])
			}
		}
	}
}

// Callers that say an hour hold a silent node's places for no longer than their class's deadline.
func TestNoCallerHoldsAPlaceBeyondItsClass(t *testing.T) {
	r := newFixture(t, testConfig())
	deadline := r.d.cfg.Classes[idempotentClass].Deadline
	for range 4 {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: time.Hour})
		expectOutcome(t, "caller that says an hour", acts, id, sent)
		if end := sentDeadline(t, acts); end <= 0 || end > r.now+deadline {
			t.Errorf("deadline of its attempt: got %v after sending, want at most %v", end-r.now, deadline)
		}
	}
}

// standingQueueFixture returns a fixture with a standing queue at n0: for longer than an interval, every
// caller has met a delay of half a second there.
func standingQueueFixture(t *testing.T) *fixture {
	t.Helper()
	r := newFixture(t, testConfig())
	learnServiceTime(r, 10*ms)
	n := r.d.nodes["n0"]
	for range 15 {
		n.delay = 0.5
		n.delayUpdatedAt = r.now
		n.lastSentAt = r.now
		n.inFlight = 4 // as of requests that this dispatcher has in flight
		r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "flood", Timeout: time.Second})
		r.now += 100 * ms
	}
	return r
}

// In a standing queue every caller is refused alike, whatever time it has left, and is told to come again
// when the queue is short. Work within a reserve is admitted longer than other work.
func TestStandingQueueRefusesCallersAlike(t *testing.T) {
	var first []Action
	for _, left := range []time.Duration{700 * ms, 900 * ms, time.Second, time.Hour} {
		r := standingQueueFixture(t)
		r.d.volumes["flood"].reserve = -10
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "flood", Timeout: left})
		expectOutcome(t, fmt.Sprintf("caller with %v left", left), acts, id, rejected)
		if first == nil {
			first = acts
		}
		if !reflect.DeepEqual(acts, first) {
			t.Errorf("caller with %v left: got %v, want %v as for the others", left, acts, first)
		}
	}
	for _, c := range []struct {
		name    string
		reserve float64
		want    outcome
	}{{"within the reserve", 38, pending}, {"beyond the reserve", -10, rejected}} {
		r := standingQueueFixture(t)
		n := r.d.nodes["n0"]
		n.delay = 0.07 // between the target and twice the target
		n.delayUpdatedAt = r.now
		r.request(Request{Shard: 1, Plan: unlimitedPlan, Volume: "w"})
		r.d.volumes["w"].reserve = c.reserve
		r.d.volumes["w"].reserveUpdatedAt = r.now
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "w"})
		expectOutcome(t, c.name, acts, id, c.want)
	}
}

// The retry time of a rejection is when the same request would be admitted, not when it is convenient to
// hear of its caller again.
func TestRetryTimesAreWhatTheLimitNeeds(t *testing.T) {
	r := newFixture(t, testConfig())
	var earlier []RequestID
	for range 10 { // uses up the token bucket of the volume: 30 units a second, 48 units in it
		id, _ := r.request(Request{Shard: 0, Units: 8, Timeout: time.Second})
		earlier = append(earlier, id)
	}
	id, acts := r.request(Request{Shard: 1, Units: 8, Timeout: 100 * ms})
	expectOutcome(t, "caller with less time than the limit needs", acts, id, rejected)
	retryAfter := rejectionOf(t, acts, id).RetryAfter
	if retryAfter >= r.d.cfg.MaxRetryAfter {
		t.Fatalf("retry time: got %v, want less than the longest", retryAfter)
	}
	for _, id := range earlier { // the queued requests leave with their clients
		r.handle(ClientCanceled{id})
	}
	r.advance(retryAfter)
	id, acts = r.request(Request{Shard: 1, Units: 8, Timeout: 100 * ms})
	if got := outcomeOf(acts, id); got == rejected {
		t.Errorf("the same request after the retry time of %v: got it rejected, want it admitted", retryAfter)
	}
}

// rejectionOf returns the rejection of a request in acts.
func rejectionOf(t *testing.T, acts []Action, id RequestID) Reject {
	t.Helper()
	for _, a := range acts {
		if a, ok := a.(Reject); ok && a.ID == id {
			return a
		}
	}
	t.Fatalf("got actions %v, want a rejection of request %d", acts, id)
	return Reject{}
}
