package faultinjection

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// The kinds of faults. The values are the names that scripts use.
const (
	Surge             = "surge"       // the load of all volumes grows
	Flood             = "flood"       // one volume sends many times its rate
	DrainWave         = "drain_wave"  // nodes drain one after the other, and successors in slow start replace them
	GatewayCrash      = "crash"       // a gateway crashes and restarts with a stale endpoint list
	FrozenReports     = "late_report" // the nodes' load reports are frozen
	Unresponsive      = "silent"      // a node accepts requests and never responds
	SlowNode          = "slow"        // a node is slower by a factor
	NodeDeath         = "die"         // a node stops at once, and a successor in slow start replaces it later
	LoseResponses     = "lose"        // a node executes requests but loses a share of the responses
	TruncateResponses = "half"        // a node truncates a share of its responses
	EarlyCancel       = "impatient"   // clients cancel a share of the requests early
	ConnectionResets  = "resets"      // a node resets a share of its connections
	HotKey            = "hot_key"     // a share of all writes goes to one key
)

// FaultKinds lists all kinds of faults that a script may contain.
var FaultKinds = []string{
	Surge, Flood, DrainWave, GatewayCrash, FrozenReports, Unresponsive, SlowNode,
	NodeDeath, LoseResponses, TruncateResponses, EarlyCancel, ConnectionResets, HotKey,
}

// Fault is one entry of a script: a fault with its start, its duration and its parameters.
type Fault struct {
	At        Millis  `json:"at_ms"`
	For       Millis  `json:"for_ms"`
	Kind      string  `json:"kind"`
	Target    int     `json:"which"` // index of the affected node, gateway or volume, taken modulo their number
	NodeCount int     `json:"count"` // number of nodes that a drain wave replaces
	Magnitude float64 `json:"times"` // a factor or a share from 0 to 1, depending on the kind
}

// Millis is a duration in milliseconds, as scripts give it.
type Millis int

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Script lists the faults of a run, sorted by start time.
type Script []Fault

// ErrNegative reports that a script contains a negative number.
var ErrNegative = errors.New("negative number: every number of a fault must be 0 or greater")

// UnknownKindError reports that a script contains a fault of an unknown kind.
type UnknownKindError struct {
	Kind string
}

// Error returns a message with the unknown kind and the list of valid kinds.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind of fault %q; expected one of %v", e.Kind, FaultKinds)
}

// GenerateScript returns a script with one fault of every kind for a run of the given duration. The same seed and
// duration always give the same script.
func GenerateScript(seed uint64, duration time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 0xbad))
	kinds := slices.Clone(FaultKinds)
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	ms := int(duration.Milliseconds())
	var script Script
	for i, kind := range kinds {
		at := ms/12 + (ms*9/12)*i/len(kinds) + rng.IntN(ms/24)
		f := Fault{
			At:     Millis(at),
			For:    Millis(ms/10 + rng.IntN(ms/10)),
			Kind:   kind,
			Target: rng.IntN(64),
		}
		f.setMagnitude(rng)
		script = append(script, f)
	}
	script.sort()
	return script
}

// setMagnitude draws a random value for the field that says how severe a fault of its kind is. That is NodeCount
// for a drain wave, and Magnitude for the other kinds.
func (f *Fault) setMagnitude(rng *rand.Rand) {
	switch f.Kind {
	case Surge:
		f.Magnitude = 2 + rng.Float64()
	case Flood:
		f.Magnitude = 8 + 8*rng.Float64()
	case DrainWave:
		f.NodeCount = 2 + rng.IntN(3)
	case SlowNode:
		f.Magnitude = 4 + 8*rng.Float64()
	case LoseResponses, TruncateResponses, ConnectionResets:
		f.Magnitude = 0.05 + 0.15*rng.Float64()
	case EarlyCancel, HotKey:
		f.Magnitude = 0.3 + 0.4*rng.Float64()
	}
}

func (s Script) sort() {
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
}

// ParseScript parses a script: a JSON array of faults, which may contain comments and trailing commas.
func ParseScript(text []byte) (Script, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	var script Script
	if err := json.Unmarshal(plain, &script); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	for i, f := range script {
		if err := f.validate(); err != nil {
			return nil, fmt.Errorf("script: fault %d: %w", i+1, err)
		}
	}
	script.sort()
	return script, nil
}

func (f Fault) validate() error {
	if !slices.Contains(FaultKinds, f.Kind) {
		return &UnknownKindError{Kind: f.Kind}
	}
	if f.At < 0 || f.For < 0 || f.Magnitude < 0 || f.NodeCount < 0 || f.Target < 0 {
		return ErrNegative
	}
	return nil
}

// Text returns the script in the format that ParseScript reads, with one fault per line.
func (s Script) Text() string {
	var b strings.Builder
	b.WriteString("[\n")
	for _, f := range s {
		line, _ := json.Marshal(f) // cannot fail: the fields are finite numbers and strings
		b.WriteString("\t")
		b.Write(line)
		b.WriteString(",\n")
	}
	b.WriteString("]\n")
	return b.String()
}
