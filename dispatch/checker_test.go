package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// checker checks the invariants of dispatchers from their events and actions alone. It shares
// no code and no state with the dispatchers.
type checker struct {
	cfg            Config
	answerGrace    time.Duration     // how long after its deadline a request may be answered
	violations     map[string]string // the first violation of each invariant
	instances      []*instance
	buckets        map[VolumeID]*bucket
	sentToStarting map[NodeID][]sentUnits // units sent to nodes that have just started
	served         map[NodeID][]sentUnits // units that each node has served
	nodes          map[NodeID]Node        // the actual state of each node
}

// bucket is the token bucket that the checker keeps for a volume's rate limit.
type bucket struct {
	level float64
	at    time.Duration
}

// sentUnits records the cost of a request and when it was sent or served.
type sentUnits struct {
	at    time.Duration
	units float64
}

// instance holds what the checker has observed of a dispatcher since its start. A restarted
// dispatcher is a new instance.
type instance struct {
	notReadySince map[NodeID]time.Duration // when an endpoint update first reported a node as not ready
	requests      map[RequestID]*requestRecord
	byKey         map[string][]*requestRecord
	arrivals      []time.Duration
	retries       []time.Duration
}

// requestRecord holds what the checker has observed of a request.
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

// drainGrace is how long a dispatcher may still send requests to a node after an update has
// reported that the node is not ready.
const drainGrace = 100 * ms

func newChecker(cfg Config) *checker {
	return &checker{
		cfg:            cfg,
		answerGrace:    8 * ms,
		violations:     map[string]string{},
		instances:      make([]*instance, cfg.DispatcherCount),
		buckets:        map[VolumeID]*bucket{},
		sentToStarting: map[NodeID][]sentUnits{},
		served:         map[NodeID][]sentUnits{},
		nodes:          map[NodeID]Node{},
	}
}

// recordViolation records a violation of an invariant, unless it already has one for that invariant.
func (c *checker) recordViolation(invariant, format string, args ...any) {
	if c.violations[invariant] == "" {
		c.violations[invariant] = fmt.Sprintf(format, args...)
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
			c.recordViolation("idempotency", "request %d was rejected although it may have been executed", a.ID)
		}
	case Fail:
		c.checkAnswer(in.requests[a.ID], a.ID)
	}
}

func (c *checker) checkAnswer(r *requestRecord, id RequestID) {
	if r == nil || r.answered {
		c.recordViolation("answer", "request %d was answered although it is unknown or already answered", id)
		return
	}
	r.answered = true
}

func (c *checker) checkAttempt(in *instance, now time.Duration, a SendAttempt) {
	r := in.requests[a.ID]
	if r == nil || r.answered {
		c.recordViolation("answer", "request %d was sent although it is unknown or already answered", a.ID)
		return
	}
	class := c.cfg.Classes[r.request.Class]
	n := c.nodes[a.Node]
	if r.outstanding {
		c.recordViolation("idempotency", "request %d has two attempts in flight, at most one is allowed", a.ID)
	}
	if r.ambiguous && !mayRepeat(r, class, n, now) {
		c.recordViolation("idempotency", "request %d was sent again although it may have been executed", a.ID)
	}
	if since, ok := in.notReadySince[a.Node]; ok && now > since+drainGrace {
		c.recordViolation("drain", "request %d was sent to node %s %v after the node stopped being ready", a.ID, a.Node, now-since)
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

// mayRepeat reports whether a request that may already have been executed may be sent to n.
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
		c.recordViolation("budget", "%d retries in one window exceed the retry budget", retries)
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
			c.recordViolation("order", "request %d was sent before the earlier request %d of its key was completed", r.request.ID, earlier.request.ID)
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
		c.recordViolation("limit", "the token bucket of volume %s is at %.2f, below the permitted slack of %.2f", q.Volume, b.level, plan.Slack)
	}
}

// nodeCapacity is the capacity of a fully warm node in the simulation, in units per second. It
// is higher than the capacity of the slowest machine, from which SlowStart.InitialUnits is
// derived.
const nodeCapacity = 60.0

// capacity returns the capacity of node n at the time now, in units per second.
func (c *checker) capacity(n Node, now time.Duration) float64 {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return nodeCapacity
	}
	progress := (now - n.Started).Seconds() / r.WarmUp.Seconds()
	return nodeCapacity * (r.InitialCapacity + (1-r.InitialCapacity)*progress)
}

// checkSlowStart checks the units that all dispatchers together send to a starting node in one
// window. The limit is the overload factor times the node's capacity, plus the cost of one
// largest request.
func (c *checker) checkSlowStart(now time.Duration, n Node, units float64) {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return
	}
	c.sentToStarting[n.ID] = append(c.sentToStarting[n.ID], sentUnits{now, units})
	from := max(now-r.Window, n.Started)
	limit := r.OverloadFactor*c.capacity(n, now)*r.Window.Seconds() + c.cfg.MaxUnits
	if sum := unitsSince(c.sentToStarting[n.ID], from); sum > limit+1e-6 {
		c.recordViolation("slow start", "%.0f units sent to starting node %s in one window, limit %.1f", sum, n.ID, limit)
	}
}

func unitsSince(sent []sentUnits, from time.Duration) (sum float64) {
	for i := len(sent) - 1; i >= 0 && sent[i].at >= from; i-- {
		sum += sent[i].units
	}
	return sum
}

// checkOverdue records a violation for each request that has no answer after its deadline.
func (c *checker) checkOverdue(now time.Duration) {
	for _, in := range c.instances {
		if in == nil {
			continue
		}
		for id, r := range in.requests {
			if !r.answered && now > r.arrivedAt+r.request.Timeout+c.answerGrace {
				c.recordViolation("answer", "request %d has no answer after its deadline", id)
			}
		}
	}
}
