// Package fairshare says whose turn it is on an event loop: start-time fair queuing by
// volume, one floor below the dispatcher. What the connections of a volume have to move waits
// in one flow, however many connections there are; a turn is paid for afterwards, with
// the time that it took and the bytes that it moved. It does no I/O and reads no clock.
//
// The plan of this repository has decisions behind Handle(now, event) []Action. Turns
// are taken a million times a second and more, so they are methods that allocate
// nothing; they are as deterministic (docs/design/share.md).
package fairshare

import (
	"fmt"
	"math"
	"time"
)

// Config holds the settings of a scheduler.
type Config struct {
	// ByteTime is what a byte costs at least, in nanoseconds, 0 to 1000. A turn costs the
	// larger of the time that it took and of its bytes at this price: where bytes are
	// what is moved, shares are of bytes, exactly, and not of times that vary.
	ByteTime float64
	// Window bounds by how much a flow can be behind for what it had: on other loops, or
	// in one long turn. A longer one remembers more, and lets who has waited go first for
	// longer.
	Window time.Duration
	// Flows bounds how many flows are kept; volumes beyond it share one.
	Flows int
	// Finishing is the weight, within a flow, of what is under way beside what is new at 1.
	// Were they one queue, a crowd of new requests would hold back the few answers that
	// may be out at a time, and less would be finished the more is asked for. It may do harm
	// where new requests are few and bodies many: those wait for so much of bodies' work.
	// 0: 1.
	Finishing float64
	// Arrival gives turns in the order in which they were asked for, to whatever flow:
	// what there would be without this package, for comparison.
	Arrival bool
}

func (c Config) check() error {
	switch {
	case !(c.ByteTime >= 0 && c.ByteTime <= 1000):
		return fmt.Errorf("fairshare: byte time of %g ns, want 0 to 1000", c.ByteTime)
	case c.Window < time.Microsecond || c.Window > time.Minute:
		return fmt.Errorf("fairshare: window of %v, want 1µs to 1m", c.Window)
	case !(c.Finishing >= 0 && c.Finishing <= 1000):
		return fmt.Errorf("fairshare: a weight of %g for what is under way, want 0 to 1000", c.Finishing)
	case c.Flows < 1 || c.Flows > 1<<24:
		return fmt.Errorf("fairshare: %d flows, want 1 to 16777216", c.Flows)
	}
	return nil
}

// FlowConfig are what a flow may have.
type FlowConfig struct {
	Weight float64 // over 0
	Rate   float64 // bytes a second; 0: no limit
	Burst  float64 // bytes that may go at once after a rest
}

func (t FlowConfig) valid() FlowConfig {
	if !(t.Weight > 0) || math.IsInf(t.Weight, 0) {
		t.Weight = 1
	}
	if !(t.Rate > 0) || math.IsInf(t.Rate, 0) {
		t.Rate = 0
	}
	t.Burst = max(t.Burst, 1)
	return t
}

// Cost is what a turn took.
type Cost struct {
	Work  time.Duration // 0 or more
	Bytes int
}

// Flow is a volume on one loop.
type Flow[T any] struct {
	name   string
	terms  FlowConfig
	start  float64 // tag of its next turn, while it has one to come
	finish float64 // of its last turn
	items  lot[T]
	state  state
	pos    int    // in its heap
	seq    uint64 // of its last push among the flows of one tag

	tokens float64       // bytes that its limit leaves it
	fill   time.Duration // when they were counted
	until  time.Duration // it waits for its limit

	gone    bool // forgotten by its scheduler
	touched bool // in the scheduler's list of those that had something since the last Sync
	account *SharedUsage
	seen    Usage // of the account, from other loops
	told    Usage // of this loop's part, not yet in the account

	had Usage
}

type state uint8

const (
	resting state = iota
	waiting       // in the heap of those whose turn may come
	turning       // has the turn
	pacing        // waits for its limit
)

