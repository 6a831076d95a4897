// Package settings reads the gateway's settings: JSON with comments, strict in
// its fields. An error names file, line and field and says what is expected.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path"
	"reflect"
	"runtime"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Duration is a time such as "300ms" or "1m30s".
type Duration time.Duration

// D returns the duration as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalJSON reads "300ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) != nil {
		return fmt.Errorf("want a duration in quotes, such as %q", "300ms")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q is no duration: want such as %q", s, "300ms")
	}
	*d = Duration(v)
	return nil
}

// Settings is the whole file.
type Settings struct {
	Name    string   `json:"name"`    // of this gateway, in logs and towards nodes
	Listen  string   `json:"listen"`  // object API
	Admin   string   `json:"admin"`   // metrics and health; "" for none
	Region  string   `json:"region"`  // of signatures
	Domains []string `json:"domains"` // hosts under these name a bucket
	Loops   int      `json:"loops"`   // event loops; 0: one for each core
	Me      int      `json:"me"`      // this gateway's number among its peers
	Peers   int      `json:"peers"`   // gateways that send to the same nodes

	Keys       []Key       `json:"keys"`
	Shards     int         `json:"shards"`
	Nodes      []Node      `json:"nodes"`
	Embedded   *Embedded   `json:"embedded_nodes"`
	Classes    []Class     `json:"classes"`
	Plans      []Plan      `json:"plans"`
	Buckets    []Bucket    `json:"buckets"`
	Operations []Operation `json:"operations"`
	Rules      Rules       `json:"rules"`
	Limits     Limits      `json:"limits"`
	Share      Share       `json:"share"`
	Accounts   Accounts    `json:"accounts"`
	Log        Log         `json:"log"`
	Trace      string      `json:"trace"` // file that records the dispatcher's events; "" for none
}

// Key is an access key.
type Key struct {
	ID      string   `json:"id"`
	Secret  string   `json:"secret"`
	Buckets []string `json:"buckets"` // patterns, as in path.Match
	Write   bool     `json:"write"`
}

// Node is a storage node.
type Node struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Shard int    `json:"shard"`
	Zone  int    `json:"zone"`
	Kind  int    `json:"kind"`
	State string `json:"state"` // "", "serving" or "draining"
}

// Embedded runs stand-in nodes inside the process, one for each shard.
type Embedded struct {
	Dir     string   `json:"dir"` // for blobs; "" keeps them in memory
	Cores   int      `json:"cores"`
	Queue   int      `json:"queue"`
	PerUnit Duration `json:"per_unit"`
}

// Class is a kind of request; see dispatch.Class.
type Class struct {
	Name     string   `json:"name"`
	Aim      Duration `json:"aim"`
	Deadline Duration `json:"deadline"`
	Worth    float64  `json:"worth"`
	Effect   string   `json:"effect"` // safe, keyed, unsafe
	Group    string   `json:"group"`  // of keyed: all, zone, shard
	Window   Duration `json:"window"`
	InTurn   bool     `json:"in_turn"`
}

// Plan is what a volume may have; see dispatch.Plan. Figures are units a second.
type Plan struct {
	Name    string  `json:"name"`
	Rate    float64 `json:"rate"` // that the use of a volume is measured by
	Reserve float64 `json:"reserve"`
	Weight  float64 `json:"weight"`
	Price   float64 `json:"price"`
	Limit   float64 `json:"limit"`
	Burst   float64 `json:"burst"`
	Slack   float64 `json:"slack"`

	// Bytes of bodies a second, of each volume and over all gateways; 0: no limit. A
	// burst of 0 is a second's worth.
	MiBPerSecond float64 `json:"mib_per_second"`
	MiBBurst     float64 `json:"mib_burst"`
}

// Bucket maps buckets to plans. The first pattern that fits holds.
type Bucket struct {
	Pattern string `json:"pattern"`
	Plan    string `json:"plan"`
	Hosts   int    `json:"hosts"`  // gateways through which its requests come
	Spread  int    `json:"spread"` // shards it lies on; 0: all
}

