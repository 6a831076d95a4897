package eventloop

import (
	"encoding/binary"
	"iter"
	"time"

	"golang.org/x/sys/unix"
)

// postedCall is a function that waits for its turn on the loop.
type postedCall struct {
	run  func()
	drop func() // called instead of run if the loop ends first; may be nil
}

// Post runs f on the loop, after all functions that were posted earlier. It may be called on any
// goroutine. If the loop has ended, or ends before f's turn, f never runs. A caller that waits for f or
// passes a resource to f must use PostOrDrop instead.
func (l *Loop) Post(f func()) { l.PostOrDrop(f, nil) }

// PostOrDrop calls exactly one of two functions. It runs run on the loop as Post does. If the loop has
// ended, or ends before run's turn, it calls drop instead, on the caller's goroutine or on the loop's.
// PostOrDrop may be called on any goroutine.
func (l *Loop) PostOrDrop(run, drop func()) {
	if !l.enqueue(postedCall{run, drop}) && drop != nil {
		drop()
	}
}

// enqueue appends a call to the posted calls and wakes the loop. It returns false if the loop has
// ended and accepts no calls.
func (l *Loop) enqueue(call postedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.posted = append(l.posted, call)
	if len(l.posted) == 1 {
		// The write fails only if the eventfd's counter would overflow. The loop wakes up in that case
		// too, because the counter is not 0.
		_, _ = unix.Write(l.wakeFD, wakeIncrement)
	}
	return true
}

// wakeIncrement is the value that enqueue adds to the eventfd's counter, in the kernel's byte order.
var wakeIncrement = binary.NativeEndian.AppendUint64(nil, 1)

// runPosted resets the eventfd and runs the posted functions.
func (l *Loop) runPosted() {
	var counter [8]byte
	_, _ = unix.Read(l.wakeFD, counter[:]) // the read resets the counter, whose value is not needed
	l.mu.Lock()
	posted := l.posted
	l.posted = l.spare[:0]
	l.mu.Unlock()
	for i, call := range posted {
		call.run()
		posted[i] = postedCall{}
		l.runDeferred()
	}
	l.mu.Lock()
	l.spare = posted
	l.mu.Unlock()
	l.now = l.clock() // the time of the posted functions is charged to no flow
}

// dropPosted makes the loop reject further posted calls and drops the calls that still wait.
func (l *Loop) dropPosted() {
	l.mu.Lock()
	posted := l.posted
	l.stopped = true
	l.posted = nil
	l.mu.Unlock()
	for _, call := range posted {
		if call.drop != nil {
			call.drop()
		}
	}
}

// Defer runs f on the loop after the current batch of events, time slice or posted function. It must
// be called on the loop.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// runDeferred runs the deferred functions, including the functions that these defer in turn.
func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		f := l.deferred[0]
		l.deferred = l.deferred[1:]
		f()
	}
	l.deferred = nil
}

// timer holds the callbacks of the timer that SetTimer sets on a loop.
type timer struct {
	next func() (time.Duration, bool)
	fire func(now time.Duration)
}

// SetTimer sets the timer of the loop. The loop calls fire at or after the time that next returns. If
// next returns false, no timer is set. SetTimer must be called before Run.
func (l *Loop) SetTimer(next func() (time.Duration, bool), fire func(now time.Duration)) {
	l.timer = timer{next, fire}
}

// fireTimer calls the timer's fire callback if the timer is due.
func (l *Loop) fireTimer() {
	if l.timer.next == nil {
		return
	}
	if at, ok := l.timer.next(); ok && at <= l.now {
		l.timer.fire(l.now)
	}
}

// nextWake returns the earlier of the next end of a rate limit and the timer's time. It returns false
// if there is neither.
func (l *Loop) nextWake() (time.Duration, bool) {
	at, ok := l.scheduler.NextWake()
	if l.timer.next == nil {
		return at, ok
	}
	if due, set := l.timer.next(); set && (!ok || due < at) {
		return due, true
	}
	return at, ok
}

// task is a coroutine that runs in time slices like a connection.
type task struct {
	next func() (struct{}, bool)
	stop func()
}

// RunInSlices runs f on the loop in time slices that the loop charges to a flow. The first slice
// starts after the current event. f must call yield often. yield returns true if f must continue, and
// false if the loop has ended and f must return. Other connections and tasks run between two slices of
// f, so state that f uses may have changed when yield returns. RunInSlices must be called on the loop.
//
// f runs as a coroutine of the loop, and never in parallel with other code on the loop.
func (l *Loop) RunInSlices(flow *Flow, f func(yield func() bool)) {
	sliceStart := time.Duration(0)
	t := &task{}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		f(func() bool {
			if l.clock()-sliceStart < l.options.PollInterval {
				return true
			}
			more := yield(struct{}{})
			sliceStart = l.now
			return more
		})
	})
	l.tasks[t] = struct{}{}
	c := &Conn{loop: l, fd: -1, flow: flow, task: t}
	l.Defer(func() { l.schedule(c) })
	sliceStart = l.now
}

// resumeTask runs a task for one time slice and removes it from the loop if it has finished.
func (c *Conn) resumeTask() {
	if _, more := c.task.next(); !more {
		delete(c.loop.tasks, c.task)
		c.task = nil
	}
}

// stopTasks stops all unfinished tasks: the yield function of each task returns false.
func (l *Loop) stopTasks() {
	for t := range l.tasks {
		t.stop()
	}
}
