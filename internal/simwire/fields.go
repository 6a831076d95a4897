package simwire

import (
	"math"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// maxMicroseconds is the largest absolute value of a decoded time, in microseconds. Times
// outside this range are clamped to it.
const maxMicroseconds = 4e15

// fields reads the values of a line from left to right. It stores the first error, which
// done returns.
type fields struct {
	d    *Decoder
	verb string // first word of the line
	rest string // part of the line that has not been read yet
	more bool   // whether the line contains another value
	read int    // number of values that have been read
	err  error  // first error
}

// fields splits the verb from the values of a line.
func (d *Decoder) fields(line string) *fields {
	verb, rest, more := strings.Cut(line, " ")
	return &fields{d: d, verb: verb, rest: rest, more: more}
}

func (f *fields) fail(name, expected, got string) {
	if f.err == nil {
		f.err = f.d.fail("%s: value %d (%s): expected %s, got %q", f.verb, f.read, name, expected, got)
	}
}

// peek returns the next value without consuming it.
func (f *fields) peek() string {
	s, _, _ := strings.Cut(f.rest, " ")
	return s
}

// value reads the next value. The name of the value appears in the error if it is missing.
func (f *fields) value(name string) string {
	f.read++
	if !f.more {
		f.fail(name, "a value", "end of line")
		return ""
	}
	s, rest, more := strings.Cut(f.rest, " ")
	f.rest = rest
	f.more = more
	if s == "" {
		f.fail(name, "a value", "")
	}
	return s
}

// integer reads an integer. It returns 0 if the value is absent ("-") or invalid.
func (f *fields) integer(name string) int64 {
	s := f.value(name)
	if f.err != nil || s == absent {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(name, "an integer", s)
	}
	return n
}

// requestID reads a request ID, which has at most 52 bits.
func (f *fields) requestID() dispatch.RequestID {
	s := f.value("rid")
	n, err := strconv.ParseUint(s, 10, 52)
	if err != nil {
		f.fail("rid", "a number below 2^52", s)
	}
	return dispatch.RequestID(n)
}

// number reads a finite number. It returns 0 if the value is absent ("-") or invalid.
func (f *fields) number(name string) float64 {
	s := f.value(name)
	if f.err != nil || s == absent {
		return 0
	}
	x, ok := ParseFinite(s)
	if !ok {
		f.fail(name, "a number", s)
	}
	return x
}

// duration reads a number of milliseconds.
func (f *fields) duration(name string) time.Duration { return milliseconds(f.number(name)) }

// milliseconds converts a number of milliseconds to a duration. It rounds to whole
// microseconds, which are the resolution of the simulator's clock.
func milliseconds(ms float64) time.Duration {
	microseconds := math.Round(min(max(ms*1000, -maxMicroseconds), maxMicroseconds))
	return time.Duration(microseconds) * time.Microsecond
}

// boolean reads a boolean, which the simulator writes as 1 or 0. An absent value ("-") is
// false.
func (f *fields) boolean(name string) bool {
	switch s := f.value(name); s {
	case "1":
		return true
	case "0", absent:
	default:
		f.fail(name, "0 or 1", s)
	}
	return false
}

// fieldOneOf reads a word and returns the value that words assigns to it. A word that is not
// in words is an error.
func fieldOneOf[T any](f *fields, name string, words map[string]T) T {
	s := f.value(name)
	value, ok := words[s]
	if !ok {
		f.fail(name, "a known word", s)
	}
	return value
}

// loadReport reads a load report. It returns nil if the report is missing, absent ("-") or
// invalid.
func (f *fields) loadReport() dispatch.LoadReport {
	if !f.more {
		return nil
	}
	s := f.value("report")
	if s == absent || f.err != nil {
		return nil
	}
	report := ParseLoadReport(s, ":")
	if report == nil {
		f.fail("report", "name:number pairs", s)
	}
	return report
}

// loadMetricNames maps the simulator's names of load metrics to the names in a
// dispatch.LoadReport. A name that is not in the map is used unchanged.
var loadMetricNames = map[string]string{
	"rif":       "inflight",
	"q":         "queue",
	"busy":      "util",
	"lat_ms":    "latency_ms",
	"rate":      "qps",
	"fail_rate": "eps",
}

// ParseLoadReport parses a comma-separated list of load metrics. Each element consists of a
// name, the separator and a number. ParseLoadReport returns nil if an element is invalid.
func ParseLoadReport(s, separator string) dispatch.LoadReport {
	report := dispatch.LoadReport{}
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, separator)
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || name == "" {
			return nil
		}
		if metric, ok := loadMetricNames[name]; ok {
			name = metric
		}
		report[name] = x
	}
	return report
}

// done returns the first error of the line. Values that have not been read are an error too.
func (f *fields) done() error {
	if f.err == nil && f.more && f.rest != "" {
		f.err = f.d.fail("%s: %d values expected, more follow: %q", f.verb, f.read, f.rest)
	}
	return f.err
}
