package dispatch

import (
	"fmt"
	"time"
)

// checker judges what dispatchers do by the seven rules, from the events and
// actions alone. It shares no code and no state with the module.
type checker struct {
	cfg            Config
	slack          time.Duration     // after the deadline, for an answer
	violations     map[string]string // rule -> first breach
	instances      []*instance
	buckets        map[VolumeID]*bucket
	sentToStarting map[NodeID][]sentUnits // to nodes that have just started
	served         map[NodeID][]sentUnits // by them
	nodes          map[NodeID]Node        // as they truly are
}

type bucket struct {
	level float64
	at    time.Duration
}

type sentUnits struct {
	at    time.Duration
	units float64
}

type instance struct {
	notReadySince map[NodeID]time.Duration // when it was told that a node drains or is gone
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

const drainGrace = 100 * ms

func newChecker(cfg Config) *checker {
	return &checker{
		cfg: cfg, slack: 8 * ms, violations: map[string]string{}, instances: make([]*instance, cfg.DispatcherCount),
		buckets: map[VolumeID]*bucket{}, sentToStarting: map[NodeID][]sentUnits{},
		served: map[NodeID][]sentUnits{}, nodes: map[NodeID]Node{},
	}
}

func (c *checker) violate(rule, format string, args ...any) {
	if c.violations[rule] == "" {
		c.violations[rule] = fmt.Sprintf(format, args...)
	}
}

func (c *checker) startInstance(i int) {
	c.instances[i] = &instance{notReadySince: map[NodeID]time.Duration{}, requests: map[RequestID]*requestRecord{}, byKey: map[string][]*requestRecord{}}
}

func (c *checker) observeEvent(i int, now time.Duration, e Event) {
	l := c.instances[i]
	switch e := e.(type) {
	case Request:
		t := &requestRecord{request: e, arrivedAt: now}
		l.requests[e.ID] = t
		l.arrivals = append(l.arrivals, now)
		if k := c.cfg.Classes[e.Class]; k.Ordered && e.Key != "" {
			l.byKey[e.Key] = append(l.byKey[e.Key], t)
		}
	case AttemptCompleted:
		t := l.requests[e.ID]
		t.outstanding = false
		if e.Result == OK {
			c.served[t.node] = append(c.served[t.node], sentUnits{now, t.request.Units})
		}
		t.answered = t.answered || e.Responded
		if e.Result != Rejected && e.Result != ConnectFailed && e.Result != NotSent && !t.ambiguous {
			t.ambiguous, t.ambiguousSince, t.shard = true, t.sentAt, c.nodes[t.node].Shard
		}
		if e.Result == TimedOut || e.Result == ConnectionReset || e.Result == Canceled {
			t.quiescentAt = now + c.cfg.Quiescence
		}
	case ClientCanceled:
		if t := l.requests[e.ID]; t != nil {
			t.answered = true
		}
	case EndpointUpdate:
		if e.Kind == Snapshot || e.Kind == Cached {
			listed := map[NodeID]bool{}
			for _, n := range e.Nodes {
				listed[n.ID] = true
			}
			for id := range c.nodes {
				if !listed[id] {
					l.recordNotReady(id, now)
				}
			}
		}
		for _, n := range e.Nodes {
			if n.State == Ready {
				delete(l.notReadySince, n.ID)
			} else {
				l.recordNotReady(n.ID, now)
			}
		}
	}
}

func (l *instance) recordNotReady(id NodeID, now time.Duration) {
	if _, ok := l.notReadySince[id]; !ok {
		l.notReadySince[id] = now
	}
}

func (c *checker) observeAction(i int, now time.Duration, a Action) {
	l := c.instances[i]
	switch a := a.(type) {
	case SendAttempt:
		c.checkAttempt(l, now, a)
	case Reject:
		t := l.requests[a.ID]
		c.checkAnswer(t, now, a.ID)
		k := c.cfg.Classes[t.request.Class]
		if (t.ambiguous || t.outstanding) && k.Idempotency != Idempotent && !(k.Idempotency == Deduplicated && k.DedupScope == DedupEverywhere) {
			c.violate("effects", "request %d refused though it may have run", a.ID)
		}
	case Fail:
		c.checkAnswer(l.requests[a.ID], now, a.ID)
	}
}

func (c *checker) checkAnswer(t *requestRecord, now time.Duration, id RequestID) {
	if t == nil || t.answered {
		c.violate("answer", "request %d answered twice or never taken", id)
		return
	}
	t.answered = true
}

func (c *checker) checkAttempt(l *instance, now time.Duration, a SendAttempt) {
	t := l.requests[a.ID]
	if t == nil || t.answered {
		c.violate("answer", "request %d sent after its end", a.ID)
		return
	}
	k, n := c.cfg.Classes[t.request.Class], c.nodes[a.Node]
	if t.outstanding {
		c.violate("effects", "request %d has two attempts out", a.ID)
	}
	if t.ambiguous && (k.Idempotency == NonIdempotent || k.Idempotency == Deduplicated && (n.Shard != t.shard || now-t.ambiguousSince >= k.DedupWindow)) {
		c.violate("effects", "request %d sent again though it may have run", a.ID)
	}
	if told, ok := l.notReadySince[a.Node]; ok && now > told+drainGrace {
		c.violate("drain", "request %d sent to %s, %v after it was told", a.ID, a.Node, now-told)
	}
	c.checkOrder(l, now, t, k)
	if t.attempts > 0 {
		l.retries = append(l.retries, now)
		if b := c.cfg.RetryBudget; float64(countSince(l.retries, now-b.Window)) > b.MinRetries+b.Ratio*float64(countSince(l.arrivals, now-b.Window)) {
			c.violate("budget", "%d further attempts", countSince(l.retries, now-b.Window))
		}
	} else {
		c.checkRateLimit(now, t.request)
	}
	c.checkSlowStart(now, n, t.request.Units)
	t.attempts++
	t.outstanding, t.sentAt, t.node = true, now, a.Node
}

func countSince(ts []time.Duration, from time.Duration) (n int) {
	for _, t := range ts {
		if t > from {
			n++
		}
	}
	return n
}

func (c *checker) checkOrder(l *instance, now time.Duration, t *requestRecord, k Class) {
	if !k.Ordered || t.request.Key == "" {
		return
	}
	for _, e := range l.byKey[t.request.Key] {
		if e == t {
			break
		}
		if !e.answered || e.outstanding || now < e.quiescentAt {
			c.violate("order", "request %d sent before %d was over", t.request.ID, e.request.ID)
		}
	}
}

func (c *checker) checkRateLimit(now time.Duration, q Request) {
	p := c.cfg.Plans[q.Plan]
	if p.RateLimit == 0 {
		return
	}
	s := c.buckets[q.Volume]
	if s == nil {
		s = &bucket{level: p.Burst, at: now}
		c.buckets[q.Volume] = s
	}
	s.level = min(p.Burst, s.level+p.RateLimit*(now-s.at).Seconds()) - q.Units
	s.at = now
	if s.level < -p.Slack-1e-6 {
		c.violate("limit", "volume %s at %.2f, slack %.2f", q.Volume, s.level, p.Slack)
	}
}

// nodeCapacity is what a warm node of the storm can do, units a second: more than the
// slowest machine that YoungLimit speaks of.
const nodeCapacity = 60.0

// capacity is what n can do now.
func (c *checker) capacity(n Node, now time.Duration) float64 {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return nodeCapacity
	}
	return nodeCapacity * (r.InitialCapacity + (1-r.InitialCapacity)*(now-n.Started).Seconds()/r.WarmUp.Seconds())
}

// checkSlowStart bounds what all send a young node by the multiple of its present capacity, with
// one largest request for chance.
func (c *checker) checkSlowStart(now time.Duration, n Node, units float64) {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return
	}
	c.sentToStarting[n.ID] = append(c.sentToStarting[n.ID], sentUnits{now, units})
	from := max(now-r.Window, n.Started)
	bears := r.OverloadFactor*c.capacity(n, now)*r.Window.Seconds() + c.cfg.MaxUnits
	if sum := unitsSince(c.sentToStarting[n.ID], from); sum > bears+1e-6 {
		c.violate("cold", "%.0f units to %s, it bears %.1f", sum, n.ID, bears)
	}
}

func unitsSince(ws []sentUnits, from time.Duration) (sum float64) {
	for i := len(ws) - 1; i >= 0 && ws[i].at >= from; i-- {
		sum += ws[i].units
	}
	return sum
}

// checkOverdue looks for requests that are overdue.
func (c *checker) checkOverdue(now time.Duration) {
	for _, l := range c.instances {
		if l == nil {
			continue
		}
		for id, t := range l.requests {
			if !t.answered && now > t.arrivedAt+t.request.Timeout+c.slack {
				c.violate("answer", "request %d overdue", id)
			}
		}
	}
}
