package modelcheck

import (
	"fmt"
	"io"

	"chalkstand/forwarder"
)

// Step is a move of a replay with the request, attempt and node that it refers to. A package
// that replays the scenario outside the model checker uses it.
type Step struct {
	Line         int // line number in the replay, starting at 1
	Move         Move
	Text         string // text of the move in the replay
	Request      int    // number of the move's request or of its connection's request; 0 if there is none
	Attempt      int    // number of the attempt that the move's connection carries, starting at 0
	Node         string // node of the move's connection, or the node that discovery reports
	AttemptsSent []int  // number of attempts that each request has sent after the move
}

// Script holds the steps of a replay and the outcome of each request.
type Script struct {
	Scenario Scenario
	Steps    []Step
	Outcomes []string // outcome of each request: deliver, refuse, fail, cut, left, or "" if it has none
}

// ReadScript executes a replay and returns its script. It returns an error if the replay violates a
// rule.
func ReadScript(in io.Reader) (*Script, error) {
	script := &Script{}
	e := &replayExecutor{}
	e.beforeMove = func(line int, m Move) {
		script.Steps = append(script.Steps, e.world.step(line, m))
	}
	e.afterMove = func() {
		last := &script.Steps[len(script.Steps)-1]
		for _, r := range e.world.requests {
			last.AttemptsSent = append(last.AttemptsSent, r.attempts)
		}
	}
	violation, err := e.execute(in)
	if err != nil {
		return nil, err
	}
	if violation != nil {
		return nil, fmt.Errorf("the replay violates a rule: %v", violation)
	}
	script.Scenario = *e.world.scenario
	for _, r := range e.world.requests {
		script.Outcomes = append(script.Outcomes, r.outcome)
	}
	return script, nil
}

// step describes a move that can happen now.
func (w *World) step(line int, m Move) Step {
	s := Step{Line: line, Move: m, Text: w.moveText(m)}
	switch m.Kind.target() {
	case requestTarget:
		s.Request = int(m.Target)
	case connTarget:
		c := w.conns[forwarder.ConnID(m.Target)]
		s.Node = string(c.node)
		if c.request != nil {
			s.Request = int(c.request.id)
			s.Attempt = c.request.attempts - 1
		}
	case nodeTarget:
		s.Node = string(w.nodes[m.Target].id)
	}
	return s
}
