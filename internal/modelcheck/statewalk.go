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
)

// The walk over a state by reflection: it writes what counts of the state to a
// fingerprinter's buffer.

// Bytes that precede values.
const (
	markNil      byte = 0
	markValue    byte = 1
	markVisited  byte = 2 // a pointer that was met before
	markFinished byte = 7 // a request that is finished
)

// Numbers that stand for times.
const (
	timeUnset uint64 = iota + 1 // 0
	timeNever                   // math.MaxInt64
	timePast
	timeBeyondHorizon
)

// timeOffset distinguishes relative times from the numbers that stand for times.
const timeOffset = 1 << 62

var durationType = reflect.TypeFor[time.Duration]()

// typeInfo caches how the fields of a struct type count.
type typeInfo struct {
	name   string
	fields []fieldInfo
}

type fieldInfo struct {
	name      string
	use       fieldUse
	heapOrder []string // of a heap: the fields by which it is ordered
}

func (p *fingerprinter) typeInfoOf(t reflect.Type) *typeInfo {
	if info := p.types[t]; info != nil {
		return info
	}
	info := &typeInfo{name: typeName(t)}
	for field := range t.Fields() {
		name := info.name + "." + field.Name
		use := fieldUses[name]
		if p.irrelevant[name] {
			use = ignored
		}
		info.fields = append(info.fields, fieldInfo{name: name, use: use, heapOrder: heapOrders[typeName(field.Type)]})
	}
	p.types[t] = info
	return info
}

// typeName returns a type's name with that of its package, and without type arguments.
func typeName(t reflect.Type) string {
	path := t.PkgPath()
	name, _, _ := strings.Cut(t.Name(), "[")
	return path[strings.LastIndexByte(path, '/')+1:] + "." + name
}

// walk writes a value, and what it refers to.
func (p *fingerprinter) walk(v reflect.Value, use fieldUse) {
	if v.Type() == durationType {
		p.duration(time.Duration(v.Int()), use)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		p.pointer(v)
	case reflect.Interface:
		p.interfaceValue(v, use)
	case reflect.Slice, reflect.Array:
		p.u64(uint64(v.Len()))
		for i := range v.Len() {
			p.walk(v.Index(i), use)
		}
	case reflect.Map:
		p.mapEntries(v, use)
	case reflect.Struct:
		p.structFields(v)
	case reflect.Func:
	default:
		p.basicValue(v, use)
	}
}

// basicValue writes a boolean, a number or a string.
func (p *fingerprinter) basicValue(v reflect.Value, use fieldUse) {
	switch {
	case v.Kind() == reflect.Bool:
		p.bool(v.Bool())
	case v.Kind() == reflect.String:
		p.u64(uint64(v.Len()))
		p.buf = append(p.buf, v.String()...)
	case v.CanInt():
		p.u64(uint64(v.Int()))
	case v.CanUint():
		p.unsigned(v, use)
	case v.CanFloat():
		p.float(v.Float())
	default:
		panic(fmt.Sprintf("modelcheck: values of type %v cannot be compared", v.Type()))
	}
}

func (p *fingerprinter) u64(v uint64) { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }

func (p *fingerprinter) bool(b bool) {
	if b {
		p.buf = append(p.buf, 1)
	} else {
		p.buf = append(p.buf, 0)
	}
}

// unsigned writes a number, or leaves a place for its rank. The numbers of connections count
// by their rank wherever they are.
func (p *fingerprinter) unsigned(v reflect.Value, use fieldUse) {
	group := v.Type().Name()
	if use != byRank && group != "ConnID" {
		p.u64(v.Uint())
		return
	}
	p.ranks[group] = append(p.ranks[group], rankedValue{value: v.Uint(), offset: len(p.buf)})
	p.u64(0)
}

