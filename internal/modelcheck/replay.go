package modelcheck

import (
	"bufio"
	"chalkstand/forwarder"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// A replay is a text: a line with the form's name and version, a line with the
// scenario, and a move a line. Empty lines, and what follows a #, are left out.

const (
	replayForm    = "chalkstand-explore"
	replayVersion = 1
)

// ReplayError is a replay that cannot be played.
type ReplayError struct {
	Line    int
	Message string
}

func (e *ReplayError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Message) }

// WriteReplay writes a path as a replay.
func WriteReplay(out io.Writer, s Scenario, path []Move) error {
	w := newWorld(&s)
	if _, err := fmt.Fprintf(out, "%s %d\nscenario %s\n", replayForm, replayVersion, s.Name); err != nil {
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

// Play plays a replay. A move that cannot happen where it stands is an error, and so
// is what names an unknown scenario, move, request, connection or node. tell, if it
// is not nil, hears what happens.
func Play(in io.Reader, tell func(format string, args ...any)) (*Violation, error) {
	return (&player{log: tell}).play(in)
}

func (p *player) play(in io.Reader) (*Violation, error) {
	sc := bufio.NewScanner(in)
	for n := 1; sc.Scan(); n++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := p.playLine(n, f); err != nil {
			return nil, &ReplayError{n, err.Error()}
		}
		if p.world != nil && p.world.checker.violation != nil {
			return p.world.checker.violation, nil
		}
	}
	if err := sc.Err(); err != nil {
		return nil, err
	}
	if p.world == nil {
		return nil, fmt.Errorf("the replay ends before its scenario is named")
	}
	if len(p.world.enabledMoves(false)) == 0 {
		p.world.checkEnd()
	}
	return p.world.checker.violation, nil
}

type player struct {
	headerRead bool
	world      *World
	log        func(format string, args ...any)
	beforeMove func(line int, m Move) // before a move
	afterMove  func()                 // after it
}

func (p *player) playLine(n int, f []string) error {
	switch {
	case !p.headerRead:
		if len(f) != 2 || f[0] != replayForm || f[1] != strconv.Itoa(replayVersion) {
			return fmt.Errorf("%q: want %q", strings.Join(f, " "), fmt.Sprintf("%s %d", replayForm, replayVersion))
		}
		p.headerRead = true
		return nil
	case p.world == nil:
		if len(f) != 2 || f[0] != "scenario" {
			return fmt.Errorf("%q: want \"scenario NAME\"", strings.Join(f, " "))
		}
		s, err := ScenarioByName(f[1])
		if err != nil {
			return err
		}
		p.world = newWorld(&s)
		p.world.log = p.log
		return nil
	}
	m, err := p.world.parseMove(f)
	if err != nil {
		return err
	}
	able := p.world.enabledMoves(false)
	if !slices.Contains(able, m) {
		var names []string
		for _, x := range able {
			names = append(names, p.world.moveText(x))
		}
		return fmt.Errorf("%s cannot happen here; what can: %s", p.world.moveText(m), strings.Join(names, ", "))
	}
	if p.beforeMove != nil {
		p.beforeMove(n, m)
	}
	p.world.apply(m)
	if p.afterMove != nil {
		p.afterMove()
	}
	return nil
}

// parseMove reads a move.
func (w *World) parseMove(f []string) (Move, error) {
	i := slices.Index(kindNames[:], f[0])
	if i < 0 {
		return Move{}, fmt.Errorf("%q: want a move, one of %s", f[0], strings.Join(kindNames[:], ", "))
	}
	k := Kind(i)
	what := k.operand()
	if what == "" {
		if len(f) != 1 {
			return Move{}, fmt.Errorf("%v takes nothing, not %q", k, f[1])
		}
		return Move{Kind: k}, nil
	}
	if len(f) != 2 {
		return Move{}, fmt.Errorf("%v: want one %s", k, what)
	}
	if what == "node" {
		for j, n := range w.nodes {
			if string(n.id) == f[1] {
				return Move{k, uint32(j)}, nil
			}
		}
		return Move{}, fmt.Errorf("%v: there is no node %q in this scenario", k, f[1])
	}
	n, err := strconv.ParseUint(f[1], 10, 32)
	if err != nil || n == 0 || what == "request" && int(n) > len(w.requests) {
		return Move{}, fmt.Errorf("%v: there is no %s %q", k, what, f[1])
	}
	return Move{k, uint32(n)}, nil
}

// GoTest writes a path as a test of this package.
func GoTest(out io.Writer, s Scenario, path []Move, b *Violation) error {
	var text strings.Builder
	if err := WriteReplay(&text, s, path); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, `// %s: %s
func Test%s%d(t *testing.T) {
	b, err := Play(strings.NewReader(%s), t.Logf)
	if err != nil || b != nil {
		t.Fatal(b, err)
	}
}
`, b.Rule, b.Message, strings.ToUpper(s.Name[:1])+s.Name[1:], len(path), "`"+text.String()+"`")
	return err
}

// Step is a move of a replay with what it is about, for those who play it elsewhere.
type Step struct {
	Line         int
	Move         Move
	Text         string
	Request      int    // the request's number, or the one that the connection carries; 0: none
	Attempt      int    // of the request, on the connection
	Node         string // of the connection, or the node told of
	AttemptsSent []int  // attempts sent of each request after the move
}

// Script is a replay, played here, with how each request ended.
type Script struct {
	Scenario Scenario
	Steps    []Step
	Outcomes []string // by request: deliver, refuse, fail, cut, left, or "" for none
}

// ReadScript plays a replay and tells its steps.
func ReadScript(in io.Reader) (*Script, error) {
	sc := &Script{}
	p := &player{}
	p.beforeMove = func(n int, m Move) {
		s := Step{Line: n, Move: m, Text: p.world.moveText(m)}
		switch m.Kind.operand() {
		case "request":
			s.Request = int(m.Target)
		case "connection":
			k := p.world.conns[forwarder.ConnID(m.Target)]
			s.Node = string(k.node)
			if c := k.request; c != nil {
				s.Request, s.Attempt = int(c.id), c.attempts-1
			}
		case "node":
			s.Node = string(p.world.nodes[m.Target].id)
		}
		sc.Steps = append(sc.Steps, s)
	}
	p.afterMove = func() {
		s := &sc.Steps[len(sc.Steps)-1]
		for _, c := range p.world.requests {
			s.AttemptsSent = append(s.AttemptsSent, c.attempts)
		}
	}
	b, err := p.play(in)
	if err == nil && b != nil {
		err = b
	}
	if err != nil {
		return nil, err
	}
	sc.Scenario = *p.world.scenario
	for _, c := range p.world.requests {
		sc.Outcomes = append(sc.Outcomes, c.outcome)
	}
	return sc, nil
}
