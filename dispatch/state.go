// The state that a dispatcher keeps between events. Nothing is decided here.

package dispatch

import (
	"chalkstand/internal/timerqueue"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type requestState int

const (
	awaitingTurn requestState = iota // for its key's turn
	queued                           // in its node's queue
	inFlight                         // an attempt is out
	backoff                          // waits for a further attempt
	completed                        // answered
)

type request struct {
	Request
	class                 *Class
	volume                *volume
	node                  *node
	flow                  *flow
	keyQueue              *keyQueue
	state                 requestState
	outstanding           bool // an attempt has not ended
	presumedLost          bool // and is given up, as overtaken
	sequence              uint64
	attempts              int
	sentAt                time.Duration
	deadline, objectiveAt time.Duration
	arrivalVirtualTime    float64 // the node's v when it was queued
	ambiguous             bool
	ambiguousSince        time.Duration // send of the first attempt that may have run
	ambiguousZone         int
	ambiguousShard        Shard
	expiry                *timerqueue.Timer[timerEvent] // while it is held or waits for its turn
	queueTime             QueueTime                     // in queues that it has left
	blockedAtEnqueue      blockedTimes                  // when it joined its queue
}

// blockedTimes is a moment, with what had stood in the way of a flow until then.
type blockedTimes struct{ at, rateLimit, slowStart, ejected time.Duration }

type volume struct {
	id               VolumeID
	plan             *Plan
	dispatchers      int
	weight           float64
	quotaUsage       float64 // latest figure not yet acted on; 0: none
	tokens           float64 // this dispatcher's part of the limit's store
	tokensUpdatedAt  time.Duration
	reserve          float64 // what is left of the reserve, as seen from here
	reserveUpdatedAt time.Duration
	queuedUnits      float64
	flows            []*flow
	lastSeen         time.Duration
}

type node struct {
	Node
	listed               bool
	flows                flowHeap
	virtualTime          float64
	queuedRequests       int
	queuedUnits          float64
	backloggedWeight     float64 // of flows that hold requests
	inFlight             int
	inFlightRequests     []*request
	lastSentAt           time.Duration // of the last attempt
	lastPromptSentAt     time.Duration // send of the last attempt that was served, by send
	unansweredAttempts   int           // time-outs since an answer
	lastUnansweredSentAt time.Duration // send of the last of them
	uncongestedResponses int           // answers in a row without crowding
	completions          decayingSum   // served answers
	delay                float64       // expected delay, seconds
	delayUpdatedAt       time.Duration
	secondsPerUnit       float64       // uncrowded seconds of a unit
	consecutiveFailures  int           // bad ends in a row
	ejectedUntil         time.Duration // no sends before, when suspect
	releaseAt            time.Duration
	slowStartDebt        float64 // units sent to a cold node and not paid off
	slowStartDebtAt      time.Duration
	shardThroughput      *decayingSum // units that its shard served; outlives the shard's nodes

	blocked                    bool // by the guard of cold nodes or a pause, since
	blockedAt                  time.Duration
	blockedByEjection          bool          // by a pause
	slowStartTime, ejectedTime time.Duration // that it was
}

// decayingSum is a sum that decays with time.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

func (m *decayingSum) add(now time.Duration, x float64, span time.Duration) {
	m.sum = m.sum*decayFactor(now-m.updatedAt, span) + x
	m.updatedAt = now
}

func (m *decayingSum) rate(now, span time.Duration) float64 {
	return m.sum * decayFactor(now-m.updatedAt, span) / span.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// keyQueue is the line of one key in classes that keep order.
type keyQueue struct {
	key         string
	requests    []*request
	quiescentAt time.Duration
}

// Dispatcher decides for one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	cfg               Config
	rng               *rand.Rand
	now, startedAt    time.Duration
	started           bool
	tightestObjective time.Duration
	maxPriority       float64
	nodes             map[NodeID]*node
	nodeOrder         []*node // sorted by ID
	nodeByShard       map[Shard]*node
	throughputByShard map[Shard]*decayingSum
	volumes           map[VolumeID]*volume
	volumeOrder       []*volume
	requests          map[RequestID]*request
	keyQueues         map[string]*keyQueue
	maxTimeouts       []time.Duration // by class: the longest time a client left us
	timers            timerqueue.Queue[timerEvent]
	wakeAt            time.Duration
	lastSequence      uint64
	budgetRequests    []time.Duration // of requests, within the budget's span
	budgetRetries     []time.Duration // of further attempts
	lossRate          float64         // share of answers that are lost
	failedPolls       int             // failed calls to discovery in a row
	dirtyNodes        []*node
	actions           []Action
}

// flow is one volume's line at one node. Only its head needs a start tag: what
// stands behind starts where its predecessor finishes, so a request that leaves
// unsent leaves nothing in later tags.
type flow struct {
	volume                 *volume
	node                   *node
	requests               []*request
	queuedRequests         int
	queuedUnits            float64 // of held requests
	lastStartTag, lastCost float64 // start tag and cost of the last request sent
	lastFinishTag          float64
	minStartTag            float64 // v at the last change of weight
	startTag               float64 // start tag of the head
	heapIndex              int     // in the heap, -1 when out of it
	throttled              bool    // until the volume's limit allows its head
	throttledAt            time.Duration
	throttledTime          time.Duration // that it was before
}

type flowHeap []*flow

func (h flowHeap) Len() int      { return len(h) }
func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex = i; h[j].heapIndex = j }
func (h *flowHeap) Push(x any)   { f := x.(*flow); f.heapIndex = len(*h); *h = append(*h, f) }
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h, f.heapIndex = old[:len(old)-1], -1
	return f
}

