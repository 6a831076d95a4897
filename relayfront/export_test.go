package relayfront

import (
	"time"

	"golang.org/x/sys/unix"
)

// OnLoop runs f on the front's loop and waits for it. What clients and nodes do meanwhile is in the
// kernel when the loop goes on.
func (f *Front) OnLoop(do func()) {
	done := make(chan struct{})
	f.loop.Do(func() { defer close(done); do() })
	<-done
}

// Kept is what a front keeps for requests: bytes, requests, ids.
func (f *Front) Kept() (bytes, requests, ids int) { return f.held, len(f.tasks), len(f.ids) }

// Clients is how many connections of clients there are.
func (f *Front) Clients() int { return len(f.clients) }

// Queued is how many commands of all clients are not answered yet.
func (f *Front) Queued() (n int) {
	for _, cl := range f.clients {
		n += len(cl.queue)
	}
	return n
}

// FinishAll answers all open requests, as the exchange would.
func (f *Front) FinishAll(reply string) {
	for _, cl := range f.clients {
		for _, e := range append([]*entry(nil), cl.queue...) {
			if e.task != nil && !e.done {
				f.finish(e.task, []byte(reply))
			}
		}
	}
}

// Hung tells whether the kernel knows that a client's connection has ended. The loop has not been
// told, as it stands still.
func (f *Front) Hung() bool {
	for _, cl := range f.clients {
		p := []unix.PollFd{{Fd: int32(cl.c.FD()), Events: unix.POLLRDHUP}}
		if n, _ := unix.Poll(p, 0); n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
			return true
		}
	}
	return false
}

// Advance puts the front's clock forward, on its loop.
func (f *Front) Advance(by time.Duration) { f.OnLoop(func() { f.epoch += by }) }

// Sweep looks after connections as the clock would have it.
func (f *Front) Sweep() { f.OnLoop(func() { f.sweep(f.now()) }) }

// CloseListener does what a planned end does first, once its time has come.
func (f *Front) CloseListener() {
	f.epoch += goOn
	f.sweep(f.now())
}

// PauseClients has no client's connection read.
func (f *Front) PauseClients() {
	f.OnLoop(func() {
		for _, cl := range f.clients {
			cl.c.Pause()
		}
	})
}

// Parts is how many clients have sent a part of a command.
func (f *Front) Parts() (n int) {
	for _, cl := range f.clients {
		if cl.part > 0 {
			n++
		}
	}
	return n
}

// Version is that of the list which is known.
func (f *Front) Version() int64 { return f.version }
