package simwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// writeBufferSize is the size of the output buffer, bytes.
const writeBufferSize = 1 << 16

// Encoder writes replies. An error of a write is returned by Ready.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{bufio.NewWriterSize(w, writeBufferSize)} }

// BeginInstance begins the actions of an instance.
func (e *Encoder) BeginInstance(instance string) { e.line("BY", instance) }

// Fatal reports a failure of the instance named last.
func (e *Encoder) Fatal(text string) { e.line("FATAL", oneLine(text)) }

// Ready ends the reply and flushes it.
func (e *Encoder) Ready() error {
	e.line("READY")
	return e.w.Flush()
}

// line writes words as a line. The writer keeps an error for the next Flush.
func (e *Encoder) line(words ...string) {
	for i, word := range words {
		if i > 0 {
			_ = e.w.WriteByte(' ')
		}
		_, _ = e.w.WriteString(word)
	}
	_ = e.w.WriteByte('\n')
}

// Action writes an action of the instance named last.
func (e *Encoder) Action(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.SendAttempt:
		e.line("FORWARD", formatID(a.ID), string(a.Node), formatTime(a.Deadline))
	case dispatch.Reject:
		e.line("TURN_AWAY", formatID(a.ID), formatTime(a.RetryAfter))
	case dispatch.Fail:
		e.line("RESPOND_ERROR", formatID(a.ID))
	case dispatch.CancelAttempt:
		e.line("REVOKE", formatID(a.ID), strconv.Itoa(a.Attempt))
	case dispatch.SetTimer:
		e.line("DEFER", formatTime(a.At), a.Token)
	case dispatch.Watch:
		on := "0"
		if a.On {
			on = "1"
		}
		e.line("TAIL", on)
	}
}

func formatID(id dispatch.RequestID) string { return strconv.FormatUint(uint64(id), 10) }

// formatTime formats milliseconds, rounded up to the simulator's microseconds.
func formatTime(t time.Duration) string {
	microseconds := int64((t + time.Microsecond - 1) / time.Microsecond)
	return strconv.FormatFloat(float64(microseconds)/1000, 'f', -1, 64)
}

// oneLine replaces control characters by spaces.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, s)
}
