// The decisions of one dispatcher. The interface (Config, events, actions) is
// in api.go, the state kept between events in state.go, the check of settings in
// check.go. Everything that is decided is decided here, in this order:
// queue, controller, depth, admission, health, guards of the rules, intake.
//
// The ordinary path is C-SFQ(D): one start-time fair queue per node with the
// volumes as flows, lowest start tag first while fewer than D are out.

package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// Controller: the interval is the paper's; the clamp keeps one late figure
	// from starving a volume, or from letting it crowd out all others.
	controlEvery     = 3 * time.Second
	phiFloor, phiCap = 0.25, 2.0 // times the plan's weight

	// Depth: Little's law within fixed ends (the design page).
	depthMin, depthMax = 4, 32
	rateSpan           = 3 * time.Second // over which completions are averaged
	crowded            = 0.3             // of the tightest aim: a longer delay shrinks D

	// Admission: a request may be expected to be delayed by so many of the
	// tightest aim, whatever its own aim: what may wait longer must not fill the
	// line before what may not. Reserved work gets more room, so that work beyond
	// it leaves space.
	roomReserve, roomBeyond = 0.8, 0.3
	afterMin                = 50 * time.Millisecond // shortest advice to stay away

	// Cold nodes: the part of the rule's bound that is used, and over what span a shard's
	// usual service is averaged.
	coldSafe  = 0.5
	usualSpan = 30 * time.Second

	// What an answer is expected to take: the uncrowded time of a unit is a low
	// quantile of what units took, the rest is delay. A late sample fades.
	delayGain              = 0.25
	delayHalf              = 3.0 // tightest aims
	baseQuantile, baseGain = 0.3, 0.1

	lostGain = 1.0 / 8 // of one answer in the share of lost ones
	lossy    = 0.08    // share of answers lost from which attempts are given up early
	patient  = 4.0     // times its uncrowded time that an attempt may take before it counts as lost

	// Health: so many bad ends in a row, no answer between, make a node suspect.
	suspectAfter     = 3
	backoffMin       = 100 * time.Millisecond
	backoffMax       = 2 * time.Second
	callMin, callMax = 500 * time.Millisecond, 2 * time.Second // between failed calls to discovery (6 s bind)
	forgetAfter      = 30 * time.Second                        // idle volumes
	retryGap         = 20 * time.Millisecond                   // before a further attempt
)

// New checks the settings and returns a dispatcher that knows nothing yet.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := check(cfg); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	d := &Dispatcher{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)),
		nodes: map[NodeID]*node{}, shards: map[Shard]*node{}, usages: map[Shard]*meter{},
		vols: map[VolumeID]*volume{}, reqs: map[RequestID]*request{}, turns: map[string]*turn{},
		maxLeft: make([]time.Duration, len(cfg.Classes)), tightest: cfg.Classes[0].LatencyObjective,
	}
	for _, c := range cfg.Classes {
		d.tightest = min(d.tightest, c.LatencyObjective)
		for _, p := range cfg.Plans {
			d.bestValue = max(d.bestValue, c.PriorityWeight*p.Price)
		}
	}
	return d, nil
}

// Handle takes one event and returns what is to be done, in order.
func (d *Dispatcher) Handle(now time.Duration, ev Event) []Action {
	d.acts = nil
	d.now = max(now, d.now)
	if !d.started {
		d.started, d.born, d.wakeAt = true, d.now, math.MaxInt64
		d.at(d.now+controlEvery, task{kind: doControl})
		if d.cfg.PollDiscovery {
			d.act(Watch{On: true})
		}
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		d.onList(e)
	case Request:
		d.onRequest(e)
	case AttemptCompleted:
		d.onOutcome(e)
	case ClientCanceled:
		d.onGone(e)
	case CostCorrection:
		d.onMeasured(e)
	case TimerFired:
		if d.now >= d.wakeAt {
			d.wakeAt = math.MaxInt64
		}
	}
	d.runAgenda()
	for len(d.dirty) > 0 {
		n := d.dirty[0]
		d.dirty = d.dirty[1:]
		d.pump(n)
	}
	d.arm()
	return d.acts
}

// ---- 1. Queue: start-time fair queuing, one queue per node, volumes as flows.

// enqueue holds r at n. front is for a further attempt, which keeps its place.
func (d *Dispatcher) enqueue(r *request, n *node, front bool) {
	f := d.flowOf(r.vol, n)
	r.node, r.flow, r.state, r.vArr = n, f, held, n.v
	r.queued = f.stands(d.now)
	if f.live == 0 {
		n.phiSum += r.vol.phi
	}
	f.live++
	f.units += r.Units
	n.held++
	n.heldSum += r.Units
	r.vol.heldUnits += r.Units
	if front {
		f.line = slices.Insert(f.line, 0, r)
	} else {
		f.line = append(f.line, r)
	}
	f.settle()
	d.expire(r, min(r.aimAt, r.deadline-d.cfg.RoundTrip))
	d.touch(n)
}

