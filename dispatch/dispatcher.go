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
	controllerInterval               = 3 * time.Second
	minWeightFactor, maxWeightFactor = 0.25, 2.0 // times the plan's weight

	// Depth: Little's law within fixed ends (the design page).
	minConcurrency, maxConcurrency = 4, 32
	completionWindow               = 3 * time.Second // over which completions are averaged
	congestionThresholdFactor      = 0.3             // of the tightest aim: a longer delay shrinks D

	// Admission: a request may be expected to be delayed by so many of the
	// tightest aim, whatever its own aim: what may wait longer must not fill the
	// line before what may not. Reserved work gets more room, so that work beyond
	// it leaves space.
	reservedQueueBudget, excessQueueBudget = 0.8, 0.3
	minRetryAfter                          = 50 * time.Millisecond // shortest advice to stay away

	// Cold nodes: the part of the rule's bound that is used, and over what span a shard's
	// usual service is averaged.
	slowStartSafetyFactor = 0.5
	shardThroughputWindow = 30 * time.Second

	// What an answer is expected to take: the uncrowded time of a unit is a low
	// quantile of what units took, the rest is delay. A late sample fades.
	delayGain                            = 0.25
	delayHalfLife                        = 3.0 // tightest aims
	serviceTimeQuantile, serviceTimeGain = 0.3, 0.1

	lossRateGain      = 1.0 / 8 // of one answer in the share of lost ones
	lossRateThreshold = 0.08    // share of answers lost from which attempts are given up early
	lateAttemptFactor = 4.0     // times its uncrowded time that an attempt may take before it counts as lost

	// Health: so many bad ends in a row, no answer between, make a node suspect.
	ejectionThreshold          = 3
	minEjection                = 100 * time.Millisecond
	maxEjection                = 2 * time.Second
	minPollDelay, maxPollDelay = 500 * time.Millisecond, 2 * time.Second // between failed calls to discovery (6 s bind)
	idleVolumeTTL              = 30 * time.Second                        // idle volumes
	retryDelay                 = 20 * time.Millisecond                   // before a further attempt
)

// New checks the settings and returns a dispatcher that knows nothing yet.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := checkConfig(cfg); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	d := &Dispatcher{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)),
		nodes: map[NodeID]*node{}, nodeByShard: map[Shard]*node{}, throughputByShard: map[Shard]*decayingSum{},
		volumes: map[VolumeID]*volume{}, requests: map[RequestID]*request{}, keyQueues: map[string]*keyQueue{},
		maxTimeouts: make([]time.Duration, len(cfg.Classes)), tightestObjective: cfg.Classes[0].LatencyObjective,
	}
	for _, c := range cfg.Classes {
		d.tightestObjective = min(d.tightestObjective, c.LatencyObjective)
		for _, p := range cfg.Plans {
			d.maxPriority = max(d.maxPriority, c.PriorityWeight*p.Price)
		}
	}
	return d, nil
}

// Handle takes one event and returns what is to be done, in order.
func (d *Dispatcher) Handle(now time.Duration, ev Event) []Action {
	d.actions = nil
	d.now = max(now, d.now)
	if !d.started {
		d.started, d.startedAt, d.wakeAt = true, d.now, math.MaxInt64
		d.addTimer(d.now+controllerInterval, timerEvent{kind: controllerTimer})
		if d.cfg.PollDiscovery {
			d.emit(Watch{On: true})
		}
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		d.handleEndpointUpdate(e)
	case Request:
		d.handleRequest(e)
	case AttemptCompleted:
		d.handleAttemptCompleted(e)
	case ClientCanceled:
		d.handleClientCanceled(e)
	case CostCorrection:
		d.handleCostCorrection(e)
	case TimerFired:
		if d.now >= d.wakeAt {
			d.wakeAt = math.MaxInt64
		}
	}
	d.runTimers()
	for len(d.dirtyNodes) > 0 {
		n := d.dirtyNodes[0]
		d.dirtyNodes = d.dirtyNodes[1:]
		d.releaseQueued(n)
	}
	d.armWakeup()
	return d.actions
}

// ---- 1. Queue: start-time fair queuing, one queue per node, volumes as flows.

// enqueue holds r at n. front is for a further attempt, which keeps its place.
func (d *Dispatcher) enqueue(r *request, n *node, front bool) {
	f := d.flowFor(r.volume, n)
	r.node, r.flow, r.state, r.arrivalVirtualTime = n, f, queued, n.virtualTime
	r.blockedAtEnqueue = f.blockedTimes(d.now)
	if f.queuedRequests == 0 {
		n.backloggedWeight += r.volume.weight
	}
	f.queuedRequests++
	f.queuedUnits += r.Units
	n.queuedRequests++
	n.queuedUnits += r.Units
	r.volume.queuedUnits += r.Units
	if front {
		f.requests = slices.Insert(f.requests, 0, r)
	} else {
		f.requests = append(f.requests, r)
	}
	f.updateHead()
	d.setExpiry(r, min(r.objectiveAt, r.deadline-d.cfg.RoundTrip))
	d.markDirty(n)
}

