package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"chalkstand/dispatch"
)

// flushInterval is how many events are written between two flushes: at most so many are
// lost in a crash.
const flushInterval = 1024

// Writer writes a trace in a goroutine of its own, which Close awaits. Record does not
// block: events wait in a bounded queue. When the queue is full the trace ends, as a trace
// with a gap could not be replayed. Record must not be called concurrently.
type Writer struct {
	queue chan entry
	done  chan struct{}
	ended bool // used by Record and Close only

	mu  sync.Mutex
	err error // the first one
}

// entry is an event with the dispatcher's actions.
type entry struct {
	now     time.Duration
	event   dispatch.Event
	actions []dispatch.Action
}

// NewWriter starts a trace of a dispatcher with these settings and this seed. At most
// queueSize events wait to be written to w. The Writer must be closed.
func NewWriter(w io.Writer, cfg dispatch.Config, seed uint64, queueSize int) (*Writer, error) {
	z, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	enc := json.NewEncoder(z)
	if err := enc.Encode(headerRecord{Version: Version, Config: encodeConfig(&cfg), Seed: seed}); err != nil {
		return nil, fmt.Errorf("trace: writing the header: %w", err)
	}
	t := &Writer{queue: make(chan entry, queueSize), done: make(chan struct{})}
	go t.run(z, enc)
	return t, nil
}

// run writes entries until the queue is closed. After an error it discards them.
func (t *Writer) run(z *zstd.Encoder, enc *json.Encoder) {
	defer close(t.done)
	written := 0
	var err error
	for e := range t.queue {
		if err == nil {
			err = enc.Encode(encodeEvent(e.now, e.event, e.actions))
		}
		written++
		if written%flushInterval == 0 && err == nil {
			err = z.Flush()
		}
	}
	t.fail(errors.Join(err, z.Close()))
}

// fail notes an error, if it is the first one; nil is none.
func (t *Writer) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

// Record adds an event and the actions that it led to. They must not be changed later.
func (t *Writer) Record(now time.Duration, ev dispatch.Event, actions []dispatch.Action) {
	if t.ended {
		return
	}
	select {
	case t.queue <- entry{now: now, event: ev, actions: actions}:
	default:
		t.ended = true
		t.fail(ErrQueueFull)
	}
}

// Close writes what is queued and ends the trace. It returns the first error of the trace,
// which is ErrQueueFull where the trace ended early. Record must not be called after it.
func (t *Writer) Close() error {
	t.ended = true
	close(t.queue)
	<-t.done
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}
