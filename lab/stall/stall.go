// Package stall measures how long the machine has kept the process from running, so that a report can tell a
// late response of a program from a machine that was too busy to run it.
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

// interval is how long the monitor sleeps between two looks at the clock.
const interval = 5 * time.Millisecond

// Monitor holds the longest stall since its start.
type Monitor struct {
	longest atomic.Int64 // nanoseconds
}

// Start starts a monitor, which runs until ctx ends.
func Start(ctx context.Context) *Monitor {
	m := &Monitor{}
	go m.run(ctx)
	return m
}

func (m *Monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(interval)
		late := time.Since(before) - interval
		m.longest.Store(max(m.longest.Load(), int64(late)))
	}
}

// Longest returns by how much the longest sleep of the monitor exceeded its length.
func (m *Monitor) Longest() time.Duration { return time.Duration(m.longest.Load()) }
