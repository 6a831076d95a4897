package fairshare

import (
	"errors"
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testConfig = Config{Window: time.Second, Flows: 64}

func newScheduler(tb testing.TB, c Config, loop int) *Scheduler[int] {
	tb.Helper()
	s, err := New[int](c, loop)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// newTwoFlows returns flow "a" with the weight weightA and flow "b" with a weight of 1.
func newTwoFlows(s *Scheduler[int], weightA float64) []*Flow[int] {
	return []*Flow[int]{
		s.Flow(0, "a", FlowConfig{Weight: weightA}, nil),
		s.Flow(0, "b", FlowConfig{Weight: 1}, nil),
	}
}

// serve performs a number of services of the same cost. It returns the total cost of each
// flow's services. It keeps each flow backlogged that is not nil.
func serve(s *Scheduler[int], flows []*Flow[int], cost time.Duration, services int) []float64 {
	served := make([]float64, len(flows))
	for i, f := range flows {
		if f != nil && f.Waiting() == 0 {
			s.Push(0, f, i)
		}
	}
	for range services {
		i, f, ok := s.Next(0)
		if !ok {
			break
		}
		served[i] += float64(cost)
		s.Push(0, f, i)
		s.Done(0, f, Cost{Work: cost})
	}
	return served
}

// The test checks the fairness bound of start-time fair queuing (Goyal, Vin and Cheng 1996,
// theorem 1). The normalized service of a flow is its service divided by its weight. While
// two flows are backlogged, their normalized services differ by at most the sum of the
// largest normalized services of one item of each flow. In the meantime, other flows become
// backlogged and idle, and change their weights.
func TestLagOfBackloggedFlowsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := New[int](testConfig, 0)
		n := rapid.IntRange(2, 6).Draw(t, "flows")
		var flows []*Flow[int]
		var largest []float64
		for i := range n {
			weight := rapid.Float64Range(0.1, 20).Draw(t, "weight")
			flows = append(flows, s.Flow(0, strconv.Itoa(i), FlowConfig{Weight: weight}, nil))
			largest = append(largest, rapid.Float64Range(10, 1e6).Draw(t, "largest"))
		}
		s.Push(0, flows[0], 0)
		s.Push(0, flows[1], 1)
		served := make([]float64, n)
		low, high := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "services") {
			if i := rapid.IntRange(0, n-1).Draw(t, "flow"); i > 1 {
				if rapid.Bool().Draw(t, "reconfigure") {
					s.Configure(0, flows[i], FlowConfig{Weight: rapid.Float64Range(0.1, 20).Draw(t, "new weight")})
				}
				s.Push(0, flows[i], i)
			}
			i, f, ok := s.Next(0)
			if !ok {
				t.Fatal("Next returned no item while two flows are backlogged")
			}
			cost := math.Floor(rapid.Float64Range(0, largest[i]).Draw(t, "cost"))
			served[i] += cost
			if i < 2 { // the first two flows stay backlogged
				s.Push(0, f, i)
			}
			s.Done(0, f, Cost{Work: time.Duration(cost)})
			lag := served[0]/flows[0].config.Weight - served[1]/flows[1].config.Weight
			low, high = min(low, lag), max(high, lag)
		}
		bound := largest[0]/flows[0].config.Weight + largest[1]/flows[1].config.Weight
		if high-low > bound*(1+1e-9) {
			t.Fatalf("lag between the two flows = %g, want at most %g", high-low, bound)
		}
	})
}

func TestSharesByWeight(t *testing.T) {
	for _, weight := range []float64{1, 4, 16} {
		s := newScheduler(t, testConfig, 0)
		served := serve(s, newTwoFlows(s, weight), time.Microsecond, 10000)
		if got := served[0] / served[1]; math.Abs(got/weight-1) > 0.01 {
			t.Errorf("weights %g to 1: got services %.3f to 1, want them by weight", weight, got)
		}
	}
}

// The share of a flow does not depend on its number of queued items, and an idle flow
// accumulates no credit.
func TestManyItemsAndIdleFlow(t *testing.T) {
	s := newScheduler(t, testConfig, 0)
	flows := newTwoFlows(s, 1)
	for range 1000 {
		s.Push(0, flows[1], 1)
	}
	serve(s, []*Flow[int]{nil, flows[1]}, time.Microsecond, 5000) // flow a is idle
	served := serve(s, flows, time.Microsecond, 100)
	if served[0] < 49e3 || served[0] > 51e3 {
		t.Errorf("flow with 1 item beside one with 1000 got %v of 100 services, want 50", served[0]/1e3)
	}
	// An item of a new flow is served soon, although other flows have many items.
	c := s.Flow(0, "c", FlowConfig{Weight: 1}, nil)
	s.Push(0, c, 7)
	services := 0
	for i := -1; i != 7; services++ {
		var f *Flow[int]
		i, f, _ = s.Next(0)
		if i != 7 {
			s.Push(0, f, i)
		}
		s.Done(0, f, Cost{Work: time.Microsecond})
	}
	if services > 3 {
		t.Errorf("new flow waited for %d services, want at most 2", services-1)
	}
}

