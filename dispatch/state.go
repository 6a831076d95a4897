// The state that a dispatcher keeps between events. Nothing is decided here.

package dispatch

import (
	"chalkstand/internal/timerqueue"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type state int

const (
	waiting state = iota // for its key's turn
	held                 // in its node's queue
	sent                 // an attempt is out
	resting              // waits for a further attempt
	over                 // answered
)

type request struct {
	Request
	class           *Class
	vol             *volume
	node            *node
	flow            *flow
	turn            *turn
	state           state
	out             bool // an attempt has not ended
	astray          bool // and is given up, as overtaken
	seq             uint64
	attempts        int
	sentAt          time.Duration
	deadline, aimAt time.Duration
	vArr            float64 // the node's v when it was queued
	mayHaveRun      bool
	doubtAt         time.Duration // send of the first attempt that may have run
	doubtZone       int
	doubtShard      Shard
	expiry          *timerqueue.Timer[task] // while it is held or waits for its turn
	held            QueueTime               // in queues that it has left
	queued          stand                   // when it joined its queue
}

// stand is a moment, with what had stood in the way of a flow until then.
type stand struct{ at, limit, cold, suspect time.Duration }

type volume struct {
	id        VolumeID
	plan      *Plan
	hosts     int
	phi       float64
	use       float64 // latest figure not yet acted on; 0: none
	tokens    float64 // this dispatcher's part of the limit's store
	tokensAt  time.Duration
	reserve   float64 // what is left of the reserve, as seen from here
	reserveAt time.Duration
	heldUnits float64
	flows     []*flow
	seen      time.Duration
}

type node struct {
	Node
	listed   bool
	flows    flowHeap
	v        float64
	held     int
	heldSum  float64
	phiSum   float64 // of flows that hold requests
	out      int
	outs     []*request
	sentAt   time.Duration // of the last attempt
	heardAt  time.Duration // send of the last attempt that was served, by send
	missing  int           // time-outs since an answer
	missedAt time.Duration // send of the last of them
	easy     int           // answers in a row without crowding
	done     meter         // served answers
	lat      float64       // expected delay, seconds
	latAt    time.Duration
	base     float64       // uncrowded seconds of a unit
	bad      int           // bad ends in a row
	until    time.Duration // no sends before, when suspect
	wake     time.Duration
	debt     float64 // units sent to a cold node and not paid off
	debtAt   time.Duration
	use      *meter // units that its shard served; outlives the shard's nodes

	blocked             bool // by the guard of cold nodes or a pause, since
	blockedAt           time.Duration
	pausing             bool          // by a pause
	coldSum, suspectSum time.Duration // that it was
}

// meter is a sum that decays with time.
type meter struct {
	sum float64
	at  time.Duration
}

func (m *meter) add(now time.Duration, x float64, span time.Duration) {
	m.sum = m.sum*decay(now-m.at, span) + x
	m.at = now
}

func (m *meter) rate(now, span time.Duration) float64 {
	return m.sum * decay(now-m.at, span) / span.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// turn is the line of one key in classes that keep order.
type turn struct {
	key  string
	line []*request
	rest time.Duration
}

// Dispatcher decides for one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	rng       *rand.Rand
	now, born time.Duration
	started   bool
	tightest  time.Duration
	bestValue float64
	nodes     map[NodeID]*node
	order     []*node // sorted by ID
	shards    map[Shard]*node
	usages    map[Shard]*meter
	vols      map[VolumeID]*volume
	volOrder  []*volume
	reqs      map[RequestID]*request
	turns     map[string]*turn
	maxLeft   []time.Duration // by class: the longest time a client left us
	agenda    timerqueue.Queue[task]
	wakeAt    time.Duration
	seq       uint64
	taken     []time.Duration // of requests, within the budget's span
	extra     []time.Duration // of further attempts
	lost      float64         // share of answers that are lost
	calls     int             // failed calls to discovery in a row
	dirty     []*node
	acts      []Action
}

// flow is one volume's line at one node. Only its head needs a start tag: what
// stands behind starts where its predecessor finishes, so a request that leaves
// unsent leaves nothing in later tags.
type flow struct {
	vol          *volume
	node         *node
	line         []*request
	live         int
	units        float64 // of held requests
	lastS, lastC float64 // start tag and cost of the last request sent
	lastF        float64
	floor        float64 // v at the last change of weight
	start        float64 // start tag of the head
	pos          int     // in the heap, -1 when out of it
	parked       bool    // until the volume's limit allows its head
	parkedAt     time.Duration
	parkedSum    time.Duration // that it was before
}

type flowHeap []*flow

func (h flowHeap) Len() int      { return len(h) }
func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos = i; h[j].pos = j }
func (h *flowHeap) Push(x any)   { f := x.(*flow); f.pos = len(*h); *h = append(*h, f) }
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h, f.pos = old[:len(old)-1], -1
	return f
}

