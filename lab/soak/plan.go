package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Durations of the phases of a run. The first phase begins when the program serves.
const (
	minLoad       = 2000 * time.Millisecond // shortest duration of the first phase
	loadSpread    = 1000 * time.Millisecond // range of the random time that is added to minLoad
	quietTime     = 1500 * time.Millisecond // time without any client after the first phase
	finalLoadTime = 800 * time.Millisecond  // time of the last phase before SIGTERM, in which clients send requests again
)

// faultKind names a kind of fault of a node. Plans and progress lines print the value.
type faultKind string

// The kinds of faults of a node.
const (
	hang          faultKind = "hang"           // the node answers no request
	slow          faultKind = "slow"           // the node takes longer for every request
	loseResponses faultKind = "lose responses" // the node executes a share of the requests without answering them
	resets        faultKind = "resets"         // the node resets the connection on a share of the requests
	drain         faultKind = "drain"          // the node drains, and a successor takes its place
)

var faultKinds = []faultKind{hang, slow, loseResponses, resets, drain}

// fault is one fault of a plan, with its start and its duration.
type fault struct {
	At    time.Duration
	For   time.Duration
	Kind  faultKind
	Shard int
	Share float64 // share of the requests that fail, for loseResponses and resets
}

// reload is a change to the configuration that a series of SIGHUPs announces to the program.
type reload struct {
	At    time.Duration
	Count int           // number of SIGHUPs
	Gap   time.Duration // pause after each SIGHUP
}

// plan describes the events of a run. The seed alone determines the plan.
type plan struct {
	Load        time.Duration // duration of the first phase
	Clients     int
	CancelShare float64 // share of the requests that their clients cancel
	StartHangup bool    // whether the program receives SIGHUP while it reads its configuration
	IdleClients int     // number of clients that hold a connection and send nothing
	BadClients  int     // number of clients that send incomplete or invalid requests
	Faults      []fault
	Reloads     []reload

	HangupsBeforeStop int           // number of SIGHUPs directly before SIGTERM
	HangupsAfterStop  int           // number of SIGHUPs directly after SIGTERM
	SecondStop        time.Duration // time from the first SIGTERM to a second one; 0 means no second SIGTERM
}

// newPlan draws the plan for a seed and a number of shards.
func newPlan(seed uint64, shards int) plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Int64N(int64(to-from)))
	}
	p := plan{
		Load:        minLoad + between(0, loadSpread),
		Clients:     8 + rng.IntN(24),
		CancelShare: 0.1 * rng.Float64(),
		StartHangup: rng.IntN(2) == 0,
	}
	if rng.IntN(3) == 0 {
		p.IdleClients = 40 + rng.IntN(200)
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
	// In the last phase one node fails and does not recover before the end of the run.
	p.Faults = append(p.Faults, fault{
		At:    p.Load + quietTime + between(0, finalLoadTime),
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

// stopAt returns the time of the plan at which the program receives SIGTERM.
func (p *plan) stopAt() time.Duration { return p.Load + quietTime + finalLoadTime }

// String returns a description of the plan in one line, for the report and the progress output.
func (p *plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d clients for %v", p.Clients, p.Load.Round(time.Millisecond))
	if p.IdleClients > 0 {
		fmt.Fprintf(&b, "; a crowd of %d idle and %d bad clients", p.IdleClients, p.BadClients)
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
