package forwarder

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"testing"
	"time"
)

const ms = time.Millisecond

// Time goes to the cause that it belongs to, and a wait to those who had the places.
func TestAccountsNameTheCause(t *testing.T) {
	cfg := settings()
	cfg.MaxConnsPerNode = 16
	cfg.Attribution = true
	r := newRig(t, cfg)
	got := r.accounts
	r.node("a", 0, dispatch.Ready)
	ask := func(id, class int, vol dispatch.VolumeID, key string) *rigCall {
		r.volume = vol
		return r.begin(id, class, 0, key, false)
	}
	for i := range 4 { // a flood takes the node's places
		ask(i+1, 2, "flood", "")
		r.dialed(true)
	}
	review := ask(5, 2, "review", "")
	r.wait(30 * ms)
	r.tell(ResponseCompleted{Conn: r.calls[1].on, Info: served(), Reuse: true})
	r.wait(10 * ms)
	r.tell(ResponseCompleted{Conn: review.on, Info: served(), Reuse: true})
	e := got["review"]
	if e.Parts[attribution.QueuedBehindOthers] != 30*ms || e.Parts[attribution.NodeUnknown] != 10*ms || len(e.Behind) != 1 || e.Behind[0] != (attribution.Contribution{Volume: "flood", Time: 30 * ms}) {
		t.Fatalf("held: %+v", e)
	}
	for i := 2; i <= 4; i++ {
		r.tell(ResponseCompleted{Conn: r.calls[dispatch.RequestID(i)].on, Info: served(), Reuse: true})
	}

	first := ask(11, 1, "first", "k")
	second := ask(12, 1, "second", "k")
	r.wait(20 * ms)
	r.tell(ResponseCompleted{Conn: first.on, Info: served(), Reuse: true})
	r.tell(ResponseCompleted{Conn: second.on, Info: served(), Reuse: true})
	if e := got["second"]; e.Parts[attribution.KeyOrder] != 20*ms || e.Parts.Total() != 20*ms {
		t.Fatalf("in turn: %+v", e)
	}

	again := ask(21, 0, "again", "")
	r.wait(15 * ms)
	id := again.on
	r.drop(r.conns[id])
	r.tell(ConnectionLost{Conn: id})
	r.wait(40 * ms)
	r.tell(ResponseCompleted{Conn: again.on, Info: served(), Reuse: true})
	if e := got["again"]; e.Parts[attribution.FailedAttempts] != 15*ms || e.Parts[attribution.RetryBackoff] == 0 || e.Parts.Total() != 55*ms {
		t.Fatalf("after a lost attempt: %+v", e)
	}

	stream := ask(31, 0, "stream", "")
	r.wait(5 * ms)
	stream.headed = true
	r.tell(ResponseHeaders{Conn: stream.on, Info: served()})
	r.wait(70 * ms)
	r.tell(ResponseCompleted{Conn: stream.on, Info: served(), Reuse: true})
	if e := got["stream"]; e.Parts[attribution.NodeUnknown] != 5*ms || e.Parts[attribution.ResponseBody] != 70*ms {
		t.Fatalf("streaming: %+v", e)
	}
}
