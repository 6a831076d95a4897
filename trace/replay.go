package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"

	"chalkstand/dispatch"
)

const (
	minLineBuffer    = 64 << 10  // initial size of the line buffer, in bytes
	maxLine          = 16 << 20  // maximum length of a line, in bytes
	maxDecoderMemory = 256 << 20 // memory limit of the zstd decoder, in bytes
)

// Result is the result of a replay.
type Result struct {
	Events     int           // number of replayed events
	Actions    int           // number of actions that the replayed events returned
	End        time.Duration // time of the last replayed event
	Truncated  bool          // whether the end of the trace is missing or unreadable
	Divergence *Divergence   // first difference; nil if all actions match
}

// Divergence describes the first event whose replayed actions differ from the recorded ones.
type Divergence struct {
	Event     int           // number of the event; the first event has number 1
	At        time.Duration // time of the event
	EventText string        // event as a JSON object
	Recorded  []string      // actions in the trace
	Replayed  []string      // actions that the replay returned
}

// Replay replays a trace on a new dispatcher and stops at the first event whose actions
// differ from the recorded ones. The returned error may wrap ErrInvalidHeader or a
// *VersionError.
func Replay(r io.Reader) (Result, error) {
	res, err := replay(r)
	if err != nil {
		return res, fmt.Errorf("trace: %w", err)
	}
	return res, nil
}

func replay(r io.Reader) (Result, error) {
	var res Result
	z, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory))
	if err != nil {
		return res, err
	}
	defer z.Close()
	lines := bufio.NewScanner(z)
	lines.Buffer(make([]byte, minLineBuffer), maxLine)
	h, err := readHeader(lines)
	if err != nil {
		return res, err
	}
	d, err := dispatch.New(h.Config.decode(), h.Seed)
	if err != nil {
		return res, err
	}
	for lines.Scan() {
		var record eventRecord
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			res.Truncated = true
			return res, nil
		}
		if err := res.replayEvent(d, &record); err != nil {
			return res, fmt.Errorf("event %d: %w", res.Events, err)
		}
		if res.Divergence != nil {
			return res, nil
		}
	}
	res.Truncated = lines.Err() != nil
	return res, nil
}

func readHeader(lines *bufio.Scanner) (*headerRecord, error) {
	if !lines.Scan() {
		return nil, fmt.Errorf("%w: %w", ErrInvalidHeader, errors.Join(lines.Err(), io.ErrUnexpectedEOF))
	}
	var h headerRecord
	if err := json.Unmarshal(lines.Bytes(), &h); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidHeader, err)
	}
	if h.Version != Version {
		return nil, &VersionError{Version: h.Version}
	}
	return &h, nil
}

// replayEvent passes a recorded event to the dispatcher and updates res. If the actions
// differ from the recorded ones, replayEvent sets res.Divergence.
func (res *Result) replayEvent(d *dispatch.Dispatcher, record *eventRecord) error {
	ev, err := record.event()
	if err != nil {
		return err
	}
	actions := renderActions(d.Handle(record.Now, ev))
	res.Events++
	res.Actions += len(actions)
	res.End = record.Now
	if !slices.Equal(actions, record.Actions) {
		res.Divergence = &Divergence{
			Event:     res.Events,
			At:        record.Now,
			EventText: record.describe(),
			Recorded:  record.Actions,
			Replayed:  actions,
		}
	}
	return nil
}