// dequeue takes r out of its queue, sent or not.
func (d *Dispatcher) dequeue(r *request) {
	f, n := r.flow, r.node
	d.clearExpiry(r)
	r.queueTime = r.queueTimeUntil(d.now)
	f.queuedRequests--
	f.queuedUnits -= r.Units
	n.queuedRequests--
	n.queuedUnits -= r.Units
	r.volume.queuedUnits -= r.Units
	r.flow = nil
	if f.queuedRequests == 0 {
		f.queuedUnits = 0
		n.backloggedWeight -= r.volume.weight
	}
	if n.queuedRequests == 0 { // rounding must not add up
		n.backloggedWeight, n.queuedUnits = 0, 0
	}
	f.updateHead()
}

// updateHead drops what has left from the head of the line, tags the head and puts
// the flow in its place in the heap.
func (f *flow) updateHead() {
	for len(f.requests) > 0 && f.requests[0].flow != f {
		f.requests[0] = nil
		f.requests = f.requests[1:]
	}
	h := &f.node.flows
	if len(f.requests) == 0 || f.throttled {
		if f.heapIndex >= 0 {
			heap.Remove(h, f.heapIndex)
		}
		return
	}
	f.startTag = max(f.requests[0].arrivalVirtualTime, f.minStartTag, f.lastFinishTag)
	if f.heapIndex < 0 {
		heap.Push(h, f)
	} else {
		heap.Fix(h, f.heapIndex)
	}
}

// setWeight changes a volume's weight and retags what it holds: the finish tag of
// the last request sent is recomputed from its start tag, held ones follow it.
func (v *volume) setWeight(phi float64) {
	if phi == v.weight {
		return
	}
	for _, f := range v.flows {
		if f.queuedRequests > 0 {
			f.node.backloggedWeight += phi - v.weight
		}
	}
	v.weight = phi
	for _, f := range v.flows {
		f.lastFinishTag = f.lastStartTag + f.lastCost/phi
		f.minStartTag = f.node.virtualTime
		f.updateHead()
	}
}

// recordDispatch records in the tags that r leaves for its node.
func (f *flow) recordDispatch(r *request) {
	f.lastStartTag, f.lastCost, f.lastFinishTag = f.startTag, r.Units, f.startTag+r.Units/f.volume.weight
	f.node.virtualTime = max(f.node.virtualTime, f.lastStartTag)
}

// Less is the order of release: the lowest start tag, then the first taken.
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return a.startTag < b.startTag || a.startTag == b.startTag && a.requests[0].sequence < b.requests[0].sequence
}

// releaseQueued releases what may leave for n, lowest start tag first.
func (d *Dispatcher) releaseQueued(n *node) {
	n.unblock(d.now)
	for len(n.flows) > 0 && (n.inFlight < d.concurrencyLimit(n) || d.mayProbe(n)) {
		f := n.flows[0]
		r := f.requests[0]
		if late := d.now + d.expectedDelay(n) + n.serviceTime(r.Units) - r.objectiveAt; late > 0 && !d.mayProbe(n) {
			d.reject(r, late) // it would miss its aim in the node's own queue
			continue
		}
		at, whose := d.permission(r, n)
		switch {
		case whose == permitted:
			d.send(r, n)
		case whose == forbidden || at > r.objectiveAt:
			d.reject(r, at-d.now)
		case whose == volumeThrottled:
			f.throttle(d.now)
			f.updateHead()
			d.addTimer(at, timerEvent{kind: throttleTimer, flow: f})
		default:
			if n.releaseAt <= d.now || at < n.releaseAt {
				n.releaseAt = at
				d.addTimer(at, timerEvent{kind: releaseTimer, node: n})
			}
			n.block(d.now, n.ejectedUntil >= at)
			return
		}
	}
}

// ---- 2. Controller: every interval the weights follow the fleet's use.

// updateWeights scales each weight by 100 over the volume's latest use figure, within
// the clamp. A figure acts once; without a fresh one the weight stays.
func (d *Dispatcher) updateWeights() {
	d.addTimer(d.now+controllerInterval, timerEvent{kind: controllerTimer})
	for _, v := range d.volumeOrder {
		if v.quotaUsage <= 0 {
			continue
		}
		used := max(v.quotaUsage-1, 1)
		v.quotaUsage = 0
		w := v.plan.Weight
		v.setWeight(min(max(v.weight*100/used, w*minWeightFactor), w*maxWeightFactor))
	}
	d.dropIdleVolumes()
}

// ---- 3. Depth: how many requests may be out at one node.

func (d *Dispatcher) concurrencyLimit(n *node) int {
	if d.now < n.ejectedUntil || n.consecutiveFailures >= ejectionThreshold {
		return 1
	}
	floor := minConcurrency
	if d.lossRate < lossRateThreshold { // else what is out may hold a place that the node has free
		// Four each from many dispatchers flood the node.
		floor = min(minConcurrency, max(1, maxConcurrency/d.cfg.DispatcherCount)+min(n.uncongestedResponses/2, 1))
	}
	deep := min(max(float64(floor), math.Ceil(n.completions.rate(d.now, completionWindow)*d.tightestObjective.Seconds())), maxConcurrency)
	// Crowding: the delay tells when the node is sent too much, whoever sends it.
	if l, most := d.expectedDelay(n).Seconds(), d.congestionThreshold(); l > most {
		deep = max(1, deep*most/l)
	}
	return int(deep)
}

