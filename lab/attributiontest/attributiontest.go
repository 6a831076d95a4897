// Package attributiontest injects faults with a known cause on loopback through a real gateway and
// compares its latency attribution with what the clients measured: the total of each volume, and
// whether the injected cause is the one that attribution names.
package attributiontest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"chalkstand/attribution"
	"chalkstand/fake/storagenode"
	"chalkstand/internal/attributionlog"
)

// Tolerance is the largest difference of a volume's total from what its clients measured, as a share.
const Tolerance = 0.05

// Result is the outcome of a test run.
type Result struct {
	Scenario string
	Seed     uint64
	Elapsed  time.Duration
	Volumes  []Comparison
	MaxError float64 // the largest absolute difference of a volume, as a share
	Failures []string
	Window   attribution.Window // over the whole run
	Slots    []attributionlog.Slot
}

// Comparison holds a volume's total time as its clients measured it and as attribution has it.
type Comparison struct {
	Volume     string
	Measured   time.Duration
	Attributed time.Duration
}

// RelativeError returns the difference as a share of what the clients measured.
func (c Comparison) RelativeError() float64 {
	if c.Measured <= 0 {
		return 0
	}
	return (c.Measured - c.Attributed).Seconds() / c.Measured.Seconds()
}

// Bounds of the attribution log of a run.
const (
	logFileBytes = 16 << 20
	logFiles     = 2
)

// Run plays a scenario. The attribution log is written into dir. Failures of the test are part of the
// result; an error means that it could not be run.
func Run(ctx context.Context, s Scenario, seed uint64, dir string) (_ Result, err error) {
	logPath := filepath.Join(dir, fmt.Sprintf("%s-%d.log", s.Name, seed))
	r := newTestRun(seed, logPath)
	defer r.transport.CloseIdleConnections()
	cfg := nodeConfig(seed)
	if s.configureNode != nil {
		s.configureNode(&cfg)
	}
	if r.node, err = storagenode.Start("127.0.0.1:0", cfg, r.data, nil, r.epoch); err != nil {
		return Result{}, err
	}
	defer r.node.Stop()
	if err := os.Remove(logPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return Result{}, err
	}
	if r.log, err = attributionlog.Open(logPath, logFileBytes, logFiles); err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, r.log.Close()) }()
	if err := r.startGateway(ctx); err != nil {
		return Result{}, err
	}
	defer func() { r.closeGateway() }() // the current one: a scenario may restart it
	s.play(ctx, r)
	close(r.done)
	r.clients.Wait()
	r.waitIdle()
	return r.result(s)
}

// result closes the gateway and judges the run.
func (r *testRun) result(s Scenario) (Result, error) {
	result := Result{
		Scenario: s.Name,
		Seed:     r.seed,
		Elapsed:  time.Since(r.epoch),
		Window:   r.aggregate(time.Minute),
	}
	var counts attribution.Counts
	readCounts := func(_ time.Duration, c *attribution.Collector) { counts = c.Counts() }
	if err := r.gateway.Attribution(readCounts); err != nil {
		return result, err
	}
	if counts.Lost > 0 {
		r.failf("%d attributions were lost", counts.Lost)
	}
	r.closeGateway() // writes the last slots to the log
	records, damage, err := attributionlog.Read(r.logPath)
	if err != nil {
		return result, err
	}
	for _, d := range damage {
		r.failf("%v", d)
	}
	timeline := attributionlog.NewTimeline(records)
	result.Slots = timeline.Slots
	if s.check != nil {
		s.check(&verdict{testRun: r, Window: result.Window, Counts: counts, Timeline: timeline})
	}
	r.compareVolumes(&result, s.tolerance)
	return result, nil
}

// compareVolumes compares the totals of the volumes. A tolerance of 0 stands for Tolerance.
func (r *testRun) compareVolumes(result *Result, tolerance float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tolerance == 0 {
		tolerance = Tolerance
	}
	for volume, measured := range r.measured {
		c := Comparison{Volume: volume, Measured: measured, Attributed: r.attributed[volume]}
		result.Volumes = append(result.Volumes, c)
		difference := c.RelativeError()
		result.MaxError = max(result.MaxError, difference, -difference)
		if difference > tolerance || difference < -tolerance {
			r.failures = append(r.failures, fmt.Sprintf("%s: clients measured %v, %v is attributed (%.1f %%)",
				volume, c.Measured, c.Attributed, 100*difference))
		}
	}
	slices.SortFunc(result.Volumes, func(a, b Comparison) int {
		return int(min(max(b.Measured-a.Measured, -1), 1))
	})
	result.Failures = r.failures
}