// Usage is what was had.
type Usage struct {
	Cost  float64 // nanoseconds
	Bytes int64
}

// Name returns the flow's name.
func (f *Flow[T]) Name() string { return f.name }

// Weight returns the flow's weight.
func (f *Flow[T]) Weight() float64 { return f.terms.Weight }

// Waiting returns how many items wait.
func (f *Flow[T]) Waiting() int { return f.items.n }

// Usage returns what the flow had on this loop since it was made.
func (f *Flow[T]) Usage() Usage { return f.had }

// RateLimitedUntil tells until when the flow waits for its limit.
func (f *Flow[T]) RateLimitedUntil() (time.Duration, bool) { return f.until, f.state == pacing }

// Scheduler says whose turn it is on one loop. It is not safe for concurrent use.
type Scheduler[T any] struct {
	cfg    Config
	loop   int
	v      float64 // virtual time: the start tag of the last turn given
	most   float64 // the largest finish tag
	seq    uint64
	ready  heap[T]
	paced  heap[T]
	flows  map[string]*Flow[T]
	list   []*Flow[T] // all, in the order of their making
	others *Flow[T]   // of those beyond the bound
	hot    []*Flow[T] // had something since the last Sync
	hand   int        // of the search for flows that can be forgotten
	n      int
}

// New returns a scheduler of the loop with a number, the place of its part in accounts.
func New[T any](cfg Config, loop int) (*Scheduler[T], error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Finishing == 0 {
		cfg.Finishing = 1
	}
	s := &Scheduler[T]{cfg: cfg, loop: loop, flows: map[string]*Flow[T]{}}
	s.ready.less = func(a, b *Flow[T]) bool { return a.start < b.start || a.start == b.start && a.seq < b.seq }
	s.paced.less = func(a, b *Flow[T]) bool { return a.until < b.until || a.until == b.until && a.seq < b.seq }
	s.others = &Flow[T]{name: "others", terms: FlowConfig{Weight: 1}.valid()}
	return s, nil
}

// Len returns how many items wait, paced ones too.
func (s *Scheduler[T]) Len() int { return s.n }

// Ready tells whether a turn can be given without waiting for a limit.
func (s *Scheduler[T]) Ready() bool { return len(s.ready.a) > 0 }

// Flows calls f for each flow, in the order of their making.
func (s *Scheduler[T]) Flows(f func(*Flow[T])) {
	for _, x := range s.list {
		f(x)
	}
	f(s.others)
}

// Flow finds or makes the flow of a name. An account, if there is one, joins it with
// the flows of that name on other loops. Where there are as many as may be, one that
// rests and is not behind is forgotten; is there none, the name shares a flow with
// all others beyond the bound.
func (s *Scheduler[T]) Flow(now time.Duration, name string, t FlowConfig, a *SharedUsage) *Flow[T] {
	if f := s.flows[name]; f != nil {
		return f
	}
	if s.cfg.Arrival {
		return s.others
	}
	if len(s.list) >= s.cfg.Flows && !s.forget() {
		return s.others
	}
	f := &Flow[T]{name: name, terms: t.valid(), account: a, fill: now}
	f.tokens = f.terms.Burst
	if a != nil {
		f.seen = a.elsewhere(s.loop)
	}
	s.flows[name] = f
	s.list = append(s.list, f)
	return f
}

// tries bounds the search for a flow that can be forgotten.
const tries = 16

// forget drops a flow that rests and whose tag the virtual time has passed: made
// anew, it would be the same. Whoever still holds it may go on to push to it.
func (s *Scheduler[T]) forget() bool {
	for range min(tries, len(s.list)) {
		s.hand = (s.hand + 1) % len(s.list)
		f := s.list[s.hand]
		if f.state == resting && f.finish <= s.v && (f.terms.Rate == 0 || f.tokens >= f.terms.Burst) {
			s.publish(f)
			delete(s.flows, f.name)
			f.gone = true
			last := len(s.list) - 1
			s.list[s.hand] = s.list[last]
			s.list[last] = nil
			s.list = s.list[:last]
			return true
		}
	}
	return false
}

