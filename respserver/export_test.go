package respserver

import (
	"time"

	"golang.org/x/sys/unix"
)

// OnLoop runs f on the front's loop and waits for it. What clients and nodes do meanwhile is in the
// kernel when the loop goes on.
func (f *Server) OnLoop(do func()) {
	done := make(chan struct{})
	f.loop.Post(func() { defer close(done); do() })
	<-done
}

// Kept is what a front keeps for requests: bytes, requests, ids.
func (f *Server) Kept() (bytes, requests, ids int) { return f.held, len(f.tasks), len(f.ids) }

// Clients is how many connections of clients there are.
func (f *Server) Clients() int { return len(f.clients) }

// Queued is how many commands of all clients are not answered yet.
func (f *Server) Queued() (n int) {
	for _, cl := range f.clients {
		n += len(cl.queue)
	}
	return n
}

// FinishAll answers all open requests, as the forwarder would.
func (f *Server) FinishAll(reply string) {
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
func (f *Server) Hung() bool {
	for _, cl := range f.clients {
		p := []unix.PollFd{{Fd: int32(cl.c.FD()), Events: unix.POLLRDHUP}}
		if n, _ := unix.Poll(p, 0); n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
			return true
		}
	}
	return false
}

// Advance puts the front's clock forward, on its loop.
func (f *Server) Advance(by time.Duration) { f.OnLoop(func() { f.epoch += by }) }

// Sweep looks after connections as the clock would have it.
func (f *Server) Sweep() { f.OnLoop(func() { f.sweep(f.now()) }) }

// CloseListener does what a planned end does first, once its time has come.
func (f *Server) CloseListener() {
	f.epoch += goOn
	f.sweep(f.now())
}

// PauseClients has no client's connection read.
func (f *Server) PauseClients() {
	f.OnLoop(func() {
		for _, cl := range f.clients {
			cl.c.Pause()
		}
	})
}

// Parts is how many clients have sent a part of a command.
func (f *Server) Parts() (n int) {
	for _, cl := range f.clients {
		if cl.part > 0 {
			n++
		}
	}
	return n
}

// Version is that of the list which is known.
func (f *Server) Version() int64 { return f.version }

// NodeConns is how many connections to nodes the forwarder holds.
func (f *Server) NodeConns() int { return f.x.Conns() }

// HeardUnseen tells whether the kernel holds bytes of a node that the loop has not read.
func (f *Server) HeardUnseen() bool {
	for _, k := range f.nodes {
		if !k.c.NoUnreadInput() {
			return true
		}
	}
	return false
}

// Command has the first client's connection read a command now, before anything else is read.
func (f *Server) Command(text string) { f.clients[0].OnData(f.clients[0].c, []byte(text)) }

// Answer has the first connection to a node that carries a request read bytes now.
func (f *Server) Answer(text string) {
	for _, k := range f.nodes {
		if k.task != nil {
			k.OnData(k.c, []byte(text))
			return
		}
	}
}

// Begun is how many requests were begun.
func (f *Server) Begun() int { return int(f.lastID) }

// Pending is how many bytes of answers the kernel has not taken.
func (f *Server) Pending() (n int) {
	for _, cl := range f.clients {
		n += cl.c.Pending()
	}
	return n
}

// Quiet tells whether nothing has come from clients that was not read.
func (f *Server) Quiet() bool {
	for _, cl := range f.clients {
		if !cl.c.NoUnreadInput() {
			return false
		}
	}
	return true
}

// NarrowClients has the kernel take few bytes of answers.
func (f *Server) NarrowClients() {
	f.OnLoop(func() {
		for _, cl := range f.clients {
			unix.SetsockoptInt(cl.c.FD(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4096)
		}
	})
}

// Watching tells whether a watch of discovery stands or is being opened.
func (f *Server) Watching() bool { return f.watch != nil }

// Ahead tells whether there is a client's connection, or none is expected yet.
func (f *Server) Ahead(first bool) (yes bool) {
	f.OnLoop(func() { yes = first || len(f.clients) > 0 })
	return yes
}

// StoppedAt is when the front was told to end.
func (f *Server) StoppedAt() time.Duration { return f.stopAt }

// MostClients is the bound on connections of clients.
func (f *Server) MostClients() int { return f.cfg.clientConns() }