// ---- 4. Admission: what cannot be answered in time is refused early.

// expectedDelay is what an attempt at n is expected to take beyond its own work. The age of the
// oldest one out counts too: silence, of whatever cause, shows there before any outcome.
// Not that of one whose answer is lost: that holds up no other.
func (d *Dispatcher) expectedDelay(n *node) time.Duration {
	e := seconds(n.delay * math.Exp2(-float64(d.now-n.delayUpdatedAt)/(delayHalfLife*float64(d.tightestObjective))))
	n.inFlightRequests = slices.DeleteFunc(n.inFlightRequests, func(r *request) bool { return !r.outstanding || r.node != n })
	i := slices.IndexFunc(n.inFlightRequests, func(r *request) bool { return !d.overtaken(r, n, e) })
	if i >= 0 && (d.lossRate < lossRateThreshold || n.consecutiveFailures > 1) {
		e = max(e, d.now-n.inFlightRequests[i].sentAt-n.serviceTime(n.inFlightRequests[i].Units))
	}
	return e
}

// overtaken tells whether r's answer counts as lost: n has answered a later attempt without
// delay, and r is out for longer than its work can explain. It may do harm at a node of
// which only a part works on, or which takes work out of order.
func (d *Dispatcher) overtaken(r *request, n *node, delay time.Duration) bool {
	return r.sentAt < n.lastPromptSentAt && d.now-r.sentAt > delay+n.serviceTime(lateAttemptFactor*r.Units)
}

// serviceTime is what so many units take at n when it is not crowded.
func (n *node) serviceTime(units float64) time.Duration { return seconds(n.secondsPerUnit * units) }

// congestionThreshold is the delay, in seconds, from which a node counts as crowded.
func (d *Dispatcher) congestionThreshold() float64 {
	return congestionThresholdFactor * d.tightestObjective.Seconds()
}

// meanUnits is what a request counts where nothing more is known of it.
func (d *Dispatcher) meanUnits() float64 { return max(d.cfg.MeanUnits, 1) }

// observeLatency learns from a served answer of r: the uncrowded time of a unit is a low quantile
// of what units took, and what it took beyond is the delay. One answer may just have been
// unlucky: the requests that the node reports in hand, worked off one by one or as many at
// a time as D's floor, bound the delay from both sides. Without a report it stands alone.
func (d *Dispatcher) observeLatency(n *node, r *request, e AttemptCompleted) {
	took := e.Latency.Seconds()
	if unit := took / max(r.Units, 1); n.secondsPerUnit == 0 {
		n.secondsPerUnit, n.delay = unit, 0
	} else if unit < n.secondsPerUnit {
		n.secondsPerUnit *= 1 - serviceTimeGain*(1-serviceTimeQuantile)
	} else {
		n.secondsPerUnit *= 1 + serviceTimeGain*serviceTimeQuantile
	}
	over := max(0, took-n.secondsPerUnit*r.Units)
	if x, told := e.LoadReport["inflight"]; told && x >= 0 && !math.IsInf(x, 1) {
		hand := x * n.secondsPerUnit * d.meanUnits()
		over = min(max(over, hand/minConcurrency), hand)
	}
	n.delay += delayGain * (over - n.delay)
	n.delayUpdatedAt = d.now
	n.uncongestedResponses++
	if over > d.congestionThreshold() {
		n.uncongestedResponses = 0
	}
}

// expectedWait estimates how long r would be held at n: those ahead of it by the start
// tags, each taking a D-th of the latency (Little's law).
func (d *Dispatcher) expectedWait(r *request, n *node) time.Duration {
	depth := d.concurrencyLimit(n)
	if n.inFlight < depth && n.queuedRequests == 0 {
		return 0
	}
	f, phi := d.flowFor(r.volume, n), n.backloggedWeight
	if f.queuedRequests == 0 {
		phi += r.volume.weight
	}
	ahead := min(n.queuedUnits, (f.queuedUnits+r.Units)*phi/r.volume.weight)
	usual := d.meanUnits()
	each := d.expectedDelay(n) + n.serviceTime(usual)
	return time.Duration(ahead / usual * float64(each) / float64(depth))
}

// admit holds r at n, or refuses it at once when it cannot be answered in time. The delay
// that it may meet, in tightest aims, follows its worth and whether its volume is inside
// the reserve; at a cold node work beyond the reserve leaves a request's room to that.
func (d *Dispatcher) admit(r *request, n *node) {
	lim, never := d.rateLimitWait(r)
	if never {
		d.reject(r, d.cfg.MaxRetryAfter)
		return
	}
	v, part, ahead := r.volume, reservedQueueBudget, n.queuedUnits
	v.refillReserve(d)
	if v.reserve < v.queuedUnits {
		part, ahead = excessQueueBudget, ahead+d.cfg.MeanUnits
	}
	part *= 0.5 + 0.5*r.class.PriorityWeight*v.plan.Price/max(d.maxPriority, 1e-9)
	delay, cold := d.expectedDelay(n), max(0, d.slowStartReadyAt(n, ahead)-d.now)
	wait, left := d.expectedWait(r, n), r.objectiveAt-d.now-n.serviceTime(r.Units)
	// A wait within its own objective bars no other request.
	inAims := time.Duration(float64(wait) * float64(d.tightestObjective) / float64(r.class.LatencyObjective))
	need := delay + max(inAims+max(0, n.ejectedUntil-d.now), lim, cold)
	room := min(time.Duration(float64(d.tightestObjective)*part), left-wait+inAims)
	if need > room && !(d.mayProbe(n) && d.now >= n.ejectedUntil && lim == 0 && cold == 0) {
		d.reject(r, need-room)
		return
	}
	d.enqueue(r, n, false)
}