// leave takes r out of its queue, sent or not.
func (d *Dispatcher) leave(r *request) {
	f, n := r.flow, r.node
	d.unexpire(r)
	r.held = r.heldFor(d.now)
	f.live--
	f.units -= r.Units
	n.held--
	n.heldSum -= r.Units
	r.vol.heldUnits -= r.Units
	r.flow = nil
	if f.live == 0 {
		f.units = 0
		n.phiSum -= r.vol.phi
	}
	if n.held == 0 { // rounding must not add up
		n.phiSum, n.heldSum = 0, 0
	}
	f.settle()
}

// settle drops what has left from the head of the line, tags the head and puts
// the flow in its place in the heap.
func (f *flow) settle() {
	for len(f.line) > 0 && f.line[0].flow != f {
		f.line[0] = nil
		f.line = f.line[1:]
	}
	h := &f.node.flows
	if len(f.line) == 0 || f.parked {
		if f.pos >= 0 {
			heap.Remove(h, f.pos)
		}
		return
	}
	f.start = max(f.line[0].vArr, f.floor, f.lastF)
	if f.pos < 0 {
		heap.Push(h, f)
	} else {
		heap.Fix(h, f.pos)
	}
}

// reweigh changes a volume's weight and retags what it holds: the finish tag of
// the last request sent is recomputed from its start tag, held ones follow it.
func (v *volume) reweigh(phi float64) {
	if phi == v.phi {
		return
	}
	for _, f := range v.flows {
		if f.live > 0 {
			f.node.phiSum += phi - v.phi
		}
	}
	v.phi = phi
	for _, f := range v.flows {
		f.lastF = f.lastS + f.lastC/phi
		f.floor = f.node.v
		f.settle()
	}
}

// pass records in the tags that r leaves for its node.
func (f *flow) pass(r *request) {
	f.lastS, f.lastC, f.lastF = f.start, r.Units, f.start+r.Units/f.vol.phi
	f.node.v = max(f.node.v, f.lastS)
}

// Less is the order of release: the lowest start tag, then the first taken.
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return a.start < b.start || a.start == b.start && a.line[0].seq < b.line[0].seq
}

// pump releases what may leave for n, lowest start tag first.
func (d *Dispatcher) pump(n *node) {
	n.unblock(d.now)
	for len(n.flows) > 0 && (n.out < d.depth(n) || d.idle(n)) {
		f := n.flows[0]
		r := f.line[0]
		if late := d.now + d.delay(n) + n.service(r.Units) - r.aimAt; late > 0 && !d.idle(n) {
			d.refuse(r, late) // it would miss its aim in the node's own queue
			continue
		}
		at, whose := d.allowed(r, n)
		switch {
		case whose == free:
			d.send(r, n)
		case whose == never || at > r.aimAt:
			d.refuse(r, at-d.now)
		case whose == ofVolume:
			f.park(d.now)
			f.settle()
			d.at(at, task{kind: doUnpark, flow: f})
		default:
			if n.wake <= d.now || at < n.wake {
				n.wake = at
				d.at(at, task{kind: doPump, node: n})
			}
			n.block(d.now, n.until >= at)
			return
		}
	}
}

// ---- 2. Controller: every interval the weights follow the fleet's use.

// control scales each weight by 100 over the volume's latest use figure, within
// the clamp. A figure acts once; without a fresh one the weight stays.
func (d *Dispatcher) control() {
	d.at(d.now+controlEvery, task{kind: doControl})
	for _, v := range d.volOrder {
		if v.use <= 0 {
			continue
		}
		used := max(v.use-1, 1)
		v.use = 0
		w := v.plan.Weight
		v.reweigh(min(max(v.phi*100/used, w*phiFloor), w*phiCap))
	}
	d.forget()
}

// ---- 3. Depth: how many requests may be out at one node.

func (d *Dispatcher) depth(n *node) int {
	if d.now < n.until || n.bad >= suspectAfter {
		return 1
	}
	floor := depthMin
	if d.lost < lossy { // else what is out may hold a place that the node has free
		// Four each from many dispatchers flood the node.
		floor = min(depthMin, max(1, depthMax/d.cfg.DispatcherCount)+min(n.easy/2, 1))
	}
	deep := min(max(float64(floor), math.Ceil(n.done.rate(d.now, rateSpan)*d.tightest.Seconds())), depthMax)
	// Crowding: the delay tells when the node is sent too much, whoever sends it.
	if l, most := d.delay(n).Seconds(), d.crowding(); l > most {
		deep = max(1, deep*most/l)
	}
	return int(deep)
}