// Operation is a line of the tariff.
type Operation struct {
	Operations []string `json:"operations"`
	MaxBytes   int64    `json:"max_bytes"`
	Class      string   `json:"class"`
	Units      float64  `json:"units"`
	PerMiB     float64  `json:"per_mib"`
	Assume     int64    `json:"assume_bytes"`
}

// Rules are the figures of the rules that hold over requests and nodes.
type Rules struct {
	MaxAttempts   int      `json:"max_attempts"`
	MaxRetryAfter Duration `json:"max_retry_after"`
	Settle        Duration `json:"settle"`
	Round         Duration `json:"round"`
	UsualUnits    float64  `json:"usual_units"`
	LargestUnits  float64  `json:"largest_units"`
	Budget        Budget   `json:"budget"`
	Cold          Cold     `json:"cold"`
}

// Budget bounds further attempts; see dispatch.BudgetRule.
type Budget struct {
	Free  float64  `json:"free"`
	Ratio float64  `json:"ratio"`
	Span  Duration `json:"span"`
}

// Cold bounds what a node just started is sent; see dispatch.ColdRule.
type Cold struct {
	From       float64  `json:"from"`
	WarmUp     Duration `json:"warm_up"`
	Multiple   float64  `json:"multiple"`
	Span       Duration `json:"span"`
	YoungLimit float64  `json:"young_limit"`
}

// Limits bounds everything that waits or is held. Sizes are in bytes.
type Limits struct {
	Line         int      `json:"line"`
	Headers      int      `json:"headers"`
	Head         int      `json:"head"`
	Replay       int      `json:"replay"`    // a body up to this is held and can be sent again
	Document     int      `json:"document"`  // request and list documents
	Pipelined    int      `json:"pipelined"` // received ahead of their turn on one connection
	FanOut       int      `json:"fan_out"`   // requests at a time of one operation on many shards
	Conns        int      `json:"conns"`     // client connections
	Calls        int      `json:"calls"`     // requests held and out
	ConnsPerNode int      `json:"conns_per_node"`
	Streams      int      `json:"streams_per_node"` // bodies that flow beside the dispatcher's depth
	NodeIdle     Duration `json:"node_idle"`
	NodeAge      Duration `json:"node_age"`
	Connect      Duration `json:"connect"`
	Margin       Duration `json:"margin"`      // kept before a deadline for the answer's way
	ClientHead   Duration `json:"client_head"` // from a head's first byte to its last
	ClientIdle   Duration `json:"client_idle"` // between requests
	ClientBody   Duration `json:"client_body"` // without a byte of a body, either way
	Skew         Duration `json:"skew"`        // between a client's clock and ours
	DrainWait    Duration `json:"drain_wait"`  // for requests taken, at the end
}

// Share is how the gateway's own loops are divided among volumes, by the weights of
// their plans.
type Share struct {
	Order     string   `json:"order"`     // fair, or arrival: as it comes, for comparison
	Quantum   int      `json:"quantum"`   // bytes that one turn reads at most
	Slice     Duration `json:"slice"`     // of turns before new events are looked for
	Window    Duration `json:"window"`    // of loop time by which a volume can be behind
	ByteTime  float64  `json:"byte_time"` // nanoseconds that a byte costs at least
	Finishing float64  `json:"finishing"` // weight, within a volume, of what is under way beside new requests at 1
	Flows     int      `json:"flows"`     // volumes that a loop tells apart
	Newcomers float64  `json:"newcomers"` // weight of all connections that have not yet spoken for a volume
	Depth     int      `json:"depth"`     // answers that stream from a node at a time, on each loop
	Crowd     int      `json:"crowd"`     // one more for each so many that wait
	Draw      int      `json:"draw"`      // bytes of such an answer before it gives way
	Lease     Duration `json:"lease"`     // after which it gives way at the latest
	Receive   int      `json:"receive"`   // bytes that the kernel may hold of what a node sends ahead
	MaxWait   Duration `json:"max_wait"`  // of a body between two turns for its plan's mib_per_second; else it is refused
	Overload  Overload `json:"overload"`
}

