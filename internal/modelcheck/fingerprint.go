package modelcheck

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A fingerprint tells states apart by all that can influence the future. It is taken
// by walking the real state, unexported fields included, so that a field which is
// added is part of it without a word here. What must be said of a field stands in
// the table: times are taken relative to now, numbers of connections and sequences
// by their rank, and a few fields are left out, each for a reason.

// Fingerprint is a fingerprint.
type Fingerprint [2]uint64

// treat is how a field is taken.
type treat uint8

const (
	span   treat = iota + 1 // a length of time, as it is
	moment                  // a moment: relative to now
	due                     // a moment that matters only while it is ahead
	rank                    // a number that matters only by its order among its like
	mark                    // a moment of which only matters that there is one
	near                    // a moment that matters only when it is not far ahead
	skip                    // cannot influence the future
)

// fields says how durations, and what else needs it, are taken. A duration that is
// not here stops the walk with a panic: it has to be decided on.
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
	"upstreamhttp.Reader.Response": skip, // its parts that matter follow from state and scan

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

	"dispatch.request.class":            skip,
	"dispatch.request.sequence":         rank,
	"dispatch.request.sentAt":           moment,
	"dispatch.request.deadline":         due,
	"dispatch.request.objectiveAt":      due,
	"dispatch.request.ambiguousSince":   moment,
	"dispatch.request.queueTime":        skip,
	"dispatch.request.blockedAtEnqueue": skip, // accounts

	"dispatch.volume.plan":             skip,
	"dispatch.volume.tokensUpdatedAt":  moment,
	"dispatch.volume.reserveUpdatedAt": moment,
	"dispatch.volume.lastSeen":         skip, // forgotten after 30 s

	"dispatch.node.delay":                skip,
	"dispatch.node.secondsPerUnit":       skip, // taken as they have faded: learned
	"dispatch.node.completions":          skip, // it raises depth from 20 answers a second on
	"dispatch.node.lastSentAt":           moment,
	"dispatch.node.lastUnansweredSentAt": moment,
	"dispatch.node.lastPromptSentAt":     moment,
	"dispatch.node.delayUpdatedAt":       skip,
	"dispatch.node.ejectedUntil":         due,
	"dispatch.node.releaseAt":            due,
	"dispatch.node.slowStartDebtAt":      moment,
	"dispatch.node.blocked":              skip,
	"dispatch.node.blockedAt":            skip,
	"dispatch.node.blockedByEjection":    skip,
	"dispatch.node.slowStartTime":        skip,
	"dispatch.node.ejectedTime":          skip, // accounts

	"dispatch.decayingSum.updatedAt": moment,

	"dispatch.keyQueue.quiescentAt": due,

	"dispatch.Dispatcher.cfg":               skip,
	"dispatch.Dispatcher.now":               skip,
	"dispatch.Dispatcher.startedAt":         moment,
	"dispatch.Dispatcher.tightestObjective": skip,
	"dispatch.Dispatcher.maxTimeouts":       span,
	"dispatch.Dispatcher.wakeAt":            near,
	"dispatch.Dispatcher.lastSequence":      skip,
	"dispatch.Dispatcher.budgetRequests":    moment,
	"dispatch.Dispatcher.budgetRetries":     moment,
	"dispatch.Dispatcher.actions":           skip,
	"dispatch.Dispatcher.maxPriority":       skip,
	"dispatch.Dispatcher.nodeOrder":         skip,
	"dispatch.Dispatcher.volumeOrder":       skip,

	"dispatch.flow.throttledAt":   skip,
	"dispatch.flow.throttledTime": skip,
	"dispatch.flow.heapIndex":     skip, // accounts, and a place in the heap that follows from its order
}

// sorted are the heaps: what they hold matters, in the order in which it comes out.
var heaps = map[string][]string{
	"timerqueue.timerHeap": {"at", "seq"}, "dispatch.flowHeap": {"startTag"},
}

var durationType = reflect.TypeFor[time.Duration]()

// fingerprinter walks a state.
type fingerprinter struct {
	now               time.Duration
	exact             bool // else figures that were learned are taken to two digits
	buf               []byte
	pointers          map[uintptr]uint64
	ranks             map[string][]rankAt // by group: values and where their ranks go
	types             map[reflect.Type]*typeInfo
	inert             map[string]bool // fields without influence under the settings
	tightestObjective time.Duration   // by whose multiples what was learned fades
}

type rankAt struct {
	v  uint64
	at int
}

// typeInfo is what is known of a struct type.
type typeInfo struct {
	name   string
	fields []fieldInfo
}

type fieldInfo struct {
	name  string
	treat treat
	heap  []string
}

// horizon is how far ahead a moment counts as far: no request of a world lives longer,
// and time passes only while one is in hand.
const horizon = 1500 * ms

