package simwire

import (
	"bufio"
	"chalkstand/dispatch"
	"io"
	"strconv"
	"strings"
	"time"
)

// Encoder writes replies.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an encoder to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{bufio.NewWriterSize(w, 1<<16)} }

// By begins the actions of an instance.
func (e *Encoder) By(inst string) { e.line("BY", inst) }

// Fatal declares that the decision code has failed.
func (e *Encoder) Fatal(text string) { e.line("FATAL", oneLine(text)) }

// Ready ends the reply and flushes it.
func (e *Encoder) Ready() error {
	e.line("READY")
	return e.w.Flush()
}

func (e *Encoder) line(parts ...string) {
	for i, p := range parts {
		if i > 0 {
			e.w.WriteByte(' ')
		}
		e.w.WriteString(p)
	}
	e.w.WriteByte('\n')
}

// Action writes one action of the instance named last.
func (e *Encoder) Action(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.SendAttempt:
		e.line("FORWARD", id(a.ID), string(a.Node), ms(a.Deadline))
	case dispatch.Reject:
		e.line("TURN_AWAY", id(a.ID), ms(a.RetryAfter))
	case dispatch.Fail:
		e.line("RESPOND_ERROR", id(a.ID))
	case dispatch.CancelAttempt:
		e.line("REVOKE", id(a.ID), strconv.Itoa(a.Attempt))
	case dispatch.SetTimer:
		e.line("DEFER", ms(a.At), a.Token)
	case dispatch.Watch:
		on := "0"
		if a.On {
			on = "1"
		}
		e.line("TAIL", on)
	}
}

func id(r dispatch.RequestID) string { return strconv.FormatUint(uint64(r), 10) }

// ms writes milliseconds, rounded up to the simulator's microseconds.
func ms(t time.Duration) string {
	us := int64((t + time.Microsecond - 1) / time.Microsecond)
	return strconv.FormatFloat(float64(us)/1000, 'f', -1, 64)
}

func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, s)
}