// Overload is when requests are refused before they cost what a request costs.
type Overload struct {
	Target   Duration `json:"target"`   // that a head may wait for its turn while its volume is overloaded; 0: nothing is refused
	Interval Duration `json:"interval"` // of longer waits only, after which a volume counts as overloaded
	Back     Duration `json:"back"`     // after which a refused client may come back, at first
	MaxBack  Duration `json:"max_back"` // and when most is refused
}

// Accounts bounds the latency accounts.
type Accounts struct {
	On            bool   `json:"on"`
	Volumes       int    `json:"volumes"`       // by name in each slot of time; the others are summed
	Pairs         int    `json:"pairs"`         // of a volume and one that it waited behind, in each slot
	Distributions int    `json:"distributions"` // volumes with percentiles, in each slot
	Late          int    `json:"late"`          // ended requests that a late report can still reach
	Batches       int    `json:"batches"`       // of 128 requests, on their way to the books
	Log           string `json:"log"`           // file; "" for none
	LogBytes      int64  `json:"log_bytes"`     // of one file
	LogFiles      int    `json:"log_files"`     // kept, the present one included
}

// Log is how much is logged.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn, error
	Access bool   `json:"access"` // a line for each request
}

// Default returns the defaults, which a file changes field by field.
func Default() Settings {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return Settings{
		Name: "gateway", Listen: "127.0.0.1:9000", Region: "us-east-1", Peers: 1,
		Rules: Rules{
			MaxAttempts: 3, MaxRetryAfter: ms(2000), Settle: ms(200), Round: ms(5), UsualUnits: 1, LargestUnits: 64,
			Budget: Budget{Free: 3, Ratio: 0.1, Span: ms(5000)},
		},
		Limits: Limits{
			Line: 8 << 10, Headers: 100, Head: 32 << 10, Replay: 64 << 10, Document: 4 << 20, Pipelined: 32 << 10, FanOut: 16,
			Conns: 8192, Calls: 8192, ConnsPerNode: 128, Streams: 64, NodeIdle: ms(30000), NodeAge: ms(600000), Connect: ms(1000), Margin: ms(20),
			ClientHead: ms(10000), ClientIdle: ms(120000), ClientBody: ms(30000), Skew: ms(15 * 60000),
			DrainWait: ms(30000),
		},
		Share: Share{
			Order: "fair", Quantum: 64 << 10, Slice: Duration(50 * time.Microsecond), Window: ms(20), ByteTime: 1, Finishing: 4, Flows: 4096, Newcomers: 1, MaxWait: ms(2000),
			Depth: 2, Crowd: 64, Draw: 256 << 10, Lease: ms(10), Receive: 512 << 10,
			Overload: Overload{Target: ms(20), Interval: ms(100), Back: ms(100), MaxBack: ms(5000)},
		},
		Accounts: Accounts{On: true, Volumes: 64, Pairs: 128, Distributions: 16, Late: 8192, Batches: 64, LogBytes: 16 << 20, LogFiles: 4},
		Log:      Log{Level: "info"},
	}
}

// LoopCount is how many event loops there are.
func (s *Settings) LoopCount() int {
	if s.Loops > 0 {
		return s.Loops
	}
	return runtime.GOMAXPROCS(0)
}

// Error is a setting that cannot be used.
type Error struct {
	File  string
	Line  int
	Field string // such as nodes[2].addr
	Want  string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Want)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Want)
}

