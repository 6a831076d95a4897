package modelcheck

import (
	"cmp"
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a state. Two states have the same fingerprint if everything that can
// influence their future is the same, apart from hash collisions.
//
// The fingerprinter walks the real state by reflection, including unexported fields. A new
// field therefore becomes part of the fingerprint without an entry in this file. The table
// fieldUses lists the exceptions. Times are included relative to now, and connection IDs and
// sequence numbers by their rank. Fields that do not influence the future are left out.
type Fingerprint [2]uint64

// fieldUse says how a fingerprint includes a field. The zero value means that the field is not
// a duration and that the fingerprint includes its value unchanged.
type fieldUse uint8

const (
	asDuration       fieldUse = iota + 1 // a length of time, included unchanged
	relative                             // a point in time, included relative to now
	relativeIfFuture                     // a point in time, included relative to now; all past times are encoded alike
	byRank                               // a number, included as its rank among the numbers of its type
	presence                             // a point in time in a map, of which the fingerprint includes only the key
	relativeIfNear                       // a point in time, included relative to now; all times beyond the horizon are encoded alike
	ignored                              // a field that does not influence the future
)

// fieldUses lists the fields whose values a fingerprint does not include unchanged. Each field
// of type time.Duration needs an entry. The fingerprinter panics if one is missing.
var fieldUses = map[string]fieldUse{
	"modelcheck.World.scenario":      ignored,
	"modelcheck.World.cfg":           ignored,
	"modelcheck.World.now":           ignored,
	"modelcheck.World.wakeAt":        relativeIfNear,
	"modelcheck.World.coverage":      ignored,
	"modelcheck.World.firstArrival":  ignored,
	"modelcheck.World.log":           ignored,
	"modelcheck.World.unusableSince": presence,

	"modelcheck.request.deadline":       relativeIfFuture,
	"modelcheck.request.ambiguousSince": relative,
	"modelcheck.request.quiescentAt":    relativeIfFuture,

	"modelcheck.node.started":  relative,
	"modelcheck.node.nodeSpec": ignored,

	"modelcheck.request.requestSpec": ignored,
	"modelcheck.request.outcome":     ignored,

	"modelcheck.conn.id": byRank,

	"modelcheck.checker.requestTimes": relative,
	"modelcheck.checker.retryTimes":   relative,

	"upstreamhttp.Reader.Limits":   ignored,
	"upstreamhttp.Reader.Response": ignored, // the relevant part of a response follows from the fields state and scan

	"forwarder.Forwarder.cfg":         ignored,
	"forwarder.Forwarder.now":         ignored,
	"forwarder.Forwarder.lastConnID":  ignored,
	"forwarder.Forwarder.actions":     ignored,
	"forwarder.Forwarder.wakeAt":      relativeIfNear,
	"forwarder.Forwarder.sortedNodes": ignored, // the sorted nodes follow from the field nodes

	"forwarder.dispatcherTimer.at": relativeIfNear,

	"forwarder.request.class":            ignored,
	"forwarder.request.deadline":         relativeIfFuture,
	"forwarder.request.attemptStartedAt": relative,
	"forwarder.request.headersAt":        relative,
	"forwarder.request.ambiguousSince":   relative,
	"forwarder.request.attribution":      ignored, // no decision of the forwarder depends on the attribution

	"forwarder.node.occupancyHistory": ignored,

	"forwarder.ResponseInfo.HasTiming":   ignored,
	"forwarder.ResponseInfo.QueueTime":   ignored,
	"forwarder.ResponseInfo.ServiceTime": ignored,

	"forwarder.conn.id":        byRank,
	"forwarder.conn.createdAt": relative,
	"forwarder.conn.idleSince": relative,

	"timerqueue.Timer.at":    relativeIfNear,
	"timerqueue.Timer.seq":   ignored,
	"timerqueue.Timer.index": ignored,

	"timerqueue.Queue.seq": ignored,

	"forwarder.RequestAttributed.Entry": ignored,

	"forwarder.Dial.Conn": byRank,

	"forwarder.SendRequest.Conn":     byRank,
	"forwarder.SendRequest.Deadline": relativeIfFuture,

	"forwarder.CloseConn.Conn": byRank,

	"forwarder.ForwardResponse.Conn": byRank,

	"forwarder.DiscardResponse.Conn": byRank,

	"forwarder.Dial.Timeout": asDuration,

	"forwarder.Reject.RetryAfter": asDuration,

	"forwarder.SetTimer.At": relative,

	"dispatch.Node.Started": relative,

	"dispatch.Request.Timeout": ignored, // the dispatcher uses the timeout only when the request arrives

	"dispatch.request.class":            ignored,
	"dispatch.request.sequence":         byRank,
	"dispatch.request.sentAt":           relative,
	"dispatch.request.deadline":         relativeIfFuture,
	"dispatch.request.objectiveAt":      relativeIfFuture,
	"dispatch.request.ambiguousSince":   relative,
	"dispatch.request.queueTime":        ignored,
	"dispatch.request.blockedAtEnqueue": ignored, // only the accounting uses this field and queueTime

	"dispatch.volume.plan":             ignored,
	"dispatch.volume.tokensUpdatedAt":  relative,
	"dispatch.volume.reserveUpdatedAt": relative,
	"dispatch.volume.lastSeen":         ignored, // the dispatcher uses this time only to forget a volume after 30 s without requests

	"dispatch.node.delay":                ignored,
	"dispatch.node.secondsPerUnit":       ignored, // the function nodeLatency writes this learned value separately
	"dispatch.node.completions":          ignored, // completions raise the concurrency limit only at 20 or more responses per second
	"dispatch.node.lastSentAt":           relative,
	"dispatch.node.lastUnansweredSentAt": relative,
	"dispatch.node.lastPromptSentAt":     relative,
	"dispatch.node.delayUpdatedAt":       ignored,
	"dispatch.node.ejectedUntil":         relativeIfFuture,
	"dispatch.node.releaseAt":            relativeIfFuture,
	"dispatch.node.slowStartDebtAt":      relative,
	"dispatch.node.blocked":              ignored,
	"dispatch.node.blockedAt":            ignored,
	"dispatch.node.blockedByEjection":    ignored,
	"dispatch.node.slowStartTime":        ignored,
	"dispatch.node.ejectedTime":          ignored, // only the accounting uses this field

	"dispatch.decayingSum.updatedAt": relative,

	"dispatch.keyQueue.quiescentAt": relativeIfFuture,

	"dispatch.Dispatcher.cfg":               ignored,
	"dispatch.Dispatcher.now":               ignored,
	"dispatch.Dispatcher.pollSilentAt":      relativeIfFuture,
	"dispatch.Dispatcher.startedAt":         relative,
	"dispatch.Dispatcher.tightestObjective": ignored,
	"dispatch.Dispatcher.maxTimeouts":       asDuration,
	"dispatch.Dispatcher.wakeAt":            relativeIfNear,
	"dispatch.Dispatcher.lastSequence":      ignored,
	"dispatch.Dispatcher.budgetRequests":    relative,
	"dispatch.Dispatcher.budgetRetries":     relative,
	"dispatch.Dispatcher.actions":           ignored,
	"dispatch.Dispatcher.maxPriority":       ignored,
	"dispatch.Dispatcher.nodeOrder":         ignored,
	"dispatch.Dispatcher.volumeOrder":       ignored,

	"dispatch.flow.throttledAt":   ignored,
	"dispatch.flow.throttledTime": ignored,
	"dispatch.flow.heapIndex":     ignored, // the order of the heap determines the index
}

// heapOrders maps each heap type to the fields that order its entries. A fingerprint includes
// the entries in this order, because their order in the slice does not influence the future.
var heapOrders = map[string][]string{
	"timerqueue.timerHeap": {"at", "seq"}, "dispatch.flowHeap": {"startTag"},
}

// fingerprinter computes the fingerprints of the worlds of one scenario. It is not safe for
// concurrent use.
type fingerprinter struct {
	exact             bool            // if false, learned values are rounded to two digits
	irrelevant        map[string]bool // fields that have no influence under the scenario's settings
	tightestObjective time.Duration   // the lowest latency objective of all classes
	types             map[reflect.Type]*typeInfo

	// The fields below hold the state of the fingerprint that is being computed.
	now      time.Duration
	buf      []byte
	pointers map[uintptr]uint64 // numbers each pointer, by its address, in the order of the walk
	ranks    map[string][]rankedValue
}

// rankedValue is a number that a fingerprint replaces by its rank among the numbers of its type.
type rankedValue struct {
	value  uint64
	offset int // position in the buffer where the rank is written
}

// horizon is the time ahead of now beyond which a fingerprint does not distinguish times. No
// request of a scenario lives longer than this, and time passes only while a request exists.
const horizon = 1500 * ms

// irrelevantFields returns the fields that do not influence the future under a world's settings.
func irrelevantFields(w *World) map[string]bool {
	irrelevant := map[string]bool{}
	ignore := func(names ...string) {
		for _, n := range names {
			irrelevant[n] = true
		}
	}
	c := &w.cfg.Dispatch
	slowStart, limits, reserve := c.SlowStart.InitialUnits > 0, false, false
	for _, p := range c.Plans {
		limits = limits || p.RateLimit > 0
		reserve = reserve || p.Reserve > 0
	}
	if !slowStart {
		ignore("dispatch.node.slowStartDebt", "dispatch.node.slowStartDebtAt", "dispatch.node.shardThroughput", "dispatch.Dispatcher.throughputByShard")
	}
	if !limits {
		ignore("dispatch.volume.tokens", "dispatch.volume.tokensUpdatedAt")
	}
	if !slowStart && !limits {
		ignore("dispatch.Dispatcher.startedAt")
	}
	if !reserve {
		ignore("dispatch.volume.reserveUpdatedAt")
	}
	// All requests belong to one volume, so the dispatcher has nothing to order by these tags.
	ignore(
		"dispatch.node.virtualTime",
		"dispatch.request.arrivalVirtualTime",
		"dispatch.flow.lastStartTag",
		"dispatch.flow.lastCost",
		"dispatch.flow.lastFinishTag",
		"dispatch.flow.minStartTag",
		"dispatch.flow.startTag",
	)
	if c.RetryBudget.Ratio == 0 {
		ignore("dispatch.Dispatcher.budgetRequests", "modelcheck.checker.requestTimes")
	}
	if w.cfg.IdleTimeout > horizon && w.cfg.MaxConnAge > horizon {
		ignore("forwarder.conn.createdAt", "forwarder.conn.idleSince")
	}
	return irrelevant
}

func newFingerprinter(exact bool) *fingerprinter {
	return &fingerprinter{
		exact:    exact,
		types:    map[reflect.Type]*typeInfo{},
		pointers: map[uintptr]uint64{},
		ranks:    map[string][]rankedValue{},
	}
}

// fingerprint computes the fingerprint of a world.
func (p *fingerprinter) fingerprint(w *World) Fingerprint {
	if p.irrelevant == nil {
		p.deriveFromSettings(w)
	}
	p.now = w.now
	p.buf = p.buf[:0]
	clear(p.pointers)
	for group := range p.ranks {
		p.ranks[group] = p.ranks[group][:0]
	}
	p.walk(reflect.ValueOf(w).Elem(), 0)
	p.u64(remainingArrivalTime(w))
	p.writeRanks()
	return p.sum()
}

// deriveFromSettings sets the fields of the fingerprinter that depend on the scenario's settings.
func (p *fingerprinter) deriveFromSettings(w *World) {
	p.irrelevant = irrelevantFields(w)
	p.tightestObjective = w.cfg.Dispatch.Classes[0].LatencyObjective
	for _, c := range w.cfg.Dispatch.Classes {
		p.tightestObjective = min(p.tightestObjective, c.LatencyObjective)
	}
}

// remainingArrivalTime returns for how long requests may still arrive. It returns 0 if either no
// request or every request has arrived.
func remainingArrivalTime(w *World) uint64 {
	allStarted := !slices.ContainsFunc(w.requests, func(r *request) bool { return !r.started })
	if allStarted || w.firstArrival == 0 {
		return 0
	}
	return uint64(w.firstArrival + w.scenario.arrivalWindow - w.now)
}

// writeRanks writes the rank of each ranked value into the place that the walk reserved for it
// in the buffer.
func (p *fingerprinter) writeRanks() {
	for _, values := range p.ranks {
		slices.SortStableFunc(values, func(a, b rankedValue) int { return cmp.Compare(a.value, b.value) })
		rank, last := uint64(0), uint64(math.MaxUint64)
		for _, v := range values {
			if v.value != last {
				rank++
				last = v.value
			}
			binary.LittleEndian.PutUint64(p.buf[v.offset:], rank)
		}
	}
}

// secondHashSeed is the hash seed for the second half of a fingerprint.
const secondHashSeed = 0x9e3779b97f4a7c15

func (p *fingerprinter) sum() Fingerprint {
	h := xxhash.NewWithSeed(secondHashSeed)
	_, _ = h.Write(p.buf) // a write to an xxhash digest never fails
	return Fingerprint{xxhash.Sum64(p.buf), h.Sum64()}
}

// controllerTimer is the numeric kind of the dispatcher's timer that runs its controller.
const controllerTimer = 0

// heap writes the entries of a heap, sorted by the given fields.
func (p *fingerprinter) heap(v reflect.Value, order []string) {
	idx := make([]int, v.Len())
	for i := range idx {
		idx[i] = i
	}
	// The controller's timer is left out: the controller acts on the quota usage that nodes
	// report, and the nodes of the model checker report none.
	idx = slices.DeleteFunc(idx, func(i int) bool {
		e := v.Index(i).Elem()
		timer := e.FieldByName("Value")
		return timer.IsValid() && typeName(timer.Type()) == "dispatch.timerEvent" && timer.FieldByName("kind").Int() == controllerTimer
	})
	slices.SortFunc(idx, func(a, b int) int {
		x, y := v.Index(a).Elem(), v.Index(b).Elem()
		for _, f := range order {
			if c := compareValues(x.FieldByName(f), y.FieldByName(f)); c != 0 {
				return c
			}
		}
		return 0
	})
	p.u64(uint64(len(idx)))
	for _, i := range idx {
		p.walk(v.Index(i), 0)
	}
}

// nodeLatency writes a node's latency estimate, with the delay decayed to the current time.
func (p *fingerprinter) nodeLatency(v reflect.Value) {
	delay, at := v.FieldByName("delay").Float(), time.Duration(v.FieldByName("delayUpdatedAt").Int())
	p.seconds(delay * math.Exp2(-float64(p.now-at)/(3*float64(p.tightestObjective))))
	p.seconds(v.FieldByName("secondsPerUnit").Float())
}
