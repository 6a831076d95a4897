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

// The functions in this file walk over a state by reflection and write its relevant parts to a
// fingerprinter's buffer.

// These marks precede the values in the buffer.
const (
	markNil      byte = 0
	markValue    byte = 1
	markVisited  byte = 2 // precedes the number of a pointer that the walk has visited before
	markFinished byte = 7 // precedes a finished request
)

// These numbers encode special points in time.
const (
	timeUnset uint64 = iota + 1 // encodes the time 0, which means that no time is set
	timeNever                   // encodes math.MaxInt64, which means that the time never comes
	timePast
	timeBeyondHorizon
)

// timeOffset separates the encoded relative times from the numbers for special points in time.
const timeOffset = 1 << 62

var durationType = reflect.TypeFor[time.Duration]()

// typeInfo caches how a fingerprint includes the fields of a struct type.
type typeInfo struct {
	name   string
	fields []fieldInfo
}

type fieldInfo struct {
	name      string
	use       fieldUse
	heapOrder []string // the fields that order the entries, if this field is a heap; otherwise nil
}

// typeInfoOf returns the cached information about a struct type, and collects it on first use.
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

// typeName returns the name of a type, qualified by its package and without type arguments.
func typeName(t reflect.Type) string {
	path := t.PkgPath()
	name, _, _ := strings.Cut(t.Name(), "[")
	return path[strings.LastIndexByte(path, '/')+1:] + "." + name
}

// walk writes a value and all values that it refers to.
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
		panic(fmt.Sprintf("modelcheck: a fingerprint cannot include a value of type %v", v.Type()))
	}
}

// u64 writes a number as 8 bytes.
func (p *fingerprinter) u64(v uint64) { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }

// bool writes a boolean as one byte.
func (p *fingerprinter) bool(b bool) {
	if b {
		p.buf = append(p.buf, 1)
	} else {
		p.buf = append(p.buf, 0)
	}
}

// unsigned writes an unsigned number, or reserves a place in the buffer for its rank. It always
// uses the rank for connection IDs, regardless of the field that holds them.
func (p *fingerprinter) unsigned(v reflect.Value, use fieldUse) {
	group := v.Type().Name()
	if use != byRank && group != "ConnID" {
		p.u64(v.Uint())
		return
	}
	p.ranks[group] = append(p.ranks[group], rankedValue{value: v.Uint(), offset: len(p.buf)})
	p.u64(0)
}

// pointer writes the value that a pointer refers to. If the walk has visited the pointer before,
// it writes the pointer's number instead.
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

// interfaceValue writes the dynamic type and value of an interface.
func (p *fingerprinter) interfaceValue(v reflect.Value, use fieldUse) {
	if v.IsNil() {
		p.buf = append(p.buf, markNil)
		return
	}
	p.buf = append(p.buf, markValue)
	p.buf = append(p.buf, v.Elem().Type().String()...)
	p.walk(v.Elem(), use)
}

// structFields writes the relevant fields of a struct.
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
			panic("modelcheck: the duration " + f.name + " has no entry in fieldUses")
		default:
			p.walk(value, f.use)
		}
	}
}

// finishedRequest writes the relevant fields of a finished request. If the request is not
// finished, it writes nothing and returns false.
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

// mapEntries writes the entries of a map, sorted by key.
func (p *fingerprinter) mapEntries(v reflect.Value, use fieldUse) {
	keys := v.MapKeys()
	slices.SortFunc(keys, compareValues)
	p.u64(uint64(len(keys)))
	for _, k := range keys {
		p.walk(k, 0)
		p.walk(v.MapIndex(k), use)
	}
}

// compareValues compares two strings or two numbers of the same type.
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

// duration writes a length of time or a point in time. The use says which one it is.
func (p *fingerprinter) duration(d time.Duration, use fieldUse) {
	switch {
	case use == presence:
	case use == asDuration:
		p.u64(uint64(d))
	case use == byRank:
		panic("modelcheck: a fingerprint cannot include a duration by its rank")
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

// seconds writes a learned length of time. It rounds the time to a millisecond unless the
// fingerprint is exact.
func (p *fingerprinter) seconds(s float64) {
	if !p.exact {
		s = math.Round(s * 1e3)
	}
	p.u64(math.Float64bits(s))
}

// float writes a floating-point number. It rounds the number to two significant digits unless
// the fingerprint is exact.
func (p *fingerprinter) float(f float64) {
	if p.exact || f == 0 || math.IsInf(f, 0) {
		p.u64(math.Float64bits(f))
		return
	}
	exponent := math.Floor(math.Log10(math.Abs(f)))
	p.u64(uint64(int64(math.Round(f / math.Pow(10, exponent-1)))))
	p.u64(uint64(int64(exponent)))
}
