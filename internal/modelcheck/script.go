package modelcheck

import (
	"fmt"
	"io"

	"chalkstand/forwarder"
)

// Step is a move of a replay with what it refers to, for those who replay it elsewhere.
type Step struct {
	Line         int // in the replay, from 1
	Move         Move
	Text         string // of the move
	Request      int    // its number, or that of the connection's request; 0: none
	Attempt      int    // that the connection carries
	Node         string // of the connection, or the one that discovery reports
	AttemptsSent []int  // of each request, after the move
}

// Script is a replay with the outcome of each request.
type Script struct {
	Scenario Scenario
	Steps    []Step
	Outcomes []string // by request: deliver, refuse, fail, cut, left, or "" for none
}

// ReadScript plays a replay and returns its steps. A replay that violates a rule is an error.
func ReadScript(in io.Reader) (*Script, error) {
	script := &Script{}
	p := &player{}
	p.beforeMove = func(line int, m Move) {
		script.Steps = append(script.Steps, p.world.step(line, m))
	}
	p.afterMove = func() {
		last := &script.Steps[len(script.Steps)-1]
		for _, r := range p.world.requests {
			last.AttemptsSent = append(last.AttemptsSent, r.attempts)
		}
	}
	violation, err := p.play(in)
	if err != nil {
		return nil, err
	}
	if violation != nil {
		return nil, fmt.Errorf("the replay violates a rule: %v", violation)
	}
	script.Scenario = *p.world.scenario
	for _, r := range p.world.requests {
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
