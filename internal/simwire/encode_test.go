package simwire

import (
	"bytes"
	"testing"
	"time"

	"chalkstand/dispatch"
)

func TestEncode(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.BeginInstance("dispatcher_3")
	for _, a := range []dispatch.Action{
		dispatch.SendAttempt{ID: 4068207471792580, Node: "10.18.74.7:8003", Deadline: 8492250 * time.Microsecond},
		dispatch.SendAttempt{ID: 1, Node: "n"},
		dispatch.Reject{ID: 2, RetryAfter: 50 * time.Millisecond},
		dispatch.Fail{ID: 3},
		dispatch.CancelAttempt{ID: 4, Attempt: 1},
		dispatch.SetTimer{At: 8912250001, Token: "wake"},
		dispatch.Watch{On: true},
		dispatch.Watch{},
	} {
		e.Action(a)
	}
	e.Fatal("no\nway")
	if err := e.Ready(); err != nil {
		t.Fatal(err)
	}
	want := `BY dispatcher_3
FORWARD 4068207471792580 10.18.74.7:8003 8492.25
FORWARD 1 n 0
TURN_AWAY 2 50
RESPOND_ERROR 3
REVOKE 4 1
DEFER 8912.251 wake
TAIL 1
TAIL 0
FATAL no way
READY
`
	if out.String() != want {
		t.Errorf("encoded replies: got\n%swant\n%s", out.String(), want)
	}
}
