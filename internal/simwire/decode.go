// Package simwire translates between the simulator's line protocol and the types of package
// dispatch. It decides nothing.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// readBufferSize is the size of the input buffer, bytes.
const readBufferSize = 1 << 20

// ItemKind is what an Item means for its instance.
type ItemKind int

// The kinds of items.
const (
	EventReceived   ItemKind = iota // an event for a running instance
	InstanceStarted                 // with Seed and Config
	InstanceCrashed
)

// Item is a line of a batch that concerns an instance.
type Item struct {
	Line     int // from 1
	Instance string
	Kind     ItemKind
	Seed     uint64
	Config   dispatch.Config
	Event    dispatch.Event // nil for an event that dispatchers do not use
}

// Batch holds what happens at one moment.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// ProtocolError reports a line that is malformed or not allowed.
type ProtocolError struct {
	Line     int
	Instance string // the last one named before the line; "" if there is none
	Err      error
}

// Error implements error.
func (e *ProtocolError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *ProtocolError) Unwrap() error { return e.Err }

// Decoder reads batches.
type Decoder struct {
	in       *bufio.Reader
	line     int
	instance string
	pages    map[int64][]dispatch.Node // lists of nodes by number
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, readBufferSize), pages: map[int64][]dispatch.Node{}}
}

