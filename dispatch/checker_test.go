package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// checker checks the invariants of dispatchers from their events and actions alone. It shares no
// code and no state with them.
type checker struct {
	cfg            Config
	slack          time.Duration     // for an answer after the deadline
	violations     map[string]string // first violation by invariant
	instances      []*instance
	buckets        map[VolumeID]*bucket
	sentToStarting map[NodeID][]sentUnits // to nodes that have just started
	served         map[NodeID][]sentUnits // by them
	nodes          map[NodeID]Node        // actual state
}

// bucket is the token bucket of a volume's rate limit.
type bucket struct {
	level float64
	at    time.Duration
}

type sentUnits struct {
	at    time.Duration
	units float64
}

// instance is a dispatcher from its start to its restart.
type instance struct {
	notReadySince map[NodeID]time.Duration // by its own endpoint updates
	requests      map[RequestID]*requestRecord
	byKey         map[string][]*requestRecord
	arrivals      []time.Duration
	retries       []time.Duration
}

type requestRecord struct {
	request        Request
	arrivedAt      time.Duration
	answered       bool
	attempts       int
	outstanding    bool
	ambiguous      bool
	ambiguousSince time.Duration
	shard          Shard
	node           NodeID
	sentAt         time.Duration
	quiescentAt    time.Duration
}

// drainGrace is the time in which a node that is not ready may still be sent requests.
const drainGrace = 100 * ms

func newChecker(cfg Config) *checker {
	return &checker{
		cfg:            cfg,
		slack:          8 * ms,
		violations:     map[string]string{},
		instances:      make([]*instance, cfg.DispatcherCount),
		buckets:        map[VolumeID]*bucket{},
		sentToStarting: map[NodeID][]sentUnits{},
		served:         map[NodeID][]sentUnits{},
		nodes:          map[NodeID]Node{},
	}
}

// violate records a violation of an invariant.
func (c *checker) violate(rule, format string, args ...any) {
	if c.violations[rule] == "" {
		c.violations[rule] = fmt.Sprintf(format, args...)
	}
}

func (c *checker) startInstance(i int) {
	c.instances[i] = &instance{
		notReadySince: map[NodeID]time.Duration{},
		requests:      map[RequestID]*requestRecord{},
		byKey:         map[string][]*requestRecord{},
	}
}

func (c *checker) observeEvent(i int, now time.Duration, e Event) {
	in := c.instances[i]
	switch e := e.(type) {
	case Request:
		c.observeRequest(in, now, e)
	case AttemptCompleted:
		c.observeCompletion(in, now, e)
	case ClientCanceled:
		if r := in.requests[e.ID]; r != nil {
			r.answered = true
		}
	case EndpointUpdate:
		c.observeEndpoints(in, now, e)
	}
}

func (c *checker) observeRequest(in *instance, now time.Duration, e Request) {
	r := &requestRecord{request: e, arrivedAt: now}
	in.requests[e.ID] = r
	in.arrivals = append(in.arrivals, now)
	if class := c.cfg.Classes[e.Class]; class.Ordered && e.Key != "" {
		in.byKey[e.Key] = append(in.byKey[e.Key], r)
	}
}

func (c *checker) observeCompletion(in *instance, now time.Duration, e AttemptCompleted) {
	r := in.requests[e.ID]
	r.outstanding = false
	if e.Result == OK {
		c.served[r.node] = append(c.served[r.node], sentUnits{now, r.request.Units})
	}
	r.answered = r.answered || e.Responded
	executed := e.Result != Rejected && e.Result != ConnectFailed && e.Result != NotSent
	if executed && !r.ambiguous {
		r.ambiguous = true
		r.ambiguousSince = r.sentAt
		r.shard = c.nodes[r.node].Shard
	}
	if e.Result == TimedOut || e.Result == ConnectionReset || e.Result == Canceled {
		r.quiescentAt = now + c.cfg.Quiescence
	}
}

func (c *checker) observeEndpoints(in *instance, now time.Duration, e EndpointUpdate) {
	if e.Kind == Snapshot || e.Kind == Cached {
		for id := range c.nodes {
			listed := slices.ContainsFunc(e.Nodes, func(n Node) bool { return n.ID == id })
			if !listed {
				in.recordNotReady(id, now)
			}
		}
	}
	for _, n := range e.Nodes {
		if n.State == Ready {
			delete(in.notReadySince, n.ID)
		} else {
			in.recordNotReady(n.ID, now)
		}
	}
}

func (in *instance) recordNotReady(id NodeID, now time.Duration) {
	if _, ok := in.notReadySince[id]; !ok {
		in.notReadySince[id] = now
	}
}

func (c *checker) observeAction(i int, now time.Duration, a Action) {
	in := c.instances[i]
	switch a := a.(type) {
	case SendAttempt:
		c.checkAttempt(in, now, a)
	case Reject:
		r := in.requests[a.ID]
		c.checkAnswer(r, a.ID)
		class := c.cfg.Classes[r.request.Class]
		harmless := class.Idempotency == Idempotent ||
			class.Idempotency == Deduplicated && class.DedupScope == DedupEverywhere
		if (r.ambiguous || r.outstanding) && !harmless {
			c.violate("idempotency", "request %d rejected though it may have been executed", a.ID)
		}
	case Fail:
		c.checkAnswer(in.requests[a.ID], a.ID)
	}
}

