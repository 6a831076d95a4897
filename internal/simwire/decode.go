// Package simwire translates between the simulator's line protocol and the terms
// of package dispatch. It decides nothing.
package simwire

import (
	"bufio"
	"chalkstand/dispatch"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// Kind tells what an Item of a batch is.
type Kind int

// The kinds of item.
const (
	Heard Kind = iota // an event for a running instance
	Begin             // an instance starts
	Crash             // an instance is killed
)

// Item is one line of a batch that concerns an instance.
type Item struct {
	Line     int
	Instance string
	Kind     Kind
	Seed     uint64
	Config   dispatch.Config
	Event    dispatch.Event
}

// Batch is what happened at one moment.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Error is a malformed line.
type Error struct {
	Line     int
	Instance string // the last one named before it, if any
	Text     string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Text) }

// Decoder reads batches.
type Decoder struct {
	in    *bufio.Reader
	line  int
	inst  string
	pages map[int64][]dispatch.Node
}

// NewDecoder returns a decoder of r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), pages: map[int64][]dispatch.Node{}}
}

// next returns a line without its end; io.EOF only where no text is left.
func (d *Decoder) next() (string, error) {
	s, err := d.in.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

func (d *Decoder) fail(format string, args ...any) error {
	return &Error{Line: d.line, Instance: d.inst, Text: fmt.Sprintf(format, args...)}
}

// Batch reads one batch. It returns io.EOF when the input ends between batches.
func (d *Decoder) Batch() (Batch, error) {
	var b Batch
	d.inst = ""
	head, err := d.next()
	for err == nil && head == "" {
		head, err = d.next()
	}
	if err != nil {
		return b, err
	}
	f := d.fields(head)
	if f.verb != "BEGIN_BATCH" {
		return b, d.fail("expected BEGIN_BATCH, got %q", f.verb)
	}
	b.Now = f.time("clock_ms")
	if err := f.done(); err != nil {
		return b, err
	}
	for {
		s, err := d.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return b, d.fail("input ended inside a batch, expected GO")
			}
			return b, err
		}
		if s == "GO" {
			return b, nil
		}
		it, ok, err := d.item(s)
		if err != nil {
			return b, err
		}
		if ok {
			b.Items = append(b.Items, it)
		}
	}
}

func (d *Decoder) item(s string) (Item, bool, error) {
	f := d.fields(s)
	it := Item{Line: d.line, Instance: d.inst}
	switch f.verb {
	case "FOR":
		d.inst = f.word("dispatcher_id")
		return it, false, f.done()
	case "PAGE":
		return it, false, d.page(f)
	}
	if !known[f.verb] {
		return it, false, d.fail("unknown event %q", f.verb)
	}
	if d.inst == "" {
		return it, false, d.fail("%s before any FOR names an instance", f.verb)
	}
	switch f.verb {
	case "BEGIN":
		it.Kind = Begin
		it.Seed = uint64(f.integer("random_seed"))
		cfg, err := config(f.rest)
		if err != nil {
			return it, false, d.fail("BEGIN: %v", err)
		}
		it.Config, f.rest = cfg, ""
	case "CRASH_NOW":
		it.Kind = Crash
	case "FLEET":
		f.integer("index")
		ev := dispatch.EndpointUpdate{}
		ev.Kind = dispatch.EndpointUpdateKind(f.oneOf("kind", listKinds))
		bank := f.word("bank")
		if ev.Kind != dispatch.PollFailed && f.err == nil {
			n, err := strconv.ParseInt(bank, 10, 64)
			nodes, ok := d.pages[n]
			if err != nil || !ok {
				return it, false, d.fail("FLEET: bank %q: no PAGE defined it", bank)
			}
			ev.Nodes = nodes
		}
		it.Event = ev
	case "ASK":
		it.Event = f.ask()
	case "ATTEMPT_END":
		it.Event = f.outcome()
	case "ACK_FIRST":
		f.rid()
		f.integer("leg")
		f.word("server")
		f.time("wait_time_ms")
	case "ABANDONED":
		it.Event = dispatch.ClientCanceled{ID: f.rid()}
	case "TIMEOUT_FIRED":
		it.Event = dispatch.TimerFired{Token: f.word("label")}
	case "SAMPLED":
		f.word("server")
		f.oneOf("status", statuses)
		f.time("wait_time_ms")
		f.report()
	case "DATAGRAM":
		f.integer("author")
		if s := f.word("bytes"); s != "-" && f.err == nil {
			if _, err := base64.StdEncoding.DecodeString(s); err != nil {
				return it, false, d.fail("DATAGRAM: bytes: expected base64, got %q", s)
			}
		}
	}
	return it, true, f.done()
}

