// Package attributiontest tests latency attribution with injected faults. Clients on loopback send
// requests through a real gateway to a fake node, and each scenario injects one fault with a known
// cause. The package compares the attributed total time of each volume with the time that the
// volume's clients measured. It also checks that attribution names the injected cause.
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

// Tolerance is the largest accepted relative difference between the attributed total time of a volume
// and the time that its clients measured.
const Tolerance = 0.05

// Result holds the outcome of a test run.
type Result struct {
	Scenario string
	Seed     uint64
	Elapsed  time.Duration
	Volumes  []Comparison
	MaxError float64 // largest absolute value of RelativeError in Volumes
	Failures []string
	Window   attribution.Window    // attribution over the whole run
	Slots    []attributionlog.Slot // contents of the attribution log
}

// Comparison holds the total time of a volume's requests, as measured by its clients and as
// attributed by the gateway.
type Comparison struct {
	Volume     string
	Measured   time.Duration
	Attributed time.Duration
}

// RelativeError returns the measured time minus the attributed time, divided by the measured time.
func (c Comparison) RelativeError() float64 {
	if c.Measured <= 0 {
		return 0
	}
	return (c.Measured - c.Attributed).Seconds() / c.Measured.Seconds()
}

// Limits of the attribution log of a run.
const (
	logFileBytes = 16 << 20
	logFiles     = 2
)

// Run runs a scenario and writes its attribution log into dir. Failed checks are part of the result.
// An error means that the scenario could not be run.
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
	defer func() { r.closeGateway() }() // closes the current gateway, as a scenario may have replaced the first one
	s.run(ctx, r)
	close(r.done)
	r.clients.Wait()
	r.waitIdle()
	return r.result(s)
}

// result closes the gateway, checks the run and returns its result.
func (r *testRun) result(s Scenario) (Result, error) {
	result := Result{
		Scenario: s.Name,
		Seed:     r.seed,
		Elapsed:  time.Since(r.epoch),
		Window:   r.lastWindow(time.Minute),
	}
	var counts attribution.Counts
	readCounts := func(_ time.Duration, c *attribution.Collector) { counts = c.Counts() }
	if err := r.gateway.Attribution(readCounts); err != nil {
		return result, err
	}
	if counts.Lost > 0 {
		r.failf("got %d lost attribution entries, want 0", counts.Lost)
	}
	r.closeGateway() // writes the last slots to the log
	records, corruption, err := attributionlog.Read(r.logPath)
	if err != nil {
		return result, err
	}
	for _, d := range corruption {
		r.failf("got a corrupt attribution log, want an intact one: %v", d)
	}
	timeline := attributionlog.NewTimeline(records)
	result.Slots = timeline.Slots
	if s.check != nil {
		s.check(&verifier{testRun: r, Window: result.Window, Counts: counts, Timeline: timeline})
	}
	r.compareVolumes(&result, s.tolerance)
	return result, nil
}

// compareVolumes compares the attributed total time of each volume with the measured one, and
// completes the result. A tolerance of 0 stands for Tolerance.
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
			r.failures = append(r.failures, fmt.Sprintf("volume %s: clients measured %v, got %v attributed; "+
				"the difference of %.1f %% exceeds the tolerance",
				volume, c.Measured, c.Attributed, 100*difference))
		}
	}
	slices.SortFunc(result.Volumes, func(a, b Comparison) int {
		return int(min(max(b.Measured-a.Measured, -1), 1))
	})
	result.Failures = r.failures
}
