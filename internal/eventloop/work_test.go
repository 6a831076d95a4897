package eventloop

import (
	"chalkstand/fairshare"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Long work takes turns by the weight of its flow beside other work, ends, and is told to
// end with the loop.
func TestWorkTakesTurns(t *testing.T) {
	var clock time.Duration // moves by what work says that it took
	o := DefaultOptions
	o.Now = func() time.Duration { return clock }
	l, err := NewLoopWith(0, o)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool, 1)
	heavy, light := 0, 0
	l.Post(func() {
		slices := func(n *int, stop int) func(func() bool) {
			return func(pause func() bool) {
				for *n < stop {
					*n++
					clock += o.Slice
					if !pause() {
						ended <- true
						return
					}
				}
				l.ending = true
			}
		}
		l.RunInSlices(l.Flow("heavy", fairshare.FlowConfig{Weight: 4}, nil), slices(&heavy, 400))
		l.RunInSlices(l.Flow("light", fairshare.FlowConfig{Weight: 1}, nil), slices(&light, 1000))
	})
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if !<-ended || light < 98 || light > 102 {
		t.Errorf("%d slices beside %d", light, heavy)
	}
}

// recorder notes whose bytes are shown, in order.
type recorder struct {
	name  string
	shown chan string
}

func (r recorder) OnData(_ *Conn, b []byte) int { r.shown <- r.name; return len(b) }
func (r recorder) OnDrained(*Conn)              {}
func (r recorder) OnClose(*Conn, error)         {}

// Of two connections of a flow that can be read at the same time, what is under way goes
// first, though the other's bytes came first.
func TestUnderWayGoesFirst(t *testing.T) {
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Stop()
	shown, free := make(chan string, 2), make(chan struct{})
	var ends [2]int
	held := make(chan error)
	l.Post(func() {
		for i, name := range []string{"begins", "under way"} {
			fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
			if err == nil {
				var c *Conn
				c, err = l.Add(fds[0], recorder{name, shown})
				ends[i] = fds[1]
				c.SetStarting(i == 0)
			}
			if err != nil {
				held <- err
				return
			}
		}
		held <- nil
		<-free
	})
	if err := <-held; err != nil {
		t.Fatal(err)
	}
	for _, fd := range ends {
		defer unix.Close(fd)
		if _, err := unix.Write(fd, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	close(free)
	if first := <-shown; first != "under way" {
		t.Errorf("%s was shown first", first)
	}
}
