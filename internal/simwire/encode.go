package simwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// writeBufferSize is the size of the output buffer, in bytes.
const writeBufferSize = 1 << 16

// Encoder writes replies to the simulator. Only Ready returns an error: the first error of
// any write up to that call.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{bufio.NewWriterSize(w, writeBufferSize)} }

// BeginInstance names the dispatcher instance that the following actions belong to.
func (e *Encoder) BeginInstance(instance string) { e.line("BY", instance) }

// Fatal reports that the instance of the last BeginInstance call has failed.
func (e *Encoder) Fatal(text string) { e.line("FATAL", oneLine(text)) }

// Ready writes the line that ends a reply and flushes the output buffer.
func (e *Encoder) Ready() error {
	e.line("READY")
	return e.w.Flush()
}

// line writes a line of words with spaces between them. It ignores write errors because the
// bufio.Writer stores the first one and returns it from the next Flush.
func (e *Encoder) line(words ...string) {
	for i, word := range words {
		if i > 0 {
			_ = e.w.WriteByte(' ')
		}
		_, _ = e.w.WriteString(word)
	}
	_ = e.w.WriteByte('\n')
}

// Action writes an action of the instance that the last BeginInstance call named.
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

// formatTime formats a time as a number of milliseconds. It rounds up to whole microseconds,
// which are the resolution of the simulator's clock.
func formatTime(t time.Duration) string {
	microseconds := int64((t + time.Microsecond - 1) / time.Microsecond)
	return strconv.FormatFloat(float64(microseconds)/1000, 'f', -1, 64)
}

// oneLine replaces each control character with a space, so that the text fits on one line.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, s)
}
