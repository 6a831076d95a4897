package eventloop

import (
	"iter"
	"time"
)

// task is long work that takes turns as connections do.
type task struct {
	next func() (struct{}, bool)
	stop func()
}

// RunInSlices runs f on the loop in slices, each a turn that counts for a flow, after the present
// event. f calls pause often: it returns when f is to go on, false when the loop has ended
// and nothing that f does matters any more. Between two slices others have their turns,
// so that what f relies on may have changed. On the loop only.
//
// f runs as a coroutine of the loop: never beside anything else on it.
func (l *Loop) RunInSlices(flow *Flow, f func(pause func() bool)) {
	began := time.Duration(0)
	t := &task{}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		f(func() bool {
			if l.now()-began < l.o.Slice {
				return true
			}
			more := yield(struct{}{})
			began = l.t
			return more
		})
	})
	l.tasks[t] = struct{}{}
	c := &Conn{loop: l, fd: -1, flow: flow, task: t}
	l.Defer(func() { l.want(c) })
	began = l.t
}

// step gives a task its turn.
func (c *Conn) step() {
	if _, more := c.task.next(); !more {
		delete(c.loop.tasks, c.task)
		c.task = nil
	}
}

// endTasks ends those that are under way.
func (l *Loop) endTasks() {
	for t := range l.tasks {
		t.stop()
	}
}
