// Package invariants checks the seven rules from what crossed the sockets: the logs of
// clients and nodes, and when each gateway was told what. It asks no gateway.
package invariants

import (
	"chalkstand/fake/storagenode"
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Effect is what a class promises of its effects.
type Effect int

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Class is what the rules need to know of a class.
type Class struct {
	Deadline time.Duration
	Effect   Effect
	InTurn   bool
}

// Parameters are the rules' figures, and how exactly the logs can be compared: Slop
// is how far apart two logs may see one thing, for the machine's own delays.
type Parameters struct {
	Classes     []Class
	Grace       time.Duration // after a drain was told
	Settle      time.Duration // rest of a key
	BudgetFree  float64
	BudgetRatio float64
	BudgetSpan  time.Duration // 0: no budget
	Limits      map[string]Limit
	Slop        time.Duration
	Late        time.Duration // of an answer, after its deadline
}

// Limit is a volume's limit, units a second and units at once, slack included.
type Limit struct{ Rate, Store float64 }

// Request is a client's own log of one request.
type Request struct {
	Tag     string
	Gateway string // with its life: another after each restart
	Class   int
	Key     string // of its object
	Sent    time.Duration
	Ended   time.Duration // its whole answer was there, or its end was seen
	Status  int           // 0: no answer
	Answers int           // bytes after the answer count as another
	After   bool          // a refusal told when to come back
	Left    bool          // the client went away by itself
	Cut     bool          // the answer began and broke off visibly
	Wrong   string        // what was wrong with the content
}

// Told is a word to a gateway that a node drains or is gone.
type Told struct {
	Gateway, Node string
	At            time.Duration
}

// Killed tells when a gateway's life ended without warning.
type Killed struct {
	Gateway string
	At      time.Duration
}

// Log is all that was seen.
type Log struct {
	Requests []Request
	Entries  []storagenode.LogEntry
	Told     []Told
	Killed   []Killed
	Fallen   []string // nodes pushed over while cold
	End      time.Duration
}

// Violation is one broken rule.
type Violation struct {
	Rule string
	At   time.Duration
	What string
}

// The names of the rules.
const (
	Lost    = "no request is lost"
	Effects = "no effect happens twice"
	TwoOut  = "never two attempts out"
	Drains  = "drains are kept"
	Cold    = "a cold node is not pushed over"
	Order   = "order is kept"
	Budget  = "further attempts stay within the budget"
	Limits  = "limits are kept"
	Content = "an answer is whole and true"
)

// All lists the rules in the order of the report.
var All = []string{Lost, TwoOut, Effects, Drains, Cold, Order, Budget, Limits, Content}

type checker struct {
	f   Parameters
	l   *Log
	out []Violation
	by  map[string][]storagenode.LogEntry // entries by tag, by arrival
	req map[string]*Request
}

// Check returns every breach that the log shows.
func Check(f Parameters, l *Log) []Violation {
	c := &checker{f: f, l: l, by: map[string][]storagenode.LogEntry{}, req: map[string]*Request{}}
	slices.SortFunc(l.Entries, func(a, b storagenode.LogEntry) int { return cmp.Compare(a.Arrived, b.Arrived) })
	for i := range l.Requests {
		c.req[l.Requests[i].Tag] = &l.Requests[i]
	}
	for _, e := range l.Entries {
		if e.Tag != "" {
			c.by[e.Tag] = append(c.by[e.Tag], e)
		}
	}
	c.answers()
	c.attempts()
	c.drains()
	c.order()
	c.budget()
	c.limits()
	for _, n := range l.Fallen {
		c.breach(Cold, l.End, "%s fell over", n)
	}
	slices.SortStableFunc(c.out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.out
}

func (c *checker) breach(rule string, at time.Duration, format string, a ...any) {
	c.out = append(c.out, Violation{rule, at, fmt.Sprintf(format, a...)})
}

func (c *checker) killed(gateway string) (time.Duration, bool) {
	for _, k := range c.l.Killed {
		if k.Gateway == gateway {
			return k.At, true
		}
	}
	return 0, false
}

// answers: exactly one final answer, in time, whole; a refusal says when to come
// back. What a killed gateway held, and who left by himself, is nobody's fault.
func (c *checker) answers() {
	for i := range c.l.Requests {
		r := &c.l.Requests[i]
		due := r.Sent + c.f.Classes[r.Class].Deadline + c.f.Late
		at, dead := c.killed(r.Gateway)
		switch {
		case r.Answers > 1:
			c.breach(Lost, r.Ended, "%s got %d answers", r.Tag, r.Answers)
		case r.Answers == 0 && !r.Left && !(dead && r.Ended >= at-c.f.Slop) && c.l.End > due:
			c.breach(Lost, r.Ended, "%s got no answer from %s", r.Tag, r.Gateway)
		case r.Answers == 1 && r.Ended > due:
			c.breach(Lost, r.Ended, "%s was answered %v after its time", r.Tag, r.Ended-due+c.f.Late)
		case r.Status == 503 && !r.After:
			c.breach(Lost, r.Ended, "%s was refused without a time to come back", r.Tag)
		}
		if r.Wrong != "" {
			c.breach(Content, r.Ended, "%s: %s", r.Tag, r.Wrong)
		}
	}
}

// end is when an entry was over for the gateway that sent it.
func (c *checker) end(e storagenode.LogEntry) time.Duration {
	switch {
	case e.Left > 0 && (e.Ended == 0 || e.Left < e.Ended):
		return e.Left
	case e.Ended == 0:
		return c.l.End
	}
	return e.Ended
}

// attempts: one at a time, none after the final answer, effects by class.
func (c *checker) attempts() {
	for tag, es := range c.by {
		r := c.req[tag]
		ran := 0
		for i, e := range es {
			if e.Ran {
				ran++
			}
			if i > 0 && e.Arrived < c.end(es[i-1])-c.f.Slop {
				c.breach(TwoOut, e.Arrived, "%s: attempt %d reached %s while attempt %d was at %s", tag, e.Attempt, e.Node, es[i-1].Attempt, es[i-1].Node)
			}
			if i > 0 && e.Gateway == es[i-1].Gateway && e.Request == es[i-1].Request && e.Attempt == es[i-1].Attempt {
				c.breach(TwoOut, e.Arrived, "%s: attempt %d came twice", tag, e.Attempt)
			}
			if r != nil && r.Answers > 0 && !r.Cut && e.Arrived > r.Ended+c.f.Slop {
				c.breach(Lost, e.Arrived, "%s reached %s after its final answer", tag, e.Node)
			}
		}
		if r == nil {
			continue
		}
		effect := c.f.Classes[r.Class].Effect
		if effect != Safe && ran > 1 {
			c.breach(Effects, es[len(es)-1].Arrived, "%s ran %d times", tag, ran)
		}
		if effect != Safe && ran > 0 && r.Status == 503 && r.Answers == 1 {
			c.breach(Effects, r.Ended, "%s was refused, which says that it did not run, and had run", tag)
		}
		if effect == Unsafe {
			for i, e := range es[1:] {
				if es[i].Ran || es[i].Status == 0 {
					c.breach(Effects, e.Arrived, "%s was sent again after an attempt that may have run", tag)
				}
			}
		}
	}
}

func (c *checker) drains() {
	told := map[[2]string]time.Duration{}
	for _, t := range c.l.Told {
		k := [2]string{t.Gateway, t.Node}
		if at, ok := told[k]; !ok || t.At < at {
			told[k] = t.At
		}
	}
	for _, e := range c.l.Entries {
		if at, ok := told[[2]string{e.Gateway, e.Node}]; ok && e.Arrived > at+c.f.Grace+c.f.Slop {
			c.breach(Drains, e.Arrived, "%s sent %s to %s %v after it was told that it drains", e.Gateway, e.Tag, e.Node, e.Arrived-at)
		}
	}
}

// order: requests of one key through one gateway one at a time, and a rest after
// an attempt that may still run.
func (c *checker) order() {
	type line struct{ gateway, key string }
	last := map[line]storagenode.LogEntry{}
	for _, e := range c.l.Entries {
		r := c.req[e.Tag]
		if r == nil || !c.f.Classes[r.Class].InTurn {
			continue
		}
		k := line{e.Gateway, r.Key}
		if p, ok := last[k]; ok && p.Tag != e.Tag {
			free := c.end(p)
			if p.Left > 0 && (p.Ended == 0 || p.Left < p.Ended) {
				free += c.f.Settle
			}
			if e.Arrived < free-c.f.Slop {
				c.breach(Order, e.Arrived, "%s reached %s %v before %s, of the same key, was over", e.Tag, e.Node, free-e.Arrived, p.Tag)
			}
		}
		last[k] = e
	}
}

// budget: in any window the attempts beyond the first of one gateway's life.
func (c *checker) budget() {
	if c.f.BudgetSpan == 0 {
		return
	}
	taken, further := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range c.l.Requests {
		taken[r.Gateway] = append(taken[r.Gateway], r.Sent)
	}
	for _, e := range c.l.Entries {
		if e.Attempt > 0 {
			further[e.Gateway] = append(further[e.Gateway], e.Arrived)
		}
	}
	for g, ts := range further {
		slices.Sort(taken[g])
		first := 0
		for i, at := range ts {
			for at-ts[first] > c.f.BudgetSpan-c.f.Slop {
				first++
			}
			from, _ := slices.BinarySearch(taken[g], at-c.f.BudgetSpan-c.f.Slop)
			to, _ := slices.BinarySearch(taken[g], at+c.f.Slop)
			if n, most := float64(i-first+1), c.f.BudgetFree+c.f.BudgetRatio*float64(to-from); n > most {
				c.breach(Budget, at, "%s: %.0f further attempts within %v, %.1f allowed", g, n, c.f.BudgetSpan, most)
			}
		}
	}
}

// limits: what all gateways send first for a volume, against a store that fills at
// the limit's rate.
func (c *checker) limits() {
	type store struct {
		level float64
		at    time.Duration
	}
	have := map[string]*store{}
	type request struct {
		gateway string
		id      uint64
	}
	counted := map[request]bool{}
	for _, e := range c.l.Entries {
		l, ok := c.f.Limits[e.Volume]
		if id := (request{e.Gateway, e.Request}); !ok || counted[id] {
			continue
		} else {
			counted[id] = true
		}
		s := have[e.Volume]
		if s == nil {
			s = &store{l.Store, e.Arrived}
			have[e.Volume] = s
		}
		s.level = min(l.Store, s.level+l.Rate*(e.Arrived-s.at).Seconds()) - e.Units
		s.at = e.Arrived
		if s.level < -l.Rate*c.f.Slop.Seconds()-1e-6 {
			c.breach(Limits, e.Arrived, "%s: %.2f units beyond its limit", e.Volume, -s.level)
		}
	}
}
