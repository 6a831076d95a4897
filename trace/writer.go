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

// flushInterval is the number of events between two flushes. Apart from events that still
// wait in the queue, a crash loses at most this many events.
const flushInterval = 1024

// Writer writes a trace in a background goroutine. Record puts events into a bounded queue
// and never blocks. If the queue is full, the Writer stops recording, because a trace with a
// missing event cannot be replayed. Record and Close must not be called concurrently.
type Writer struct {
	queue chan entry
	done  chan struct{}
	ended bool // whether recording has stopped; only Record and Close use it

	mu  sync.Mutex
	err error // first error of the trace
}

// entry is an event and the actions that the dispatcher returned for it.
type entry struct {
	now     time.Duration
	event   dispatch.Event
	actions []dispatch.Action
}

// NewWriter starts a trace of a dispatcher that was created with cfg and seed. The queue
// holds at most queueSize events. The caller must call Close on the returned Writer.
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

// run writes entries to the trace until the queue is closed. After a write error, run
// discards the remaining entries.
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

// fail stores err as the error of the trace if no earlier error is stored. A nil err has no
// effect.
func (t *Writer) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

// Record adds an event and the actions that the dispatcher returned for it. The caller must
// not modify the event or the actions afterwards.
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

// Close waits until all queued events are written and ends the trace. It returns the first
// error of the trace, which is ErrQueueFull if the queue was full. Record must not be called
// after Close.
func (t *Writer) Close() error {
	t.ended = true
	close(t.queue)
	<-t.done
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}
