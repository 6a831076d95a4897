package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// heldRequest is a request that has been sent and has not arrived at its node.
type heldRequest struct {
	dispatcher int
	id         RequestID
	units      float64
}

// arrivalFixture simulates dispatchers of one volume whose requests are held back by a partition. It counts the rate
// limit where the requests arrive.
type arrivalFixture struct {
	t           *testing.T
	cfg         Config
	now         time.Duration
	dispatchers []*Dispatcher
	held        []heldRequest
	arrived     int
	level       float64 // units in the bucket at the nodes
	levelAt     time.Duration
	nextID      RequestID
	rng         *rand.Rand
}

const arrivalShards = 40

func newArrivalFixture(t *testing.T, dispatchers int, seed uint64) *arrivalFixture {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[idempotentClass].LatencyObjective = time.Hour
	cfg.Classes[idempotentClass].Deadline = time.Hour
	f := &arrivalFixture{t: t, cfg: cfg, now: time.Hour, rng: rand.New(rand.NewPCG(seed, 3))}
	list := make([]Node, arrivalShards)
	for i := range list {
		list[i] = Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)}
	}
	for i := range dispatchers {
		cfg.DispatcherIndex = i
		d, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		f.dispatchers = append(f.dispatchers, d)
		f.handle(i, EndpointUpdate{Kind: Cached, Nodes: list})
	}
	f.now += 20 * time.Second // the shares of the token buckets are full
	f.levelAt = f.now
	return f
}

// handle passes an event to a dispatcher and holds back the requests that it sends.
func (f *arrivalFixture) handle(dispatcher int, e Event) {
	for _, a := range f.dispatchers[dispatcher].Handle(f.now, e) {
		if a, ok := a.(SendAttempt); ok {
			units := f.dispatchers[dispatcher].requests[a.ID].Units
			f.held = append(f.held, heldRequest{dispatcher, a.ID, units})
		}
	}
}

// step advances the time and lets a client send a request through a random dispatcher.
func (f *arrivalFixture) step() {
	f.now += 50 * ms
	for i := range f.dispatchers {
		f.handle(i, TimerFired{"wake"})
	}
	f.nextID++
	f.handle(f.rng.IntN(len(f.dispatchers)), Request{
		ID:          f.nextID,
		Plan:        limitedPlan,
		Volume:      "v",
		Shard:       Shard(f.rng.IntN(arrivalShards)),
		Units:       float64(1 + f.rng.IntN(4)),
		Dispatchers: len(f.dispatchers),
		Timeout:     time.Hour,
	})
}

// release lets all held requests arrive and be answered at once.
func (f *arrivalFixture) release() {
	f.t.Helper()
	plan := f.cfg.Plans[limitedPlan]
	held := f.held
	f.held = nil
	f.level = max(0, f.level-(f.now-f.levelAt).Seconds()*plan.RateLimit)
	f.levelAt = f.now
	for _, r := range held {
		f.arrived++
		if f.level += r.units; f.level > plan.Burst+plan.Slack {
			f.t.Fatalf("at %v the nodes have received %.1f units beyond what the limit has earned, want at most %.1f",
				f.now, f.level, plan.Burst+plan.Slack)
		}
	}
	for _, r := range held {
		f.handle(r.dispatcher, AttemptCompleted{ID: r.id, Result: OK, Responded: true, Latency: ms})
	}
}

// TestRateLimitHoldsWhereRequestsArrive guards against a volume that exceeds its rate limit when a partition ends: the
// limit must hold where requests arrive, in sum over all dispatchers, however long they were held back.
func TestRateLimitHoldsWhereRequestsArrive(t *testing.T) {
	for seed := range uint64(20) {
		f := newArrivalFixture(t, 2, seed)
		for range 20 { // partitions of 0 to 5 s, each followed by a time without one
			for range f.rng.IntN(100) {
				f.step()
			}
			f.release()
			for range f.rng.IntN(20) {
				f.step()
				f.release()
			}
		}
		if f.arrived < 100 {
			t.Errorf("seed %d: got %d requests, want enough to test the limit", seed, f.arrived)
		}
	}
}