// Load reads and checks a file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads and checks a file's text.
func Parse(file string, text []byte) (*Settings, error) {
	at := func(off int) int { return 1 + bytes.Count(text[:min(max(off, 0), len(text))], []byte("\n")) }
	root, err := hujson.Parse(text)
	if err != nil {
		line := 1
		var pos int
		if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &pos); n < 1 {
			line = 1
		}
		return nil, &Error{File: file, Line: line, Want: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	if off, field := unknown(&root, reflect.TypeFor[Settings](), ""); field != "" {
		return nil, &Error{File: file, Line: at(off), Field: field, Want: "there is no such setting"}
	}
	s := Default()
	if err := decode(&root, &s); err != nil {
		var e *Error
		if errors.As(err, &e) {
			e.File, e.Line = file, at(e.Line)
			return nil, e
		}
		return nil, err
	}
	if field, want := s.check(); want != "" {
		return nil, &Error{File: file, Line: at(offset(&root, field)), Field: field, Want: want}
	}
	return &s, nil
}

// decode fills v from the tree, so that an error knows its place: Line holds the
// offset until the caller turns it into a line.
func decode(v *hujson.Value, into any) error {
	return decodeAt(v, reflect.ValueOf(into).Elem(), "")
}

func decodeAt(v *hujson.Value, to reflect.Value, field string) error {
	fail := func(want string) error { return &Error{Line: v.StartOffset, Field: field, Want: want} }
	_, custom := to.Addr().Interface().(json.Unmarshaler)
	switch x := v.Value.(type) {
	case *hujson.Object:
		if to.Kind() == reflect.Pointer {
			to.Set(reflect.New(to.Type().Elem()))
			to = to.Elem()
		}
		if to.Kind() != reflect.Struct || custom {
			return fail("want " + kindName(to, custom) + ", not an object")
		}
		for i := range x.Members {
			m := &x.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			if err := decodeAt(&m.Value, fieldOf(to, name), join(field, name)); err != nil {
				return err
			}
		}
		return nil
	case *hujson.Array:
		if to.Kind() != reflect.Slice {
			return fail("want " + kindName(to, custom) + ", not a list")
		}
		to.Set(reflect.MakeSlice(to.Type(), len(x.Elements), len(x.Elements)))
		for i := range x.Elements {
			if err := decodeAt(&x.Elements[i], to.Index(i), fmt.Sprintf("%s[%d]", field, i)); err != nil {
				return err
			}
		}
		return nil
	}
	lit := v.Value.(hujson.Literal)
	if lit.Kind() == 'n' {
		return fail("want " + kindName(to, custom) + ", not null")
	}
	if err := json.Unmarshal(lit, to.Addr().Interface()); err != nil {
		if custom {
			return fail(err.Error())
		}
		return fail("want " + kindName(to, custom) + ", not " + string(lit))
	}
	return nil
}

func kindName(v reflect.Value, custom bool) string {
	if custom {
		return `a duration in quotes, such as "300ms"`
	}
	switch v.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func fieldOf(v reflect.Value, name string) reflect.Value {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return v.Field(i)
		}
	}
	panic("settings: field " + name) // unknown has looked
}

// unknown finds the first member of the tree that has no field, or comes twice.
func unknown(v *hujson.Value, t reflect.Type, field string) (int, string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Array:
		if t.Kind() == reflect.Slice {
			for i := range x.Elements {
				if off, f := unknown(&x.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", field, i)); f != "" {
					return off, f
				}
			}
		}
	case *hujson.Object:
		if t.Kind() != reflect.Struct {
			return 0, ""
		}
		for i := range x.Members {
			m := &x.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			ft, ok := fieldType(t, name)
			if !ok {
				return m.Name.StartOffset, join(field, name)
			}
			if off, f := unknown(&m.Value, ft, join(field, name)); f != "" {
				return off, f
			}
		}
	}
	return 0, ""
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// offset finds where a field stands in the text, or the nearest thing around it.
func offset(root *hujson.Value, field string) int {
	ptr := "/" + strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(field)
	for ptr != "" && ptr != "/" {
		if v := root.Find(ptr); v != nil {
			return v.StartOffset
		}
		ptr = ptr[:strings.LastIndexByte(ptr, '/')]
	}
	return 0
}

// BucketRule returns the index of the first rule whose pattern a bucket fits, -1
// for none.
func (s *Settings) BucketRule(bucket string) int {
	for i, b := range s.Buckets {
		if ok, _ := path.Match(b.Pattern, bucket); ok {
			return i
		}
	}
	return -1
}