// next returns a line without its end. It returns io.EOF only where no text is left.
func (d *Decoder) next() (string, error) {
	s, err := d.in.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

func (d *Decoder) fail(format string, args ...any) error {
	return &ProtocolError{Line: d.line, Instance: d.instance, Err: fmt.Errorf(format, args...)}
}

// Batch reads one batch. It returns io.EOF when the input ends between batches, and a
// *ProtocolError for a line that can't be used.
func (d *Decoder) Batch() (Batch, error) {
	var b Batch
	d.instance = ""
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
	b.Now = f.duration("clock_ms")
	if err := f.done(); err != nil {
		return b, err
	}
	for {
		line, err := d.next()
		if errors.Is(err, io.EOF) {
			return b, d.fail("input ended inside a batch, expected GO")
		}
		if err != nil {
			return b, err
		}
		if line == "GO" {
			return b, nil
		}
		item, ok, err := d.item(line)
		if err != nil {
			return b, err
		}
		if ok {
			b.Items = append(b.Items, item)
		}
	}
}

// item decodes a line and reports whether it is an item of an instance.
func (d *Decoder) item(line string) (Item, bool, error) {
	f := d.fields(line)
	it := Item{Line: d.line, Instance: d.instance}
	switch f.verb {
	case "FOR":
		d.instance = f.value("dispatcher_id")
		return it, false, f.done()
	case "PAGE":
		return it, false, d.page(f)
	}
	decode, known := itemDecoders[f.verb]
	if !known {
		return it, false, d.fail("unknown event %q", f.verb)
	}
	if d.instance == "" {
		return it, false, d.fail("%s before any FOR names an instance", f.verb)
	}
	decode(f, &it)
	if err := f.done(); err != nil {
		return it, false, err
	}
	return it, true, nil
}

// itemDecoders decodes the fields of an item by its verb. Errors are kept by the fields.
var itemDecoders = map[string]func(f *fields, it *Item){
	"BEGIN":         (*fields).begin,
	"CRASH_NOW":     func(_ *fields, it *Item) { it.Kind = InstanceCrashed },
	"FLEET":         (*fields).fleet,
	"ASK":           func(f *fields, it *Item) { it.Event = f.request() },
	"ATTEMPT_END":   func(f *fields, it *Item) { it.Event = f.attemptCompleted() },
	"ACK_FIRST":     (*fields).firstAcknowledged,
	"ABANDONED":     func(f *fields, it *Item) { it.Event = dispatch.ClientCanceled{ID: f.requestID()} },
	"TIMEOUT_FIRED": func(f *fields, it *Item) { it.Event = dispatch.TimerFired{Token: f.value("label")} },
	"SAMPLED":       (*fields).sampled,
	"DATAGRAM":      (*fields).datagram,
}

// The simulator's words for values of package dispatch.
var (
	updateKinds = map[string]dispatch.EndpointUpdateKind{
		"Partial":   dispatch.Delta,
		"Complete":  dispatch.Snapshot,
		"Persisted": dispatch.Cached,
		"Error":     dispatch.PollFailed,
	}
	attemptResults = map[string]dispatch.AttemptResult{
		"delivered":   dispatch.OK,
		"app_error":   dispatch.ServerError,
		"shed":        dispatch.Rejected,
		"expired":     dispatch.TimedOut,
		"dial_failed": dispatch.ConnectFailed,
		"dropped":     dispatch.ConnectionReset,
		"revoked":     dispatch.Canceled,
		"unused":      dispatch.NotSent,
	}
	nodeStates = map[string]dispatch.NodeState{
		"SERVING":  dispatch.Ready,
		"DRAINING": dispatch.Draining,
		"DELETED":  dispatch.Removed,
	}
)

// page reads a numbered list of nodes, which later FLEET lines refer to.
func (d *Decoder) page(f *fields) error {
	bank := f.integer("bank")
	count := f.integer("elements")
	if err := f.done(); err != nil {
		return err
	}
	if bank < 0 || count < 0 {
		return d.fail("PAGE: bank and elements: expected 0 or more")
	}
	var nodes []dispatch.Node
	for i := range count {
		line, err := d.next()
		if err != nil {
			return d.fail("PAGE: expected %d ITEM lines, input ended after %d", count, i)
		}
		entry := d.fields(line)
		if entry.verb != "ITEM" {
			return d.fail("PAGE: expected %d ITEM lines, got %q after %d", count, entry.verb, i)
		}
		nodes = append(nodes, entry.node())
		if err := entry.done(); err != nil {
			return err
		}
	}
	d.pages[bank] = nodes
	return nil
}

func (f *fields) node() dispatch.Node {
	n := dispatch.Node{
		ID:    dispatch.NodeID(f.value("server")),
		Zone:  int(f.integer("dc")),
		Kind:  int(f.integer("shape")),
		Shard: dispatch.Shard(f.integer("pack")),
		State: fieldOneOf(f, "health", nodeStates),
	}
	f.number("size")
	n.Started = f.duration("online_since_ms")
	return n
}

// begin decodes the start of an instance. Errors of the settings come first.
func (f *fields) begin(it *Item) {
	it.Kind = InstanceStarted
	it.Seed = uint64(f.integer("random_seed"))
	cfg, err := parsePairs(f.rest)
	if err != nil {
		f.err = f.d.fail("BEGIN: %w", err)
		return
	}
	it.Config = cfg
	f.rest = ""
}

func (f *fields) fleet(it *Item) {
	f.integer("index")
	update := dispatch.EndpointUpdate{Kind: fieldOneOf(f, "kind", updateKinds)}
	bank := f.value("bank")
	if update.Kind != dispatch.PollFailed && f.err == nil {
		number, err := strconv.ParseInt(bank, 10, 64)
		nodes, ok := f.d.pages[number]
		if err != nil || !ok {
			f.err = f.d.fail("FLEET: bank %q: no PAGE defined it", bank)
			return
		}
		update.Nodes = nodes
	}
	it.Event = update
}

func (f *fields) request() dispatch.Event {
	r := dispatch.Request{
		ID:          f.requestID(),
		Dispatchers: int(f.number("attached")),
		Plan:        int(f.integer("plan")),
	}
	f.integer("state_bits")
	r.Units = f.number("quota_units")
	r.Class = int(f.integer("tier_class"))
	r.Key = f.value("object")
	if r.Key == absent {
		r.Key = ""
	}
	r.Timeout = f.duration("grace_ms")
	r.Volume = dispatch.VolumeID(f.value("owner"))
	r.Shard = dispatch.AnyShard
	if f.peek() == absent {
		f.value("placement")
	} else {
		r.Shard = dispatch.Shard(f.number("placement"))
	}
	return r
}

func (f *fields) attemptCompleted() dispatch.Event {
	return dispatch.AttemptCompleted{
		ID:         f.requestID(),
		Responded:  f.boolean("complete"),
		Node:       dispatch.NodeID(f.value("server")),
		QuotaUsage: f.number("volume_use"),
		Result:     fieldOneOf(f, "status", attemptResults),
		Attempt:    int(f.integer("leg")),
		PeerUnits:  f.number("elsewhere"),
		Latency:    f.duration("wait_time_ms"),
		LoadReport: f.loadReport(),
	}
}

// firstAcknowledged checks a line that dispatchers do not use.
func (f *fields) firstAcknowledged(*Item) {
	f.requestID()
	f.integer("leg")
	f.value("server")
	f.duration("wait_time_ms")
}

// sampled checks a line that dispatchers do not use.
func (f *fields) sampled(*Item) {
	f.value("server")
	fieldOneOf(f, "status", attemptResults)
	f.duration("wait_time_ms")
	f.loadReport()
}

// datagram checks a line that dispatchers do not use.
func (f *fields) datagram(*Item) {
	f.integer("author")
	payload := f.value("bytes")
	if payload == absent || f.err != nil {
		return
	}
	if _, err := base64.StdEncoding.DecodeString(payload); err != nil {
		f.err = f.d.fail("DATAGRAM: bytes: expected base64, got %q", payload)
	}
}