type taskKind int

const (
	doControl taskKind = iota
	doExpire
	doUnpark
	doPump
	doTurn
	doAgain
	doWatch
)

type task struct {
	kind taskKind
	req  *request
	flow *flow
	node *node
	turn *turn
}

func (d *Dispatcher) act(a Action) { d.acts = append(d.acts, a) }

func (d *Dispatcher) touch(n *node) {
	if n != nil && !slices.Contains(d.dirty, n) {
		d.dirty = append(d.dirty, n)
	}
}

func (d *Dispatcher) flowOf(v *volume, n *node) *flow {
	for _, f := range v.flows {
		if f.node == n {
			return f
		}
	}
	f := &flow{vol: v, node: n, pos: -1}
	v.flows = append(v.flows, f)
	return f
}

func (d *Dispatcher) usageOf(s Shard) *meter {
	if d.usages[s] == nil {
		d.usages[s] = &meter{}
	}
	return d.usages[s]
}

func decay(dt, span time.Duration) float64 { return math.Exp(-dt.Seconds() / span.Seconds()) }

func (d *Dispatcher) at(when time.Duration, t task) *timerqueue.Timer[task] {
	return d.agenda.Add(max(when, d.now+time.Microsecond), t)
}

// expire has r refused at a time, unless it leaves before. What has left is taken
// from the agenda, which would else hold every request until its aim has passed.
func (d *Dispatcher) expire(r *request, when time.Duration) {
	d.unexpire(r)
	r.expiry = d.at(when, task{kind: doExpire, req: r})
}

// The accounts of what holds requests: told with each attempt, decided on by none.

func (f *flow) park(now time.Duration) { f.parked, f.parkedAt = true, now }

func (f *flow) unpark(now time.Duration) {
	f.parked = false
	f.parkedSum += now - f.parkedAt
}

func (n *node) block(now time.Duration, pausing bool) {
	n.blocked, n.blockedAt, n.pausing = true, now, pausing
}

func (n *node) unblock(now time.Duration) {
	if n.blocked && n.pausing {
		n.suspectSum += now - n.blockedAt
	} else if n.blocked {
		n.coldSum += now - n.blockedAt
	}
	n.blocked = false
}

// stands returns a flow's sums up to now.
func (f *flow) stands(now time.Duration) stand {
	s := stand{now, f.parkedSum, f.node.coldSum, f.node.suspectSum}
	if f.parked {
		s.limit += now - f.parkedAt
	}
	if b := now - f.node.blockedAt; f.node.blocked && f.node.pausing {
		s.suspect += b
	} else if f.node.blocked {
		s.cold += b
	}
	return s
}

// heldFor tells for what r was held until now. Where two things stood in the way at
// once, the time is the first's: the parts sum to the time in queues.
func (r *request) heldFor(now time.Duration) QueueTime {
	h := r.held
	if r.flow == nil {
		return h
	}
	s, q := r.flow.stands(now), r.queued
	left := now - q.at
	part := func(d time.Duration) time.Duration {
		d = min(max(d, 0), left)
		left -= d
		return d
	}
	h.RateLimit += part(s.limit - q.limit)
	h.SlowStart += part(s.cold - q.cold)
	h.Ejected += part(s.suspect - q.suspect)
	h.Concurrency += left
	return h
}

func (d *Dispatcher) unexpire(r *request) {
	d.agenda.Remove(r.expiry)
	r.expiry = nil
}

// after drops the times before t.
func after(ts []time.Duration, t time.Duration) []time.Duration {
	for len(ts) > 0 && ts[0] <= t {
		ts = ts[1:]
	}
	return ts
}

func (d *Dispatcher) arm() {
	if at, pending := d.agenda.Next(); pending && at < d.wakeAt {
		d.wakeAt = at
		d.act(SetTimer{At: d.wakeAt, Token: "wake"})
	}
}

// verdict is what the guards say of a send.
type verdict int

const (
	free verdict = iota
	ofVolume
	ofNode
	never
)
