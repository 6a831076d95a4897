package callerload

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"chalkstand/dispatch"
)

const ms = time.Millisecond

// These constants are indexes into Config.Classes of testConfig.
const (
	patientClass = iota
	hastyClass
)

// testConfig returns the settings of the dispatcher under test.
func testConfig() dispatch.Config {
	cfg := dispatch.Config{
		DispatcherCount: 1,
		CancelAttempts:  true,
		MaxRetryAfter:   2 * time.Second,
		MaxAttempts:     3,
		RoundTrip:       5 * ms,
		MeanUnits:       1,
		MaxUnits:        8,
		RetryBudget:     dispatch.RetryBudget{MinRetries: 3, Ratio: 0.1, Window: 5 * time.Second},
		Classes: []dispatch.Class{
			{Name: "patient", LatencyObjective: 500 * ms, Deadline: 4 * time.Second},
			{Name: "hasty", LatencyObjective: 300 * ms, Deadline: 1500 * ms},
		},
		Plans: []dispatch.Plan{{Name: "p", Reserve: 5, Weight: 1}},
	}
	for i := range cfg.Classes {
		setIfPresent(&cfg.Classes[i], "PriorityWeight", 1)
	}
	for i := range cfg.Plans {
		setIfPresent(&cfg.Plans[i], "Price", 1)
	}
	return cfg
}

// setIfPresent sets a field that only earlier builds have, so that the test runs with them, too.
func setIfPresent(object any, field string, value float64) {
	if f := reflect.ValueOf(object).Elem().FieldByName(field); f.IsValid() {
		f.SetFloat(value)
	}
}

// mixedKinds are callers of one class with different amounts of time.
var mixedKinds = []Kind{
	{Name: "one long try", Tries: 1, Timeout: 1500 * ms, Class: hastyClass},
	{Name: "several short tries", Tries: 4, Timeout: 375 * ms, Class: hastyClass},
	{Name: "little time", Tries: 1, Timeout: 200 * ms, Class: hastyClass},
}

// classKinds are callers of two classes beside callers with little time.
var classKinds = []Kind{
	{Name: "patient, one try", Tries: 1, Timeout: 4 * time.Second, Class: patientClass},
	{Name: "hasty, one try", Tries: 1, Timeout: 1500 * ms, Class: hastyClass},
	{Name: "hasty, little time", Tries: 1, Timeout: 200 * ms, Class: hastyClass},
}

var loads = []float64{0.5, 0.8, 1, 1.5, 2, 3}