// Configure gives a flow other terms. What it is behind, or ahead, was counted by the weight
// that it had, and is counted by the new one from here on.
func (s *Scheduler[T]) Configure(now time.Duration, f *Flow[T], t FlowConfig) {
	t = t.valid()
	s.refill(now, f)
	ratio := f.terms.Weight / t.Weight
	retag := func(tag float64) float64 {
		if tag <= s.v {
			return tag
		}
		return s.v + (tag-s.v)*ratio
	}
	f.start, f.finish = retag(f.start), retag(f.finish)
	f.terms = t
	f.tokens = min(f.tokens, t.Burst)
	if f.state == waiting {
		s.ready.fix(f)
	}
	if f.state == pacing {
		s.paced.remove(f)
		s.admit(now, f)
	}
}

// Push adds an item to a flow, of what is under way.
func (s *Scheduler[T]) Push(now time.Duration, f *Flow[T], item T) { s.push(now, f, item, underWay) }

// PushNew adds an item to a flow that is the beginning of something, such as a request.
func (s *Scheduler[T]) PushNew(now time.Duration, f *Flow[T], item T) {
	if s.cfg.Arrival {
		s.push(now, f, item, underWay)
		return
	}
	s.push(now, f, item, fresh)
}

func (s *Scheduler[T]) push(now time.Duration, f *Flow[T], item T, which int) {
	if f.gone {
		f = s.revive(f)
	}
	f.items.push(which, item)
	s.n++
	if f.state != resting {
		return
	}
	s.hear(now, f)
	f.start = max(s.v, f.finish)
	s.admit(now, f)
}

// revive finds the flow that stands for a forgotten one, or takes it back.
func (s *Scheduler[T]) revive(f *Flow[T]) *Flow[T] {
	if g := s.flows[f.name]; g != nil {
		return g
	}
	if len(s.list) >= s.cfg.Flows && !s.forget() {
		return s.others
	}
	f.gone = false
	s.flows[f.name] = f
	s.list = append(s.list, f)
	return f
}

// admit lets a flow wait for its turn, or for its limit.
func (s *Scheduler[T]) admit(now time.Duration, f *Flow[T]) {
	s.seq++
	f.seq = s.seq
	if f.terms.Rate > 0 {
		if s.refill(now, f); f.tokens < 1 {
			f.state = pacing
			f.until = now + time.Duration(math.Ceil((1-f.tokens)/f.terms.Rate*1e9))
			s.paced.push(f)
			return
		}
	}
	f.state = waiting
	s.ready.push(f)
}

// refill counts the bytes that a flow's limit has left it by now.
func (s *Scheduler[T]) refill(now time.Duration, f *Flow[T]) {
	if f.terms.Rate > 0 && now > f.fill {
		f.tokens = min(f.terms.Burst, f.tokens+f.terms.Rate*(now-f.fill).Seconds())
	}
	f.fill = max(f.fill, now)
}

// Next gives the turn to an item of the flow with the smallest start tag. Done must
// follow before the next Next. It tells false where nothing may move now.
func (s *Scheduler[T]) Next(now time.Duration) (item T, f *Flow[T], ok bool) {
	for len(s.paced.a) > 0 && s.paced.a[0].until <= now {
		f := s.paced.a[0]
		s.paced.remove(f)
		f.start = max(s.v, f.finish) // it could not have used the time: nothing is saved up
		s.admit(now, f)
	}
	if len(s.ready.a) == 0 {
		if s.n == 0 {
			s.v = max(s.v, s.most) // the end of a busy period: who comes next starts level
		}
		return item, nil, false
	}
	f = s.ready.a[0]
	s.ready.remove(f)
	f.state = turning
	s.v = max(s.v, f.start)
	s.n--
	return f.items.pop(), f, true
}

