package dispatch

import (
	"fmt"
	"time"
)

// checker judges what dispatchers do by the seven rules, from the events and
// actions alone. It shares no code and no state with the module.
type checker struct {
	cfg    Config
	slack  time.Duration     // after the deadline, for an answer
	broken map[string]string // rule -> first breach
	lives  []*life
	stores map[VolumeID]*store
	works  map[NodeID][]work // to nodes that have just started
	served map[NodeID][]work // by them
	nodes  map[NodeID]Node   // as they truly are
}

type store struct {
	level float64
	at    time.Duration
}

type work struct {
	at    time.Duration
	units float64
}

type life struct {
	told  map[NodeID]time.Duration // when it was told that a node drains or is gone
	reqs  map[RequestID]*track
	order map[string][]*track
	took  []time.Duration
	extra []time.Duration
}

type track struct {
	req      Request
	taken    time.Duration
	answered bool
	sends    int
	out      bool
	mayRun   bool
	doubt    time.Duration
	shard    Shard
	node     NodeID
	lastSent time.Duration
	restTill time.Duration
}

const drainGrace = 100 * ms

func newChecker(cfg Config) *checker {
	return &checker{
		cfg: cfg, slack: 8 * ms, broken: map[string]string{}, lives: make([]*life, cfg.DispatcherCount),
		stores: map[VolumeID]*store{}, works: map[NodeID][]work{},
		served: map[NodeID][]work{}, nodes: map[NodeID]Node{},
	}
}

func (c *checker) breach(rule, format string, args ...any) {
	if c.broken[rule] == "" {
		c.broken[rule] = fmt.Sprintf(format, args...)
	}
}

func (c *checker) begin(i int) {
	c.lives[i] = &life{told: map[NodeID]time.Duration{}, reqs: map[RequestID]*track{}, order: map[string][]*track{}}
}

func (c *checker) event(i int, now time.Duration, e Event) {
	l := c.lives[i]
	switch e := e.(type) {
	case Request:
		t := &track{req: e, taken: now}
		l.reqs[e.ID] = t
		l.took = append(l.took, now)
		if k := c.cfg.Classes[e.Class]; k.Ordered && e.Key != "" {
			l.order[e.Key] = append(l.order[e.Key], t)
		}
	case AttemptCompleted:
		t := l.reqs[e.ID]
		t.out = false
		if e.Result == OK {
			c.served[t.node] = append(c.served[t.node], work{now, t.req.Units})
		}
		t.answered = t.answered || e.Responded
		if e.Result != Rejected && e.Result != ConnectFailed && e.Result != NotSent && !t.mayRun {
			t.mayRun, t.doubt, t.shard = true, t.lastSent, c.nodes[t.node].Shard
		}
		if e.Result == TimedOut || e.Result == ConnectionReset || e.Result == Canceled {
			t.restTill = now + c.cfg.Quiescence
		}
	case ClientCanceled:
		if t := l.reqs[e.ID]; t != nil {
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
					l.tell(id, now)
				}
			}
		}
		for _, n := range e.Nodes {
			if n.State == Ready {
				delete(l.told, n.ID)
			} else {
				l.tell(n.ID, now)
			}
		}
	}
}

func (l *life) tell(id NodeID, now time.Duration) {
	if _, ok := l.told[id]; !ok {
		l.told[id] = now
	}
}

func (c *checker) action(i int, now time.Duration, a Action) {
	l := c.lives[i]
	switch a := a.(type) {
	case SendAttempt:
		c.attempt(l, now, a)
	case Reject:
		t := l.reqs[a.ID]
		c.answer(t, now, a.ID)
		k := c.cfg.Classes[t.req.Class]
		if (t.mayRun || t.out) && k.Idempotency != Idempotent && !(k.Idempotency == Deduplicated && k.DedupScope == DedupEverywhere) {
			c.breach("effects", "request %d refused though it may have run", a.ID)
		}
	case Fail:
		c.answer(l.reqs[a.ID], now, a.ID)
	}
}

func (c *checker) answer(t *track, now time.Duration, id RequestID) {
	if t == nil || t.answered {
		c.breach("answer", "request %d answered twice or never taken", id)
		return
	}
	t.answered = true
}