// run runs a scenario of 20 s with 8 volumes. It sets these fields of the scenario.
func run(t *testing.T, s Scenario) Result {
	t.Helper()
	s.Duration = 20 * time.Second
	s.Volumes = 8
	r, err := Run(testConfig(), s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestReport prints the results of all scenarios, for a comparison of builds by compare.sh.
func TestReport(t *testing.T) {
	for _, setting := range []Scenario{
		{Kinds: mixedKinds, SlowNode: 1, Dispatchers: 1},
		{Kinds: mixedKinds, SlowNode: 4, Dispatchers: 1},
		{Kinds: mixedKinds, SlowNode: 1, Dispatchers: 40},
		{Kinds: classKinds, SlowNode: 1, Dispatchers: 1},
		{Kinds: classKinds, SlowNode: 4, Dispatchers: 1},
	} {
		var report strings.Builder
		fmt.Fprintf(&report, "\ndispatchers %d, first node %g times as slow\n%-5s %7s %6s",
			setting.Dispatchers, setting.SlowNode, "load", "goodput", "wasted")
		for _, k := range setting.Kinds {
			fmt.Fprintf(&report, " | %s: served, median, tries", k.Name)
		}
		for _, load := range loads {
			setting.Load = load
			setting.Seed = 1
			r := run(t, setting)
			fmt.Fprintf(&report, "\n%-5g %7.2f %5.1f%%", load, r.Goodput, 100*r.WastedWork)
			for _, k := range r.Kinds {
				fmt.Fprintf(&report, " | %5.1f%% %4d ms %.2f",
					100*k.ServedShare(), k.Median.Milliseconds(), float64(k.Requests)/float64(k.Callers))
			}
		}
		t.Log(report.String())
	}
}

// fleets are the numbers of dispatchers with which the nodes are shared.
var fleets = []int{1, 5, 12, 40, 120}

// Below capacity, callers are served whatever time they have.
func TestEveryCallerIsServedBelowCapacity(t *testing.T) {
	for _, dispatchers := range fleets {
		for _, kinds := range [][]Kind{mixedKinds, classKinds} {
			r := run(t, Scenario{Kinds: kinds, Load: 0.5, SlowNode: 1, Dispatchers: dispatchers, Seed: 1})
			for _, k := range r.Kinds {
				if k.ServedShare() < 0.99 {
					t.Errorf("%d dispatchers, half of the capacity, %s: served %.3f, want at least 0.99", dispatchers, k.Name, k.ServedShare())
				}
			}
		}
	}
}

// Overload does not collapse: callers that are served in time keep at least half of the nodes busy. Every
// request gets one final answer in time.
func TestOverloadDoesNotCollapse(t *testing.T) {
	for _, dispatchers := range fleets {
		for _, slowNode := range []float64{1, 4} {
			for _, load := range []float64{1, 1.5, 3} {
				s := Scenario{Load: load, SlowNode: slowNode, Dispatchers: dispatchers, Seed: 2}
				s.Kinds = mixedKinds
				checkOverload(t, s)
				s.Kinds = mixedKinds[:1]
				checkOverload(t, s)
			}
		}
	}
}

// checkOverload checks the goodput and the final answers of a scenario.
func checkOverload(t *testing.T, s Scenario) {
	t.Helper()
	r := run(t, s)
	name := fmt.Sprintf("%d dispatchers, slow node x%g, load %g, %d kinds", s.Dispatchers, s.SlowNode, s.Load, len(s.Kinds))
	if r.Goodput < 0.5 {
		t.Errorf("%s: goodput %.2f, want at least 0.5", name, r.Goodput)
	}
	if r.DoubleAnswers > 0 || r.LateAnswers > 0 {
		t.Errorf("%s: %d double and %d late answers, want none", name, r.DoubleAnswers, r.LateAnswers)
	}
}

// alike is the largest difference of two served shares that counts as equal treatment.
const alike = 0.1

// In overload, a caller whose class has a long deadline has no better chances than one whose class has a short
// one, if both have enough time.
func TestLongDeadlinesGetNoMoreThanShortOnes(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2, 3} {
		r := run(t, Scenario{Kinds: classKinds[:2], Load: load, SlowNode: 1, Dispatchers: 1, Seed: 3})
		patient, hasty := r.Kinds[0].ServedShare(), r.Kinds[1].ServedShare()
		if patient-hasty > alike || hasty-patient > alike {
			t.Errorf("load %g: served %.2f of the patient and %.2f of the hasty callers, want them alike", load, patient, hasty)
		}
	}
}

// tryGroup identifies tries that meet the same queue: those of one volume at one node within a second.
type tryGroup struct {
	volume int
	shard  dispatch.Shard
	second time.Duration
}

// tryCounts counts the tries of a group: the first tries of their callers at index 0, the repeats at 1.
type tryCounts struct{ made, served [2]float64 }

// repeatAdvantage returns by how much the served share of repeats exceeds that of first tries that meet the
// same queue. Callers that repeat have met overload, so the shares of all tries cannot be compared.
func repeatAdvantage(tries []Try) float64 {
	groups := map[tryGroup]*tryCounts{}
	for _, try := range tries {
		key := tryGroup{try.Volume, try.Shard, try.StartedAt / time.Second}
		if groups[key] == nil {
			groups[key] = &tryCounts{}
		}
		i := min(try.Number, 1)
		groups[key].made[i]++
		if try.Served {
			groups[key].served[i]++
		}
	}
	sum, weights := 0.0, 0.0
	for _, g := range groups {
		if weight := min(g.made[0], g.made[1]); weight > 0 {
			sum += weight * (g.served[1]/g.made[1] - g.served[0]/g.made[0])
			weights += weight
		}
	}
	return sum / weights
}

// A repeated try has the same chances as a first one with the same time.
func TestRepeatsFareLikeFirstTries(t *testing.T) {
	for _, dispatchers := range []int{1, 12} {
		for _, load := range []float64{1.5, 2, 3} {
			r := run(t, Scenario{
				Kinds: mixedKinds[1:2], Load: load, SlowNode: 1, Dispatchers: dispatchers, Seed: 4,
			})
			if a := repeatAdvantage(r.Tries); a > alike || a < -alike {
				t.Errorf("%d dispatchers, load %g: repeats served more often than first tries by %.2f, want them alike",
					dispatchers, load, a)
			}
		}
	}
}

func TestEqualScenariosGiveEqualResults(t *testing.T) {
	s := Scenario{Kinds: mixedKinds, Load: 2, SlowNode: 4, Dispatchers: 5, Seed: 5}
	if a, b := run(t, s), run(t, s); !reflect.DeepEqual(a, b) {
		t.Errorf("got %+v and %+v for one scenario, want equal results", a, b)
	}
}
