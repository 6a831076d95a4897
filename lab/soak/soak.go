// Package soak runs the HTTP gateway or the RESP server as a process under load, faults and signals, until the
// process has ended. It then checks the logs of the clients and the nodes: no request may be lost, no effect may
// happen twice, and the program must have ended in time. After SIGTERM, clients keep using their connections until
// the earliest time at which a supervisor may kill the program.
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

// Times and counts for the start of the program and for the signals.
const (
	startTimeout   = 20 * time.Second       // the program must accept connections within this time
	settleTime     = 300 * time.Millisecond // from the first accepted connection to the first usage sample
	hangupGap      = 200 * time.Microsecond // pause after each SIGHUP around SIGTERM
	startHangups   = 3                      // number of SIGHUPs while the program reads its configuration
	startHangupGap = time.Millisecond       // pause after each SIGHUP while the program reads its configuration
)

// Options holds the parameters of a run.
type Options struct {
	Seed          uint64
	Program       Program
	Listen        string   // host:port on which the program listens; the port must be free
	Command       []string // the program's path and the arguments before its subcommand
	Env           []string // variables that the program gets besides the environment of this process
	DisabledGuard string   // the guard in Guards that the run disables; if empty, it disables none
	Progress      io.Writer
}

// run holds the state of one run in progress.
type run struct {
	options Options
	plan    plan
	params  invariants.Parameters
	epoch   time.Time
	system  system
	process *process
	clients clientLog
	stalls  *stall.Monitor // measures stalls of the machine

	startedAt       time.Duration // time at which the program serves; the times of the plan count from it
	stoppedAt       atomic.Int64  // time at which SIGTERM was sent, as a time.Duration; 0 until then
	usageBefore     usage         // usage before the load, without any client
	usageAfter      usage         // usage after the load, without any client
	terminationTime time.Duration // time from SIGTERM to the end of the process
	killed          bool          // whether the run had to kill the process after SIGTERM

	mu         sync.Mutex
	violations []invariants.Violation
	notices    []invariants.DrainNotice
}

