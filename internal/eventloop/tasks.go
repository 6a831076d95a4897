package eventloop

import (
	"encoding/binary"
	"iter"
	"time"

	"golang.org/x/sys/unix"
)

// postedCall is a function that waits to be run on the loop.
type postedCall struct {
	run  func()
	drop func() // called in the place of run where the loop ends first; may be nil
}

// Post runs f on the loop, after what was posted before. It may be called from any goroutine.
// Where the loop has ended, or ends before it is f's turn, f is dropped: whoever waits for f, or has
// given it something to own, uses PostOrDrop.
func (l *Loop) Post(f func()) { l.PostOrDrop(f, nil) }

// PostOrDrop calls exactly one of two functions: run on the loop, as Post does, or drop where the
// loop has ended or ends before. drop is called on the caller's goroutine or on the loop's. It may
// be called from any goroutine.
func (l *Loop) PostOrDrop(run, drop func()) {
	if !l.enqueue(postedCall{run, drop}) && drop != nil {
		drop()
	}
}

// enqueue appends a call to those that wait, and reports whether the loop has not ended.
func (l *Loop) enqueue(call postedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.posted = append(l.posted, call)
	if len(l.posted) == 1 {
		// It fails only where the counter would overflow, and then the loop is about to wake.
		_, _ = unix.Write(l.wakeFD, wakeIncrement)
	}
	return true
}

// wakeIncrement is what Post adds to the eventfd's counter.
var wakeIncrement = binary.NativeEndian.AppendUint64(nil, 1)

// runPosted resets the eventfd and runs the posted functions.
func (l *Loop) runPosted() {
	var counter [8]byte
	_, _ = unix.Read(l.wakeFD, counter[:]) // the counter's value does not matter
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
	l.now = l.clock() // the time that these took is charged to no flow
}

// dropPosted ends the acceptance of posted calls and drops those that wait.
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

// Defer runs f on the loop after the present event. On the loop only.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// runDeferred runs the deferred functions, those that they defer included.
func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		f := l.deferred[0]
		l.deferred = l.deferred[1:]
		f()
	}
	l.deferred = nil
}

// timer is the caller's one timer of a loop.
type timer struct {
	next func() (time.Duration, bool)
	fire func(now time.Duration)
}

// SetTimer calls fire when the time that next returns has come; next returns false where no
// time is set. It has to be called before Run.
func (l *Loop) SetTimer(next func() (time.Duration, bool), fire func(now time.Duration)) {
	l.timer = timer{next, fire}
}

// fireTimer calls the timer's callback if it is due.
func (l *Loop) fireTimer() {
	if l.timer.next == nil {
		return
	}
	if at, ok := l.timer.next(); ok && at <= l.now {
		l.timer.fire(l.now)
	}
}

// nextWake returns when a rate limit or the timer has something to do next; false where
// nothing is due.
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

// task is a coroutine that runs in time slices, as connections do.
type task struct {
	next func() (struct{}, bool)
	stop func()
}

// RunInSlices runs f on the loop in time slices that are charged to a flow, after the present event.
// f calls pause often: it returns true when f is to go on, and false when the loop has ended
// and f is to return. Between two slices others have theirs, so that state which f relies
// on may have changed. On the loop only.
//
// f runs as a coroutine of the loop: never in parallel with anything else on it.
func (l *Loop) RunInSlices(flow *Flow, f func(pause func() bool)) {
	began := time.Duration(0)
	t := &task{}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		f(func() bool {
			if l.clock()-began < l.options.PollInterval {
				return true
			}
			more := yield(struct{}{})
			began = l.now
			return more
		})
	})
	l.tasks[t] = struct{}{}
	c := &Conn{loop: l, fd: -1, flow: flow, task: t}
	l.Defer(func() { l.schedule(c) })
	began = l.now
}

// resumeTask runs a task for one time slice.
func (c *Conn) resumeTask() {
	if _, more := c.task.next(); !more {
		delete(c.loop.tasks, c.task)
		c.task = nil
	}
}

// stopTasks makes the pause of all unfinished tasks return false.
func (l *Loop) stopTasks() {
	for t := range l.tasks {
		t.stop()
	}
}