// ---- 4. Admission: what cannot be answered in time is refused early.

// delay is what an attempt at n is expected to take beyond its own work. The age of the
// oldest one out counts too: silence, of whatever cause, shows there before any outcome.
// Not that of one whose answer is lost: that holds up no other.
func (d *Dispatcher) delay(n *node) time.Duration {
	e := seconds(n.lat * math.Exp2(-float64(d.now-n.latAt)/(delayHalf*float64(d.tightest))))
	n.outs = slices.DeleteFunc(n.outs, func(r *request) bool { return !r.out || r.node != n })
	i := slices.IndexFunc(n.outs, func(r *request) bool { return !d.overtaken(r, n, e) })
	if i >= 0 && (d.lost < lossy || n.bad > 1) {
		e = max(e, d.now-n.outs[i].sentAt-n.service(n.outs[i].Units))
	}
	return e
}

// overtaken tells whether r's answer counts as lost: n has answered a later attempt without
// delay, and r is out for longer than its work can explain. It may do harm at a node of
// which only a part works on, or which takes work out of order.
func (d *Dispatcher) overtaken(r *request, n *node, delay time.Duration) bool {
	return r.sentAt < n.heardAt && d.now-r.sentAt > delay+n.service(patient*r.Units)
}

// service is what so many units take at n when it is not crowded.
func (n *node) service(units float64) time.Duration { return seconds(n.base * units) }

// crowding is the delay, in seconds, from which a node counts as crowded.
func (d *Dispatcher) crowding() float64 { return crowded * d.tightest.Seconds() }

// usualUnits is what a request counts where nothing more is known of it.
func (d *Dispatcher) usualUnits() float64 { return max(d.cfg.MeanUnits, 1) }

// heard learns from a served answer of r: the uncrowded time of a unit is a low quantile
// of what units took, and what it took beyond is the delay. One answer may just have been
// unlucky: the requests that the node reports in hand, worked off one by one or as many at
// a time as D's floor, bound the delay from both sides. Without a report it stands alone.
func (d *Dispatcher) heard(n *node, r *request, e AttemptCompleted) {
	took := e.Latency.Seconds()
	if unit := took / max(r.Units, 1); n.base == 0 {
		n.base, n.lat = unit, 0
	} else if unit < n.base {
		n.base *= 1 - baseGain*(1-baseQuantile)
	} else {
		n.base *= 1 + baseGain*baseQuantile
	}
	over := max(0, took-n.base*r.Units)
	if x, told := e.LoadReport["inflight"]; told && x >= 0 && !math.IsInf(x, 1) {
		hand := x * n.base * d.usualUnits()
		over = min(max(over, hand/depthMin), hand)
	}
	n.lat += delayGain * (over - n.lat)
	n.latAt = d.now
	n.easy++
	if over > d.crowding() {
		n.easy = 0
	}
}

// wait estimates how long r would be held at n: those ahead of it by the start
// tags, each taking a D-th of the latency (Little's law).
func (d *Dispatcher) wait(r *request, n *node) time.Duration {
	depth := d.depth(n)
	if n.out < depth && n.held == 0 {
		return 0
	}
	f, phi := d.flowOf(r.vol, n), n.phiSum
	if f.live == 0 {
		phi += r.vol.phi
	}
	ahead := min(n.heldSum, (f.units+r.Units)*phi/r.vol.phi)
	usual := d.usualUnits()
	each := d.delay(n) + n.service(usual)
	return time.Duration(ahead / usual * float64(each) / float64(depth))
}

// admit holds r at n, or refuses it at once when it cannot be answered in time. The delay
// that it may meet, in tightest aims, follows its worth and whether its volume is inside
// the reserve; at a cold node work beyond the reserve leaves a request's room to that.
func (d *Dispatcher) admit(r *request, n *node) {
	lim, never := d.limitWait(r)
	if never {
		d.refuse(r, d.cfg.MaxRetryAfter)
		return
	}
	v, part, ahead := r.vol, roomReserve, n.heldSum
	v.fillReserve(d)
	if v.reserve < v.heldUnits {
		part, ahead = roomBeyond, ahead+d.cfg.MeanUnits
	}
	part *= 0.5 + 0.5*r.class.PriorityWeight*v.plan.Price/max(d.bestValue, 1e-9)
	delay, cold := d.delay(n), max(0, d.coldAt(n, ahead)-d.now)
	wait, left := d.wait(r, n), r.aimAt-d.now-n.service(r.Units)
	// A wait within its own objective bars no other request.
	inAims := time.Duration(float64(wait) * float64(d.tightest) / float64(r.class.LatencyObjective))
	need := delay + max(inAims+max(0, n.until-d.now), lim, cold)
	room := min(time.Duration(float64(d.tightest)*part), left-wait+inAims)
	if need > room && !(d.idle(n) && d.now >= n.until && lim == 0 && cold == 0) {
		d.refuse(r, need-room)
		return
	}
	d.enqueue(r, n, false)
}

