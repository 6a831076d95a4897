// Package faultinjection plays a scripted bad day through real gateways on loopback
// sockets: several gateways before many stand-in nodes, clients with deadlines,
// and the kinds of trouble that operators meet. The rules are checked from the
// clients' and the nodes' logs.
package faultinjection

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tailscale/hujson"
)

// The kinds of trouble.
const (
	Surge      = "surge"       // all volumes ask for more
	Flood      = "flood"       // one volume asks for many times its rate
	DrainWave  = "drain_wave"  // nodes drain one after the other; cold successors take over
	Crash      = "crash"       // a gateway dies and comes back with an old list
	LateReport = "late_report" // nodes' load reports stay the same
	Silent     = "silent"      // a node takes requests and answers none
	SlowNode   = "slow"        // a node needs many times as long
	Die        = "die"         // a node dies; a cold successor comes after a while
	LoseAnswer = "lose"        // a share of the answers is lost, the work done
	HalfAnswer = "half"        // a share of the answers breaks off
	Impatient  = "impatient"   // clients leave soon, and ask again
	Resets     = "resets"      // a node resets a share of its connections
	HotKey     = "hot_key"     // a share of all writes goes to one key
)

// Kinds lists the kinds of trouble.
var Kinds = []string{Surge, Flood, DrainWave, Crash, LateReport, Silent, SlowNode, Die, LoseAnswer, HalfAnswer, Impatient, Resets, HotKey}

// Trouble is one line of a script.
type Trouble struct {
	At    Millis  `json:"at_ms"`
	For   Millis  `json:"for_ms"`
	Kind  string  `json:"kind"`
	Which int     `json:"which"` // of the nodes, gateways or volumes
	Count int     `json:"count"` // of nodes in a wave
	Times float64 `json:"times"` // as much, as long, or the share
}

// Millis is a time in milliseconds.
type Millis int

// D returns it as a duration.
func (m Millis) D() time.Duration { return time.Duration(m) * time.Millisecond }

// Script is a day's troubles in the order of their start.
type Script []Trouble

// Generate makes a script of every kind of trouble for a day, by the seed.
func Generate(seed uint64, day time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 0xbad))
	kinds := slices.Clone(Kinds)
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	ms := int(day.Milliseconds())
	var s Script
	for i, k := range kinds {
		at := ms/12 + (ms*9/12)*i/len(kinds) + rng.IntN(ms/24)
		t := Trouble{At: Millis(at), For: Millis(ms/10 + rng.IntN(ms/10)), Kind: k, Which: rng.IntN(64)}
		switch k {
		case Surge:
			t.Times = 2 + rng.Float64()
		case Flood:
			t.Times = 8 + 8*rng.Float64()
		case DrainWave:
			t.Count = 2 + rng.IntN(3)
		case SlowNode:
			t.Times = 4 + 8*rng.Float64()
		case LoseAnswer, HalfAnswer, Resets:
			t.Times = 0.05 + 0.15*rng.Float64()
		case Impatient, HotKey:
			t.Times = 0.3 + 0.4*rng.Float64()
		}
		s = append(s, t)
	}
	slices.SortStableFunc(s, func(a, b Trouble) int { return int(a.At - b.At) })
	return s
}

// Parse reads a script: a JSON list, comments allowed.
func Parse(text []byte) (Script, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	var s Script
	if err := json.Unmarshal(plain, &s); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	for i, t := range s {
		if !slices.Contains(Kinds, t.Kind) {
			return nil, fmt.Errorf("script: line %d: no trouble is called %q; there are %v", i+1, t.Kind, Kinds)
		}
		if t.At < 0 || t.For < 0 || t.Times < 0 || t.Count < 0 || t.Which < 0 {
			return nil, fmt.Errorf("script: line %d: no figure may be negative", i+1)
		}
	}
	slices.SortStableFunc(s, func(a, b Trouble) int { return int(a.At - b.At) })
	return s, nil
}

// Text writes a script as Parse reads it.
func (s Script) Text() string {
	out := "[\n"
	for _, t := range s {
		b, _ := json.Marshal(t)
		out += "\t" + string(b) + ",\n"
	}
	return out + "]\n"
}
