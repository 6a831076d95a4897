package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Times of a run, from the moment at which the program serves.
const (
	minLoad    = 2000 * time.Millisecond
	loadSpread = 1000 * time.Millisecond
	quietTime  = 1500 * time.Millisecond // without a client, after the load
	lastLoad   = 800 * time.Millisecond  // from the return of the clients to SIGTERM
)

// faultKind is a way in which a node fails.
type faultKind string

// The kinds of faults.
const (
	hang          faultKind = "hang"           // nothing is answered
	slow          faultKind = "slow"           // every request takes longer
	loseResponses faultKind = "lose responses" // a share of the requests is executed and not answered
	resets        faultKind = "resets"         // a share of the requests ends by a reset
	drain         faultKind = "drain"          // the node drains and a successor takes its place
)

var faultKinds = []faultKind{hang, slow, loseResponses, resets, drain}

// fault is one fault of a plan.
type fault struct {
	At    time.Duration
	For   time.Duration
	Kind  faultKind
	Shard int
	Share float64 // of the requests
}

// reload is a series of SIGHUP.
type reload struct {
	At    time.Duration
	Count int
	Gap   time.Duration
}

// plan is what happens in a run. It follows from the seed alone.
type plan struct {
	Load        time.Duration // of the first phase
	Clients     int
	Impatient   float64 // share of the requests that their clients cancel
	StartHangup bool    // SIGHUP while the program reads its configuration
	IdleCrowd   int     // connections that send nothing
	BadClients  int     // connections that send no request, or a part of one
	Faults      []fault
	Reloads     []reload
	// HangupsBeforeStop come directly before SIGTERM, HangupsAfterStop directly behind it.
	HangupsBeforeStop int
	HangupsAfterStop  int
	SecondStop        time.Duration // after the first SIGTERM; 0: none
}

// newPlan draws the plan of a seed for a number of shards.
func newPlan(seed uint64, shards int) plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Int64N(int64(to-from)))
	}
	p := plan{
		Load:        minLoad + between(0, loadSpread),
		Clients:     8 + rng.IntN(24),
		Impatient:   0.1 * rng.Float64(),
		StartHangup: rng.IntN(2) == 0,
	}
	if rng.IntN(3) == 0 {
		p.IdleCrowd = 40 + rng.IntN(200)
		p.BadClients = 4 + rng.IntN(12)
	}
	for range 2 + rng.IntN(4) {
		p.Faults = append(p.Faults, fault{
			At:    between(100*time.Millisecond, p.Load),
			For:   between(200*time.Millisecond, 1200*time.Millisecond),
			Kind:  faultKinds[rng.IntN(len(faultKinds))],
			Shard: rng.IntN(shards),
			Share: 0.05 + 0.3*rng.Float64(),
		})
	}
	// A node that fails through the end of the run.
	p.Faults = append(p.Faults, fault{
		At:    p.Load + quietTime + between(0, lastLoad),
		For:   time.Minute,
		Kind:  []faultKind{hang, slow, loseResponses}[rng.IntN(3)],
		Shard: rng.IntN(shards),
		Share: 0.2,
	})
	for range rng.IntN(3) {
		p.Reloads = append(p.Reloads, reload{
			At:    between(100*time.Millisecond, p.Load),
			Count: 1 + rng.IntN(8),
			Gap:   between(100*time.Microsecond, 2*time.Millisecond),
		})
	}
	if rng.IntN(2) == 0 {
		p.HangupsBeforeStop = 1 + rng.IntN(20)
	}
	if rng.IntN(2) == 0 {
		p.HangupsAfterStop = 1 + rng.IntN(5)
	}
	if rng.IntN(2) == 0 {
		p.SecondStop = between(0, time.Second)
	}
	return p
}

// stopAt returns when SIGTERM comes.
func (p *plan) stopAt() time.Duration { return p.Load + quietTime + lastLoad }

// String describes the plan in one line.
func (p *plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d clients for %v", p.Clients, p.Load.Round(time.Millisecond))
	if p.IdleCrowd > 0 {
		fmt.Fprintf(&b, "; a crowd of %d idle and %d bad clients", p.IdleCrowd, p.BadClients)
	}
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "; %s at shard %d from %v", f.Kind, f.Shard, f.At.Round(time.Millisecond))
	}
	for _, r := range p.Reloads {
		fmt.Fprintf(&b, "; %d SIGHUP at %v", r.Count, r.At.Round(time.Millisecond))
	}
	if p.StartHangup {
		b.WriteString("; SIGHUP during start-up")
	}
	fmt.Fprintf(&b, "; %d SIGHUP, SIGTERM at %v, %d SIGHUP", p.HangupsBeforeStop, p.stopAt().Round(time.Millisecond),
		p.HangupsAfterStop)
	if p.SecondStop > 0 {
		fmt.Fprintf(&b, ", SIGTERM again after %v", p.SecondStop.Round(time.Millisecond))
	}
	return b.String()
}
