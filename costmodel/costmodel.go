// Package costmodel prices requests: it maps an operation and a size in bytes to the class and
// the cost units by which the dispatcher decides. It does no I/O and keeps no state.
package costmodel

import (
	"errors"
	"fmt"
	"math"
)

// Operation is the constraint on the type that numbers operations, from 0 on.
type Operation interface {
	~int
	fmt.Stringer
}

// Rule prices a set of operations up to a size.
type Rule[O Operation] struct {
	Operations   []O
	MaxBytes     int64   // largest size that the rule applies to; 0: every size
	Class        int     // index of the request class
	Units        float64 // cost of a request without bytes
	PerMiB       float64 // additional cost of each 2^20 bytes
	AssumedBytes int64   // size where it is not known in advance
}

func (r *Rule[O]) check(classes int) error {
	if r.Class < 0 || r.Class >= classes {
		return fmt.Errorf("no class %d", r.Class)
	}
	finite := r.Units >= 0 && r.PerMiB >= 0 && !math.IsInf(r.Units+r.PerMiB, 0)
	if !finite || r.AssumedBytes < 0 || r.MaxBytes < 0 {
		return errors.New("units, per_mib, assume_bytes and max_bytes must not be negative")
	}
	return nil
}

// Model is an ordered list of rules; the first that matches applies.
type Model[O Operation] struct {
	rules    [][]Rule[O] // by operation
	maxUnits float64     // of one request
}

// Cost is the cost of a request.
type Cost struct {
	Class int
	Units float64
}

// New returns the model of a list of rules over so many operations and classes. It returns an
// error if an operation of some size has no rule, or a rule is invalid. maxUnits bounds the
// cost of one request.
func New[O Operation](rules []Rule[O], operations, classes int, maxUnits float64) (*Model[O], error) {
	m := &Model[O]{rules: make([][]Rule[O], operations), maxUnits: maxUnits}
	for i, r := range rules {
		if err := r.check(classes); err != nil {
			return nil, fmt.Errorf("rule %d: %w", i, err)
		}
		for _, op := range r.Operations {
			m.rules[op] = append(m.rules[op], r)
		}
	}
	for op, rules := range m.rules {
		if len(rules) == 0 || rules[len(rules)-1].MaxBytes != 0 {
			return nil, fmt.Errorf("no rule for %v of every size", O(op))
		}
	}
	return m, nil
}

// Cost prices an operation on a number of bytes; -1 where the size is not known.
func (m *Model[O]) Cost(op O, bytes int64) Cost {
	for i := range m.rules[op] {
		r := &m.rules[op][i]
		size := bytes
		if size < 0 {
			size = r.AssumedBytes
		}
		if r.MaxBytes != 0 && size > r.MaxBytes {
			continue
		}
		return Cost{Class: r.Class, Units: min(r.Units+r.PerMiB*float64(size)/(1<<20), m.maxUnits)}
	}
	panic("costmodel: no rule") // New has checked that the last one applies to every size
}
