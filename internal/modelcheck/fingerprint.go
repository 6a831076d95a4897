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
// field therefore becomes part of the fingerprint by itself. The table fieldUses in fielduses.go
// lists the exceptions. Times are included relative to now, and connection IDs and
// sequence numbers by their rank. Fields that do not influence the future are left out.
type Fingerprint [2]uint64

// fingerprinter computes the fingerprints of the worlds of one scenario. It is not safe for
// concurrent use.
type fingerprinter struct {
	exact            bool            // if false, learned values are rounded to two digits
	irrelevant       map[string]bool // fields that have no influence under the scenario's settings
	shortestDeadline time.Duration   // the shortest deadline of all classes
	types            map[reflect.Type]*typeInfo

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
	p.shortestDeadline = w.cfg.Dispatch.Classes[0].Deadline
	for _, c := range w.cfg.Dispatch.Classes {
		p.shortestDeadline = min(p.shortestDeadline, c.Deadline)
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
	p.seconds(delay * math.Exp(-float64(p.now-at)/float64(p.shortestDeadline)))
	p.seconds(v.FieldByName("delayConcurrency").Float())
	p.seconds(v.FieldByName("secondsPerUnit").Float())
}