// inertFields returns the fields that have no influence under a world's settings, each
// with the setting that it needs.
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
		skipAll("dispatch.node.slowStartDebt", "dispatch.node.slowStartDebtAt", "dispatch.node.shardThroughput", "dispatch.Dispatcher.throughputByShard")
	}
	if !limits {
		skipAll("dispatch.volume.tokens", "dispatch.volume.tokensUpdatedAt")
	}
	if !cold && !limits {
		skipAll("dispatch.Dispatcher.startedAt")
	}
	if !reserve {
		skipAll("dispatch.volume.reserveUpdatedAt")
	}
	if volumes == 1 { // one flow at each node: its tags order nothing
		skipAll("dispatch.node.virtualTime", "dispatch.request.arrivalVirtualTime", "dispatch.flow.lastStartTag", "dispatch.flow.lastCost", "dispatch.flow.lastFinishTag", "dispatch.flow.minStartTag", "dispatch.flow.startTag")
	}
	if c.RetryBudget.Ratio == 0 {
		skipAll("dispatch.Dispatcher.budgetRequests", "modelcheck.checker.requestTimes")
	}
	if w.cfg.IdleTimeout > horizon && w.cfg.MaxConnAge > horizon {
		skipAll("forwarder.conn.createdAt", "forwarder.conn.idleSince")
	}
	return off
}

func newFingerprinter(exact bool) *fingerprinter {
	return &fingerprinter{exact: exact, pointers: map[uintptr]uint64{}, ranks: map[string][]rankAt{}, types: map[reflect.Type]*typeInfo{}}
}

// fingerprint returns the fingerprint of a world.
func (p *fingerprinter) fingerprint(w *World) Fingerprint {
	p.now, p.buf = w.now, p.buf[:0]
	clear(p.pointers)
	for k := range p.ranks {
		p.ranks[k] = p.ranks[k][:0]
	}
	if p.inert == nil {
		p.inert, p.tightestObjective = inertFields(w), w.cfg.Dispatch.Classes[0].LatencyObjective
		for _, c := range w.cfg.Dispatch.Classes {
			p.tightestObjective = min(p.tightestObjective, c.LatencyObjective)
		}
	}
	p.walk(reflect.ValueOf(w).Elem(), 0)
	if !slices.ContainsFunc(w.requests, func(c *request) bool { return !c.started }) || w.firstArrival == 0 {
		p.u64(0)
	} else {
		p.u64(uint64(w.firstArrival + w.scenario.spread - w.now))
	}
	for _, rs := range p.ranks { // each writes to its own places: the order is no matter
		slices.SortStableFunc(rs, func(a, b rankAt) int { return cmp.Compare(a.v, b.v) })
		n, last := uint64(0), uint64(math.MaxUint64)
		for _, r := range rs {
			if r.v != last {
				n, last = n+1, r.v
			}
			binary.LittleEndian.PutUint64(p.buf[r.at:], n)
		}
	}
	h := xxhash.NewWithSeed(0x9e3779b97f4a7c15)
	h.Write(p.buf)
	return Fingerprint{xxhash.Sum64(p.buf), h.Sum64()}
}

func (p *fingerprinter) u64(v uint64) { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }

func (p *fingerprinter) info(t reflect.Type) *typeInfo {
	if i := p.types[t]; i != nil {
		return i
	}
	i := &typeInfo{name: typeName(t)}
	for k := range t.NumField() {
		f := t.Field(k)
		name := typeName(t) + "." + f.Name
		how := fields[name]
		if p.inert[name] {
			how = skip
		}
		i.fields = append(i.fields, fieldInfo{name, how, heaps[typeName(f.Type)]})
	}
	p.types[t] = i
	return i
}

// typeName is a type's name with its package's.
func typeName(t reflect.Type) string {
	path := t.PkgPath()
	name, _, _ := strings.Cut(t.Name(), "[") // without type arguments
	return path[strings.LastIndexByte(path, '/')+1:] + "." + name
}

