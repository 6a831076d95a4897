package modelcheck

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// A replay is a text file. Its first line has the name and the version of the format, and its
// second line names the scenario. Each further line has one move. Play ignores empty
// lines, and the rest of a line after a #. Replays are stored, so the format and its words must
// not change.
const (
	replayFormat  = "chalkstand-explore"
	replayVersion = "1"
)

var errNoScenario = errors.New("the replay ends before its scenario is named")

// ReplayError describes a line of a replay that cannot be executed.
type ReplayError struct {
	Line int // line number, starting at 1
	Err  error
}

func (e *ReplayError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the reason why the line cannot be executed.
func (e *ReplayError) Unwrap() error { return e.Err }

// WriteReplay writes the moves of a path as a replay of the scenario.
func WriteReplay(out io.Writer, s Scenario, path []Move) error {
	w := newWorld(&s)
	if _, err := fmt.Fprintf(out, "%s %s\nscenario %s\n", replayFormat, replayVersion, s.Name); err != nil {
		return err
	}
	for _, m := range path {
		if _, err := fmt.Fprintln(out, w.moveText(m)); err != nil {
			return err
		}
		w.apply(m)
	}
	return nil
}

// WriteGoTest writes the Go source of a test of this package. The test executes the path, which
// violates a rule, and fails until the violation is fixed.
func WriteGoTest(out io.Writer, s Scenario, path []Move, v *Violation) error {
	var replay strings.Builder
	if err := WriteReplay(&replay, s, path); err != nil {
		return err
	}
	name := strings.ToUpper(s.Name[:1]) + s.Name[1:]
	_, err := fmt.Fprintf(out, `// %s: %s
func Test%s%d(t *testing.T) {
	v, err := Play(strings.NewReader(%s), t.Logf)
	if err != nil || v != nil {
		t.Fatal(v, err)
	}
}
`, v.Rule, v.Message, name, len(path), "`"+replay.String()+"`")
	return err
}

// Play executes a replay and returns the violation that the moves lead to, or nil. If log is not
// nil, Play logs each move and the actions that follow from it. Play returns a *ReplayError for
// a move that cannot happen, and for a line that names an unknown scenario, move, request,
// connection or node.
func Play(in io.Reader, log func(format string, args ...any)) (*Violation, error) {
	return (&replayExecutor{log: log}).execute(in)
}

// replayExecutor executes one replay.
type replayExecutor struct {
	log        func(format string, args ...any)
	beforeMove func(line int, m Move) // called before each move, unless nil
	afterMove  func()                 // called after each move, unless nil

	headerRead bool
	world      *World // nil until the executor has read the scenario line
}

func (e *replayExecutor) execute(in io.Reader) (*Violation, error) {
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := e.executeLine(number, words); err != nil {
			return nil, &ReplayError{Line: number, Err: err}
		}
		if e.world != nil && e.world.checker.violation != nil {
			return e.world.checker.violation, nil
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if e.world == nil {
		return nil, errNoScenario
	}
	if len(e.world.enabledMoves(false)) == 0 {
		e.world.checkEnd()
	}
	return e.world.checker.violation, nil
}

func (e *replayExecutor) executeLine(number int, words []string) error {
	switch {
	case !e.headerRead:
		return e.readHeader(words)
	case e.world == nil:
		return e.readScenario(words)
	}
	m, err := e.world.parseMove(words)
	if err != nil {
		return err
	}
	if err := e.world.checkEnabled(m); err != nil {
		return err
	}
	if e.beforeMove != nil {
		e.beforeMove(number, m)
	}
	e.world.apply(m)
	if e.afterMove != nil {
		e.afterMove()
	}
	return nil
}

func (e *replayExecutor) readHeader(words []string) error {
	if expected := []string{replayFormat, replayVersion}; !slices.Equal(words, expected) {
		return fmt.Errorf("%q: expected %q", strings.Join(words, " "), strings.Join(expected, " "))
	}
	e.headerRead = true
	return nil
}

func (e *replayExecutor) readScenario(words []string) error {
	if len(words) != 2 || words[0] != "scenario" {
		return fmt.Errorf("%q: expected \"scenario NAME\"", strings.Join(words, " "))
	}
	s, err := ScenarioByName(words[1])
	if err != nil {
		return err
	}
	e.world = newWorld(&s)
	e.world.log = e.log
	return nil
}

// checkEnabled returns an error if a move cannot happen now.
func (w *World) checkEnabled(m Move) error {
	enabled := w.enabledMoves(false)
	if slices.Contains(enabled, m) {
		return nil
	}
	var names []string
	for _, e := range enabled {
		names = append(names, w.moveText(e))
	}
	return fmt.Errorf("%s cannot happen here; possible moves: %s", w.moveText(m), strings.Join(names, ", "))
}

// parseMove parses a move. words are the words of its line and must not be empty.
func (w *World) parseMove(words []string) (Move, error) {
	kind, ok := kindByName(words[0])
	if !ok {
		return Move{}, fmt.Errorf("unknown move %q: expected one of %s", words[0], strings.Join(kindNames(), ", "))
	}
	if kind.target() == noTarget {
		if len(words) != 1 {
			return Move{}, fmt.Errorf("%v: unexpected argument %q: this move takes none", kind, words[1])
		}
		return Move{Kind: kind}, nil
	}
	if len(words) != 2 {
		return Move{}, fmt.Errorf("%v: expected exactly one %v", kind, kind.target())
	}
	if kind.target() == nodeTarget {
		i := slices.IndexFunc(w.nodes, func(n node) bool { return string(n.id) == words[1] })
		if i < 0 {
			return Move{}, fmt.Errorf("%v: there is no node %q in this scenario", kind, words[1])
		}
		return Move{Kind: kind, Target: uint32(i)}, nil
	}
	n, err := strconv.ParseUint(words[1], 10, 32)
	if err != nil || n == 0 || kind.target() == requestTarget && int(n) > len(w.requests) {
		return Move{}, fmt.Errorf("%v: there is no %v %q", kind, kind.target(), words[1])
	}
	return Move{Kind: kind, Target: uint32(n)}, nil
}
