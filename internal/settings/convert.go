package settings

import (
	"path"
	"runtime"

	"chalkstand/costmodel"
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/objectapi"
)

// Values of enumerated settings.
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

	// anyOperation stands for all operations in the "operations" list.
	anyOperation = "*"
)

// idempotencyOf maps the values of classes[].effect.
var idempotencyOf = map[string]dispatch.Idempotency{
	effectSafe:   dispatch.Idempotent,
	effectKeyed:  dispatch.Deduplicated,
	effectUnsafe: dispatch.NonIdempotent,
}

// dedupScopeOf maps the values of classes[].group.
var dedupScopeOf = map[string]dispatch.DedupScope{
	"":         dispatch.DedupEverywhere,
	groupAll:   dispatch.DedupEverywhere,
	groupZone:  dispatch.DedupPerZone,
	groupShard: dispatch.DedupPerShard,
}

// LoopCount returns the number of event loops: "loops", or one for each core.
func (s *Settings) LoopCount() int {
	if s.Loops > 0 {
		return s.Loops
	}
	return runtime.GOMAXPROCS(0)
}

// DispatchConfig returns the dispatcher's configuration.
func (s *Settings) DispatchConfig() dispatch.Config {
	r := s.Rules
	c := dispatch.Config{
		DispatcherIndex: s.Me,
		DispatcherCount: s.Peers,
		CancelAttempts:  true,
		MaxRetryAfter:   r.MaxRetryAfter.D(),
		MaxAttempts:     r.MaxAttempts,
		RoundTrip:       r.Round.D(),
		MeanUnits:       r.UsualUnits,
		MaxUnits:        r.LargestUnits,
		Quiescence:      r.Settle.D(),
		RetryBudget:     r.Budget.retryBudget(),
		SlowStart:       r.Cold.slowStart(),
	}
	for _, class := range s.Classes {
		c.Classes = append(c.Classes, class.dispatchClass())
	}
	for _, plan := range s.Plans {
		c.Plans = append(c.Plans, plan.dispatchPlan())
	}
	return c
}

func (b Budget) retryBudget() dispatch.RetryBudget {
	return dispatch.RetryBudget{
		MinRetries: b.Free,
		Ratio:      b.Ratio,
		Window:     b.Span.D(),
	}
}

func (c Cold) slowStart() dispatch.SlowStart {
	return dispatch.SlowStart{
		InitialCapacity: c.From,
		WarmUp:          c.WarmUp.D(),
		OverloadFactor:  c.Multiple,
		Window:          c.Span.D(),
		InitialUnits:    c.YoungLimit,
	}
}

func (c Class) dispatchClass() dispatch.Class {
	return dispatch.Class{
		Name:             c.Name,
		LatencyObjective: c.Aim.D(),
		Deadline:         c.Deadline.D(),
		PriorityWeight:   c.Worth,
		Idempotency:      idempotencyOf[c.Effect],
		DedupScope:       dedupScopeOf[c.Group],
		DedupWindow:      c.Window.D(),
		Ordered:          c.InTurn,
	}
}

func (p Plan) dispatchPlan() dispatch.Plan {
	return dispatch.Plan{
		Name:      p.Name,
		Reserve:   p.Reserve,
		Weight:    p.Weight,
		Price:     p.Price,
		RateLimit: p.Limit,
		Burst:     p.Burst,
		Slack:     p.Slack,
	}
}

// CostModel returns the cost model of the "operations" list. It fails if an operation of
// some size has no rule.
func (s *Settings) CostModel() (*costmodel.Model[objectapi.Kind], error) {
	var rules []costmodel.Rule[objectapi.Kind]
	for _, o := range s.Operations {
		rules = append(rules, costmodel.Rule[objectapi.Kind]{
			Operations:   o.kinds(),
			MaxBytes:     o.MaxBytes,
			Class:        s.classIndex(o.Class),
			Units:        o.Units,
			PerMiB:       o.PerMiB,
			AssumedBytes: o.Assume,
		})
	}
	return costmodel.New(rules, objectapi.Kinds(), len(s.Classes), s.Rules.LargestUnits)
}

// kinds returns the operations that the rule names.
func (o Operation) kinds() []objectapi.Kind {
	var kinds []objectapi.Kind
	for _, name := range o.Operations {
		if name == anyOperation {
			for k := range objectapi.Kinds() {
				kinds = append(kinds, objectapi.Kind(k))
			}
		} else if k, ok := objectapi.KindNamed(name); ok {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// BucketRule returns the index of the first bucket rule whose pattern matches a bucket,
// or -1.
func (s *Settings) BucketRule(bucket string) int {
	for i, b := range s.Buckets {
		if ok, _ := path.Match(b.Pattern, bucket); ok {
			return i
		}
	}
	return -1
}

// PlanIndex returns the index of a bucket rule's plan.
func (s *Settings) PlanIndex(rule int) int { return s.planNamed(s.Buckets[rule].Plan) }

// Dispatchers returns the number of gateways through which the requests of a bucket rule
// come.
func (s *Settings) Dispatchers(rule int) int {
	if n := s.Buckets[rule].Hosts; n > 0 {
		return n
	}
	return s.Peers
}

// FlowConfig returns the weight on the event loops and the rate limit in bytes of a volume
// under a bucket rule. The volume's limit is divided among the gateways that serve it.
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

// planNamed returns the index of a plan, or -1.
func (s *Settings) planNamed(name string) int {
	for i, p := range s.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// classIndex returns the index of a class, or -1.
func (s *Settings) classIndex(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}
