// Package costmodel prices requests. It maps an operation and a size in bytes to a request
// class and a cost in units, on which the dispatcher bases its decisions. It does no I/O and
// keeps no state.
package costmodel

import (
	"errors"
	"fmt"
	"math"
)

// Operation is the type constraint for an enumeration of operations, which starts at 0.
type Operation interface {
	~int
	fmt.Stringer
}

// Rule gives the price of a set of operations up to a size.
type Rule[O Operation] struct {
	Operations   []O
	MaxBytes     int64   // largest size that the rule applies to; 0 means every size
	Class        int     // index of the request class
	Units        float64 // cost of a request without bytes
	PerMiB       float64 // additional cost of each 2^20 bytes
	AssumedBytes int64   // size that is assumed if the actual size is not known in advance
}

// check returns an error if the rule is invalid for the given number of classes.
func (r *Rule[O]) check(classes int) error {
	if r.Class < 0 || r.Class >= classes {
		return fmt.Errorf("class %d does not exist", r.Class)
	}
	finite := r.Units >= 0 && r.PerMiB >= 0 && !math.IsInf(r.Units+r.PerMiB, 0)
	if !finite || r.AssumedBytes < 0 || r.MaxBytes < 0 {
		return errors.New("units, per_mib, assume_bytes and max_bytes must be finite and not negative")
	}
	return nil
}

// Model prices operations with an ordered list of rules. The first rule that matches applies.
type Model[O Operation] struct {
	rules    [][]Rule[O] // rules of each operation, in order
	maxUnits float64     // maximum cost of one request
}

// Cost is the class and the cost of a request.
type Cost struct {
	Class int
	Units float64
}

// New returns the Model of a list of rules for the given numbers of operations and classes.
// It returns an error if a rule is invalid, or if an operation has no rule for some size. The
// cost of one request is at most maxUnits.
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
			return nil, fmt.Errorf("no rule for %v applies to every size: its last rule must have no max_bytes", O(op))
		}
	}
	return m, nil
}

// Cost returns the class and cost of an operation on a number of bytes. The number is -1 if
// the size is not known.
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
	panic("costmodel: no rule applies") // cannot happen: New checks that the last rule applies to every size
}
