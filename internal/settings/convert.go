package settings

import (
	"path"
	"runtime"

	"chalkstand/costmodel"
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/objectapi"
)

// The constants are the valid values of the settings that select from a fixed list.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"

	groupAll   = "all"
	groupZone  = "zone"
	groupShard = "shard"

	stateServing  = "serving"
	stateDraining = "draining"

	orderFair    = "fair"
	orderArrival = "arrival"

	// anyOperation in the "operations" list of a rule matches every operation.
	anyOperation = "*"
)

// idempotencyOf maps each valid value of the setting classes[].effect to its idempotency.
var idempotencyOf = map[string]dispatch.Idempotency{
	effectSafe:   dispatch.Idempotent,
	effectKeyed:  dispatch.Deduplicated,
	effectUnsafe: dispatch.NonIdempotent,
}

// dedupScopeOf maps each valid value of the setting classes[].group to its deduplication
// scope.
var dedupScopeOf = map[string]dispatch.DedupScope{
	"":         dispatch.DedupEverywhere,
	groupAll:   dispatch.DedupEverywhere,
	groupZone:  dispatch.DedupPerZone,
	groupShard: dispatch.DedupPerShard,
}

// LoopCount returns the number of event loops. If the setting "loops" is 0, the gateway runs
// one loop per core.
func (s *Settings) LoopCount() int {
	if s.Loops > 0 {
		return s.Loops
	}
	return runtime.GOMAXPROCS(0)
}

// maxVolumes is the largest number of volumes whose records a dispatcher keeps.
const maxVolumes = 1 << 14

// DispatchConfig returns the dispatcher's configuration.
func (s *Settings) DispatchConfig() dispatch.Config {
	r := s.Rules
	c := dispatch.Config{
		DispatcherIndex: s.DispatcherIndex,
		DispatcherCount: s.DispatcherCount,
		CancelAttempts:  true,
		MaxRetryAfter:   r.MaxRetryAfter.D(),
		MaxAttempts:     r.MaxAttempts,
		RoundTrip:       r.RoundTrip.D(),
		MeanUnits:       r.MeanUnits,
		MaxUnits:        r.MaxUnits,
		MaxVolumes:      maxVolumes,
		Quiescence:      r.Quiescence.D(),
		RetryBudget:     r.RetryBudget.retryBudget(),
		SlowStart:       r.SlowStart.slowStart(),
	}
	for _, class := range s.Classes {
		c.Classes = append(c.Classes, class.dispatchClass())
	}
	for _, plan := range s.Plans {
		c.Plans = append(c.Plans, plan.dispatchPlan())
	}
	return c
}

func (b RetryBudget) retryBudget() dispatch.RetryBudget {
	return dispatch.RetryBudget{
		MinRetries: b.MinRetries,
		Ratio:      b.Ratio,
		Window:     b.Window.D(),
	}
}

func (c SlowStart) slowStart() dispatch.SlowStart {
	return dispatch.SlowStart{
		InitialCapacity: c.InitialCapacity,
		WarmUp:          c.WarmUp.D(),
		OverloadFactor:  c.OverloadFactor,
		Window:          c.Window.D(),
		InitialUnits:    c.InitialUnits,
	}
}

func (c Class) dispatchClass() dispatch.Class {
	return dispatch.Class{
		Name:             c.Name,
		LatencyObjective: c.LatencyObjective.D(),
		Deadline:         c.Deadline.D(),
		Idempotency:      idempotencyOf[c.Idempotency],
		DedupScope:       dedupScopeOf[c.DedupScope],
		DedupWindow:      c.DedupWindow.D(),
		Ordered:          c.Ordered,
	}
}

func (p Plan) dispatchPlan() dispatch.Plan {
	return dispatch.Plan{
		Name:      p.Name,
		Reserve:   p.Reserve,
		Weight:    p.Weight,
		RateLimit: p.RateLimit,
		Burst:     p.Burst,
		Slack:     p.Slack,
	}
}

// CostModel returns the cost model that the "operations" list defines. It returns an error if
// an operation has a body size to which no rule applies.
func (s *Settings) CostModel() (*costmodel.Model[objectapi.Kind], error) {
	var rules []costmodel.Rule[objectapi.Kind]
	for _, o := range s.Operations {
		rules = append(rules, costmodel.Rule[objectapi.Kind]{
			Operations:   o.kinds(),
			MaxBytes:     o.MaxBytes,
			Class:        s.classIndex(o.Class),
			Units:        o.Units,
			PerMiB:       o.PerMiB,
			AssumedBytes: o.AssumedBytes,
		})
	}
	return costmodel.New(rules, objectapi.NumKinds(), len(s.Classes), s.Rules.MaxUnits)
}

// kinds returns the kinds of the operations that the rule applies to. Unknown names are
// ignored.
func (o Operation) kinds() []objectapi.Kind {
	var kinds []objectapi.Kind
	for _, name := range o.Operations {
		if name == anyOperation {
			for k := range objectapi.NumKinds() {
				kinds = append(kinds, objectapi.Kind(k))
			}
		} else if k, ok := objectapi.ParseKind(name); ok {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// BucketRule returns the index of the first bucket rule whose pattern matches the name of a
// bucket, or -1 if no pattern matches.
func (s *Settings) BucketRule(bucket string) int {
	for i, b := range s.Buckets {
		if ok, _ := path.Match(b.Pattern, bucket); ok {
			return i
		}
	}
	return -1
}

// PlanIndex returns the index of the plan that a bucket rule assigns.
func (s *Settings) PlanIndex(rule int) int { return s.planNamed(s.Buckets[rule].Plan) }

// Dispatchers returns the number of gateways that receive the requests for a volume under a
// bucket rule.
func (s *Settings) Dispatchers(rule int) int {
	if n := s.Buckets[rule].Dispatchers; n > 0 {
		return n
	}
	return s.DispatcherCount
}

// FlowConfig returns the weight and the rate limit of a volume under a bucket rule. The rate
// is in bytes per second. The volume's rate limit is divided equally among the gateways that
// serve the volume, so the returned limit is the part of this gateway.
func (s *Settings) FlowConfig(rule int) fairshare.FlowConfig {
	p := s.Plans[s.PlanIndex(rule)]
	burst := p.MiBBurst
	if burst == 0 {
		burst = p.MiBPerSecond
	}
	gateways := float64(max(s.Dispatchers(rule), 1))
	return fairshare.FlowConfig{
		Weight: p.Weight,
		Rate:   p.MiBPerSecond * mib / gateways,
		Burst:  burst * mib / gateways,
	}
}

// planNamed returns the index of the plan with a name, or -1 if there is no such plan.
func (s *Settings) planNamed(name string) int {
	for i, p := range s.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// classIndex returns the index of the class with a name, or -1 if there is no such class.
func (s *Settings) classIndex(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}
