// Package simwire translates between the simulator's line protocol and the types of package
// dispatch. It contains no scheduling logic.
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

// readBufferSize is the size of the input buffer, in bytes.
const readBufferSize = 1 << 20

// ItemKind distinguishes the items of a batch.
type ItemKind int

// The constants are the kinds of items in a batch.
const (
	EventReceived   ItemKind = iota // a running instance receives an event
	InstanceStarted                 // an instance starts with the item's Seed and Config
	InstanceCrashed                 // a running instance crashes
)

// Item is a line of a batch that concerns one dispatcher instance.
type Item struct {
	Line     int    // line number in the input; the first line has number 1
	Instance string // name of the instance
	Kind     ItemKind
	Seed     uint64          // seed of an instance that starts
	Config   dispatch.Config // configuration of an instance that starts
	Event    dispatch.Event  // received event; nil if dispatchers do not use the event
}

// Batch holds all items that the simulator sends for one point in time.
type Batch struct {
	Now   time.Duration // time on the simulator's clock
	Items []Item
}

// ProtocolError reports an input line that is malformed or not allowed at its position.
type ProtocolError struct {
	Line     int    // line number in the input; the first line has number 1
	Instance string // instance that the last FOR line of the batch names; "" if there is none
	Err      error  // fault of the line
}

// Error returns the line number and the fault of the line.
func (e *ProtocolError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault of the line without the line number.
func (e *ProtocolError) Unwrap() error { return e.Err }

// Decoder reads batches from the simulator.
type Decoder struct {
	in       *bufio.Reader
	line     int                       // number of the current line
	instance string                    // instance that the last FOR line of the batch names
	pages    map[int64][]dispatch.Node // node lists of PAGE lines, by bank number
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, readBufferSize), pages: map[int64][]dispatch.Node{}}
}

// next returns the next line without its line break. It returns io.EOF if the input contains
// no more text. The last line does not need a line break.
func (d *Decoder) next() (string, error) {
	s, err := d.in.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

// fail returns a ProtocolError for the current line.
func (d *Decoder) fail(format string, args ...any) error {
	return &ProtocolError{Line: d.line, Instance: d.instance, Err: fmt.Errorf(format, args...)}
}

// Batch reads one batch. It returns io.EOF if the input ends between two batches, and a
// *ProtocolError if a line is invalid.
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

// item decodes a line of a batch. It reports whether the line is an item; a FOR or PAGE line
// only changes the state of the decoder.
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

// itemDecoders maps the verb of a line to the function that decodes the values of the line.
// Each function stores its first error in f.
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

// These maps translate the simulator's words to values of package dispatch.
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

// page reads the ITEM lines that follow a PAGE line and stores the list of their nodes under
// the bank number of the PAGE line. Later FLEET lines refer to the list by this number.
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

// node reads the values of an ITEM line.
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

// begin decodes a BEGIN line, which starts an instance. An error in the settings takes
// precedence over an error in the seed.
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

// fleet decodes a FLEET line, which updates the endpoints of an instance.
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

// request decodes an ASK line, which submits a request to an instance.
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

// attemptCompleted decodes an ATTEMPT_END line, which reports the result of an attempt.
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

// firstAcknowledged validates an ACK_FIRST line. Dispatchers do not use this event.
func (f *fields) firstAcknowledged(*Item) {
	f.requestID()
	f.integer("leg")
	f.value("server")
	f.duration("wait_time_ms")
}

// sampled validates a SAMPLED line. Dispatchers do not use this event.
func (f *fields) sampled(*Item) {
	f.value("server")
	fieldOneOf(f, "status", attemptResults)
	f.duration("wait_time_ms")
	f.loadReport()
}

// datagram validates a DATAGRAM line. Dispatchers do not use this event.
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