// idle tells whether a request may leave against the evidence, to find out anew. Nothing
// out from here says little where many others send: each dispatcher beyond those whose
// floors fit under D's ceiling adds the node's time for one request to the pause between.
// One attempt that has long been silent, where none ended badly, may be a lost answer: a
// second finds out. At a node that hangs it costs that one.
func (d *Dispatcher) idle(n *node) bool {
	gap := time.Duration(max(0, d.cfg.DispatcherCount-depthMax/depthMin)) * n.service(d.usualUnits())
	if n.out == 1 && n.bad == 0 {
		gap += seconds(d.crowding()) + n.service(patient*d.usualUnits())
	} else if n.out > 0 {
		return false
	}
	return n.held <= 1 && d.now-n.sentAt >= gap
}

// fillReserve keeps the store of reserved units, as far as it is seen from here.
func (v *volume) fillReserve(d *Dispatcher) {
	v.reserve = min(v.reserveTop(d), v.reserve+v.plan.Reserve*(d.now-v.reserveAt).Seconds())
	v.reserveAt = d.now
}

// takeReserve counts units used; a debt is no deeper than the store is high.
func (v *volume) takeReserve(d *Dispatcher, units float64) {
	v.fillReserve(d)
	v.reserve = max(v.reserve-units, -v.reserveTop(d))
}

// reserveTop is a second of the reserve and one largest request.
func (v *volume) reserveTop(d *Dispatcher) float64 { return v.plan.Reserve + d.cfg.MaxUnits }

// ---- 5. Health, from symptoms.

// judge takes an attempt's end as a symptom. Only an answer clears suspicion.
func (d *Dispatcher) judge(n *node, r *request, e AttemptCompleted) {
	switch e.Result {
	case OK:
		d.miss(n, r, e)
		n.bad, n.until = 0, 0
		n.done.add(d.now, 1, rateSpan)
		d.heard(n, r, e)
		n.use.add(d.now, r.Units, usualSpan)
		d.giveUp(n)
	case Canceled:
		if r.astray { // its answer counts as lost, and says nothing of the node
			n.missing++
			n.missedAt = max(n.missedAt, r.sentAt)
		}
	case Rejected, TimedOut, ConnectFailed, ConnectionReset:
		n.bad++
		n.easy = 0
		if e.Result == TimedOut {
			n.missing++
			n.missedAt = max(n.missedAt, r.sentAt)
		}
		if n.bad >= suspectAfter {
			back := min(backoffMin<<min(n.bad-suspectAfter, 8), backoffMax)
			n.until = d.now + time.Duration(float64(back)*(0.75+0.5*d.rng.Float64()))
			d.at(n.until, task{kind: doPump, node: n})
		}
	}
}