// mayProbe tells whether a request may leave against the evidence, to find out anew. Nothing
// out from here says little where many others send: each dispatcher beyond those whose
// floors fit under D's ceiling adds the node's time for one request to the pause between.
// One attempt that has long been silent, where none ended badly, may be a lost answer: a
// second finds out. At a node that hangs it costs that one.
func (d *Dispatcher) mayProbe(n *node) bool {
	gap := time.Duration(max(0, d.cfg.DispatcherCount-maxConcurrency/minConcurrency)) * n.serviceTime(d.meanUnits())
	if n.inFlight == 1 && n.consecutiveFailures == 0 {
		gap += seconds(d.congestionThreshold()) + n.serviceTime(lateAttemptFactor*d.meanUnits())
	} else if n.inFlight > 0 {
		return false
	}
	return n.queuedRequests <= 1 && d.now-n.lastSentAt >= gap
}

// refillReserve keeps the store of reserved units, as far as it is seen from here.
func (v *volume) refillReserve(d *Dispatcher) {
	v.reserve = min(v.reserveCapacity(d), v.reserve+v.plan.Reserve*(d.now-v.reserveUpdatedAt).Seconds())
	v.reserveUpdatedAt = d.now
}

// chargeReserve counts units used; a debt is no deeper than the store is high.
func (v *volume) chargeReserve(d *Dispatcher, units float64) {
	v.refillReserve(d)
	v.reserve = max(v.reserve-units, -v.reserveCapacity(d))
}

// reserveCapacity is a second of the reserve and one largest request.
func (v *volume) reserveCapacity(d *Dispatcher) float64 { return v.plan.Reserve + d.cfg.MaxUnits }

// ---- 5. Health, from symptoms.

// recordResult takes an attempt's end as a symptom. Only an answer clears suspicion.
func (d *Dispatcher) recordResult(n *node, r *request, e AttemptCompleted) {
	switch e.Result {
	case OK:
		d.updateLossRate(n, r, e)
		n.consecutiveFailures, n.ejectedUntil = 0, 0
		n.completions.add(d.now, 1, completionWindow)
		d.observeLatency(n, r, e)
		n.shardThroughput.add(d.now, r.Units, shardThroughputWindow)
		d.cancelPresumedLost(n)
	case Canceled:
		if r.presumedLost { // its answer counts as lost, and says nothing of the node
			n.unansweredAttempts++
			n.lastUnansweredSentAt = max(n.lastUnansweredSentAt, r.sentAt)
		}
	case Rejected, TimedOut, ConnectFailed, ConnectionReset:
		n.consecutiveFailures++
		n.uncongestedResponses = 0
		if e.Result == TimedOut {
			n.unansweredAttempts++
			n.lastUnansweredSentAt = max(n.lastUnansweredSentAt, r.sentAt)
		}
		if n.consecutiveFailures >= ejectionThreshold {
			back := min(minEjection<<min(n.consecutiveFailures-ejectionThreshold, 8), maxEjection)
			n.ejectedUntil = d.now + time.Duration(float64(back)*(0.75+0.5*d.rng.Float64()))
			d.addTimer(n.ejectedUntil, timerEvent{kind: releaseTimer, node: n})
		}
	}
}

