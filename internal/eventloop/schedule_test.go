package eventloop

import (
	"slices"
	"testing"

	"chalkstand/fairshare"
)

// consumer consumes all data, logs its name at each call and signals done when all that it
// expects has come.
type consumer struct {
	name      string
	log       *[]string
	done      chan struct{}
	remaining int // bytes
}

func (h *consumer) OnData(_ *Conn, b []byte) int {
	*h.log = append(*h.log, h.name)
	if h.remaining -= len(b); h.remaining <= 0 {
		h.done <- struct{}{}
	}
	return len(b)
}
func (h *consumer) OnDrained(*Conn)      {}
func (h *consumer) OnClose(*Conn, error) {}

// Time slices are shared by the weights of flows, however many connections a flow has.
func TestSlicesByFlow(t *testing.T) {
	o := DefaultOptions
	o.Quantum = ReadSize
	o.FairShare.ByteTime = 1000 // the bytes decide, not how long a slice took
	l, err := NewLoopWith(0, o)
	if err != nil {
		t.Fatal(err)
	}
	var log []string
	const crowd, slicesEach = 16, 2
	done := make(chan struct{}, crowd+1)
	add := func(name string) {
		fd, peer := socketPair(t)
		for range slicesEach { // all is there before the loop runs
			writeFD(t, peer, make([]byte, ReadSize))
		}
		h := &consumer{name: name, log: &log, done: done, remaining: slicesEach * ReadSize}
		c, err := l.Add(fd, h)
		if err != nil {
			t.Fatal(err)
		}
		c.AssignFlow(l.Flow(name, fairshare.FlowConfig{Weight: 1}, nil))
	}
	for range crowd {
		add("crowd")
	}
	add("one")
	runLoop(t, l)
	for range crowd + 1 {
		<-done
	}
	l.Stop()
	if len(log) != (crowd+1)*slicesEach {
		t.Fatalf("%d slices", len(log))
	}
	last := slices.Index(log, "one")
	for i, name := range log {
		if name == "one" {
			last = i
		}
	}
	if last > 2*slicesEach {
		t.Errorf("one beside a crowd had its last of %d slices as number %d: %v", slicesEach, last+1, log)
	}
}

// recorder sends its name when it gets data.
type recorder struct {
	name      string
	delivered chan string
}

func (r recorder) OnData(_ *Conn, b []byte) int { r.delivered <- r.name; return len(b) }
func (r recorder) OnDrained(*Conn)              {}
func (r recorder) OnClose(*Conn, error)         {}

// Of two connections of a flow that become readable at the same time, the one in progress goes
// first, though the other's bytes came first.
func TestInProgressBeforeStarting(t *testing.T) {
	l := newLoop(t)
	delivered := make(chan string, 2)
	release := make(chan struct{})
	added := make(chan error)
	var fds, peers [2]int
	for i := range fds {
		fds[i], peers[i] = socketPair(t)
	}
	l.Post(func() {
		for i, name := range []string{"starting", "in progress"} {
			c, err := l.Add(fds[i], recorder{name, delivered})
			if err != nil {
				added <- err
				return
			}
			c.SetStarting(i == 0)
		}
		added <- nil
		<-release
	})
	if err := <-added; err != nil {
		t.Fatal(err)
	}
	for _, fd := range peers {
		writeFD(t, fd, []byte("x"))
	}
	close(release)
	if first := <-delivered; first != "in progress" {
		t.Errorf("%s was delivered first", first)
	}
}