var known = map[string]bool{
	"BEGIN": true, "CRASH_NOW": true, "FLEET": true, "ASK": true, "ATTEMPT_END": true,
	"ACK_FIRST": true, "ABANDONED": true, "TIMEOUT_FIRED": true, "SAMPLED": true, "DATAGRAM": true,
}

var (
	listKinds = map[string]int{
		"Partial": int(dispatch.Delta), "Complete": int(dispatch.Snapshot),
		"Persisted": int(dispatch.Cached), "Error": int(dispatch.PollFailed),
	}
	statuses = map[string]int{
		"delivered": int(dispatch.OK), "app_error": int(dispatch.ServerError), "shed": int(dispatch.Rejected),
		"expired": int(dispatch.TimedOut), "dial_failed": int(dispatch.ConnectFailed), "dropped": int(dispatch.ConnectionReset),
		"revoked": int(dispatch.Canceled), "unused": int(dispatch.NotSent),
	}
	nodeStates = map[string]int{
		"SERVING": int(dispatch.Ready), "DRAINING": int(dispatch.Draining),
		"DELETED": int(dispatch.Removed),
	}
)

// page reads a numbered list of nodes and keeps it for the FLEETs to come.
func (d *Decoder) page(f *fields) error {
	bank, count := f.integer("bank"), f.integer("elements")
	if err := f.done(); err != nil {
		return err
	}
	if bank < 0 || count < 0 {
		return d.fail("PAGE: bank and elements: expected 0 or more")
	}
	var nodes []dispatch.Node
	for i := int64(0); i < count; i++ {
		s, err := d.next()
		if err != nil {
			return d.fail("PAGE: expected %d ITEM lines, input ended after %d", count, i)
		}
		e := d.fields(s)
		if e.verb != "ITEM" {
			return d.fail("PAGE: expected %d ITEM lines, got %q after %d", count, e.verb, i)
		}
		n := dispatch.Node{
			ID: dispatch.NodeID(e.word("server")), Zone: int(e.integer("dc")),
			Kind: int(e.integer("shape")), Shard: dispatch.Shard(e.integer("pack")),
			State: dispatch.NodeState(e.oneOf("health", nodeStates)),
		}
		e.number("size")
		n.Started = e.time("online_since_ms")
		nodes = append(nodes, n)
		if err := e.done(); err != nil {
			return err
		}
	}
	d.pages[bank] = nodes
	return nil
}

func (f *fields) ask() dispatch.Event {
	r := dispatch.Request{ID: f.rid(), Dispatchers: int(f.number("attached")), Plan: int(f.integer("plan"))}
	f.integer("state_bits")
	r.Units = f.number("quota_units")
	r.Class = int(f.integer("tier_class"))
	if r.Key = f.word("object"); r.Key == "-" {
		r.Key = ""
	}
	r.Timeout = f.time("grace_ms")
	r.Volume = dispatch.VolumeID(f.word("owner"))
	r.Shard = dispatch.AnyShard
	if f.next() != "-" {
		r.Shard = dispatch.Shard(f.number("placement"))
	} else {
		f.word("placement")
	}
	return r
}

