package dispatch

import (
	"testing"
	"time"
)

// heldRun feeds a dispatcher and moves time from timer to timer.
type heldRun struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Duration
	wake time.Duration
	sent map[RequestID]Attempt
	at   map[RequestID]time.Duration
	gone map[RequestID]Held // refused
}

func newHeldRun(t *testing.T, cfg Config) *heldRun {
	cfg.Peers, cfg.UsualUnits, cfg.LargestUnits, cfg.MaxRetryAfter = 1, 1, 2, time.Second
	cfg.Classes = []Class{{Aim: 10 * time.Second, Deadline: 20 * time.Second, Worth: 1}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &heldRun{t: t, d: d, wake: 1 << 62, sent: map[RequestID]Attempt{}, at: map[RequestID]time.Duration{}, gone: map[RequestID]Held{}}
	return h
}

func (h *heldRun) tell(ev Event) {
	for _, a := range h.d.Handle(h.now, ev) {
		switch a := a.(type) {
		case Attempt:
			h.sent[a.ID], h.at[a.ID] = a, h.now
		case Refuse:
			h.gone[a.ID] = a.Held
		case SetTimer:
			h.wake = min(h.wake, a.At)
		}
	}
}

func (h *heldRun) until(end time.Duration) {
	for h.wake <= end {
		h.now, h.wake = max(h.now, h.wake), 1<<62
		h.tell(Fired{Token: "wake"})
	}
	h.now = end
}

func (h *heldRun) ask(id RequestID, vol VolumeID) {
	h.tell(Request{ID: id, Volume: vol, Units: 1, Hosts: 1, Left: 20 * time.Second})
}

func (h *heldRun) end(id RequestID, s Status) {
	h.tell(Outcome{ID: id, Attempt: 0, Node: "a", Status: s, Concluded: true, Took: 20 * time.Millisecond})
}

var plain = []Plan{{Weight: 1, Reserve: 1000, Price: 1}}

func TestHeldInLine(t *testing.T) {
	h := newHeldRun(t, Config{Plans: plain})
	h.tell(NodeList{Kind: Complete, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(6) {
		h.ask(i+1, "v")
	}
	if len(h.sent) != depthMin {
		t.Fatalf("%d sent", len(h.sent))
	}
	h.until(30 * time.Millisecond)
	h.end(1, Served)
	if got := h.sent[5].Held; got != (Held{Line: 30 * time.Millisecond}) || h.sent[1].Held != (Held{}) {
		t.Fatalf("%+v", got)
	}
}

func TestHeldByALimit(t *testing.T) {
	h := newHeldRun(t, Config{Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1, Limit: 10, Burst: 4, Slack: 1}}})
	h.tell(NodeList{Kind: Complete, Nodes: []Node{{ID: "a"}}})
	h.ask(1, "v") // the limit's store starts empty
	h.until(time.Second)
	if got := h.sent[1].Held; got.Limit != h.at[1] || got.Limit < 90*time.Millisecond || got.Line != 0 {
		t.Fatalf("sent at %v, %+v", h.at[1], got)
	}
}

func TestHeldByAColdNode(t *testing.T) {
	h := newHeldRun(t, Config{Plans: plain, Cold: ColdRule{From: 0.2, WarmUp: 10 * time.Second, Multiple: 2, Span: time.Second, YoungLimit: 2}})
	h.now = time.Minute
	h.tell(NodeList{Kind: Complete, Nodes: []Node{{ID: "a", Started: h.now}}})
	for i := range RequestID(4) {
		h.ask(i+1, "v")
		h.until(h.now + 10*time.Millisecond)
	}
	h.until(h.now + 9*time.Second)
	cold := time.Duration(0)
	for id, a := range h.sent {
		if a.Held.Limit != 0 || a.Held.Suspect != 0 {
			t.Fatalf("%d: %+v", id, a.Held)
		}
		cold += a.Held.Cold
	}
	for _, g := range h.gone {
		cold += g.Cold
	}
	if cold < 50*time.Millisecond {
		t.Fatalf("%v put down to the cold node; sent %d, refused %d", cold, len(h.sent), len(h.gone))
	}
	// Once it is warm nothing is put down to that any more.
	for id := RequestID(1); id <= 4; id++ {
		if _, out := h.sent[id]; out {
			h.end(id, Served)
		}
	}
	h.until(h.now + 12*time.Second)
	for i := range RequestID(6) {
		h.ask(10+i, "v")
	}
	h.until(h.now + 30*time.Millisecond)
	h.end(10, Served)
	h.end(11, Served)
	for id := RequestID(10); id < 16; id++ {
		if a, out := h.sent[id]; !out || a.Held.Cold != 0 {
			t.Fatalf("%d at the warm node: %+v", id, h.sent[id])
		}
	}
}

// Whatever stands in the way, the parts are the time that the request was queued:
// nothing twice, nothing left out.
func TestHeldPartsSum(t *testing.T) {
	h := newHeldRun(t, Config{
		Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1, Limit: 80, Burst: 8, Slack: 1}},
		Cold:  ColdRule{From: 0.2, WarmUp: 3 * time.Second, Multiple: 2, Span: time.Second, YoungLimit: 8},
	})
	h.now = time.Minute
	h.tell(NodeList{Kind: Complete, Nodes: []Node{{ID: "a", Started: h.now}}})
	asked := map[RequestID]time.Duration{}
	for i := range RequestID(400) {
		id := i + 1
		asked[id] = h.now
		h.ask(id, VolumeID(rune('u'+i%3)))
		h.until(h.now + time.Duration(7+i%5)*time.Millisecond)
		for k := RequestID(1); k <= id; k++ { // the first that is old enough ends
			if _, out := h.sent[k]; out && h.at[k] <= h.now-25*time.Millisecond {
				s := Served
				if k%60 > 56 {
					s = TimedOut // three in a row make it suspect
				}
				a := h.sent[k]
				if got, want := a.Held.Line+a.Held.Limit+a.Held.Cold+a.Held.Suspect, h.at[k]-asked[k]; got != want {
					t.Fatalf("%d: parts %+v sum to %v, it waited %v", k, a.Held, got, want)
				}
				delete(h.sent, k)
				h.end(k, s)
				break
			}
		}
	}
	if len(h.at) < 30 {
		t.Fatalf("only %d sent", len(h.at))
	}
}
