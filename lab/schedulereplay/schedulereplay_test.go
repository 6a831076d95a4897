package schedulereplay

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Replays of the explorer end on sockets as they end there.
func TestReplaysOnSockets(t *testing.T) {
	files, err := filepath.Glob("testdata/*.replay")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".replay"), func(t *testing.T) {
			in, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			r, err := Play(in)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(r.Ends, r.Want) || len(r.Faults) > 0 {
				t.Fatalf("ended as %v, in the explorer as %v; %v", r.Ends, r.Want, r.Faults)
			}
		})
	}
}

// What cannot be forced is refused by line.
func TestWhatCannotBeForced(t *testing.T) {
	_, err := Play(strings.NewReader("chalkstand-explore 1\nscenario leave\narrive 1\ndial-fail 1\n"))
	if err == nil || !strings.Contains(err.Error(), "line 4: dial-fail 1: cannot be forced") {
		t.Fatal(err)
	}
}

// A world that begins with what a gateway has learned cannot be had on sockets.
func TestPreparedWorldsAreRefused(t *testing.T) {
	_, err := Play(strings.NewReader("chalkstand-explore 1\nscenario lossy\narrive 4\n"))
	if err == nil || !strings.Contains(err.Error(), "history") {
		t.Error(err)
	}
}