type timerKind int

const (
	controllerTimer timerKind = iota
	expiryTimer
	throttleTimer
	releaseTimer
	quiescenceTimer
	retryTimer
	pollTimer
)

type timerEvent struct {
	kind     timerKind
	request  *request
	flow     *flow
	node     *node
	keyQueue *keyQueue
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) markDirty(n *node) {
	if n != nil && !slices.Contains(d.dirtyNodes, n) {
		d.dirtyNodes = append(d.dirtyNodes, n)
	}
}

func (d *Dispatcher) flowFor(v *volume, n *node) *flow {
	for _, f := range v.flows {
		if f.node == n {
			return f
		}
	}
	f := &flow{volume: v, node: n, heapIndex: -1}
	v.flows = append(v.flows, f)
	return f
}

func (d *Dispatcher) throughputOf(s Shard) *decayingSum {
	if d.throughputByShard[s] == nil {
		d.throughputByShard[s] = &decayingSum{}
	}
	return d.throughputByShard[s]
}

func decayFactor(dt, span time.Duration) float64 { return math.Exp(-dt.Seconds() / span.Seconds()) }

func (d *Dispatcher) addTimer(when time.Duration, t timerEvent) *timerqueue.Timer[timerEvent] {
	return d.timers.Add(max(when, d.now+time.Microsecond), t)
}

// setExpiry has r refused at a time, unless it leaves before. What has left is taken
// from the agenda, which would else hold every request until its aim has passed.
func (d *Dispatcher) setExpiry(r *request, when time.Duration) {
	d.clearExpiry(r)
	r.expiry = d.addTimer(when, timerEvent{kind: expiryTimer, request: r})
}

// The accounts of what holds requests: told with each attempt, decided on by none.

func (f *flow) throttle(now time.Duration) { f.throttled, f.throttledAt = true, now }

func (f *flow) unthrottle(now time.Duration) {
	f.throttled = false
	f.throttledTime += now - f.throttledAt
}

func (n *node) block(now time.Duration, pausing bool) {
	n.blocked, n.blockedAt, n.blockedByEjection = true, now, pausing
}

func (n *node) unblock(now time.Duration) {
	if n.blocked && n.blockedByEjection {
		n.ejectedTime += now - n.blockedAt
	} else if n.blocked {
		n.slowStartTime += now - n.blockedAt
	}
	n.blocked = false
}

// blockedTimes returns a flow's sums up to now.
func (f *flow) blockedTimes(now time.Duration) blockedTimes {
	s := blockedTimes{now, f.throttledTime, f.node.slowStartTime, f.node.ejectedTime}
	if f.throttled {
		s.rateLimit += now - f.throttledAt
	}
	if b := now - f.node.blockedAt; f.node.blocked && f.node.blockedByEjection {
		s.ejected += b
	} else if f.node.blocked {
		s.slowStart += b
	}
	return s
}

// queueTimeUntil tells for what r was held until now. Where two things stood in the way at
// once, the time is the first's: the parts sum to the time in queues.
func (r *request) queueTimeUntil(now time.Duration) QueueTime {
	h := r.queueTime
	if r.flow == nil {
		return h
	}
	s, q := r.flow.blockedTimes(now), r.blockedAtEnqueue
	left := now - q.at
	part := func(d time.Duration) time.Duration {
		d = min(max(d, 0), left)
		left -= d
		return d
	}
	h.RateLimit += part(s.rateLimit - q.rateLimit)
	h.SlowStart += part(s.slowStart - q.slowStart)
	h.Ejected += part(s.ejected - q.ejected)
	h.Concurrency += left
	return h
}

func (d *Dispatcher) clearExpiry(r *request) {
	d.timers.Remove(r.expiry)
	r.expiry = nil
}

// trimBefore drops the times before t.
func trimBefore(ts []time.Duration, t time.Duration) []time.Duration {
	for len(ts) > 0 && ts[0] <= t {
		ts = ts[1:]
	}
	return ts
}

func (d *Dispatcher) armWakeup() {
	if at, pending := d.timers.Next(); pending && at < d.wakeAt {
		d.wakeAt = at
		d.emit(SetTimer{At: d.wakeAt, Token: "wake"})
	}
}

// sendPermission is what the guards say of a send.
type sendPermission int

const (
	permitted sendPermission = iota
	volumeThrottled
	nodeBlocked
	forbidden
)
