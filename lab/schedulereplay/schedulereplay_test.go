package schedulereplay

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestReplaysOnSockets checks that requests have the same outcomes over sockets as in the model checker.
func TestReplaysOnSockets(t *testing.T) {
	files, err := filepath.Glob("testdata/*.replay")
	if err != nil || len(files) < 5 {
		t.Fatalf("replays in testdata: got %v and error %v, want at least 5 replays", files, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".replay"), func(t *testing.T) {
			in, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			r, err := Play(t.Context(), in)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(r.Outcomes, r.Expected) || len(r.Failures) > 0 {
				t.Fatalf("got outcomes %v, want those of the model checker, %v; got failures %v, want none", r.Outcomes, r.Expected, r.Failures)
			}
		})
	}
}

func TestUnsupportedMoveIsRejectedWithItsLine(t *testing.T) {
	replay := "chalkstand-explore 1\nscenario leave\narrive 1\ndial-fail 1\n"
	_, err := Play(t.Context(), strings.NewReader(replay))
	if err == nil || !strings.Contains(err.Error(), "line 4: dial-fail 1: cannot be reproduced over sockets") {
		t.Fatalf("replay with an unsupported move: got error %v, want one with its line", err)
	}
	var step *StepError
	if !errors.As(err, &step) || step.Line != 4 || !errors.Is(err, ErrUnsupported) {
		t.Errorf("got error %#v, want a StepError at line 4 that wraps ErrUnsupported", err)
	}
}

// TestScenarioWithHistoryIsRejected checks that Play rejects a scenario that begins with a history, because
// a replay does not contain the history.
func TestScenarioWithHistoryIsRejected(t *testing.T) {
	_, err := Play(t.Context(), strings.NewReader("chalkstand-explore 1\nscenario lossy\narrive 4\n"))
	if !errors.Is(err, ErrUnsupported) || !strings.Contains(err.Error(), "history") {
		t.Errorf("replay of a scenario with a history: got error %v, want ErrUnsupported that names the history", err)
	}
}
