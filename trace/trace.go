// Package trace records what a dispatcher heard and answered, and plays it again:
// the same settings, seed and events must give the same actions. A record is a
// zstd stream of JSON lines; one that breaks off plays up to where it broke.
package trace

import (
	"bufio"
	"chalkstand/dispatch"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Version is that of the form written here.
const Version = 1

// Writer records. Record may be called from any one goroutine at a time and does
// not block: entries wait in a bounded queue, and when that is full the record
// ends there, as one with a gap could not be played.
type Writer struct {
	queue chan entry
	done  chan struct{}
	mu    sync.Mutex
	err   error
	ended bool
}

type entry struct {
	now  time.Duration
	ev   dispatch.Event
	acts []dispatch.Action
}

// ErrFull tells that a record ended because its entries could not be written as
// fast as they came.
var ErrFull = errors.New("trace: the queue is full; the record ends here")

// NewWriter starts a record on w with a queue of so many entries.
func NewWriter(w io.Writer, cfg dispatch.Config, seed uint64, queue int) (*Writer, error) {
	z, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	enc := json.NewEncoder(z)
	if err := enc.Encode(headerRecord{Version: Version, Config: encodeConfig(&cfg), Seed: seed}); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	t := &Writer{queue: make(chan entry, queue), done: make(chan struct{})}
	go t.run(z, enc)
	return t, nil
}

// flushEvery is how many entries may be lost with a crash.
const flushEvery = 1024

func (t *Writer) run(z *zstd.Encoder, enc *json.Encoder) {
	defer close(t.done)
	n := 0
	var err error
	for e := range t.queue {
		if err == nil {
			err = enc.Encode(encodeEvent(e.now, e.ev, e.acts))
		}
		if n++; n%flushEvery == 0 && err == nil {
			err = z.Flush()
		}
	}
	t.fail(errors.Join(err, z.Close()))
}

func (t *Writer) fail(err error) {
	t.mu.Lock()
	if t.err == nil {
		t.err = err
	}
	t.mu.Unlock()
}

// Record notes an event and what was answered. The slices must not change after.
func (t *Writer) Record(now time.Duration, ev dispatch.Event, acts []dispatch.Action) {
	if t.ended {
		return
	}
	select {
	case t.queue <- entry{now, ev, acts}:
	default:
		t.ended = true
		t.fail(ErrFull)
	}
}

// Close writes what is queued. Record must not be called again.
func (t *Writer) Close() error {
	t.ended = true
	close(t.queue)
	<-t.done
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Result tells how a replay went.
type Result struct {
	Events  int
	Actions int
	Last    time.Duration // time of the last event
	Torn    bool          // the record breaks off
	Split   *Split        // where the answers differ; nil: nowhere
}

// Split is the first event whose answer differs.
type Split struct {
	Event      int
	Now        time.Duration
	What       string
	Want, Have []string
}

// maxLine bounds a line of a record, in bytes.
const maxLine = 16 << 20

// Replay plays a record on a new dispatcher.
func Replay(r io.Reader) (Result, error) {
	var res Result
	z, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
	if err != nil {
		return res, fmt.Errorf("trace: %w", err)
	}
	defer z.Close()
	sc := bufio.NewScanner(z)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	if !sc.Scan() {
		return res, fmt.Errorf("trace: no record: %w", errors.Join(sc.Err(), io.ErrUnexpectedEOF))
	}
	var h headerRecord
	if err := json.Unmarshal(sc.Bytes(), &h); err != nil {
		return res, fmt.Errorf("trace: no record: %w", err)
	}
	if h.Version != Version {
		return res, fmt.Errorf("trace: the record is of version %d, this reads %d", h.Version, Version)
	}
	d, err := dispatch.New(h.Config.decode(), h.Seed)
	if err != nil {
		return res, fmt.Errorf("trace: %w", err)
	}
	for sc.Scan() {
		var l eventRecord
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			res.Torn = true
			break
		}
		ev, err := l.event()
		if err != nil {
			return res, fmt.Errorf("trace: entry %d: %w", res.Events, err)
		}
		have := renderActions(d.Handle(l.Now, ev))
		res.Events++
		res.Actions += len(have)
		res.Last = l.Now
		if !slices.Equal(have, l.Actions) {
			res.Split = &Split{Event: res.Events, Now: l.Now, What: l.describe(), Want: l.Actions, Have: have}
			return res, nil
		}
	}
	if sc.Err() != nil {
		res.Torn = true
	}
	return res, nil
}
