// Package stall measures for how long the machine has kept this process from running. With this time, a report can
// distinguish a program that responds late from a machine that is too busy to run the program.
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

// interval is how long the monitor sleeps between two readings of the clock.
const interval = 5 * time.Millisecond

// Monitor measures the longest stall since the start of the monitor.
type Monitor struct {
	longest atomic.Int64 // longest stall in nanoseconds
}

// Start starts a monitor in a goroutine that runs until ctx ends.
func Start(ctx context.Context) *Monitor {
	m := &Monitor{}
	go m.run(ctx)
	return m
}

func (m *Monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(interval)
		excess := time.Since(before) - interval
		m.longest.Store(max(m.longest.Load(), int64(excess)))
	}
}

// Longest returns the longest stall so far. A stall is the time by which a sleep of the monitor exceeds interval.
func (m *Monitor) Longest() time.Duration { return time.Duration(m.longest.Load()) }