func (c *checker) attempt(l *life, now time.Duration, a SendAttempt) {
	t := l.reqs[a.ID]
	if t == nil || t.answered {
		c.breach("answer", "request %d sent after its end", a.ID)
		return
	}
	k, n := c.cfg.Classes[t.req.Class], c.nodes[a.Node]
	if t.out {
		c.breach("effects", "request %d has two attempts out", a.ID)
	}
	if t.mayRun && (k.Idempotency == NonIdempotent || k.Idempotency == Deduplicated && (n.Shard != t.shard || now-t.doubt >= k.DedupWindow)) {
		c.breach("effects", "request %d sent again though it may have run", a.ID)
	}
	if told, ok := l.told[a.Node]; ok && now > told+drainGrace {
		c.breach("drain", "request %d sent to %s, %v after it was told", a.ID, a.Node, now-told)
	}
	c.orderKept(l, now, t, k)
	if t.sends > 0 {
		l.extra = append(l.extra, now)
		if b := c.cfg.RetryBudget; float64(since(l.extra, now-b.Window)) > b.MinRetries+b.Ratio*float64(since(l.took, now-b.Window)) {
			c.breach("budget", "%d further attempts", since(l.extra, now-b.Window))
		}
	} else {
		c.limitKept(now, t.req)
	}
	c.coldKept(now, n, t.req.Units)
	t.sends++
	t.out, t.lastSent, t.node = true, now, a.Node
}

func since(ts []time.Duration, from time.Duration) (n int) {
	for _, t := range ts {
		if t > from {
			n++
		}
	}
	return n
}

func (c *checker) orderKept(l *life, now time.Duration, t *track, k Class) {
	if !k.Ordered || t.req.Key == "" {
		return
	}
	for _, e := range l.order[t.req.Key] {
		if e == t {
			break
		}
		if !e.answered || e.out || now < e.restTill {
			c.breach("order", "request %d sent before %d was over", t.req.ID, e.req.ID)
		}
	}
}

func (c *checker) limitKept(now time.Duration, q Request) {
	p := c.cfg.Plans[q.Plan]
	if p.RateLimit == 0 {
		return
	}
	s := c.stores[q.Volume]
	if s == nil {
		s = &store{level: p.Burst, at: now}
		c.stores[q.Volume] = s
	}
	s.level = min(p.Burst, s.level+p.RateLimit*(now-s.at).Seconds()) - q.Units
	s.at = now
	if s.level < -p.Slack-1e-6 {
		c.breach("limit", "volume %s at %.2f, slack %.2f", q.Volume, s.level, p.Slack)
	}
}

// trueUnits is what a warm node of the storm can do, units a second: more than the
// slowest machine that YoungLimit speaks of.
const trueUnits = 60.0

// capacity is what n can do now.
func (c *checker) capacity(n Node, now time.Duration) float64 {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return trueUnits
	}
	return trueUnits * (r.InitialCapacity + (1-r.InitialCapacity)*(now-n.Started).Seconds()/r.WarmUp.Seconds())
}

// coldKept bounds what all send a young node by the multiple of its present capacity, with
// one largest request for chance.
func (c *checker) coldKept(now time.Duration, n Node, units float64) {
	r := c.cfg.SlowStart
	if n.Started == 0 || now-n.Started > r.WarmUp {
		return
	}
	c.works[n.ID] = append(c.works[n.ID], work{now, units})
	from := max(now-r.Window, n.Started)
	bears := r.OverloadFactor*c.capacity(n, now)*r.Window.Seconds() + c.cfg.MaxUnits
	if sum := unitsSince(c.works[n.ID], from); sum > bears+1e-6 {
		c.breach("cold", "%.0f units to %s, it bears %.1f", sum, n.ID, bears)
	}
}

func unitsSince(ws []work, from time.Duration) (sum float64) {
	for i := len(ws) - 1; i >= 0 && ws[i].at >= from; i-- {
		sum += ws[i].units
	}
	return sum
}

// late looks for requests that are overdue.
func (c *checker) late(now time.Duration) {
	for _, l := range c.lives {
		if l == nil {
			continue
		}
		for id, t := range l.reqs {
			if !t.answered && now > t.taken+t.req.Timeout+c.slack {
				c.breach("answer", "request %d overdue", id)
			}
		}
	}
}
