// Package soak runs the programs as processes under load, faults and signals until they have ended, and checks from the
// logs of clients and nodes that no request was lost, no effect happened twice, and that the program ended in time.
// Clients go on using their connections until the earliest time at which a supervisor may kill the program.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chalkstand/lab/invariants"
	"chalkstand/lab/stall"
)

// Times of the program's start, in which nothing is checked but that it comes up.
const (
	startTimeout   = 20 * time.Second
	settleTime     = 300 * time.Millisecond // from the first accepted connection to the first sample
	hangupGap      = 200 * time.Microsecond // between the signals around SIGTERM
	startHangups   = 3
	startHangupGap = time.Millisecond
)

// Options are the parameters of a run.
type Options struct {
	Seed          uint64
	Program       Program
	Listen        string   // free address for the program, host:port
	Command       []string // the program's path and the arguments before its subcommand
	Env           []string // added to the environment
	DisabledGuard string   // one of Guards; empty: none
	Progress      io.Writer
}

// run is one run while it goes on.
type run struct {
	options Options
	plan    plan
	params  invariants.Parameters
	epoch   time.Time
	system  system
	process *process
	clients clientLog
	stalls  *stall.Monitor // of the machine

	startedAt time.Duration // the program serves
	stoppedAt atomic.Int64  // time of SIGTERM as a time.Duration; 0: not yet
	before    usage         // without a client, before the load
	after     usage         // without a client, after it
	ownTime   time.Duration // from SIGTERM to the end of the process
	killed    bool

	mu         sync.Mutex
	violations []invariants.Violation
	notices    []invariants.DrainNotice
}

// Run plays the plan of a seed. A violated invariant is no error.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	dir, err := os.MkdirTemp("", "chalkstand-soak")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r := &run{options: o, plan: newPlan(o.Seed, shards), params: invariantParameters(), epoch: time.Now()}
	if r.system, err = newSystem(r); err != nil {
		return nil, err
	}
	defer r.system.close()
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	r.stalls = stall.Start(monitorCtx)
	r.progress("%s", r.plan.String())
	if err := r.play(ctx, filepath.Join(dir, "config")); err != nil {
		return nil, err
	}
	return newReport(r), ctx.Err()
}

func newSystem(r *run) (system, error) {
	switch o := r.options; o.Program {
	case Serve:
		return newServeSystem(r.epoch, o.Listen, o.DisabledGuard)
	case RESP:
		return newRespSystem(r.epoch, o.Listen, o.DisabledGuard)
	}
	return nil, fmt.Errorf("soak: program: expected %s or %s, got %q", Serve, RESP, r.options.Program)
}

// play starts the program, lets the phases of the plan follow each other, and waits for the program's end.
func (r *run) play(ctx context.Context, configFile string) error {
	if err := r.startProgram(ctx, configFile); err != nil {
		return err
	}
	defer r.process.kill()
	var err error
	if r.before, err = r.process.usage(); err != nil {
		return r.ended("before the load", err)
	}
	if err := r.playLoad(ctx, configFile); err != nil {
		return err
	}
	sleep(ctx, quietTime)
	if r.after, err = r.process.usage(); err != nil {
		return r.ended("after the load", err)
	}
	return r.playStop(ctx)
}

// ended reports a process that has ended early; err is what showed it.
func (r *run) ended(when string, err error) error {
	if !r.process.hasEnded() {
		return err
	}
	r.report(EndsInTime, "the program ended %s: %v", when, r.process.err)
	return nil
}

// startProgram starts the program and waits until it serves. Where the plan says so, SIGHUP comes while it reads
// its configuration.
func (r *run) startProgram(ctx context.Context, configFile string) error {
	text := r.system.configuration()
	command := append(append([]string(nil), r.options.Command...), r.system.arguments(configFile)...)
	var held heldFile
	var err error
	if r.plan.StartHangup {
		held, err = newHeldFile(configFile, text)
	} else {
		err = replaceFile(configFile, text)
	}
	if err != nil {
		return err
	}
	if r.process, err = startProcess(ctx, command, r.options.Env); err != nil {
		return err
	}
	if r.plan.StartHangup {
		err = held.serve(r.process, func() { r.process.hangUp(startHangups, startHangupGap) })
		if err != nil && !errors.Is(err, syscall.EPIPE) { // the program has ended: reported below
			r.process.kill()
			return err
		}
	}
	if !r.awaitServing(ctx) {
		r.process.kill() // its err is not set before it has ended
		r.report(EndsInTime, "the program does not serve: %v", r.process.err)
		return nil
	}
	sleep(ctx, settleTime)
	r.startedAt = r.now()
	return nil
}

// awaitServing waits until the program accepts connections.
func (r *run) awaitServing(ctx context.Context) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && !r.process.hasEnded(); {
		if canConnect(ctx, r.system.addr()) {
			return true
		}
		if !sleep(ctx, time.Millisecond) {
			return false
		}
	}
	return false
}

