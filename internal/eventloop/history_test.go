package eventloop

import (
	"chalkstand/fairshare"
	"testing"
	"time"
)

// Who had the loop during a wait is told by flow, also where the wait began in the middle of
// a stretch of turns, and no more than was waited.
func TestBehindTellsWhoHadTheLoop(t *testing.T) {
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Stop()
	a, b := l.sched.Flow(0, "a", fairshare.FlowConfig{}, nil), l.sched.Flow(0, "b", fairshare.FlowConfig{}, nil)
	const us = time.Microsecond
	var h history
	h.add(a, 0, 40*us)
	h.add(a, 50*us, 110*us) // one stretch, 100 of 110 µs
	h.add(b, 110*us, 150*us)
	h.add(a, 160*us, 190*us)
	loop := &Loop{past: h, t: 200 * us}
	got := (&Conn{loop: loop, held: 145 * us}).WaitedBehind(nil)
	if len(got) != 2 || got[0] != (SliceUsage{a, 30*us + 50*us}) || got[1] != (SliceUsage{b, 40 * us}) {
		t.Errorf("%v", got)
	}
	if got := (&Conn{loop: loop}).WaitedBehind(nil); len(got) != 0 {
		t.Errorf("without a wait: %v", got)
	}
	for i := range 2 * remembered { // more turns than are remembered, of more flows than are told apart
		f := l.sched.Flow(0, string(rune('c'+i%20)), fairshare.FlowConfig{}, nil)
		loop.past.add(f, time.Duration(200+i)*us, time.Duration(201+i)*us)
		loop.t = time.Duration(201+i) * us
	}
	sum := time.Duration(0)
	got = (&Conn{loop: loop, held: loop.t}).WaitedBehind(nil)
	for _, x := range got {
		sum += x.Time
	}
	if len(got) != tellApart || sum > remembered*us {
		t.Errorf("%d flows, %v", len(got), sum)
	}
}
