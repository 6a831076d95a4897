package modelcheck

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Paths that once violated a rule keep it now.
func TestStoredReplays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.replay")
	if err != nil || len(files) == 0 {
		t.Fatal("no replays", err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if v, err := Play(strings.NewReader(string(text)), t.Logf); v != nil || err != nil {
			t.Errorf("%s: %v %v", f, v, err)
		}
	}
}

func TestInvalidReplays(t *testing.T) {
	for _, c := range []struct {
		text string
		line int // 0: the error has none
		want string
	}{
		{"", 0, "ends before its scenario"},
		{"explore 1", 1, `line 1: "explore 1": want "chalkstand-explore 1"`},
		{"chalkstand-explore 2", 1, `line 1: "chalkstand-explore 2": want "chalkstand-explore 1"`},
		{"chalkstand-explore 1\narrive 1", 2, `line 2: "arrive 1": want "scenario NAME"`},
		{"chalkstand-explore 1\nscenario day", 2, `line 2: no scenario is called "day"`},
		{"chalkstand-explore 1\n# so\n\nscenario drain\njump", 5, `line 5: "jump": want a move, one of arrive`},
		{"chalkstand-explore 1\nscenario drain\narrive 9", 3, `line 3: arrive: there is no request "9"`},
		{"chalkstand-explore 1\nscenario drain\narrive", 3, "line 3: arrive: want one request"},
		{"chalkstand-explore 1\nscenario drain\nfire 1", 3, `line 3: fire takes nothing, not "1"`},
		{"chalkstand-explore 1\nscenario drain\ndrain z", 3, `line 3: drain: there is no node "z"`},
		{
			"chalkstand-explore 1\nscenario drain\narrive 1\nserved 1 #", 4,
			"line 4: served 1 cannot happen here; what can: arrive 2, dial-ok 1",
		},
	} {
		_, err := Play(strings.NewReader(c.text), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
		line := 0
		if invalid := (*ReplayError)(nil); errors.As(err, &invalid) {
			line = invalid.Line
		}
		if line != c.line {
			t.Errorf("%q: line %d, want %d", c.text, line, c.line)
		}
	}
}

// A path that is written as a replay can be played, and so can the test that is written.
func TestWriteReplay(t *testing.T) {
	s := scenario(t, "turn")
	path, v := Walk(s, 5, 40, nil)
	if v != nil || len(path) < 10 {
		t.Fatal(v, len(path))
	}
	var replay strings.Builder
	if err := WriteReplay(&replay, s, path); err != nil {
		t.Fatal(err)
	}
	if v, err := Play(strings.NewReader(replay.String()), nil); v != nil || err != nil {
		t.Fatal(v, err)
	}
	var source strings.Builder
	err := GoTest(&source, s, path, &Violation{Rule: ruleOrder, Message: "as an example"})
	if err != nil || !strings.Contains(source.String(), "func TestTurn") ||
		!strings.Contains(source.String(), replay.String()) {
		t.Fatal(err, source.String())
	}
}
