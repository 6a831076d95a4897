package modelcheck

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestStoredReplays executes paths that violated a rule before a fix, and checks that they violate
// none now.
func TestStoredReplays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.replay")
	if err != nil || len(files) == 0 {
		t.Fatal("found no replays in testdata, error:", err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if v, err := Play(strings.NewReader(string(text)), t.Logf); v != nil || err != nil {
			t.Errorf("%s: got violation %v and error %v, want neither", f, v, err)
		}
	}
}

func TestInvalidReplays(t *testing.T) {
	for _, c := range []struct {
		text string
		line int // line number in the error; 0 if the error has none
		want string
	}{
		{"", 0, "ends before its scenario"},
		{"explore 1", 1, `line 1: "explore 1": expected "chalkstand-explore 1"`},
		{"chalkstand-explore 2", 1, `line 1: "chalkstand-explore 2": expected "chalkstand-explore 1"`},
		{"chalkstand-explore 1\narrive 1", 2, `line 2: "arrive 1": expected "scenario NAME"`},
		{"chalkstand-explore 1\nscenario day", 2, `line 2: scenario "day" does not exist`},
		{"chalkstand-explore 1\n# so\n\nscenario drain\njump", 5, `line 5: unknown move "jump": expected one of arrive`},
		{"chalkstand-explore 1\nscenario drain\narrive 9", 3, `line 3: arrive: there is no request "9"`},
		{"chalkstand-explore 1\nscenario drain\narrive", 3, "line 3: arrive: expected exactly one request"},
		{"chalkstand-explore 1\nscenario drain\nfire 1", 3, `line 3: fire: unexpected argument "1": this move takes none`},
		{"chalkstand-explore 1\nscenario drain\ndrain z", 3, `line 3: drain: there is no node "z"`},
		{
			"chalkstand-explore 1\nscenario drain\narrive 1\nserved 1 #", 4,
			"line 4: served 1 cannot happen here; possible moves: arrive 2, dial-ok 1",
		},
	} {
		_, err := Play(strings.NewReader(c.text), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("replay %q: got error %v, want one that contains %s", c.text, err, c.want)
		}
		line := 0
		if invalid := (*ReplayError)(nil); errors.As(err, &invalid) {
			line = invalid.Line
		}
		if line != c.line {
			t.Errorf("replay %q: got an error at line %d, want line %d", c.text, line, c.line)
		}
	}
}

// TestWriteReplay checks that Play accepts a replay from WriteReplay, and that WriteGoTest writes the
// source of a test with the same replay.
func TestWriteReplay(t *testing.T) {
	s := scenario(t, "turn")
	path, v := Walk(s, 5, 40, nil)
	if v != nil || len(path) < 10 {
		t.Fatalf("random walk: got violation %v after %d moves, want none and at least 10 moves", v, len(path))
	}
	var replay strings.Builder
	if err := WriteReplay(&replay, s, path); err != nil {
		t.Fatal(err)
	}
	if v, err := Play(strings.NewReader(replay.String()), nil); v != nil || err != nil {
		t.Fatalf("executing the written replay: got violation %v and error %v, want neither", v, err)
	}
	var source strings.Builder
	err := WriteGoTest(&source, s, path, &Violation{Rule: ruleOrder, Message: "as an example"})
	if err != nil || !strings.Contains(source.String(), "func TestTurn") ||
		!strings.Contains(source.String(), replay.String()) {
		t.Fatalf("WriteGoTest: got error %v and the source below, want TestTurn with the replay\n%s", err, source.String())
	}
}