// cancelPresumedLost ends the first attempt at n whose answer counts as lost, where another may be made
// within the aim. The budget bounds what it costs where the answer was to come after all.
func (d *Dispatcher) cancelPresumedLost(n *node) {
	usual := d.expectedDelay(n)
	for _, r := range n.inFlightRequests {
		safe := r.class.Idempotency == Idempotent ||
			r.class.Idempotency == Deduplicated && d.now-r.sentAt < r.class.DedupWindow
		if safe && d.cfg.CancelAttempts && r.state == inFlight && !r.presumedLost && d.overtaken(r, n, usual) &&
			d.now+usual+n.serviceTime(r.Units) < r.objectiveAt && d.mayRetry(r, n) {
			r.presumedLost = true
			d.emit(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
			return
		}
	}
}

// updateLossRate learns the share of answers that are lost: attempts that ran out of time while a
// later one at the same node was answered without delay. A node that is silent, or slow,
// answers none so; its time-outs prove nothing.
func (d *Dispatcher) updateLossRate(n *node, r *request, e AttemptCompleted) {
	d.lossRate *= 1 - lossRateGain
	if (e.Latency - n.serviceTime(r.Units)).Seconds() < d.congestionThreshold() {
		n.lastPromptSentAt = max(n.lastPromptSentAt, r.sentAt)
		if r.sentAt > n.lastUnansweredSentAt {
			d.lossRate += (1 - d.lossRate) * min(1, lossRateGain*float64(n.unansweredAttempts))
		}
	}
	n.unansweredAttempts = 0
}

// ---- 6. Guards of the rules. send is the only place that makes an attempt.

// permission tells whether every rule lets r leave for n now; else from when on,
// and whether the volume or the node stands in the way.
func (d *Dispatcher) permission(r *request, n *node) (time.Duration, sendPermission) {
	if r.state == completed || r.outstanding || d.now >= r.deadline || !n.listed || n.State != Ready {
		return d.now, forbidden // answered, out, too late, or told that the node drains
	}
	if r.Shard != AnyShard && r.Shard != n.Shard || r.attempts > 0 && !d.mayRetry(r, n) {
		return d.now, forbidden
	}
	if t := r.keyQueue; t != nil && (t.requests[0] != r || (d.now < t.quiescentAt && r.attempts == 0)) {
		return d.now, forbidden // enters the queue only with its turn: cannot happen
	}
	if at := max(n.ejectedUntil, d.slowStartReadyAt(n, 0)); at > d.now {
		return at, nodeBlocked
	}
	if w, no := d.rateLimitWait(r); no {
		return d.now, forbidden
	} else if w > 0 {
		return d.now + w, volumeThrottled
	}
	return d.now, permitted
}

// mayRetry guards effects and the budget for a further attempt of r at n.
func (d *Dispatcher) mayRetry(r *request, n *node) bool {
	if d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts {
		return false
	}
	if r.ambiguous {
		switch r.class.Idempotency {
		case NonIdempotent:
			return false
		case Deduplicated:
			in := r.class.DedupScope == DedupEverywhere ||
				r.class.DedupScope == DedupPerZone && r.ambiguousZone == n.Zone ||
				r.class.DedupScope == DedupPerShard && r.ambiguousShard == n.Shard
			if !in || d.now-r.ambiguousSince >= r.class.DedupWindow {
				return false
			}
		}
	}
	b := d.cfg.RetryBudget
	if b.Window == 0 {
		return true
	}
	d.trimBudget()
	return float64(len(d.budgetRetries)+1) <= b.MinRetries+b.Ratio*float64(len(d.budgetRequests))
}

// trimBudget forgets what has left the window. Requests leave a round early and
// further attempts a round late, so that the edges cannot be counted against us.
func (d *Dispatcher) trimBudget() {
	b := d.cfg.RetryBudget
	d.budgetRequests = trimBefore(d.budgetRequests, d.now-b.Window+d.cfg.RoundTrip)
	d.budgetRetries = trimBefore(d.budgetRetries, d.now-b.Window-d.cfg.RoundTrip-1)
}

// mayReject tells whether refusing r keeps the rule on effects.
func (r *request) mayReject() bool {
	return !r.ambiguous && !r.outstanding || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
}

// rateLimitWait tells how long the volume's part of its limit holds r back, counting
// what is held before it, and whether r can never pass.
func (d *Dispatcher) rateLimitWait(r *request) (time.Duration, bool) {
	v := r.volume
	if v.plan.RateLimit <= 0 || r.attempts > 0 {
		return 0, false
	}
	v.refillTokens(d)
	if r.Units > v.tokenCapacity() {
		return 0, true
	}
	short := r.Units - v.tokens
	if r.state != queued {
		short += v.queuedUnits
	}
	rate := v.plan.RateLimit / float64(v.dispatchers)
	return time.Duration(math.Ceil(max(0, short)/rate*1e6)) * time.Microsecond, false
}

// tokenCapacity is an even part of what the limit's store bears at once.
func (v *volume) tokenCapacity() float64 {
	return (v.plan.Burst+v.plan.Slack)/float64(v.dispatchers) - 1e-6
}

// refillTokens keeps this dispatcher's part of the limit: an even part of rate and
// burst for each host. It starts empty: a restarted dispatcher cannot know what
// it spent, and the even part of the time since it started is provably unspent.
func (v *volume) refillTokens(d *Dispatcher) {
	v.tokens += (d.now - v.tokensUpdatedAt).Seconds() * v.plan.RateLimit / float64(v.dispatchers)
	v.tokens = min(v.tokens, v.tokenCapacity())
	v.tokensUpdatedAt = d.now
}

// slowStartReadyAt tells from when on a just-started node may be sent a request of this dispatcher
// behind so many held units. The rule binds the sum over all: what a shard served each of
// them adds up to no more than its full capacity, so each may send that rate times the
// share of capacity that the node has for sure by its age, and times the rule's multiple;
// half, as the machine may be slower than its predecessor. Half of the even part of what is
// always borne comes on top, for who has no history. Units enter whole and are paid off
// after, with at most a usual request's allowance in hand; a first debt of random size
// keeps many from entering their first at once. So a span sees the parts, and by chance a
// request more from a few: the other half of the bound is for these.
func (d *Dispatcher) slowStartReadyAt(n *node, ahead float64) time.Duration {
	c := d.cfg.SlowStart
	age := d.now - n.Started
	if c.InitialUnits <= 0 || n.Started == 0 || age >= c.WarmUp+c.Window {
		return 0
	}
	warm := min(1, max(0, (age-c.Window).Seconds())/max(c.WarmUp.Seconds(), 1e-9))
	grown := c.InitialCapacity + (1-c.InitialCapacity)*warm
	even := c.InitialUnits / c.InitialCapacity / c.Window.Seconds() / float64(d.cfg.DispatcherCount)
	rate := slowStartSafetyFactor * grown * (even + c.OverloadFactor*d.usualThroughput(n))
	if from := max(n.Started, d.startedAt); n.slowStartDebtAt < from { // an earlier life's debt is unknown
		n.slowStartDebt, n.slowStartDebtAt = d.rng.Float64()*d.meanUnits(), from
	}
	n.slowStartDebt = max(-d.cfg.MeanUnits, n.slowStartDebt-rate*(d.now-n.slowStartDebtAt).Seconds())
	n.slowStartDebtAt = d.now
	if n.slowStartDebt+ahead <= 0 {
		return 0
	}
	return d.now + seconds(min((n.slowStartDebt+ahead)/rate, c.WarmUp.Seconds())) + time.Microsecond
}

// usualThroughput is what n's shard served for this dispatcher, units a second over a while.
func (d *Dispatcher) usualThroughput(n *node) float64 {
	return n.shardThroughput.rate(d.now, shardThroughputWindow) / max(1-decayFactor(d.now-d.startedAt, shardThroughputWindow), 0.1)
}

// send makes an attempt of r at n. Every rule has been asked in allowed.
func (d *Dispatcher) send(r *request, n *node) {
	r.flow.recordDispatch(r)
	d.dequeue(r)
	if r.attempts > 0 {
		d.budgetRetries = append(d.budgetRetries, d.now)
	} else {
		r.volume.tokens -= r.Units
		r.volume.chargeReserve(d, r.Units)
	}
	n.slowStartDebt += r.Units
	r.state, r.outstanding, r.node, r.sentAt = inFlight, true, n, d.now
	r.attempts++
	n.inFlight++
	n.lastSentAt = d.now
	n.inFlightRequests = append(n.inFlightRequests, r)
	d.emit(SendAttempt{ID: r.ID, Node: n.ID, Deadline: d.attemptDeadline(r, n), QueueTime: r.queueTime})
	r.queueTime = QueueTime{}
}

// attemptDeadline ends an attempt in time for another one within the aim, where answers are lost
// and this one should have come by then: a lost answer costs one time-out. With no time
// for another it ends at the aim, to give its place free. Zero: the client's own deadline.
func (d *Dispatcher) attemptDeadline(r *request, n *node) time.Duration {
	usual := d.expectedDelay(n) + n.serviceTime(lateAttemptFactor*r.Units)
	until := r.objectiveAt - usual
	switch {
	case d.lossRate < lossRateThreshold:
		return 0
	case until < d.now+usual:
		return r.objectiveAt
	case n.secondsPerUnit == 0 || r.class.Idempotency == NonIdempotent || n.consecutiveFailures >= ejectionThreshold:
		return 0
	}
	return until
}

// reject gives the final answer: harmless to try again, with a time to come
// back. Where that cannot be promised the answer is a failure.
func (d *Dispatcher) reject(r *request, after time.Duration) {
	if r.mayReject() {
		after = min(max(after, minRetryAfter), max(d.cfg.MaxRetryAfter, minRetryAfter))
		d.emit(Reject{ID: r.ID, RetryAfter: after, QueueTime: r.queueTimeUntil(d.now)})
	} else {
		d.emit(Fail{ID: r.ID, QueueTime: r.queueTimeUntil(d.now)})
	}
	d.finish(r)
}

// finish ends r. Its key's turn passes on once no attempt of it is out.
func (d *Dispatcher) finish(r *request) {
	if r.flow != nil {
		d.markDirty(r.node)
		d.dequeue(r)
	}
	d.clearExpiry(r)
	r.state = completed
	if !r.outstanding {
		delete(d.requests, r.ID)
		d.advanceKeyQueue(r.keyQueue)
	}
}

// advanceKeyQueue lets the first unfinished request of a key into its queue, after the
// key has rested.
func (d *Dispatcher) advanceKeyQueue(t *keyQueue) {
	if t == nil {
		return
	}
	for len(t.requests) > 0 && t.requests[0].state == completed && !t.requests[0].outstanding {
		t.requests = t.requests[1:]
	}
	some := len(t.requests) > 0
	switch {
	case d.keyQueues[t.key] != t || some && t.requests[0].state != awaitingTurn:
	case d.now < t.quiescentAt:
		d.addTimer(t.quiescentAt, timerEvent{kind: quiescenceTimer, keyQueue: t})
	case some:
		d.place(t.requests[0])
	default:
		delete(d.keyQueues, t.key)
	}
}

// ---- 7. Intake: events, timers and the node list.

func (d *Dispatcher) handleRequest(e Request) {
	if d.requests[e.ID] != nil {
		return // told twice
	}
	if !d.valid(e) { // nothing has run: harmless to try again
		d.emit(Reject{ID: e.ID, RetryAfter: minRetryAfter})
		return
	}
	if d.cfg.RetryBudget.Window > 0 {
		d.trimBudget()
		d.budgetRequests = append(d.budgetRequests, d.now)
	}
	c := &d.cfg.Classes[e.Class]
	d.maxTimeouts[e.Class] = max(d.maxTimeouts[e.Class], e.Timeout)
	age := d.maxTimeouts[e.Class] - e.Timeout // of earlier tries of the same wish
	// Worth little now, and impatient clients repeat it whatever they are told: such tries
	// must not take the place, reserve or budget of others.
	if age >= c.LatencyObjective {
		d.emit(Reject{ID: e.ID, RetryAfter: d.cfg.MaxRetryAfter})
		return
	}
	d.lastSequence++
	r := &request{Request: e, class: c, sequence: d.lastSequence, deadline: d.now + e.Timeout, volume: d.volumeFor(e)}
	r.objectiveAt = d.now + min(c.LatencyObjective-age, e.Timeout)
	d.requests[r.ID] = r
	if c.Ordered && r.Key != "" {
		t := d.keyQueues[r.Key]
		if t == nil {
			t = &keyQueue{key: strings.Clone(r.Key)}
			d.keyQueues[t.key] = t
		}
		r.keyQueue = t
		t.requests = append(t.requests, r)
		if t.requests[0] != r || d.now < t.quiescentAt {
			d.setExpiry(r, r.objectiveAt)
			d.advanceKeyQueue(t)
			return
		}
	}
	d.place(r)
}

func (d *Dispatcher) volumeFor(e Request) *volume {
	v := d.volumes[e.Volume]
	if v == nil {
		p := &d.cfg.Plans[e.Plan]
		v = &volume{
			id: e.Volume, plan: p, weight: p.Weight, dispatchers: max(e.Dispatchers, 1), tokensUpdatedAt: d.startedAt,
			reserveUpdatedAt: d.now,
		}
		v.reserve = v.reserveCapacity(d)
		d.volumes[v.id] = v
		d.volumeOrder = append(d.volumeOrder, v)
	}
	v.refillTokens(d)
	v.dispatchers = max(v.dispatchers, e.Dispatchers) // fewer hosts now: the others may have spent their parts
	v.lastSeen = d.now
	return v
}

// place finds r's node and admits it there.
func (d *Dispatcher) place(r *request) {
	n := d.nodeByShard[r.Shard]
	if r.Shard == AnyShard {
		n = d.chooseNode(r)
	}
	if n == nil {
		d.reject(r, minRetryAfter*4)
		return
	}
	d.admit(r, n)
}

// chooseNode takes the node where a new object is expected to be done first.
func (d *Dispatcher) chooseNode(r *request) *node {
	var best *node
	bestCost := math.Inf(1)
	for _, n := range d.nodeOrder {
		if n.State != Ready || d.now < n.ejectedUntil {
			continue
		}
		each := (d.expectedDelay(n) + n.serviceTime(r.Units)).Seconds()
		if n.secondsPerUnit == 0 { // never heard: no reason to think it free
			each += d.congestionThreshold()
		}
		cost := each * (1 + float64(n.inFlight+n.queuedRequests)/float64(d.concurrencyLimit(n)))
		cost += max(0, (d.slowStartReadyAt(n, 0) - d.now).Seconds())
		if cost *= 1 + 0.1*d.rng.Float64(); cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

func (d *Dispatcher) handleAttemptCompleted(e AttemptCompleted) {
	r := d.requests[e.ID]
	if r == nil || !r.outstanding || e.Attempt != r.attempts-1 {
		return
	}
	n := r.node
	r.outstanding = false
	n.inFlight--
	d.markDirty(n)
	d.recordResult(n, r, e)
	r.presumedLost = false
	if e.QuotaUsage > 0 {
		r.volume.quotaUsage = e.QuotaUsage
	}
	if e.PeerUnits > 0 {
		r.volume.chargeReserve(d, e.PeerUnits)
	}
	proven := e.Result == Rejected || e.Result == ConnectFailed || e.Result == NotSent
	if !proven && !r.ambiguous {
		r.ambiguous, r.ambiguousSince, r.ambiguousZone, r.ambiguousShard = true, r.sentAt, n.Zone, n.Shard
	}
	ambiguous := e.Result == TimedOut || e.Result == ConnectionReset || e.Result == Canceled
	if t := r.keyQueue; t != nil && ambiguous {
		t.quiescentAt = max(t.quiescentAt, d.now+d.cfg.Quiescence)
	}
	if r.state == completed || e.Responded {
		d.finish(r)
		return
	}
	d.scheduleRetry(r, n, e.Result)
}

// scheduleRetry tries r once more where the rules allow and time is left, else answers.
func (d *Dispatcher) scheduleRetry(r *request, n *node, s AttemptResult) {
	if r.Shard != AnyShard {
		if m := d.nodeByShard[r.Shard]; m != nil {
			n = m
		}
	} else if !r.ambiguous || r.class.Idempotency == Idempotent {
		if m := d.chooseNode(r); m != nil {
			n = m
		}
	}
	gap := retryDelay
	if s == TimedOut || s == Canceled {
		gap = 0
	}
	if d.now+gap+d.expectedDelay(n)+n.serviceTime(r.Units) >= r.objectiveAt || !d.mayRetry(r, n) {
		d.reject(r, d.expectedDelay(n))
		return
	}
	r.state, r.node = backoff, n
	d.addTimer(d.now+gap, timerEvent{kind: retryTimer, request: r})
}

// handleCostCorrection charges a volume's tag, limit and reserve for what was taken for less than it
// is, or gives back: else who asks for more than it says has more than its share. It may do
// harm where nodes tell wrong sizes; a tag's cost does not fall below nought.
func (d *Dispatcher) handleCostCorrection(e CostCorrection) {
	v, n := d.volumes[e.Volume], d.nodes[e.Node]
	if v == nil || n == nil || !(math.Abs(e.Units) <= d.cfg.MaxUnits) {
		return
	}
	v.refillTokens(d)
	v.tokens = min(v.tokens-e.Units, v.tokenCapacity())
	v.chargeReserve(d, e.Units)
	for _, f := range v.flows {
		if f.node == n {
			f.lastCost = max(0, f.lastCost+e.Units)
			f.lastFinishTag = f.lastStartTag + f.lastCost/v.weight
			f.updateHead()
			d.markDirty(n)
		}
	}
}

func (d *Dispatcher) handleClientCanceled(e ClientCanceled) {
	r := d.requests[e.ID]
	if r == nil || r.state == completed {
		return
	}
	if r.outstanding && d.cfg.CancelAttempts {
		d.emit(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
	}
	d.finish(r)
}

// handleEndpointUpdate follows the node list. What a node that no longer serves holds goes to
// its successor, if one is listed.
func (d *Dispatcher) handleEndpointUpdate(e EndpointUpdate) {
	if e.Kind == PollFailed {
		gap := min(minPollDelay<<min(d.failedPolls, 8), maxPollDelay)
		d.failedPolls++
		d.addTimer(d.now+time.Duration(float64(gap)*(0.5+d.rng.Float64())), timerEvent{kind: pollTimer})
		return
	}
	d.failedPolls = 0
	if e.Kind != Delta {
		for _, n := range d.nodeOrder {
			n.State = Removed
		}
	}
	for _, l := range e.Nodes {
		n := d.nodes[l.ID]
		if n == nil {
			n = &node{}
			d.nodes[l.ID] = n
			d.nodeOrder = append(d.nodeOrder, n)
		}
		if n.Started != l.Started { // a new process: the old one's past says nothing
			n.delay, n.secondsPerUnit, n.completions, n.consecutiveFailures, n.ejectedUntil, n.unansweredAttempts = 0, 0, decayingSum{}, 0, 0, 0
		}
		n.Node, n.listed = l, true
		n.shardThroughput = d.throughputOf(l.Shard)
	}
	slices.SortFunc(d.nodeOrder, func(a, b *node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	clear(d.nodeByShard)
	for _, n := range d.nodeOrder {
		if n.State == Ready && (d.nodeByShard[n.Shard] == nil || d.nodeByShard[n.Shard].Started < n.Started) {
			d.nodeByShard[n.Shard] = n
		}
	}
	for _, n := range d.nodeOrder {
		if n.State != Ready {
			d.requeueFrom(n)
		}
		d.markDirty(n)
	}
	d.nodeOrder = slices.DeleteFunc(d.nodeOrder, func(n *node) bool {
		if n.State == Removed && n.inFlight == 0 && n.queuedRequests == 0 {
			n.listed = false
			delete(d.nodes, n.ID)
			return true
		}
		return false
	})
}

func (d *Dispatcher) requeueFrom(n *node) {
	for _, v := range d.volumeOrder {
		for _, f := range v.flows {
			for _, r := range slices.Clone(f.requests) {
				if r.flow == f && r.node == n {
					d.dequeue(r)
					r.state = awaitingTurn
					d.place(r)
				}
			}
		}
	}
}

// dropIdleVolumes drops what no rule needs any more.
func (d *Dispatcher) dropIdleVolumes() {
	d.volumeOrder = slices.DeleteFunc(d.volumeOrder, func(v *volume) bool {
		v.flows = slices.DeleteFunc(v.flows, func(f *flow) bool {
			return f.queuedRequests == 0 && !f.throttled && (f.lastFinishTag <= f.node.virtualTime || !f.node.listed)
		})
		v.refillTokens(d)
		full := v.plan.RateLimit == 0 || v.tokens >= v.tokenCapacity()
		gone := full && v.queuedUnits <= 1e-9 && len(v.flows) == 0 && d.now-v.lastSeen > idleVolumeTTL
		if gone {
			delete(d.volumes, v.id)
		}
		return gone
	})
}

func (d *Dispatcher) runTimers() {
	for {
		t, due := d.timers.PopDue(d.now)
		if !due {
			return
		}
		switch t.kind {
		case controllerTimer:
			d.updateWeights()
		case expiryTimer:
			if r := t.request; r.state == queued || r.state == awaitingTurn {
				d.reject(r, minRetryAfter)
			}
		case throttleTimer:
			t.flow.unthrottle(d.now)
			t.flow.minStartTag = max(t.flow.minStartTag, t.flow.node.virtualTime)
			t.flow.updateHead()
			d.markDirty(t.flow.node)
		case releaseTimer:
			d.markDirty(t.node)
		case quiescenceTimer:
			d.advanceKeyQueue(t.keyQueue)
		case retryTimer:
			if r := t.request; r.state == backoff {
				if n := r.node; n.listed && n.State == Ready && d.mayRetry(r, n) {
					d.enqueue(r, n, true)
				} else {
					d.reject(r, minRetryAfter)
				}
			}
		case pollTimer:
			d.emit(Watch{On: true})
		}
	}
}