// playLoad is the first phase: clients, the crowd, faults and reloads. It ends without a connection of a client.
func (r *run) playLoad(ctx context.Context, configFile string) error {
	loadCtx, cancel := context.WithTimeout(ctx, r.plan.Load)
	defer cancel()
	var tasks sync.WaitGroup
	r.startClients(loadCtx, &tasks, 0)
	for i := range r.plan.IdleCrowd + r.plan.BadClients {
		tasks.Go(func() {
			if i < r.plan.IdleCrowd {
				r.idleClient(loadCtx)
			} else {
				r.badClient(loadCtx, i)
			}
		})
	}
	err := r.playSteps(loadCtx, configFile)
	tasks.Wait()
	r.system.clearFaults()
	return err
}

// startClients starts the clients of a phase.
func (r *run) startClients(ctx context.Context, tasks *sync.WaitGroup, phase int) {
	for i := range r.plan.Clients {
		c := newClient(r, phase, i)
		tasks.Go(func() { c.loop(ctx) })
	}
}

// playSteps makes the faults and reloads of the first phase, one after the other.
func (r *run) playSteps(ctx context.Context, configFile string) error {
	faults, reloads := r.plan.sortedSteps()
	for len(faults)+len(reloads) > 0 && ctx.Err() == nil && !r.process.hasEnded() {
		if len(reloads) == 0 || len(faults) > 0 && faults[0].At <= reloads[0].At {
			f := faults[0]
			faults = faults[1:]
			if sleep(ctx, r.until(f.At)) {
				if err := r.playFault(f, configFile); err != nil {
					return err
				}
			}
			continue
		}
		step := reloads[0]
		reloads = reloads[1:]
		if sleep(ctx, r.until(step.At)) {
			if err := r.playReload(step, configFile); err != nil {
				return err
			}
		}
	}
	<-ctx.Done()
	return nil
}

// until returns the time to a moment of the plan.
func (r *run) until(at time.Duration) time.Duration { return r.startedAt + at - r.now() }

func (r *run) playFault(f fault, configFile string) error {
	r.progress("%s at shard %d for %v", f.Kind, f.Shard, f.For)
	if f.Kind != drain {
		return r.system.inject(f)
	}
	node, err := r.system.drainNode(f.Shard)
	if err != nil {
		return err
	}
	if err := replaceFile(configFile, r.system.configuration()); err != nil {
		return err
	}
	if r.options.Program == Serve { // the list of nodes is in the configuration
		r.process.signal(syscall.SIGHUP)
	}
	if !r.system.awaitDrain(r.process) {
		r.report(ReloadApplied, "the drain of %s was not applied", node)
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices = append(r.notices, invariants.DrainNotice{Gateway: programName, Node: node, At: r.now()})
	return nil
}

func (r *run) playReload(step reload, configFile string) error {
	r.progress("%d SIGHUP", step.Count)
	r.system.moved()
	if err := replaceFile(configFile, r.system.configuration()); err != nil {
		return err
	}
	r.process.hangUp(step.Count, step.Gap)
	if !r.system.reloaded(r.process) {
		r.report(ReloadApplied, "the configuration was not reloaded")
	}
	return nil
}

// playStop is the last phase: clients return, a node fails for good, SIGTERM comes among other signals, and the
// process is killed at the earliest time at which a supervisor may do so.
func (r *run) playStop(ctx context.Context) error {
	clientCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	r.startClients(clientCtx, &clients, 1)
	for _, f := range r.plan.Faults {
		if f.At < r.plan.Load {
			continue
		}
		sleep(ctx, r.until(f.At))
		if err := r.system.inject(f); err != nil {
			return err
		}
	}
	sleep(ctx, r.until(r.plan.stopAt()))
	r.sendStopSignals(ctx)
	select {
	case <-r.process.ended:
	case <-time.After(r.system.terminationDelay() - (r.now() - r.stopTime())):
		r.killed = !r.process.hasEnded()
		r.process.kill()
	}
	r.ownTime = r.now() - r.stopTime()
	cancel()
	clients.Wait()
	return nil
}

// sendStopSignals sends SIGTERM and the signals around it.
func (r *run) sendStopSignals(ctx context.Context) {
	p := &r.plan
	r.process.hangUp(p.HangupsBeforeStop, hangupGap)
	r.process.signal(syscall.SIGTERM)
	r.stoppedAt.Store(int64(r.now()))
	r.progress("SIGTERM")
	r.process.hangUp(p.HangupsAfterStop, hangupGap)
	if p.SecondStop > 0 {
		select {
		case <-r.process.ended:
		case <-ctx.Done():
		case <-time.After(p.SecondStop):
			r.process.signal(syscall.SIGTERM)
		}
	}
}

// stopTime returns when SIGTERM was sent; 0 where it was not.
func (r *run) stopTime() time.Duration { return time.Duration(r.stoppedAt.Load()) }

// stopping reports whether SIGTERM was sent at least so long ago.
func (r *run) stopping(ago time.Duration) bool {
	at := r.stopTime()
	return at > 0 && r.now()-at > ago
}

// now returns the time since the epoch.
func (r *run) now() time.Duration { return time.Since(r.epoch) }

func (r *run) progress(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, "%8.3fs  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// report adds a violation of an invariant that no log shows.
func (r *run) report(invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, invariants.Violation{
		Invariant: invariant,
		At:        r.now(),
		Detail:    fmt.Sprintf(format, args...),
	})
}