func (p *fingerprinter) walk(v reflect.Value, how treat) {
	if v.Type() == durationType {
		p.duration(time.Duration(v.Int()), how)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			p.buf = append(p.buf, 1)
		} else {
			p.buf = append(p.buf, 0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		p.u64(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		if how == rank || v.Type().Name() == "ConnID" {
			group := v.Type().Name()
			p.ranks[group] = append(p.ranks[group], rankAt{v.Uint(), len(p.buf)})
			p.u64(0)
			return
		}
		p.u64(v.Uint())
	case reflect.Float64, reflect.Float32:
		p.float(v.Float())
	case reflect.String:
		p.u64(uint64(v.Len()))
		p.buf = append(p.buf, v.String()...)
	case reflect.Pointer:
		p.pointer(v)
	case reflect.Interface:
		if v.IsNil() {
			p.buf = append(p.buf, 0)
			return
		}
		p.buf = append(p.buf, 1)
		p.buf = append(p.buf, v.Elem().Type().String()...)
		p.walk(v.Elem(), how)
	case reflect.Slice, reflect.Array:
		p.u64(uint64(v.Len()))
		for i := range v.Len() {
			p.walk(v.Index(i), how)
		}
	case reflect.Map:
		p.mapEntries(v, how)
	case reflect.Struct:
		p.fields(v)
	case reflect.Func:
	default:
		panic(fmt.Sprintf("modelcheck: a %v cannot be told apart", v.Type()))
	}
}

func (p *fingerprinter) pointer(v reflect.Value) {
	if v.IsNil() {
		p.buf = append(p.buf, 0)
		return
	}
	if n, ok := p.pointers[v.Pointer()]; ok {
		p.buf = append(p.buf, 2)
		p.u64(n)
		return
	}
	p.pointers[v.Pointer()] = uint64(len(p.pointers))
	p.buf = append(p.buf, 1)
	p.walk(v.Elem(), 0)
}

func (p *fingerprinter) fields(v reflect.Value) {
	info := p.info(v.Type())
	switch info.name {
	case "modelcheck.request":
		if p.finishedRequest(v) {
			return
		}
	case "dispatch.node":
		p.nodeLatency(v)
	}
	for i := range info.fields {
		f := &info.fields[i]
		fv := v.Field(i)
		switch {
		case f.treat == skip:
		case f.heap != nil:
			p.heap(fv, f.heap)
		case fv.Type() == durationType && f.treat == 0:
			panic("modelcheck: of the duration " + f.name + " it is not said whether it is a length, a moment, or without influence")
		default:
			p.walk(fv, f.treat)
		}
	}
}

// doControl is the first of the dispatcher's kinds of task; a test holds it to that.
const doControl = 0

// heap takes what a heap holds, in order.
func (p *fingerprinter) heap(v reflect.Value, by []string) {
	idx := make([]int, v.Len())
	for i := range idx {
		idx[i] = i
	}
	// The controller acts on figures of use, and nodes here give none.
	idx = slices.DeleteFunc(idx, func(i int) bool {
		e := v.Index(i).Elem()
		timer := e.FieldByName("Value")
		return timer.IsValid() && typeName(timer.Type()) == "dispatch.timerEvent" && timer.FieldByName("kind").Int() == doControl
	})
	slices.SortFunc(idx, func(a, b int) int {
		x, y := v.Index(a).Elem(), v.Index(b).Elem()
		for _, f := range by {
			if c := compare(x.FieldByName(f), y.FieldByName(f)); c != 0 {
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

func compare(a, b reflect.Value) int {
	switch a.Kind() {
	case reflect.Float64:
		return cmp.Compare(a.Float(), b.Float())
	case reflect.Uint64:
		return cmp.Compare(a.Uint(), b.Uint())
	}
	return cmp.Compare(a.Int(), b.Int())
}

func (p *fingerprinter) mapEntries(v reflect.Value, how treat) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int {
		if a.Kind() == reflect.String {
			return strings.Compare(a.String(), b.String())
		}
		return compare(a, b)
	})
	p.u64(uint64(len(keys)))
	for _, k := range keys {
		p.walk(k, 0)
		p.walk(v.MapIndex(k), how)
	}
}

func (p *fingerprinter) duration(d time.Duration, how treat) {
	switch {
	case how == mark:
	case how == span:
		p.u64(uint64(d))
	case how == rank:
		panic("modelcheck: a duration by rank")
	case d == 0: // never set
		p.u64(1)
	case d == math.MaxInt64: // not set
		p.u64(2)
	case how == due && d <= p.now:
		p.u64(3)
	case how == near && d-p.now > horizon:
		p.u64(4)
	default:
		p.u64(uint64(d-p.now) ^ 1<<62)
	}
}

// finishedRequest takes a call that has ended for what is left of it; it tells whether it has.
func (p *fingerprinter) finishedRequest(v reflect.Value) bool {
	ended := v.FieldByName("canceled").Bool() || v.FieldByName("responses").Int() > 0
	if !ended {
		return false
	}
	p.buf = append(p.buf, 7)
	p.walk(v.FieldByName("id"), 0)
	p.walk(v.FieldByName("conn"), 0)
	p.duration(time.Duration(v.FieldByName("quiescentAt").Int()), due)
	return true
}

// nodeLatency takes a node's delay as it has faded by now.
func (p *fingerprinter) nodeLatency(v reflect.Value) {
	lat, at := v.FieldByName("delay").Float(), time.Duration(v.FieldByName("delayUpdatedAt").Int())
	p.seconds(lat * math.Exp2(-float64(p.now-at)/(3*float64(p.tightestObjective))))
	p.seconds(v.FieldByName("secondsPerUnit").Float())
}

// seconds takes a length of time that was learned, by milliseconds where that is
// enough.
func (p *fingerprinter) seconds(s float64) {
	if !p.exact {
		s = math.Round(s * 1e3)
	}
	p.u64(math.Float64bits(s))
}

// float takes a figure, to two digits where that is enough.
func (p *fingerprinter) float(f float64) {
	if p.exact || f == 0 || math.IsInf(f, 0) {
		p.u64(math.Float64bits(f))
		return
	}
	e := math.Floor(math.Log10(math.Abs(f)))
	p.u64(uint64(int64(math.Round(f / math.Pow(10, e-1)))))
	p.u64(uint64(int64(e)))
}