// A changed weight applies to later services. Earlier services count by the old weight.
func TestWeightChange(t *testing.T) {
	s := newScheduler(t, testConfig, 0)
	flows := newTwoFlows(s, 1)
	serve(s, flows, ms, 101)
	s.Configure(0, flows[0], FlowConfig{Weight: 9})
	served := serve(s, flows, ms, 100)
	if served[0] < 88e6 || served[0] > 92e6 {
		t.Errorf("got %v of 100 services after the weight rose to nine tenths, want 90", served[0]/1e6)
	}
	s.Configure(0, flows[0], FlowConfig{Weight: 1})
	if served = serve(s, flows, ms, 100); served[0] < 48e6 || served[0] > 52e6 {
		t.Errorf("got %v of 100 services after the weight fell to half, want 50", served[0]/1e6)
	}
}

// The debt of a flow is the distance of its tag ahead of virtual time. When the weight of a
// flow changes, Configure scales its debt to the new weight.
func TestDebtIsScaledWithTheWeight(t *testing.T) {
	s := newScheduler(t, testConfig, 0)
	flows := newTwoFlows(s, 1)
	s.Push(0, flows[0], 0)
	s.Push(0, flows[1], 1)
	_, f, _ := s.Next(0)
	s.Push(0, f, 0)
	s.Done(0, f, Cost{Work: 100 * ms})
	s.Configure(0, flows[0], FlowConfig{Weight: 10})
	services := 0
	for i, f, _ := s.Next(0); i != 0; i, f, _ = s.Next(0) {
		s.Push(0, f, i)
		s.Done(0, f, Cost{Work: ms})
		services++
	}
	if services < 9 || services > 12 {
		t.Errorf("other flow got %d ms of service first, want 10 (100 ms at ten times the weight)", services)
	}
}

// Config.Window limits the debt that a single long service causes.
func TestWindowBoundsTheDebt(t *testing.T) {
	c := testConfig
	c.Window = 10 * ms
	s := newScheduler(t, c, 0)
	flows := newTwoFlows(s, 1)
	s.Push(0, flows[0], 0)
	_, f, _ := s.Next(0)
	s.Push(0, f, 0)
	s.Done(0, f, Cost{Work: time.Minute})
	served := serve(s, flows, ms, 20)
	if served[0] < 4e6 || served[0] > 6e6 { // flow a waits for ten services and then gets every second one
		t.Errorf("got %v of 20 services, want 5", served[0]/1e6)
	}
}

// A flow that exceeds its rate waits while other flows are served. Its token bucket holds at
// most its burst.
func TestRateLimit(t *testing.T) {
	s := newScheduler(t, testConfig, 0)
	limited := s.Flow(0, "a", FlowConfig{Weight: 1, Rate: 1000, Burst: 500}, nil)
	other := s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	s.Push(0, limited, 0)
	s.Push(0, other, 1)
	bytes, otherServices := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		i, f, ok := s.Next(now)
		if !ok {
			t.Fatal("Next returned no item, although flow b has no rate limit")
		}
		s.Push(now, f, i)
		if i == 0 {
			bytes += 100
			s.Done(now, f, Cost{Work: 1, Bytes: 100})
		} else {
			otherServices++
			s.Done(now, f, Cost{Work: 1})
		}
	}
	if bytes < 10300 || bytes > 10700 {
		t.Errorf("got %d bytes in 10 s, want 10500 at a rate of 1000 and a burst of 500", bytes)
	}
	if otherServices < 9800 {
		t.Errorf("other flow got %d of 10000 services, want at least 9800", otherServices)
	}
	if d := s.Delay(10*time.Second, limited, 1000); d < 900*ms || d > 1200*ms {
		t.Errorf("Delay behind 1000 bytes = %v, want 900ms to 1.2s", d)
	}
	if at, ok := s.NextWake(); !ok || at < 10*time.Second || at > 10100*ms {
		t.Errorf("NextWake = %v, %v, want 10s to 10.1s and true", at, ok)
	}
	s.Configure(10*time.Second, limited, FlowConfig{Weight: 1})
	if _, ok := limited.RateLimitedUntil(); ok {
		t.Error("flow is rate-limited after its limit was removed")
	}
}