// Done charges a flow for its turn and lets it wait for the next one.
func (s *Scheduler[T]) Done(now time.Duration, f *Flow[T], c Cost) {
	s.Charge(now, f, c)
	if f.state != turning {
		return
	}
	f.items.charge(max(float64(c.Work), float64(c.Bytes)*s.cfg.ByteTime), s.cfg.Finishing)
	f.state = resting
	if f.items.n > 0 {
		f.start = max(s.v, f.finish)
		s.admit(now, f)
	}
}

// Charge adds what a flow had, in its turn or outside of it; negative bytes take back what
// was charged too much.
func (s *Scheduler[T]) Charge(now time.Duration, f *Flow[T], c Cost) {
	cost := max(float64(c.Work), float64(c.Bytes)*s.cfg.ByteTime)
	if c.Bytes < 0 { // charged too much before
		cost = float64(c.Bytes) * s.cfg.ByteTime
	}
	f.had.Cost += cost
	f.had.Bytes += int64(c.Bytes)
	f.told.Cost += cost
	f.told.Bytes += int64(c.Bytes)
	if !f.touched {
		f.touched = true
		s.hot = append(s.hot, f)
	}
	if f.terms.Rate > 0 {
		s.refill(now, f)
		f.tokens -= float64(c.Bytes)
	}
	s.behind(f, cost)
}

// behind moves a flow's tags by a cost, as far as the window lets it.
func (s *Scheduler[T]) behind(f *Flow[T], cost float64) {
	from := f.finish
	if f.state != resting {
		from = f.start
	}
	to := min(max(s.v, from)+cost/f.terms.Weight, max(from, s.v+float64(s.cfg.Window)/f.terms.Weight))
	f.finish = to
	if f.state != resting {
		f.start = to
	}
	if f.state == waiting {
		s.ready.fix(f)
	}
	s.most = max(s.most, to)
}

// NextWake returns when the first of the flows that wait for their limits may go on.
func (s *Scheduler[T]) NextWake() (time.Duration, bool) {
	if len(s.paced.a) == 0 {
		return 0, false
	}
	return s.paced.a[0].until, true
}

// Delay returns how long the limit of a flow makes an item that comes now wait for its
// turn, where each that waits before it takes so many bytes.
func (s *Scheduler[T]) Delay(now time.Duration, f *Flow[T], each int) time.Duration {
	if f.terms.Rate == 0 {
		return 0
	}
	s.refill(now, f)
	short := float64(f.items.n)*float64(each) - f.tokens
	return time.Duration(max(short, 0) / f.terms.Rate * 1e9)
}

// Sync tells the accounts what flows had here since the last time, and hears what these
// had on other loops; a flow that had nothing here hears of it when it comes again. It is called once in a while, a thousand times a second or so.
func (s *Scheduler[T]) Sync(now time.Duration) {
	for i, f := range s.hot {
		s.hot[i] = nil
		f.touched = false
		s.publish(f)
		if f.state != resting {
			s.hear(now, f)
		}
	}
	s.hot = s.hot[:0]
}

func (s *Scheduler[T]) publish(f *Flow[T]) {
	if f.account != nil && f.told != (Usage{}) {
		f.account.add(s.loop, f.told)
		f.told = Usage{}
	}
}

// hear takes what a flow had on other loops for its own.
func (s *Scheduler[T]) hear(now time.Duration, f *Flow[T]) {
	if f.account == nil {
		return
	}
	there := f.account.elsewhere(s.loop)
	cost, bytes := there.Cost-f.seen.Cost, there.Bytes-f.seen.Bytes
	f.seen = there
	if bytes > 0 && f.terms.Rate > 0 {
		s.refill(now, f)
		f.tokens -= float64(bytes)
	}
	if cost > 0 {
		s.behind(f, cost)
	}
}
