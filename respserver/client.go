package respserver

import (
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectcommand"
	"chalkstand/internal/resp"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// client is a connection from a client. Its commands run side by side; answers leave in
// the order of the commands.
type client struct {
	f     *Server
	c     *eventloop.Conn
	queue []*entry // commands that are not answered yet, the oldest first
	born  time.Duration
	last  time.Duration // something was asked or answered
	heard time.Duration // the last bytes came
	spoke bool          // a whole command has come
	part  time.Duration // since when a command has begun and not ended; 0: none
	bad   int           // commands that were answered with an error
	final bool          // at a planned end: nothing more is read, and our side ends once all is answered
	dead  bool          // no command is begun any more: what still comes is thrown away
	ended bool          // our side, at
	endAt time.Duration
}

// entry is the place of an answer.
type entry struct {
	task  *task // that is to bring it; nil: it was there at once
	done  bool
	reply []byte
}

// Bounds of a client's connection.
const (
	maxOpen    = 64                      // commands that are not answered yet
	maxPending = 128 << 10               // bytes that wait to be written, then nothing more is read
	mostBad    = 16                      // commands answered with an error, then it is closed
	silentFor  = 2500 * time.Millisecond // without a byte, where no whole command has come or one has begun
	partFor    = 10 * time.Second        // from a command's first byte to its last: some clients write slowly
	stuckFor   = 10 * time.Second        // an answer that its client does not read
	idleFor    = 2 * time.Second         // without an open request
	youngest   = 50 * time.Millisecond   // idle for so long, it may be closed for another
	lingerFor  = 500 * time.Millisecond  // after the last answer, for what is still on its way
)

func (f *Server) accept(fd int, _ unix.Sockaddr) {
	for len(f.clients) >= f.cfg.roomyClients() && f.makeRoom(youngest) {
	}
	if len(f.clients) >= f.cfg.clientConns() && !f.makeRoom(0) {
		unix.Close(fd)
		return
	}
	cl := &client{f: f, born: f.now()}
	cl.last, cl.heard = cl.born, cl.born
	c, err := f.loop.Add(fd, cl)
	if err != nil {
		return // the loop has closed it
	}
	cl.c = c
	c.AssignFlow(f.flows.clients)
	f.clients = append(f.clients, cl)
}

// makeRoom closes the connection that has been without use for the longest: first those that
// have never said anything, then those on which no request is open and nothing has come. It
// costs a client that asks again a new connection, so those used just now are left where
// there are descriptors.
func (f *Server) makeRoom(youngest time.Duration) bool {
	var worst *client
	now := f.now()
	for _, cl := range f.clients {
		before := worst == nil || worst.spoke && !cl.spoke || worst.spoke == cl.spoke && cl.last < worst.last
		if before && !(cl.spoke && now-cl.last < youngest) && cl.unused() {
			worst = cl
		}
	}
	if worst == nil {
		return false
	}
	worst.c.Close()
	return true
}

// unused tells whether the connection can be closed without harm: nothing is open on it,
// all that was answered has left, and nothing has come. It asks the kernel last.
func (cl *client) unused() bool {
	return len(cl.queue) == 0 && cl.c.Pending() == 0 && cl.c.NoUnreadInput()
}

// OnData takes commands. What comes on a dead connection is thrown away, a read each sweep: at full
// speed it would take the core from others.
func (cl *client) OnData(c *eventloop.Conn, b []byte) int {
	cl.heard = cl.f.now()
	if cl.dead {
		c.Pause()
		return len(b)
	}
	words, n, err := resp.Command(b, cl.f.words[:0])
	if err != nil {
		cl.refuseAll("ERR Protocol error: " + err.Error())
		return len(b)
	}
	if n == 0 {
		if cl.part == 0 {
			cl.part = cl.heard
		}
		return 0
	}
	cl.f.words = words[:0]
	cl.spoke, cl.part, cl.last = true, 0, cl.heard
	cl.command(words)
	if c.Pending() > maxPending {
		c.Pause()
	}
	return n
}

// refuseAll ends a connection of which nothing more can be understood: what was taken is
// answered, then the error follows.
func (cl *client) refuseAll(text string) {
	cl.say(resp.ErrorReply, text)
	cl.dead = true
	cl.c.Pause()
	cl.endIfDone()
}

// finish lets the connection end once all that was read is answered. What comes from here on is not
// begun: its client sends it once more on another connection.
func (cl *client) finish() {
	cl.final = true
	cl.c.Pause()
	cl.endIfDone()
}

func (cl *client) command(words [][]byte) {
	switch name := words[0]; {
	case objectcommand.IsObjectCommand(name):
		cl.object(words)
	case objectcommand.HasName(name, "PING"):
		cl.say(resp.SimpleString, "PONG")
	case objectcommand.HasName(name, "CLIENT"), objectcommand.HasName(name, "SELECT"):
		cl.say(resp.SimpleString, "OK")
	default:
		cl.wrong("ERR unknown command: expected OBJ.GET, OBJ.PUT or PING")
	}
}

// wrong answers a command that is readable and can't be done. Who sends many has its
// connection closed.
func (cl *client) wrong(text string) {
	if cl.bad++; cl.bad >= mostBad {
		cl.refuseAll(text)
		return
	}
	cl.say(resp.ErrorReply, text)
}

// object takes a request.
func (cl *client) object(words [][]byte) {
	f := cl.f
	cmd, err := f.terms.Parse(words)
	if err != nil {
		cl.wrong("ERR " + err.Error())
		return
	}
	if f.ids[string(cmd.ID)] != nil {
		cl.wrong("ERR id: expected a new one, got that of an open request")
		return
	}
	size := len(cmd.Piece) + len(cmd.ID) + len(cmd.Fields) + len(cmd.Body)
	if len(cl.queue) >= maxOpen || f.held+size > f.most {
		cl.reply(f.busyAnswer(f.cfg.Settings.Choice.MaxRetryAfter))
		return
	}
	f.lastID++
	t := &task{id: f.lastID, cl: cl, cmd: cmd}
	t.entry = &entry{task: t}
	t.buf = make([]byte, 0, size)
	keep := func(b []byte) []byte {
		from := len(t.buf)
		t.buf = append(t.buf, b...)
		return t.buf[from:len(t.buf):len(t.buf)]
	}
	t.cmd.Piece, t.cmd.ID, t.cmd.Fields, t.cmd.Body = keep(cmd.Piece), keep(cmd.ID), keep(cmd.Fields), keep(cmd.Body)
	f.held += size
	f.tasks[t.id], f.ids[string(t.cmd.ID)] = t, t
	cl.queue = append(cl.queue, t.entry)
	t.cmd.Request.ID = t.id
	f.tell(forwarder.StartRequest{Request: t.cmd.Request})
}

// say answers a command with a line, in its turn.
func (cl *client) say(k resp.Kind, text string) {
	cl.f.scratch = resp.AppendLine(cl.f.scratch[:0], k, text)
	cl.reply(cl.f.scratch)
}

// reply answers the last command, in its turn.
func (cl *client) reply(b []byte) {
	if len(cl.queue) == 0 {
		cl.c.Write(b)
		return
	}
	e := &entry{}
	cl.queue = append(cl.queue, e)
	cl.answered(e, b)
}

// answered puts an answer in its place; what is at the head leaves.
func (cl *client) answered(e *entry, b []byte) {
	if e.done = true; len(cl.queue) == 0 || !cl.c.Open() {
		return // it has left, or a write has failed: OnClose takes what is in the queue
	}
	cl.last = cl.f.now()
	if cl.queue[0] != e {
		e.reply = append([]byte(nil), b...)
		cl.f.held += len(b)
		return
	}
	cl.c.Write(b)
	cl.queue = cl.queue[1:]
	for len(cl.queue) > 0 && cl.queue[0].done {
		h := cl.queue[0]
		cl.queue = cl.queue[1:]
		cl.f.held -= len(h.reply)
		cl.c.Write(h.reply)
	}
	if len(cl.queue) == 0 {
		cl.queue = nil
	}
	cl.endIfDone()
}

// endIfDone ends our side of a connection on which no further command is begun, once all is
// answered. The other side stays for a while, and what comes is thrown away: a close over unread
// bytes resets the connection and destroys what is on its way.
func (cl *client) endIfDone() {
	if (cl.dead || cl.final) && len(cl.queue) == 0 && !cl.ended {
		cl.dead, cl.ended, cl.endAt = true, true, cl.f.now()
		cl.c.CloseWrite()
	}
}

// OnDrained reads on.
func (cl *client) OnDrained(c *eventloop.Conn) {
	cl.last = cl.f.now()
	if cl.ended {
		cl.endAt = cl.last
	}
	if c.Paused() && !cl.dead && !cl.final {
		c.Resume()
	}
}

// OnPeerClosed closes the connection of a client that has ended its side: it has gone, and what it had
// open is not sent on. On a dead connection the error may still be on its way.
func (cl *client) OnPeerClosed(c *eventloop.Conn) {
	if !cl.dead {
		c.Close()
	}
}

// OnClose tells that the client has left with what it had open.
func (cl *client) OnClose(*eventloop.Conn, error) {
	f := cl.f
	if i := slices.Index(f.clients, cl); i >= 0 {
		f.clients[i] = f.clients[len(f.clients)-1]
		f.clients[len(f.clients)-1] = nil
		f.clients = f.clients[:len(f.clients)-1]
	}
	left := cl.queue
	cl.queue = nil
	for _, e := range left {
		if e.done {
			f.held -= len(e.reply)
		} else {
			f.forget(e.task)
			f.tell(forwarder.ClientCanceled{ID: e.task.id})
		}
	}
}

// sweep closes connections whose time has come.
func (f *Server) sweep(now time.Duration) {
	for _, cl := range slices.Clone(f.clients) {
		if cl.over(now) {
			cl.c.Close()
		} else if cl.dead {
			cl.c.Resume()
		}
	}
	if f.stopping {
		f.ends(now)
	}
}

// over tells whether a connection's time has come.
func (cl *client) over(now time.Duration) bool {
	unread := cl.c.Pending() > 0
	switch {
	case unread && now-cl.last > stuckFor && len(cl.queue) == 0: // it does not read
		return true
	case cl.ended: // all is said
		return !unread && now-cl.endAt > lingerFor
	case cl.dead || cl.final || len(cl.queue) > 0:
		return false
	case !cl.spoke || cl.part > 0: // owed a close
		return now-cl.heard > silentFor || cl.part > 0 && now-cl.part > partFor
	}
	return now-cl.last > idleFor && cl.unused()
}