// The number of flows is limited to Config.Flows. At the limit an idle flow is evicted, and
// callers that hold the evicted flow can still push to it.
func TestFlowsAreBounded(t *testing.T) {
	c := testConfig
	c.Flows = 2
	s := newScheduler(t, c, 0)
	flows := newTwoFlows(s, 1)
	s.Push(0, flows[0], 1)
	s.Push(0, flows[1], 2)
	if f := s.Flow(0, "c", FlowConfig{Weight: 1}, nil); f.Name() != overflowFlow {
		t.Errorf("flow c beyond Config.Flows is %s, want the overflow flow", f.Name())
	}
	for range 2 {
		_, f, _ := s.Next(0)
		s.Done(0, f, Cost{})
	}
	if f := s.Flow(0, "c", FlowConfig{Weight: 1}, nil); f.Name() != "c" || len(s.flows) != 2 {
		t.Errorf("Flow returned %s among %d flows, want c among 2 after evicting an idle flow",
			f.Name(), len(s.flows))
	}
	for _, f := range flows {
		s.Push(0, f, 9)
		i, next, ok := s.Next(0)
		if !ok || i != 9 {
			t.Fatal("item that was pushed to an evicted flow is lost")
		}
		s.Done(0, next, Cost{})
	}
	if len(s.flows) != 2 || len(s.byName) != 2 {
		t.Errorf("got %d flows and %d names, want 2 of each", len(s.flows), len(s.byName))
	}
}

// When the scheduler has run out of work, all flows lose their debt from earlier service.
func TestIdleTimeClearsDebt(t *testing.T) {
	s := newScheduler(t, testConfig, 0)
	flows := newTwoFlows(s, 1)
	s.Push(0, flows[0], 0)
	_, f, _ := s.Next(0)
	s.Done(0, f, Cost{Work: 100 * ms})
	if _, _, ok := s.Next(0); ok {
		t.Fatal("Next of an empty scheduler returned an item")
	}
	served := serve(s, flows, ms, 20)
	if served[0] < 9e6 {
		t.Errorf("got %v of 20 services after idle time, want 10", served[0]/1e6)
	}
}

// If a flow was evicted and another flow with the same name was created, an item that is
// pushed to the evicted flow goes to the other one.
func TestEvictedFlowIsReplaced(t *testing.T) {
	c := testConfig
	c.Flows = 1
	s := newScheduler(t, c, 0)
	evicted := s.Flow(0, "a", FlowConfig{Weight: 1}, nil)
	s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	recreated := s.Flow(0, "a", FlowConfig{Weight: 1}, nil)
	if evicted == recreated {
		t.Fatal("flow a was not evicted")
	}
	s.Push(0, evicted, 1)
	s.Push(0, recreated, 2)
	if recreated.Waiting() != 2 {
		t.Errorf("recreated flow has %d items, want 2", recreated.Waiting())
	}
}

func TestInvalidConfig(t *testing.T) {
	for _, test := range []struct {
		field string
		cfg   Config
	}{
		{"Window", Config{}},
		{"Flows", Config{Window: time.Second}},
		{"Window", Config{Window: 1, Flows: 1}},
		{"ByteTime", Config{Window: time.Second, Flows: 1, ByteTime: -1}},
		{"ByteTime", Config{Window: time.Second, Flows: 1, ByteTime: math.NaN()}},
		{"InProgressWeight", Config{Window: time.Second, Flows: 1, InProgressWeight: -1}},
	} {
		_, err := New[int](test.cfg, 0)
		var configErr *ConfigError
		if !errors.As(err, &configErr) || configErr.Field != test.field {
			t.Errorf("New(%+v) = error %v, want a ConfigError of %s", test.cfg, err, test.field)
		}
	}
}

// Within a flow, items in progress and new items share the service by InProgressWeight.
// Neither class starves, and an idle class accumulates no credit.
func TestInProgressWeight(t *testing.T) {
	s := newScheduler(t, Config{Window: time.Second, Flows: 4, InProgressWeight: 4}, 0)
	f := s.Flow(0, "a", FlowConfig{Weight: 1}, nil)
	for range 100 {
		s.PushNew(0, f, notStarted)
	}
	serveClasses := func(n int) (served [itemClasses]int) {
		for range n {
			class, f, _ := s.Next(0)
			served[class]++
			if class == inProgress {
				s.Push(0, f, inProgress)
			} else {
				s.PushNew(0, f, notStarted)
			}
			s.Done(0, f, Cost{Work: time.Microsecond})
		}
		return served
	}
	if served := serveClasses(50); served[notStarted] != 50 { // only new items are queued
		t.Errorf("services by class without items in progress = %v, want 0 and 50", served)
	}
	s.Push(0, f, inProgress)
	if served := serveClasses(500); served[inProgress] < 398 || served[inProgress] > 402 {
		t.Errorf("services by class = %v, want 400 and 100", served)
	}
}