// pointer writes what a pointer points to, where it is met for the first time.
func (p *fingerprinter) pointer(v reflect.Value) {
	if v.IsNil() {
		p.buf = append(p.buf, markNil)
		return
	}
	if number, known := p.pointers[v.Pointer()]; known {
		p.buf = append(p.buf, markVisited)
		p.u64(number)
		return
	}
	p.pointers[v.Pointer()] = uint64(len(p.pointers))
	p.buf = append(p.buf, markValue)
	p.walk(v.Elem(), 0)
}

// dynamicValue writes the value of an interface with its type.
func (p *fingerprinter) interfaceValue(v reflect.Value, use fieldUse) {
	if v.IsNil() {
		p.buf = append(p.buf, markNil)
		return
	}
	p.buf = append(p.buf, markValue)
	p.buf = append(p.buf, v.Elem().Type().String()...)
	p.walk(v.Elem(), use)
}

func (p *fingerprinter) structFields(v reflect.Value) {
	info := p.typeInfoOf(v.Type())
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
		value := v.Field(i)
		switch {
		case f.use == ignored:
		case f.heapOrder != nil:
			p.heap(value, f.heapOrder)
		case value.Type() == durationType && f.use == 0:
			panic("modelcheck: the duration " + f.name + " has no entry in the table of fields")
		default:
			p.walk(value, f.use)
		}
	}
}

// finishedRequest writes what counts of a request that is finished. It returns false where
// the request is not, and writes nothing.
func (p *fingerprinter) finishedRequest(v reflect.Value) bool {
	finished := v.FieldByName("canceled").Bool() || v.FieldByName("responses").Int() > 0
	if !finished {
		return false
	}
	p.buf = append(p.buf, markFinished)
	p.walk(v.FieldByName("id"), 0)
	p.walk(v.FieldByName("conn"), 0)
	p.duration(time.Duration(v.FieldByName("quiescentAt").Int()), relativeIfFuture)
	return true
}

// mapEntries writes the entries of a map by the order of their keys.
func (p *fingerprinter) mapEntries(v reflect.Value, use fieldUse) {
	keys := v.MapKeys()
	slices.SortFunc(keys, compareValues)
	p.u64(uint64(len(keys)))
	for _, k := range keys {
		p.walk(k, 0)
		p.walk(v.MapIndex(k), use)
	}
}

// compareValues compares two strings or two numbers.
func compareValues(a, b reflect.Value) int {
	switch a.Kind() {
	case reflect.String:
		return strings.Compare(a.String(), b.String())
	case reflect.Float64:
		return cmp.Compare(a.Float(), b.Float())
	case reflect.Uint64:
		return cmp.Compare(a.Uint(), b.Uint())
	}
	return cmp.Compare(a.Int(), b.Int())
}

// duration writes a length of time or a time.
func (p *fingerprinter) duration(d time.Duration, use fieldUse) {
	switch {
	case use == presence:
	case use == asDuration:
		p.u64(uint64(d))
	case use == byRank:
		panic("modelcheck: a duration has no rank")
	case d == 0:
		p.u64(timeUnset)
	case d == math.MaxInt64:
		p.u64(timeNever)
	case use == relativeIfFuture && d <= p.now:
		p.u64(timePast)
	case use == relativeIfNear && d-p.now > horizon:
		p.u64(timeBeyondHorizon)
	default:
		p.u64(uint64(d-p.now) ^ timeOffset)
	}
}

// seconds writes a learned length of time, to the millisecond where that is enough.
func (p *fingerprinter) seconds(s float64) {
	if !p.exact {
		s = math.Round(s * 1e3)
	}
	p.u64(math.Float64bits(s))
}

// float writes a number, with two significant digits where that is enough.
func (p *fingerprinter) float(f float64) {
	if p.exact || f == 0 || math.IsInf(f, 0) {
		p.u64(math.Float64bits(f))
		return
	}
	exponent := math.Floor(math.Log10(math.Abs(f)))
	p.u64(uint64(int64(math.Round(f / math.Pow(10, exponent-1)))))
	p.u64(uint64(int64(exponent)))
}
