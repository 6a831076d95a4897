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

// Fingerprint identifies a state. Two states have the same fingerprint if all that can
// influence their future is the same, apart from hash collisions.
//
// It is taken by walking the real state by reflection, unexported fields included, so that
// a new field is part of it without an entry here. The table fields has the exceptions:
// times count relative to now, numbers of connections and sequences by their rank, and
// fields without influence not at all.
type Fingerprint [2]uint64

// fieldUse is how a field counts in a fingerprint. The zero value is for a field that counts as
// it is and is not a duration.
type fieldUse uint8

const (
	asDuration       fieldUse = iota + 1 // a length of time, as it is
	relative                             // a time, relative to now
	relativeIfFuture                     // a time, relative to now; all in the past count as the same
	byRank                               // a number, by its rank among those of its type
	presence                             // a time, of which only counts that it is set
	relativeIfNear                       // a time, relative to now; all beyond the horizon count as the same
	ignored                              // no influence on the future
)

// fieldUses has the fieldUses that do not count as they are. Each duration needs an entry: a walk
// that meets one without panics.
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
	"upstreamhttp.Reader.Response": ignored, // what matters of it follows from state and scan

	"forwarder.Forwarder.cfg":         ignored,
	"forwarder.Forwarder.now":         ignored,
	"forwarder.Forwarder.lastConnID":  ignored,
	"forwarder.Forwarder.actions":     ignored,
	"forwarder.Forwarder.wakeAt":      relativeIfNear,
	"forwarder.Forwarder.sortedNodes": ignored, // follows from nodes

	"forwarder.dispatcherTimer.at": relativeIfNear,

	"forwarder.request.class":            ignored,
	"forwarder.request.deadline":         relativeIfFuture,
	"forwarder.request.attemptStartedAt": relative,
	"forwarder.request.headersAt":        relative,
	"forwarder.request.ambiguousSince":   relative,
	"forwarder.request.attribution":      ignored, // no decision depends on it

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

	"dispatch.Request.Timeout": ignored, // only on arrival

	"dispatch.request.class":            ignored,
	"dispatch.request.sequence":         byRank,
	"dispatch.request.sentAt":           relative,
	"dispatch.request.deadline":         relativeIfFuture,
	"dispatch.request.objectiveAt":      relativeIfFuture,
	"dispatch.request.ambiguousSince":   relative,
	"dispatch.request.queueTime":        ignored,
	"dispatch.request.blockedAtEnqueue": ignored, // accounts

	"dispatch.volume.plan":             ignored,
	"dispatch.volume.tokensUpdatedAt":  relative,
	"dispatch.volume.reserveUpdatedAt": relative,
	"dispatch.volume.lastSeen":         ignored, // forgotten after 30 s

	"dispatch.node.delay":                ignored,
	"dispatch.node.secondsPerUnit":       ignored, // learned; compared as decayed
	"dispatch.node.completions":          ignored, // it raises the concurrency limit only from 20 responses per second on
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
	"dispatch.node.ejectedTime":          ignored, // accounts

	"dispatch.decayingSum.updatedAt": relative,

	"dispatch.keyQueue.quiescentAt": relativeIfFuture,

	"dispatch.Dispatcher.cfg":               ignored,
	"dispatch.Dispatcher.now":               ignored,
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
	"dispatch.flow.heapIndex":     ignored, // accounts, and a place in the heap that follows from its order
}

// heaps are the types of heaps with the fields by which they are ordered. Their entries
// count in this order, not in that of their slice.
var heapOrders = map[string][]string{
	"timerqueue.timerHeap": {"at", "seq"}, "dispatch.flowHeap": {"startTag"},
}

// fingerprinter takes fingerprints of the worlds of one scenario. It is not safe for
// concurrent use.
type fingerprinter struct {
	exact             bool            // else learned values count with two digits
	irrelevant        map[string]bool // fields without influence under the scenario's settings
	tightestObjective time.Duration   // the lowest latency objective
	types             map[reflect.Type]*typeInfo

	// Of the current fingerprint.
	now      time.Duration
	buf      []byte
	pointers map[uintptr]uint64 // by address: the order in which they were met
	ranks    map[string][]rankedValue
}

// rankedValue is a value that counts by its rank.
type rankedValue struct {
	value  uint64
	offset int // of its rank in the buffer
}

// horizon is how far ahead times are distinguished. No request of a scenario lives longer, and
// time passes only while there is one.
const horizon = 1500 * ms

// inertFields returns the fields without influence under a world's settings.
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
	// There is one volume, so the tags at each node order nothing.
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

// fingerprint returns the fingerprint of a world.
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

func (p *fingerprinter) deriveFromSettings(w *World) {
	p.irrelevant = irrelevantFields(w)
	p.tightestObjective = w.cfg.Dispatch.Classes[0].LatencyObjective
	for _, c := range w.cfg.Dispatch.Classes {
		p.tightestObjective = min(p.tightestObjective, c.LatencyObjective)
	}
}

// arrivalsEnd returns for how long requests may still arrive; 0 where none has arrived or all
// have.
func remainingArrivalTime(w *World) uint64 {
	allStarted := !slices.ContainsFunc(w.requests, func(r *request) bool { return !r.started })
	if allStarted || w.firstArrival == 0 {
		return 0
	}
	return uint64(w.firstArrival + w.scenario.arrivalWindow - w.now)
}

// writeRanks writes the ranks of the values that count by them into their places.
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

// secondSeed is the seed of a fingerprint's second half.
const secondHashSeed = 0x9e3779b97f4a7c15

func (p *fingerprinter) sum() Fingerprint {
	h := xxhash.NewWithSeed(secondHashSeed)
	_, _ = h.Write(p.buf) // never fails
	return Fingerprint{xxhash.Sum64(p.buf), h.Sum64()}
}

// controllerTimer is the value of the dispatcher's kind of task that runs its controller.
const controllerTimer = 0

// heap writes the entries of a heap in its order.
func (p *fingerprinter) heap(v reflect.Value, order []string) {
	idx := make([]int, v.Len())
	for i := range idx {
		idx[i] = i
	}
	// The controller acts on the nodes' quota usage, which they do not report here.
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

// nodeLatency writes a node's latency estimate, decayed until now.
func (p *fingerprinter) nodeLatency(v reflect.Value) {
	delay, at := v.FieldByName("delay").Float(), time.Duration(v.FieldByName("delayUpdatedAt").Int())
	p.seconds(delay * math.Exp2(-float64(p.now-at)/(3*float64(p.tightestObjective))))
	p.seconds(v.FieldByName("secondsPerUnit").Float())
}