func (c *checker) checkAnswer(r *requestRecord, id RequestID) {
	if r == nil || r.answered {
		c.violate("answer", "request %d is unknown or answered twice", id)
		return
	}
	r.answered = true
}

func (c *checker) checkAttempt(in *instance, now time.Duration, a SendAttempt) {
	r := in.requests[a.ID]
	if r == nil || r.answered {
		c.violate("answer", "request %d sent after its answer", a.ID)
		return
	}
	class := c.cfg.Classes[r.request.Class]
	n := c.nodes[a.Node]
	if r.outstanding {
		c.violate("idempotency", "request %d has two attempts in flight", a.ID)
	}
	if r.ambiguous && !mayRepeat(r, class, n, now) {
		c.violate("idempotency", "request %d sent again though it may have been executed", a.ID)
	}
	if since, ok := in.notReadySince[a.Node]; ok && now > since+drainGrace {
		c.violate("drain", "request %d sent to %s, %v after it was not ready", a.ID, a.Node, now-since)
	}
	c.checkOrder(in, now, r, class)
	if r.attempts > 0 {
		c.checkRetryBudget(in, now)
	} else {
		c.checkRateLimit(now, r.request)
	}
	c.checkSlowStart(now, n, r.request.Units)
	r.attempts++
	r.outstanding = true
	r.sentAt = now
	r.node = a.Node
}

// mayRepeat reports whether a request that may have been executed may be sent to n.
func mayRepeat(r *requestRecord, class Class, n Node, now time.Duration) bool {
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case Deduplicated:
		return n.Shard == r.shard && now-r.ambiguousSince < class.DedupWindow
	default:
		return true
	}
}

func (c *checker) checkRetryBudget(in *instance, now time.Duration) {
	in.retries = append(in.retries, now)
	budget := c.cfg.RetryBudget
	retries := countSince(in.retries, now-budget.Window)
	requests := countSince(in.arrivals, now-budget.Window)
	if float64(retries) > budget.MinRetries+budget.Ratio*float64(requests) {
		c.violate("budget", "%d retries", retries)
	}
}

func countSince(times []time.Duration, from time.Duration) (n int) {
	for _, t := range times {
		if t > from {
			n++
		}
	}
	return n
}

func (c *checker) checkOrder(in *instance, now time.Duration, r *requestRecord, class Class) {
	if !class.Ordered || r.request.Key == "" {
		return
	}
	for _, earlier := range in.byKey[r.request.Key] {
		if earlier == r {
			break
		}
		if !earlier.answered || earlier.outstanding || now < earlier.quiescentAt {
			c.violate("order", "request %d sent before %d was completed", r.request.ID, earlier.request.ID)
		}
	}
}

func (c *checker) checkRateLimit(now time.Duration, q Request) {
	plan := c.cfg.Plans[q.Plan]
	if plan.RateLimit == 0 {
		return
	}
	b := c.buckets[q.Volume]
	if b == nil {
		b = &bucket{level: plan.Burst, at: now}
		c.buckets[q.Volume] = b
	}
	b.level = min(plan.Burst, b.level+plan.RateLimit*(now-b.at).Seconds()) - q.Units
	b.at = now
	if b.level < -plan.Slack-1e-6 {
		c.violate("limit", "volume %s at %.2f, slack %.2f", q.Volume, b.level, plan.Slack)
	}
}

// nodeCapacity is the capacity of a warm node of the simulation, units per second: above that of
// the slowest machine, which SlowStart.InitialUnits follows from.
const nodeCapacity = 60.0

// capacity returns the capacity of n, units per second.
func (c *checker) capacity(n Node, now time.Duration) float64 {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return nodeCapacity
	}
	progress := (now - n.Started).Seconds() / r.WarmUp.Seconds()
	return nodeCapacity * (r.InitialCapacity + (1-r.InitialCapacity)*progress)
}

// checkSlowStart bounds the units that all dispatchers send to a starting node by the overload
// factor times its capacity, plus one largest request.
func (c *checker) checkSlowStart(now time.Duration, n Node, units float64) {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return
	}
	c.sentToStarting[n.ID] = append(c.sentToStarting[n.ID], sentUnits{now, units})
	from := max(now-r.Window, n.Started)
	limit := r.OverloadFactor*c.capacity(n, now)*r.Window.Seconds() + c.cfg.MaxUnits
	if sum := unitsSince(c.sentToStarting[n.ID], from); sum > limit+1e-6 {
		c.violate("slow start", "%.0f units to %s, limit %.1f", sum, n.ID, limit)
	}
}

func unitsSince(sent []sentUnits, from time.Duration) (sum float64) {
	for i := len(sent) - 1; i >= 0 && sent[i].at >= from; i-- {
		sum += sent[i].units
	}
	return sum
}

// checkOverdue looks for requests without an answer after their deadline.
func (c *checker) checkOverdue(now time.Duration) {
	for _, in := range c.instances {
		if in == nil {
			continue
		}
		for id, r := range in.requests {
			if !r.answered && now > r.arrivedAt+r.request.Timeout+c.slack {
				c.violate("answer", "request %d overdue", id)
			}
		}
	}
}