// giveUp ends the first attempt at n whose answer counts as lost, where another may be made
// within the aim. The budget bounds what it costs where the answer was to come after all.
func (d *Dispatcher) giveUp(n *node) {
	usual := d.delay(n)
	for _, r := range n.outs {
		safe := r.class.Idempotency == Idempotent ||
			r.class.Idempotency == Deduplicated && d.now-r.sentAt < r.class.DedupWindow
		if safe && d.cfg.CancelAttempts && r.state == sent && !r.astray && d.overtaken(r, n, usual) &&
			d.now+usual+n.service(r.Units) < r.aimAt && d.mayRepeat(r, n) {
			r.astray = true
			d.act(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
			return
		}
	}
}

// miss learns the share of answers that are lost: attempts that ran out of time while a
// later one at the same node was answered without delay. A node that is silent, or slow,
// answers none so; its time-outs prove nothing.
func (d *Dispatcher) miss(n *node, r *request, e AttemptCompleted) {
	d.lost *= 1 - lostGain
	if (e.Latency - n.service(r.Units)).Seconds() < d.crowding() {
		n.heardAt = max(n.heardAt, r.sentAt)
		if r.sentAt > n.missedAt {
			d.lost += (1 - d.lost) * min(1, lostGain*float64(n.missing))
		}
	}
	n.missing = 0
}

// ---- 6. Guards of the rules. send is the only place that makes an attempt.

// allowed tells whether every rule lets r leave for n now; else from when on,
// and whether the volume or the node stands in the way.
func (d *Dispatcher) allowed(r *request, n *node) (time.Duration, verdict) {
	if r.state == over || r.out || d.now >= r.deadline || !n.listed || n.State != Ready {
		return d.now, never // answered, out, too late, or told that the node drains
	}
	if r.Shard != AnyShard && r.Shard != n.Shard || r.attempts > 0 && !d.mayRepeat(r, n) {
		return d.now, never
	}
	if t := r.turn; t != nil && (t.line[0] != r || (d.now < t.rest && r.attempts == 0)) {
		return d.now, never // enters the queue only with its turn: cannot happen
	}
	if at := max(n.until, d.coldAt(n, 0)); at > d.now {
		return at, ofNode
	}
	if w, no := d.limitWait(r); no {
		return d.now, never
	} else if w > 0 {
		return d.now + w, ofVolume
	}
	return d.now, free
}

// mayRepeat guards effects and the budget for a further attempt of r at n.
func (d *Dispatcher) mayRepeat(r *request, n *node) bool {
	if d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts {
		return false
	}
	if r.mayHaveRun {
		switch r.class.Idempotency {
		case NonIdempotent:
			return false
		case Deduplicated:
			in := r.class.DedupScope == DedupEverywhere ||
				r.class.DedupScope == DedupPerZone && r.doubtZone == n.Zone ||
				r.class.DedupScope == DedupPerShard && r.doubtShard == n.Shard
			if !in || d.now-r.doubtAt >= r.class.DedupWindow {
				return false
			}
		}
	}
	b := d.cfg.RetryBudget
	if b.Window == 0 {
		return true
	}
	d.trimBudget()
	return float64(len(d.extra)+1) <= b.MinRetries+b.Ratio*float64(len(d.taken))
}

// trimBudget forgets what has left the window. Requests leave a round early and
// further attempts a round late, so that the edges cannot be counted against us.
func (d *Dispatcher) trimBudget() {
	b := d.cfg.RetryBudget
	d.taken = after(d.taken, d.now-b.Window+d.cfg.RoundTrip)
	d.extra = after(d.extra, d.now-b.Window-d.cfg.RoundTrip-1)
}

// mayRefuse tells whether refusing r keeps the rule on effects.
func (r *request) mayRefuse() bool {
	return !r.mayHaveRun && !r.out || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
}

// limitWait tells how long the volume's part of its limit holds r back, counting
// what is held before it, and whether r can never pass.
func (d *Dispatcher) limitWait(r *request) (time.Duration, bool) {
	v := r.vol
	if v.plan.RateLimit <= 0 || r.attempts > 0 {
		return 0, false
	}
	v.fillTokens(d)
	if r.Units > v.tokensTop() {
		return 0, true
	}
	short := r.Units - v.tokens
	if r.state != held {
		short += v.heldUnits
	}
	rate := v.plan.RateLimit / float64(v.hosts)
	return time.Duration(math.Ceil(max(0, short)/rate*1e6)) * time.Microsecond, false
}

// tokensTop is an even part of what the limit's store bears at once.
func (v *volume) tokensTop() float64 {
	return (v.plan.Burst+v.plan.Slack)/float64(v.hosts) - 1e-6
}

// fillTokens keeps this dispatcher's part of the limit: an even part of rate and
// burst for each host. It starts empty: a restarted dispatcher cannot know what
// it spent, and the even part of the time since it started is provably unspent.
func (v *volume) fillTokens(d *Dispatcher) {
	v.tokens += (d.now - v.tokensAt).Seconds() * v.plan.RateLimit / float64(v.hosts)
	v.tokens = min(v.tokens, v.tokensTop())
	v.tokensAt = d.now
}

// coldAt tells from when on a just-started node may be sent a request of this dispatcher
// behind so many held units. The rule binds the sum over all: what a shard served each of
// them adds up to no more than its full capacity, so each may send that rate times the
// share of capacity that the node has for sure by its age, and times the rule's multiple;
// half, as the machine may be slower than its predecessor. Half of the even part of what is
// always borne comes on top, for who has no history. Units enter whole and are paid off
// after, with at most a usual request's allowance in hand; a first debt of random size
// keeps many from entering their first at once. So a span sees the parts, and by chance a
// request more from a few: the other half of the bound is for these.
func (d *Dispatcher) coldAt(n *node, ahead float64) time.Duration {
	c := d.cfg.SlowStart
	age := d.now - n.Started
	if c.InitialUnits <= 0 || n.Started == 0 || age >= c.WarmUp+c.Window {
		return 0
	}
	warm := min(1, max(0, (age-c.Window).Seconds())/max(c.WarmUp.Seconds(), 1e-9))
	grown := c.InitialCapacity + (1-c.InitialCapacity)*warm
	even := c.InitialUnits / c.InitialCapacity / c.Window.Seconds() / float64(d.cfg.DispatcherCount)
	rate := coldSafe * grown * (even + c.OverloadFactor*d.usual(n))
	if from := max(n.Started, d.born); n.debtAt < from { // an earlier life's debt is unknown
		n.debt, n.debtAt = d.rng.Float64()*d.usualUnits(), from
	}
	n.debt = max(-d.cfg.MeanUnits, n.debt-rate*(d.now-n.debtAt).Seconds())
	n.debtAt = d.now
	if n.debt+ahead <= 0 {
		return 0
	}
	return d.now + seconds(min((n.debt+ahead)/rate, c.WarmUp.Seconds())) + time.Microsecond
}

// usual is what n's shard served for this dispatcher, units a second over a while.
func (d *Dispatcher) usual(n *node) float64 {
	return n.use.rate(d.now, usualSpan) / max(1-decay(d.now-d.born, usualSpan), 0.1)
}

// send makes an attempt of r at n. Every rule has been asked in allowed.
func (d *Dispatcher) send(r *request, n *node) {
	r.flow.pass(r)
	d.leave(r)
	if r.attempts > 0 {
		d.extra = append(d.extra, d.now)
	} else {
		r.vol.tokens -= r.Units
		r.vol.takeReserve(d, r.Units)
	}
	n.debt += r.Units
	r.state, r.out, r.node, r.sentAt = sent, true, n, d.now
	r.attempts++
	n.out++
	n.sentAt = d.now
	n.outs = append(n.outs, r)
	d.act(SendAttempt{ID: r.ID, Node: n.ID, Deadline: d.patience(r, n), QueueTime: r.held})
	r.held = QueueTime{}
}

// patience ends an attempt in time for another one within the aim, where answers are lost
// and this one should have come by then: a lost answer costs one time-out. With no time
// for another it ends at the aim, to give its place free. Zero: the client's own deadline.
func (d *Dispatcher) patience(r *request, n *node) time.Duration {
	usual := d.delay(n) + n.service(patient*r.Units)
	until := r.aimAt - usual
	switch {
	case d.lost < lossy:
		return 0
	case until < d.now+usual:
		return r.aimAt
	case n.base == 0 || r.class.Idempotency == NonIdempotent || n.bad >= suspectAfter:
		return 0
	}
	return until
}

// refuse gives the final answer: harmless to try again, with a time to come
// back. Where that cannot be promised the answer is a failure.
func (d *Dispatcher) refuse(r *request, after time.Duration) {
	if r.mayRefuse() {
		after = min(max(after, afterMin), max(d.cfg.MaxRetryAfter, afterMin))
		d.act(Reject{ID: r.ID, RetryAfter: after, QueueTime: r.heldFor(d.now)})
	} else {
		d.act(Fail{ID: r.ID, QueueTime: r.heldFor(d.now)})
	}
	d.finish(r)
}

// finish ends r. Its key's turn passes on once no attempt of it is out.
func (d *Dispatcher) finish(r *request) {
	if r.flow != nil {
		d.touch(r.node)
		d.leave(r)
	}
	d.unexpire(r)
	r.state = over
	if !r.out {
		delete(d.reqs, r.ID)
		d.nextTurn(r.turn)
	}
}

// nextTurn lets the first unfinished request of a key into its queue, after the
// key has rested.
func (d *Dispatcher) nextTurn(t *turn) {
	if t == nil {
		return
	}
	for len(t.line) > 0 && t.line[0].state == over && !t.line[0].out {
		t.line = t.line[1:]
	}
	some := len(t.line) > 0
	switch {
	case d.turns[t.key] != t || some && t.line[0].state != waiting:
	case d.now < t.rest:
		d.at(t.rest, task{kind: doTurn, turn: t})
	case some:
		d.place(t.line[0])
	default:
		delete(d.turns, t.key)
	}
}

// ---- 7. Intake: events, timers and the node list.

func (d *Dispatcher) onRequest(e Request) {
	if d.reqs[e.ID] != nil {
		return // told twice
	}
	if !d.sensible(e) { // nothing has run: harmless to try again
		d.act(Reject{ID: e.ID, RetryAfter: afterMin})
		return
	}
	if d.cfg.RetryBudget.Window > 0 {
		d.trimBudget()
		d.taken = append(d.taken, d.now)
	}
	c := &d.cfg.Classes[e.Class]
	d.maxLeft[e.Class] = max(d.maxLeft[e.Class], e.Timeout)
	age := d.maxLeft[e.Class] - e.Timeout // of earlier tries of the same wish
	// Worth little now, and impatient clients repeat it whatever they are told: such tries
	// must not take the place, reserve or budget of others.
	if age >= c.LatencyObjective {
		d.act(Reject{ID: e.ID, RetryAfter: d.cfg.MaxRetryAfter})
		return
	}
	d.seq++
	r := &request{Request: e, class: c, seq: d.seq, deadline: d.now + e.Timeout, vol: d.volumeOf(e)}
	r.aimAt = d.now + min(c.LatencyObjective-age, e.Timeout)
	d.reqs[r.ID] = r
	if c.Ordered && r.Key != "" {
		t := d.turns[r.Key]
		if t == nil {
			t = &turn{key: strings.Clone(r.Key)}
			d.turns[t.key] = t
		}
		r.turn = t
		t.line = append(t.line, r)
		if t.line[0] != r || d.now < t.rest {
			d.expire(r, r.aimAt)
			d.nextTurn(t)
			return
		}
	}
	d.place(r)
}

func (d *Dispatcher) volumeOf(e Request) *volume {
	v := d.vols[e.Volume]
	if v == nil {
		p := &d.cfg.Plans[e.Plan]
		v = &volume{
			id: e.Volume, plan: p, phi: p.Weight, hosts: max(e.Dispatchers, 1), tokensAt: d.born,
			reserveAt: d.now,
		}
		v.reserve = v.reserveTop(d)
		d.vols[v.id] = v
		d.volOrder = append(d.volOrder, v)
	}
	v.fillTokens(d)
	v.hosts = max(v.hosts, e.Dispatchers) // fewer hosts now: the others may have spent their parts
	v.seen = d.now
	return v
}

// place finds r's node and admits it there.
func (d *Dispatcher) place(r *request) {
	n := d.shards[r.Shard]
	if r.Shard == AnyShard {
		n = d.choose(r)
	}
	if n == nil {
		d.refuse(r, afterMin*4)
		return
	}
	d.admit(r, n)
}

// choose takes the node where a new object is expected to be done first.
func (d *Dispatcher) choose(r *request) *node {
	var best *node
	bestCost := math.Inf(1)
	for _, n := range d.order {
		if n.State != Ready || d.now < n.until {
			continue
		}
		each := (d.delay(n) + n.service(r.Units)).Seconds()
		if n.base == 0 { // never heard: no reason to think it free
			each += d.crowding()
		}
		cost := each * (1 + float64(n.out+n.held)/float64(d.depth(n)))
		cost += max(0, (d.coldAt(n, 0) - d.now).Seconds())
		if cost *= 1 + 0.1*d.rng.Float64(); cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

func (d *Dispatcher) onOutcome(e AttemptCompleted) {
	r := d.reqs[e.ID]
	if r == nil || !r.out || e.Attempt != r.attempts-1 {
		return
	}
	n := r.node
	r.out = false
	n.out--
	d.touch(n)
	d.judge(n, r, e)
	r.astray = false
	if e.QuotaUsage > 0 {
		r.vol.use = e.QuotaUsage
	}
	if e.PeerUnits > 0 {
		r.vol.takeReserve(d, e.PeerUnits)
	}
	proven := e.Result == Rejected || e.Result == ConnectFailed || e.Result == NotSent
	if !proven && !r.mayHaveRun {
		r.mayHaveRun, r.doubtAt, r.doubtZone, r.doubtShard = true, r.sentAt, n.Zone, n.Shard
	}
	ambiguous := e.Result == TimedOut || e.Result == ConnectionReset || e.Result == Canceled
	if t := r.turn; t != nil && ambiguous {
		t.rest = max(t.rest, d.now+d.cfg.Quiescence)
	}
	if r.state == over || e.Responded {
		d.finish(r)
		return
	}
	d.again(r, n, e.Result)
}

// again tries r once more where the rules allow and time is left, else answers.
func (d *Dispatcher) again(r *request, n *node, s AttemptResult) {
	if r.Shard != AnyShard {
		if m := d.shards[r.Shard]; m != nil {
			n = m
		}
	} else if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		if m := d.choose(r); m != nil {
			n = m
		}
	}
	gap := retryGap
	if s == TimedOut || s == Canceled {
		gap = 0
	}
	if d.now+gap+d.delay(n)+n.service(r.Units) >= r.aimAt || !d.mayRepeat(r, n) {
		d.refuse(r, d.delay(n))
		return
	}
	r.state, r.node = resting, n
	d.at(d.now+gap, task{kind: doAgain, req: r})
}

// onMeasured charges a volume's tag, limit and reserve for what was taken for less than it
// is, or gives back: else who asks for more than it says has more than its share. It may do
// harm where nodes tell wrong sizes; a tag's cost does not fall below nought.
func (d *Dispatcher) onMeasured(e CostCorrection) {
	v, n := d.vols[e.Volume], d.nodes[e.Node]
	if v == nil || n == nil || !(math.Abs(e.Units) <= d.cfg.MaxUnits) {
		return
	}
	v.fillTokens(d)
	v.tokens = min(v.tokens-e.Units, v.tokensTop())
	v.takeReserve(d, e.Units)
	for _, f := range v.flows {
		if f.node == n {
			f.lastC = max(0, f.lastC+e.Units)
			f.lastF = f.lastS + f.lastC/v.phi
			f.settle()
			d.touch(n)
		}
	}
}

func (d *Dispatcher) onGone(e ClientCanceled) {
	r := d.reqs[e.ID]
	if r == nil || r.state == over {
		return
	}
	if r.out && d.cfg.CancelAttempts {
		d.act(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
	}
	d.finish(r)
}

// onList follows the node list. What a node that no longer serves holds goes to
// its successor, if one is listed.
func (d *Dispatcher) onList(e EndpointUpdate) {
	if e.Kind == PollFailed {
		gap := min(callMin<<min(d.calls, 8), callMax)
		d.calls++
		d.at(d.now+time.Duration(float64(gap)*(0.5+d.rng.Float64())), task{kind: doWatch})
		return
	}
	d.calls = 0
	if e.Kind != Delta {
		for _, n := range d.order {
			n.State = Removed
		}
	}
	for _, l := range e.Nodes {
		n := d.nodes[l.ID]
		if n == nil {
			n = &node{}
			d.nodes[l.ID] = n
			d.order = append(d.order, n)
		}
		if n.Started != l.Started { // a new process: the old one's past says nothing
			n.lat, n.base, n.done, n.bad, n.until, n.missing = 0, 0, meter{}, 0, 0, 0
		}
		n.Node, n.listed = l, true
		n.use = d.usageOf(l.Shard)
	}
	slices.SortFunc(d.order, func(a, b *node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	clear(d.shards)
	for _, n := range d.order {
		if n.State == Ready && (d.shards[n.Shard] == nil || d.shards[n.Shard].Started < n.Started) {
			d.shards[n.Shard] = n
		}
	}
	for _, n := range d.order {
		if n.State != Ready {
			d.evict(n)
		}
		d.touch(n)
	}
	d.order = slices.DeleteFunc(d.order, func(n *node) bool {
		if n.State == Removed && n.out == 0 && n.held == 0 {
			n.listed = false
			delete(d.nodes, n.ID)
			return true
		}
		return false
	})
}

func (d *Dispatcher) evict(n *node) {
	for _, v := range d.volOrder {
		for _, f := range v.flows {
			for _, r := range slices.Clone(f.line) {
				if r.flow == f && r.node == n {
					d.leave(r)
					r.state = waiting
					d.place(r)
				}
			}
		}
	}
}

// forget drops what no rule needs any more.
func (d *Dispatcher) forget() {
	d.volOrder = slices.DeleteFunc(d.volOrder, func(v *volume) bool {
		v.flows = slices.DeleteFunc(v.flows, func(f *flow) bool {
			return f.live == 0 && !f.parked && (f.lastF <= f.node.v || !f.node.listed)
		})
		v.fillTokens(d)
		full := v.plan.RateLimit == 0 || v.tokens >= v.tokensTop()
		gone := full && v.heldUnits <= 1e-9 && len(v.flows) == 0 && d.now-v.seen > forgetAfter
		if gone {
			delete(d.vols, v.id)
		}
		return gone
	})
}

func (d *Dispatcher) runAgenda() {
	for {
		t, due := d.agenda.PopDue(d.now)
		if !due {
			return
		}
		switch t.kind {
		case doControl:
			d.control()
		case doExpire:
			if r := t.req; r.state == held || r.state == waiting {
				d.refuse(r, afterMin)
			}
		case doUnpark:
			t.flow.unpark(d.now)
			t.flow.floor = max(t.flow.floor, t.flow.node.v)
			t.flow.settle()
			d.touch(t.flow.node)
		case doPump:
			d.touch(t.node)
		case doTurn:
			d.nextTurn(t.turn)
		case doAgain:
			if r := t.req; r.state == resting {
				if n := r.node; n.listed && n.State == Ready && d.mayRepeat(r, n) {
					d.enqueue(r, n, true)
				} else {
					d.refuse(r, afterMin)
				}
			}
		case doWatch:
			d.act(Watch{On: true})
		}
	}
}
