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

// treat is how a field counts in a fingerprint. The zero value is for a field that counts as
// it is and is not a duration.
type treat uint8

const (
	span   treat = iota + 1 // a length of time, as it is
	moment                  // a time, relative to now
	due                     // a time, relative to now; all in the past count as the same
	rank                    // a number, by its rank among those of its type
	mark                    // a time, of which only counts that it is set
	near                    // a time, relative to now; all beyond the horizon count as the same
	skip                    // no influence on the future
)

// fields has the fields that do not count as they are. Each duration needs an entry: a walk
// that meets one without panics.
var fields = map[string]treat{
	"modelcheck.World.scenario":      skip,
	"modelcheck.World.cfg":           skip,
	"modelcheck.World.now":           skip,
	"modelcheck.World.wakeAt":        near,
	"modelcheck.World.coverage":      skip,
	"modelcheck.World.firstArrival":  skip,
	"modelcheck.World.log":           skip,
	"modelcheck.World.unusableSince": mark,

	"modelcheck.request.deadline":       due,
	"modelcheck.request.ambiguousSince": moment,
	"modelcheck.request.quiescentAt":    due,

	"modelcheck.node.started":  moment,
	"modelcheck.node.nodeSpec": skip,

	"modelcheck.request.requestSpec": skip,
	"modelcheck.request.outcome":     skip,

	"modelcheck.conn.id": rank,

	"modelcheck.checker.requestTimes": moment,
	"modelcheck.checker.retryTimes":   moment,

	"upstreamhttp.Reader.Limits":   skip,
	"upstreamhttp.Reader.Response": skip, // what matters of it follows from state and scan

	"forwarder.Forwarder.cfg":         skip,
	"forwarder.Forwarder.now":         skip,
	"forwarder.Forwarder.lastConnID":  skip,
	"forwarder.Forwarder.actions":     skip,
	"forwarder.Forwarder.wakeAt":      near,
	"forwarder.Forwarder.sortedNodes": skip, // follows from nodes

	"forwarder.dispatcherTimer.at": near,

	"forwarder.request.class":            skip,
	"forwarder.request.deadline":         due,
	"forwarder.request.attemptStartedAt": moment,
	"forwarder.request.headersAt":        moment,
	"forwarder.request.ambiguousSince":   moment,
	"forwarder.request.attribution":      skip, // no decision depends on it

	"forwarder.node.occupancyHistory": skip,

	"forwarder.ResponseInfo.HasTiming":   skip,
	"forwarder.ResponseInfo.QueueTime":   skip,
	"forwarder.ResponseInfo.ServiceTime": skip,

	"forwarder.conn.id":        rank,
	"forwarder.conn.createdAt": moment,
	"forwarder.conn.idleSince": moment,

	"timerqueue.Timer.at":    near,
	"timerqueue.Timer.seq":   skip,
	"timerqueue.Timer.index": skip,

	"timerqueue.Queue.seq": skip,

	"forwarder.RequestAttributed.Entry": skip,

	"forwarder.Dial.Conn": rank,

	"forwarder.SendRequest.Conn":     rank,
	"forwarder.SendRequest.Deadline": due,

	"forwarder.CloseConn.Conn": rank,

	"forwarder.ForwardResponse.Conn": rank,

	"forwarder.DiscardResponse.Conn": rank,

	"forwarder.Dial.Timeout": span,

	"forwarder.Reject.RetryAfter": span,

	"forwarder.SetTimer.At": moment,

	"dispatch.Node.Started": moment,

	"dispatch.Request.Timeout": skip, // only on arrival

	"dispatch.request.class":    skip,
	"dispatch.request.seq":      rank,
	"dispatch.request.sentAt":   moment,
	"dispatch.request.deadline": due,
	"dispatch.request.aimAt":    due,
	"dispatch.request.doubtAt":  moment,
	"dispatch.request.held":     skip,
	"dispatch.request.queued":   skip, // accounts

	"dispatch.volume.plan":      skip,
	"dispatch.volume.tokensAt":  moment,
	"dispatch.volume.reserveAt": moment,
	"dispatch.volume.seen":      skip, // forgotten after 30 s

	"dispatch.node.lat":        skip,
	"dispatch.node.base":       skip, // taken as they have faded: learned
	"dispatch.node.done":       skip, // it raises depth from 20 answers a second on
	"dispatch.node.sentAt":     moment,
	"dispatch.node.missedAt":   moment,
	"dispatch.node.heardAt":    moment,
	"dispatch.node.latAt":      skip,
	"dispatch.node.until":      due,
	"dispatch.node.wake":       due,
	"dispatch.node.debtAt":     moment,
	"dispatch.node.blocked":    skip,
	"dispatch.node.blockedAt":  skip,
	"dispatch.node.pausing":    skip,
	"dispatch.node.coldSum":    skip,
	"dispatch.node.suspectSum": skip, // accounts

	"dispatch.meter.at": moment,

	"dispatch.turn.rest": due,

	"dispatch.Dispatcher.cfg":       skip,
	"dispatch.Dispatcher.now":       skip,
	"dispatch.Dispatcher.born":      moment,
	"dispatch.Dispatcher.tightest":  skip,
	"dispatch.Dispatcher.maxLeft":   span,
	"dispatch.Dispatcher.wakeAt":    near,
	"dispatch.Dispatcher.seq":       skip,
	"dispatch.Dispatcher.taken":     moment,
	"dispatch.Dispatcher.extra":     moment,
	"dispatch.Dispatcher.acts":      skip,
	"dispatch.Dispatcher.bestValue": skip,
	"dispatch.Dispatcher.order":     skip,
	"dispatch.Dispatcher.volOrder":  skip,

	"dispatch.flow.parkedAt":  skip,
	"dispatch.flow.parkedSum": skip,
	"dispatch.flow.pos":       skip, // accounts, and a place in the heap that follows from its order
}

