package simwire

import (
	"math"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// maxMicroseconds bounds the magnitude of a time that is read.
const maxMicroseconds = 4e15

// fields reads the values of a line in order. It keeps the first error.
type fields struct {
	d    *Decoder
	verb string
	rest string
	more bool // a value follows
	read int  // values read
	err  error
}

func (d *Decoder) fields(line string) *fields {
	verb, rest, more := strings.Cut(line, " ")
	return &fields{d: d, verb: verb, rest: rest, more: more}
}

func (f *fields) fail(name, expected, got string) {
	if f.err == nil {
		f.err = f.d.fail("%s: value %d (%s): expected %s, got %q", f.verb, f.read, name, expected, got)
	}
}

// peek returns the next value without reading it.
func (f *fields) peek() string {
	s, _, _ := strings.Cut(f.rest, " ")
	return s
}

// value reads a value.
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

// integer reads an integer, 0 where it is absent.
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

// requestID reads a request ID of at most 52 bits.
func (f *fields) requestID() dispatch.RequestID {
	s := f.value("rid")
	n, err := strconv.ParseUint(s, 10, 52)
	if err != nil {
		f.fail("rid", "a number below 2^52", s)
	}
	return dispatch.RequestID(n)
}

// number reads a finite number, 0 where it is absent.
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

// duration reads milliseconds.
func (f *fields) duration(name string) time.Duration { return milliseconds(f.number(name)) }

// milliseconds rounds to the simulator's microseconds.
func milliseconds(ms float64) time.Duration {
	microseconds := math.Round(min(max(ms*1000, -maxMicroseconds), maxMicroseconds))
	return time.Duration(microseconds) * time.Microsecond
}

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

func fieldOneOf[T any](f *fields, name string, words map[string]T) T {
	s := f.value(name)
	value, ok := words[s]
	if !ok {
		f.fail(name, "a known word", s)
	}
	return value
}

// loadReport reads a load report, nil where it is absent.
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

// loadFigures maps the simulator's names of load figures. Others stay as they are.
var loadFigures = map[string]string{
	"rif":       "inflight",
	"q":         "queue",
	"busy":      "util",
	"lat_ms":    "latency_ms",
	"rate":      "qps",
	"fail_rate": "eps",
}

// ParseLoadReport parses a load report: names and numbers with a separator between them, set apart by
// commas. It returns nil where it can't be parsed.
func ParseLoadReport(s, separator string) dispatch.LoadReport {
	report := dispatch.LoadReport{}
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, separator)
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || name == "" {
			return nil
		}
		if figure, ok := loadFigures[name]; ok {
			name = figure
		}
		report[name] = x
	}
	return report
}

// done returns the first error, also where values are left.
func (f *fields) done() error {
	if f.err == nil && f.more && f.rest != "" {
		f.err = f.d.fail("%s: %d values expected, more follow: %q", f.verb, f.read, f.rest)
	}
	return f.err
}