func (f *fields) outcome() dispatch.Event {
	o := dispatch.AttemptCompleted{
		ID: f.rid(), Responded: f.boolean("complete"), Node: dispatch.NodeID(f.word("server")),
		QuotaUsage: f.number("volume_use"), Result: dispatch.AttemptResult(f.oneOf("status", statuses)), Attempt: int(f.integer("leg")),
		PeerUnits: f.number("elsewhere"), Latency: f.time("wait_time_ms"),
	}
	o.LoadReport = f.report()
	return o
}

// fields takes a line apart; the first error stays.
type fields struct {
	d    *Decoder
	verb string
	rest string
	more bool // a value follows
	n    int
	err  error
}

func (d *Decoder) fields(s string) *fields {
	verb, rest, more := strings.Cut(s, " ")
	return &fields{d: d, verb: verb, rest: rest, more: more}
}

func (f *fields) bad(name, want, got string) {
	if f.err == nil {
		f.err = f.d.fail("%s: value %d (%s): expected %s, got %q", f.verb, f.n, name, want, got)
	}
}

// next is the coming value, without taking it.
func (f *fields) next() string {
	s, _, _ := strings.Cut(f.rest, " ")
	return s
}

func (f *fields) word(name string) string {
	f.n++
	if !f.more {
		f.bad(name, "a value", "end of line")
		return ""
	}
	s, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.more = rest, more
	if s == "" {
		f.bad(name, "a value", "")
	}
	return s
}

func (f *fields) integer(name string) int64 {
	s := f.word(name)
	if f.err != nil || s == "-" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.bad(name, "an integer", s)
	}
	return n
}

func (f *fields) rid() dispatch.RequestID {
	s := f.word("rid")
	n, err := strconv.ParseUint(s, 10, 52)
	if err != nil {
		f.bad("rid", "a number below 2^52", s)
	}
	return dispatch.RequestID(n)
}

func (f *fields) number(name string) float64 {
	s := f.word(name)
	if f.err != nil || s == "-" {
		return 0
	}
	x, ok := Finite(s)
	if !ok {
		f.bad(name, "a number", s)
	}
	return x
}

// time takes milliseconds; the simulator counts in microseconds.
func (f *fields) time(name string) time.Duration { return millis(f.number(name)) }

func millis(ms float64) time.Duration {
	return time.Duration(math.Round(min(max(ms*1000, -4e15), 4e15))) * time.Microsecond
}

func (f *fields) boolean(name string) bool {
	switch s := f.word(name); s {
	case "1":
		return true
	case "0", "-":
	default:
		f.bad(name, "0 or 1", s)
	}
	return false
}

func (f *fields) oneOf(name string, of map[string]int) int {
	s := f.word(name)
	v, ok := of[s]
	if !ok {
		f.bad(name, "a known word", s)
	}
	return v
}

// loads are this wire's words for the values of a load report; others stay as they are.
var loads = map[string]string{
	"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms",
	"rate": "qps", "fail_rate": "eps",
}

func (f *fields) report() dispatch.LoadReport {
	if !f.more {
		return nil
	}
	s := f.word("report")
	if s == "-" || f.err != nil {
		return nil
	}
	r := Report(s, ":")
	if r == nil {
		f.bad("report", "name:number pairs", s)
	}
	return r
}

// Report reads a load report: names and values with a mark between them, set apart by
// commas. It returns nil where it can't be read.
func Report(s, mark string) dispatch.LoadReport {
	r := dispatch.LoadReport{}
	for _, p := range strings.Split(s, ",") {
		k, v, ok := strings.Cut(p, mark)
		x, err := strconv.ParseFloat(v, 64)
		if !ok || err != nil || k == "" {
			return nil
		}
		if name, ok := loads[k]; ok {
			k = name
		}
		r[k] = x
	}
	return r
}

func (f *fields) done() error {
	if f.err == nil && f.more && f.rest != "" {
		f.err = f.d.fail("%s: %d values expected, more follow: %q", f.verb, f.n, f.rest)
	}
	return f.err
}
