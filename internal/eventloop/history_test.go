package eventloop

import (
	"testing"
	"time"

	"chalkstand/fairshare"
)

// WaitedBehind reports how long each flow used the loop during a wait, even if the wait began in the
// middle of a run. Its sum never exceeds the duration of the wait.
func TestWaitedBehind(t *testing.T) {
	l := newLoop(t)
	a := l.scheduler.Flow(0, "a", fairshare.FlowConfig{}, nil)
	b := l.scheduler.Flow(0, "b", fairshare.FlowConfig{}, nil)
	const us = time.Microsecond
	var h history
	h.add(a, 0, 40*us)
	h.add(a, 50*us, 110*us) // this slice extends the run of flow a, which then works 100 of 110 µs
	h.add(b, 110*us, 150*us)
	h.add(a, 160*us, 190*us)
	loop := &Loop{history: h, now: 200 * us}
	got := (&Conn{loop: loop, sliceWait: 145 * us}).WaitedBehind(nil)
	if len(got) != 2 || got[0] != (SliceUsage{a, 30*us + 50*us}) || got[1] != (SliceUsage{b, 40 * us}) {
		t.Errorf("got usage %v, want 80 µs for flow a and 40 µs for flow b", got)
	}
	if got := (&Conn{loop: loop}).WaitedBehind(nil); len(got) != 0 {
		t.Errorf("without a wait: got usage %v, want none", got)
	}
	for i := range 2 * historySize { // more runs than the history holds, and more flows than WaitedBehind reports
		f := l.scheduler.Flow(0, string(rune('c'+i%20)), fairshare.FlowConfig{}, nil)
		loop.history.add(f, time.Duration(200+i)*us, time.Duration(201+i)*us)
		loop.now = time.Duration(201+i) * us
	}
	sum := time.Duration(0)
	got = (&Conn{loop: loop, sliceWait: loop.now}).WaitedBehind(nil)
	for _, x := range got {
		sum += x.Time
	}
	if len(got) != maxFlowsReported || sum > historySize*us {
		t.Errorf("many runs: got %d flows and a sum of %v, want maxFlowsReported and at most historySize µs", len(got), sum)
	}
}
