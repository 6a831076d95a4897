package eventloop

import (
	"testing"
	"time"

	"chalkstand/fairshare"
)

// The loop shares time slices between tasks by the weights of their flows, and it stops unfinished
// tasks when it ends.
func TestTasksShareSlices(t *testing.T) {
	var clock time.Duration // the tasks advance this clock
	o := DefaultOptions
	o.Now = func() time.Duration { return clock }
	l, err := NewLoopWithOptions(0, o)
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan bool, 1)
	heavy, light := 0, 0
	l.Post(func() {
		countSlices := func(n *int, limit int) func(func() bool) {
			return func(yield func() bool) {
				for *n < limit {
					*n++
					clock += o.PollInterval
					if !yield() {
						stopped <- true
						return
					}
				}
				l.stopping = true
			}
		}
		l.RunInSlices(l.Flow("heavy", fairshare.FlowConfig{Weight: 4}, nil), countSlices(&heavy, 400))
		l.RunInSlices(l.Flow("light", fairshare.FlowConfig{Weight: 1}, nil), countSlices(&light, 1000))
	})
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if !<-stopped || light < 98 || light > 102 {
		t.Errorf("got %d slices of the light task for %d of the heavy one, want 98 to 102 and a stopped task", light, heavy)
	}
}