// Run runs the program under the plan of the seed and returns the report. The report lists violated invariants; Run
// returns no error for them.
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
	if err := r.runPhases(ctx, filepath.Join(dir, "config")); err != nil {
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

// runPhases starts the program, runs the phases of the plan one after the other, and waits for the program to end.
func (r *run) runPhases(ctx context.Context, configFile string) error {
	if err := r.startProgram(ctx, configFile); err != nil {
		return err
	}
	defer r.process.kill()
	var err error
	if r.usageBefore, err = r.process.usage(); err != nil {
		return r.reportEarlyEnd("before the load", err)
	}
	if err := r.runLoadPhase(ctx, configFile); err != nil {
		return err
	}
	sleep(ctx, quietTime)
	if r.usageAfter, err = r.process.usage(); err != nil {
		return r.reportEarlyEnd("after the load", err)
	}
	return r.runStopPhase(ctx)
}

// reportEarlyEnd reports a violation if the process has ended early. If the process is still running, it returns
// err, the error that made the caller suspect an early end.
func (r *run) reportEarlyEnd(when string, err error) error {
	if !r.process.hasEnded() {
		return err
	}
	r.report(EndsInTime, "the program ended %s: %v", when, r.process.err)
	return nil
}

// startProgram starts the program and waits until it serves. If the plan says so, it sends SIGHUP several times
// while the program reads its configuration.
func (r *run) startProgram(ctx context.Context, configFile string) error {
	text := r.system.configuration()
	command := append(append([]string(nil), r.options.Command...), r.system.arguments(configFile)...)
	var pipe configPipe
	var err error
	if r.plan.StartHangup {
		pipe, err = newConfigPipe(configFile, text)
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
		err = pipe.serve(r.process, func() { r.process.sendHangups(startHangups, startHangupGap) })
		if err != nil && !errors.Is(err, syscall.EPIPE) { // EPIPE: the program has ended, which is reported below
			r.process.kill()
			return err
		}
	}
	if !r.awaitServing(ctx) {
		r.process.kill() // kill waits for the end of the process, which sets process.err
		r.report(EndsInTime, "the program does not serve: %v", r.process.err)
		return nil
	}
	sleep(ctx, settleTime)
	r.startedAt = r.now()
	return nil
}

// awaitServing waits until the program accepts connections. It returns false if the program ends or takes too long.
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

// runLoadPhase runs the first phase, with clients, idle and bad clients, faults and reloads. When it returns, all
// client connections are closed.
func (r *run) runLoadPhase(ctx context.Context, configFile string) error {
	loadCtx, cancel := context.WithTimeout(ctx, r.plan.Load)
	defer cancel()
	var tasks sync.WaitGroup
	r.startClients(loadCtx, &tasks, 0)
	for i := range r.plan.IdleClients + r.plan.BadClients {
		tasks.Go(func() {
			if i < r.plan.IdleClients {
				r.idleClient(loadCtx)
			} else {
				r.badClient(loadCtx, i)
			}
		})
	}
	err := r.runLoadSteps(loadCtx, configFile)
	tasks.Wait()
	r.system.clearFaults()
	return err
}

// startClients starts the plan's number of clients, each in a goroutine for which tasks waits. Clients of
// different phases use different tags and random numbers.
func (r *run) startClients(ctx context.Context, tasks *sync.WaitGroup, phase int) {
	for i := range r.plan.Clients {
		c := newClient(r, phase, i)
		tasks.Go(func() { c.loop(ctx) })
	}
}

// runLoadSteps carries out the faults and reloads of the first phase in the order of their times, then waits for the
// end of ctx.
func (r *run) runLoadSteps(ctx context.Context, configFile string) error {
	faults, reloads := r.plan.sortedSteps()
	for len(faults)+len(reloads) > 0 && ctx.Err() == nil && !r.process.hasEnded() {
		if len(reloads) == 0 || len(faults) > 0 && faults[0].At <= reloads[0].At {
			f := faults[0]
			faults = faults[1:]
			if sleep(ctx, r.until(f.At)) {
				if err := r.injectFault(f, configFile); err != nil {
					return err
				}
			}
			continue
		}
		step := reloads[0]
		reloads = reloads[1:]
		if sleep(ctx, r.until(step.At)) {
			if err := r.reloadConfig(step, configFile); err != nil {
				return err
			}
		}
	}
	<-ctx.Done()
	return nil
}

// until returns how long it takes from now until the time at of the plan.
func (r *run) until(at time.Duration) time.Duration { return r.startedAt + at - r.now() }

func (r *run) injectFault(f fault, configFile string) error {
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
	if r.options.Program == Serve { // serve reads its list of nodes from the configuration, so it must reload the file
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

func (r *run) reloadConfig(step reload, configFile string) error {
	r.progress("%d SIGHUP", step.Count)
	r.system.changeConfiguration()
	if err := replaceFile(configFile, r.system.configuration()); err != nil {
		return err
	}
	r.process.sendHangups(step.Count, step.Gap)
	if !r.system.awaitReload(r.process) {
		r.report(ReloadApplied, "the configuration was not reloaded")
	}
	return nil
}

// runStopPhase runs the last phase. Clients send requests again, a node fails until the end of the run, and the
// program receives SIGTERM among other signals. If the program has not ended by the earliest time at which a
// supervisor may kill it, runStopPhase kills it.
func (r *run) runStopPhase(ctx context.Context) error {
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
	r.terminationTime = r.now() - r.stopTime()
	cancel()
	clients.Wait()
	return nil
}

// sendStopSignals sends SIGTERM and, as planned, SIGHUPs directly before and after it and a second SIGTERM later.
func (r *run) sendStopSignals(ctx context.Context) {
	p := &r.plan
	r.process.sendHangups(p.HangupsBeforeStop, hangupGap)
	r.process.signal(syscall.SIGTERM)
	r.stoppedAt.Store(int64(r.now()))
	r.progress("SIGTERM")
	r.process.sendHangups(p.HangupsAfterStop, hangupGap)
	if p.SecondStop > 0 {
		select {
		case <-r.process.ended:
		case <-ctx.Done():
		case <-time.After(p.SecondStop):
			r.process.signal(syscall.SIGTERM)
		}
	}
}

// stopTime returns the time at which SIGTERM was sent, or 0 if it has not been sent.
func (r *run) stopTime() time.Duration { return time.Duration(r.stoppedAt.Load()) }

// terminatingFor reports whether SIGTERM was sent more than d ago.
func (r *run) terminatingFor(d time.Duration) bool {
	at := r.stopTime()
	return at > 0 && r.now()-at > d
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.epoch) }

func (r *run) progress(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, "%8.3fs  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// report adds a violation that the logs of clients and nodes do not show.
func (r *run) report(invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, invariants.Violation{
		Invariant: invariant,
		At:        r.now(),
		Detail:    fmt.Sprintf(format, args...),
	})
}