// heaps are the types of heaps with the fields by which they are ordered. Their entries
// count in this order, not in that of their slice.
var heaps = map[string][]string{
	"timerqueue.timerHeap": {"at", "seq"}, "dispatch.flowHeap": {"start"},
}

// fingerprinter takes fingerprints of the worlds of one scenario. It is not safe for
// concurrent use.
type fingerprinter struct {
	exact             bool            // else learned values count with two digits
	inert             map[string]bool // fields without influence under the scenario's settings
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

// horizon is how far ahead times are told apart. No request of a scenario lives longer, and
// time passes only while there is one.
const horizon = 1500 * ms

// inertFields returns the fields without influence under a world's settings.
func inertFields(w *World) map[string]bool {
	off := map[string]bool{}
	skipAll := func(names ...string) {
		for _, n := range names {
			off[n] = true
		}
	}
	c := &w.cfg.Dispatch
	cold, limits, reserve, volumes := c.SlowStart.InitialUnits > 0, false, false, 1
	for _, p := range c.Plans {
		limits, reserve = limits || p.RateLimit > 0, reserve || p.Reserve > 0
	}
	if !cold {
		skipAll("dispatch.node.debt", "dispatch.node.debtAt", "dispatch.node.use", "dispatch.Dispatcher.usages")
	}
	if !limits {
		skipAll("dispatch.volume.tokens", "dispatch.volume.tokensAt")
	}
	if !cold && !limits {
		skipAll("dispatch.Dispatcher.born")
	}
	if !reserve {
		skipAll("dispatch.volume.reserveAt")
	}
	if volumes == 1 { // one flow at each node: its tags order nothing
		skipAll("dispatch.node.v", "dispatch.request.vArr", "dispatch.flow.lastS", "dispatch.flow.lastC", "dispatch.flow.lastF", "dispatch.flow.floor", "dispatch.flow.start")
	}
	if c.RetryBudget.Ratio == 0 {
		skipAll("dispatch.Dispatcher.taken", "modelcheck.checker.requestTimes")
	}
	if w.cfg.IdleTimeout > horizon && w.cfg.MaxConnAge > horizon {
		skipAll("forwarder.conn.createdAt", "forwarder.conn.idleSince")
	}
	return off
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
	if p.inert == nil {
		p.learnSettings(w)
	}
	p.now = w.now
	p.buf = p.buf[:0]
	clear(p.pointers)
	for group := range p.ranks {
		p.ranks[group] = p.ranks[group][:0]
	}
	p.walk(reflect.ValueOf(w).Elem(), 0)
	p.u64(arrivalsEnd(w))
	p.writeRanks()
	return p.sum()
}

func (p *fingerprinter) learnSettings(w *World) {
	p.inert = inertFields(w)
	p.tightestObjective = w.cfg.Dispatch.Classes[0].LatencyObjective
	for _, c := range w.cfg.Dispatch.Classes {
		p.tightestObjective = min(p.tightestObjective, c.LatencyObjective)
	}
}

// arrivalsEnd returns for how long requests may still arrive; 0 where none has arrived or all
// have.
func arrivalsEnd(w *World) uint64 {
	allStarted := !slices.ContainsFunc(w.requests, func(r *request) bool { return !r.started })
	if allStarted || w.firstArrival == 0 {
		return 0
	}
	return uint64(w.firstArrival + w.scenario.spread - w.now)
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
const secondSeed = 0x9e3779b97f4a7c15

func (p *fingerprinter) sum() Fingerprint {
	h := xxhash.NewWithSeed(secondSeed)
	_, _ = h.Write(p.buf) // never fails
	return Fingerprint{xxhash.Sum64(p.buf), h.Sum64()}
}

// doControl is the value of the dispatcher's kind of task that runs its controller.
const doControl = 0

// heap writes the entries of a heap in its order.
func (p *fingerprinter) heap(v reflect.Value, by []string) {
	idx := make([]int, v.Len())
	for i := range idx {
		idx[i] = i
	}
	// The controller acts on the nodes' quota usage, which they do not report here.
	idx = slices.DeleteFunc(idx, func(i int) bool {
		e := v.Index(i).Elem()
		timer := e.FieldByName("Value")
		return timer.IsValid() && timer.Type().Name() == "task" && timer.FieldByName("kind").Int() == doControl
	})
	slices.SortFunc(idx, func(a, b int) int {
		x, y := v.Index(a).Elem(), v.Index(b).Elem()
		for _, f := range by {
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
	lat, at := v.FieldByName("lat").Float(), time.Duration(v.FieldByName("latAt").Int())
	p.seconds(lat * math.Exp2(-float64(p.now-at)/(3*float64(p.tightestObjective))))
	p.seconds(v.FieldByName("base").Float())
}
