package respserver

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectcommand"
	"net/netip"
	"time"
)

// nodeConn is a connection to a storage node. It carries one request at a time.
type nodeConn struct {
	f       *Server
	id      forwarder.ConnID
	c       *eventloop.Conn
	due     time.Duration // until then it is to be open
	opened  bool
	used    bool  // it has carried a request before
	task    *task // that it carries
	written bool  // the task's last byte has left
	value   []byte
}

func (f *Server) dial(a forwarder.Dial) {
	to, err := netip.ParseAddrPort(a.Addr)
	k := &nodeConn{f: f, id: a.Conn, due: f.now() + a.Timeout}
	if err == nil {
		k.c, err = f.loop.Connect(to, k)
	}
	if err != nil {
		f.tell(forwarder.DialCompleted{Conn: a.Conn})
		return
	}
	k.c.AssignFlow(f.flows.nodes)
	f.nodes[k.id] = k
	f.dials = append(f.dials, k)
}

// OnOpen tells the forwarder that the connection is there.
func (k *nodeConn) OnOpen(*eventloop.Conn) {
	k.opened = true
	k.f.tell(forwarder.DialCompleted{Conn: k.id, OK: true})
}

// send writes a request. A connection on which something came since its last answer is of no
// use: that would be taken for the answer of this one.
func (k *nodeConn) send(t *task, a forwarder.SendRequest) {
	if k.used && !k.c.NoUnreadInput() {
		k.lose(forwarder.ConnectionLost{Conn: k.id, Stale: true})
		return
	}
	k.task, k.used = t, true
	k.f.scratch = t.cmd.AppendTo(k.f.scratch[:0], a.Deadline-k.f.now())
	k.c.Write(k.f.scratch)
	k.written = k.c.Open() && k.c.Pending() == 0
}

// lose gives up a connection.
func (k *nodeConn) lose(why forwarder.ConnectionLost) {
	delete(k.f.nodes, k.id)
	k.task = nil
	k.c.Close()
	k.f.tell(why)
}

// OnData reads an answer. It is whole before anything is made of it.
func (k *nodeConn) OnData(_ *eventloop.Conn, b []byte) int {
	if k.task == nil { // nobody has asked
		k.lose(forwarder.ConnectionLost{Conn: k.id})
		return 0
	}
	n, err := k.f.answer.Read(b)
	if err != nil {
		k.lose(forwarder.ConnectionLost{Conn: k.id})
		return 0
	}
	if n == 0 {
		return 0
	}
	value, word, ok := objectcommand.ParseReply(&k.f.answer)
	if !ok {
		k.lose(forwarder.ConnectionLost{Conn: k.id})
		return 0
	}
	reuse := n == len(b) && k.written && !k.c.PeerClosed()
	if word.Result == dispatch.ServerError {
		reuse = false // it may be noise in the form of an error
	}
	k.task, k.value = nil, value
	k.f.tell(forwarder.ResponseCompleted{Conn: k.id, Info: word, Reuse: reuse})
	k.value = nil
	return n
}

// OnDrained notes that the request's last byte has left.
func (k *nodeConn) OnDrained(*eventloop.Conn) { k.written = true }

// OnClose tells the forwarder, unless it asked for it.
func (k *nodeConn) OnClose(_ *eventloop.Conn, _ error) {
	if k.f.nodes[k.id] != k {
		return
	}
	delete(k.f.nodes, k.id)
	if !k.opened {
		k.f.tell(forwarder.DialCompleted{Conn: k.id})
		return
	}
	k.f.tell(forwarder.ConnectionLost{Conn: k.id, Unsent: k.task != nil && !k.written})
}
