package eventloop

import (
	"bytes"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestOutputOfSteadyReader checks that the buffer of the output stays small while the peer reads steadily but
// never all of the output.
func TestOutputOfSteadyReader(t *testing.T) {
	const piece, kept = 1 << 10, 64 << 10
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	fd, peer := socketPair(t)
	c, err := l.Add(fd, &pausingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	text := bytes.Repeat([]byte("x"), piece)
	for c.BufferedOutput() < kept {
		c.Write(text)
	}
	drop := make([]byte, piece)
	for range 10_000 {
		if _, err := unix.Read(peer, drop); err != nil {
			t.Fatal(err)
		}
		c.flush()
		for c.BufferedOutput() < kept {
			c.Write(text)
		}
		if cap(c.output) > 4*kept {
			t.Fatalf("buffer of %d bytes of output: got %d bytes, want at most %d", c.BufferedOutput(), cap(c.output), 4*kept)
		}
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

// slowHandler takes a time for each byte that it consumes.
type slowHandler struct {
	pausingHandler
	time     time.Duration
	consumed chan time.Time
}

func (h *slowHandler) OnData(*Conn, []byte) int {
	time.Sleep(h.time)
	h.consumed <- time.Now()
	return 1
}

// TestSliceEndsInTime checks that a connection whose input takes long to process leaves the loop to others
// between two parts of its input, and that no byte of it is lost.
func TestSliceEndsInTime(t *testing.T) {
	const parts = 50
	h := &slowHandler{time: time.Millisecond, consumed: make(chan time.Time, parts)}
	l := newLoop(t)
	fd, peer := socketPair(t)
	added := make(chan error, 1)
	l.Post(func() {
		_, err := l.Add(fd, h)
		added <- err
	})
	if err := <-added; err != nil {
		t.Fatal(err)
	}
	writeFD(t, peer, make([]byte, parts))
	<-h.consumed
	posted := make(chan time.Time, 1)
	l.Post(func() { posted <- time.Now() })
	other := <-posted
	after := 0
	for range parts - 1 {
		if (<-h.consumed).After(other) {
			after++
		}
	}
	if after < parts/2 {
		t.Errorf("parts of the input after another task of the loop: got %d of %d, want most of them", after, parts)
	}
}

// TestBufferPool checks that a pool returns buffers of the size that InputBufferSize tells, reuses released
// ones, and keeps a bounded number of bytes.
func TestBufferPool(t *testing.T) {
	var p bufferPool
	for _, n := range []int{smallInput + 1, 4 << 10, 4<<10 + 1, 80 << 10, 256 << 10, 300 << 10} {
		b := p.get(n)
		if len(b) != 0 || cap(b) < n || cap(b) != InputBufferSize(n) {
			t.Errorf("buffer for %d bytes: got %d bytes, want %d", n, cap(b), InputBufferSize(n))
		}
	}
	b := append(p.get(5<<10), 1)
	p.put(b)
	if reused := p.get(8 << 10); &reused[:1][0] != &b[0] {
		t.Error("a released buffer was not used again")
	}
	for range 1000 {
		p.put(make([]byte, 0, 64<<10))
	}
	p.put(make([]byte, 0, 5000))
	if p.bytes > maxPooledBytes {
		t.Errorf("bytes that the pool keeps: got %d, want at most %d", p.bytes, maxPooledBytes)
	}
}

// TestWritesAreCoalesced checks that the replies to many small messages arrive completely and in order.
func TestWritesAreCoalesced(t *testing.T) {
	const messages = 20_000
	h := &echoHandler{}
	l := newLoop(t)
	fd, peer := socketPair(t)
	added := make(chan error, 1)
	l.Post(func() {
		c, err := l.Add(fd, h)
		if err == nil {
			c.CoalesceWrites()
		}
		added <- err
	})
	if err := <-added; err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(peer, false); err != nil {
		t.Fatal(err)
	}
	want := make([]byte, messages)
	for i := range want {
		want[i] = byte(i)
	}
	go func() { _, _ = unix.Write(peer, want) }() // an error shows as missing bytes below
	var got []byte
	buffer := make([]byte, 4<<10)
	for len(got) < messages {
		n, err := unix.Read(peer, buffer)
		if err != nil || n == 0 {
			t.Fatalf("read after %d of %d bytes: got %d, error %v", len(got), messages, n, err)
		}
		got = append(got, buffer[:n]...)
	}
	if !bytes.Equal(got, want) {
		t.Error("the replies differ from the messages")
	}
}

// echoHandler replies to each byte with this byte.
type echoHandler struct{ pausingHandler }

func (h *echoHandler) OnData(c *Conn, b []byte) int {
	c.Write(b[:1])
	return 1
}
