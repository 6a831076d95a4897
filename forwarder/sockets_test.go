package forwarder

import (
	"chalkstand/dispatch"
	"testing"
	"time"
)

// An attempt that the dispatcher gives up ends with its connection, and the next one goes out on
// another; a body that can't be sent twice waits on.
func TestGivenUpAttemptGoesOutAgain(t *testing.T) {
	for _, once := range []bool{false, true} {
		r := newRig(t, settings())
		r.node("a", 0, dispatch.Ready)
		for i := 1; i <= 4; i++ { // it is known how fast the node is
			c := r.begin(i, 0, 0, "", false)
			if i == 1 {
				r.dialed(true)
			}
			r.wait(5 * time.Millisecond)
			r.tell(ResponseCompleted{Conn: c.on, Info: served(), Reuse: true})
		}
		lost := r.begin(5, 0, 0, "", once)
		on := lost.on
		r.wait(50 * time.Millisecond)
		later := r.begin(6, 0, 0, "", false)
		r.dialed(true)
		r.wait(5 * time.Millisecond)
		r.tell(ResponseCompleted{Conn: later.on, Info: served(), Reuse: true})
		r.wait(2 * time.Millisecond)
		if gone := r.conns[on] == nil; gone == once {
			t.Fatalf("once %v: its connection closed %v", once, gone)
		}
		if want := map[bool]int{false: 2, true: 1}[once]; lost.sends != want || lost.answers != 0 {
			t.Fatalf("once %v: sent %d times, want %d; %d answers", once, lost.sends, want, lost.answers)
		}
	}
}

// A request that was not wholly written never ran: even one that must not run twice is
// sent again.
func TestUnsentNeverRan(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		r := newRig(t, settings())
		r.node("a", 0, dispatch.Ready)
		c := r.begin(1, 2, 0, "", false)
		k := r.dialed(true)
		r.drop(r.conns[k])
		r.tell(ConnectionLost{Conn: k, Unsent: unsent})
		r.wait(30 * time.Millisecond)
		if unsent {
			r.dialed(true)
		}
		if want := map[bool]int{true: 2, false: 1}[unsent]; c.sends != want {
			t.Fatalf("unsent %v: sent %d times, want %d (%#v)", unsent, c.sends, want, c.last)
		}
	}
}

// A connection that proves of no use before anything was written on it costs no attempt.
func TestStaleConnectionIsReplaced(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	var statuses []dispatch.AttemptResult
	r.x.Trace = func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if o, ok := ev.(dispatch.AttemptCompleted); ok {
			statuses = append(statuses, o.Result)
		}
	}
	one := r.begin(1, 0, 0, "", false)
	k := r.dialed(true)
	r.tell(ResponseCompleted{Conn: k, Info: served(), Reuse: true})
	two := r.begin(2, 0, 0, "", false)
	r.drop(r.conns[two.on])
	r.tell(ConnectionLost{Conn: k, Stale: true})
	r.dialed(true)
	r.tell(ResponseCompleted{Conn: two.on, Info: served(), Reuse: true})
	if one.answers != 1 || two.answers != 1 || two.on == k || len(statuses) != 2 || statuses[1] != dispatch.OK {
		t.Fatalf("answers %d and %d, ends of attempts %v", one.answers, two.answers, statuses)
	}
	// A node that drains meanwhile is sent nothing.
	three := r.begin(3, 0, 0, "", false)
	on := three.on
	r.drop(r.conns[on])
	r.node("a", 0, dispatch.Draining)
	r.tell(ConnectionLost{Conn: on, Stale: true})
	if three.sends != 1 || len(r.conns) != 0 {
		t.Fatalf("sent %d times, %d connections", three.sends, len(r.conns))
	}
}

// A connection rests after its answer, so that what still comes is seen for what it is.
func TestConnectionRests(t *testing.T) {
	cfg := settings()
	cfg.ReuseDelay = 20 * time.Millisecond
	r := newRig(t, cfg)
	r.node("a", 0, dispatch.Ready)
	r.begin(1, 0, 0, "", false)
	k := r.dialed(true)
	r.tell(ResponseCompleted{Conn: k, Info: served(), Reuse: true})
	r.now += 19 * time.Millisecond
	if c := r.begin(2, 0, 0, "", false); c.sends != 0 {
		t.Fatal("used again at once")
	}
	other := r.dialed(true)
	r.now += time.Millisecond
	if c := r.begin(3, 0, 0, "", false); c.on != k || other == k {
		t.Fatalf("on connection %d, want %d", c.on, k)
	}
}

// Connections to all nodes together are bounded: the one idle for the longest gives way, and
// where all are in use a request is not sent, which is no fault of its node.
func TestConnectionsOverAllNodes(t *testing.T) {
	cfg := settings()
	cfg.MaxConns = 2
	r := newRig(t, cfg)
	var ends []dispatch.AttemptResult
	r.x.Trace = func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if o, ok := ev.(dispatch.AttemptCompleted); ok {
			ends = append(ends, o.Result)
		}
	}
	for i, id := range []string{"a", "b", "c"} {
		r.node(id, i, dispatch.Ready)
	}
	var first ConnID
	for i := range 3 {
		c := r.begin(i, 0, i, "", false)
		k := r.dialed(true)
		if i == 0 {
			first = k
		}
		r.now += time.Millisecond
		r.tell(ResponseCompleted{Conn: c.on, Info: served(), Reuse: true})
	}
	if r.x.Conns() != 2 || r.conns[first] != nil {
		t.Fatalf("%d connections, the oldest open: %v", r.x.Conns(), r.conns[first] != nil)
	}
	r.begin(10, 0, 1, "", false)
	r.begin(11, 0, 2, "", false)
	r.begin(12, 0, 0, "", false)
	if last := ends[len(ends)-1]; r.x.Conns() != 2 || last != dispatch.NotSent {
		t.Fatalf("%d connections, the attempt ended with %d", r.x.Conns(), last)
	}
}
