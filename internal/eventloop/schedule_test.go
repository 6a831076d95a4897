package eventloop

import (
	"slices"
	"testing"

	"chalkstand/fairshare"
)

// consumer is a handler that consumes all input and appends its name to log for each call of OnData. It
// signals done when it has received all expected bytes.
type consumer struct {
	name      string
	log       *[]string
	done      chan struct{}
	remaining int // expected bytes that have not arrived yet
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

// The loop shares time slices between flows by their weights, independent of the number of connections
// of each flow.
func TestSlicesByFlow(t *testing.T) {
	o := DefaultOptions
	o.Quantum = ReadSize
	o.FairShare.ByteTime = 1000 // the cost of the bytes exceeds that of the time, so timing does not affect the test
	l, err := NewLoopWithOptions(0, o)
	if err != nil {
		t.Fatal(err)
	}
	var log []string
	const crowd, slicesEach = 16, 2
	done := make(chan struct{}, crowd+1)
	add := func(name string) {
		fd, peer := socketPair(t)
		for range slicesEach { // all bytes are in the socket before the loop runs
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
		t.Fatalf("got %d slices, want slicesEach per connection", len(log))
	}
	last := slices.Index(log, "one")
	for i, name := range log {
		if name == "one" {
			last = i
		}
	}
	if last > 2*slicesEach {
		t.Errorf("the last of %d slices of flow one is number %d, want at most 2*slicesEach+1: %v", slicesEach, last+1, log)
	}
}

// recorder is a handler that sends its name on delivered for each call of OnData.
type recorder struct {
	name      string
	delivered chan string
}

func (r recorder) OnData(_ *Conn, b []byte) int { r.delivered <- r.name; return len(b) }
func (r recorder) OnDrained(*Conn)              {}
func (r recorder) OnClose(*Conn, error)         {}

// Two connections of a flow become readable at the same time. The loop serves the connection with work
// in progress first, although the bytes of the other connection arrived earlier.
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
			c.SetNewWork(i == 0)
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
		t.Errorf("first delivery: got connection %q, want \"in progress\"", first)
	}
}
