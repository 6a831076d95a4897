// Package costmodel says what a request costs: it maps operations and sizes to the
// classes and units that the dispatcher decides by, as the settings list them. It does no
// I/O and keeps no state.
package costmodel

import (
	"chalkstand/internal/objectapi"
	"fmt"
	"math"
)

// Rule is one line of the tariff.
type Rule struct {
	Kinds    []objectapi.Kind
	MaxBytes int64 // it applies up to this size; 0: to all sizes
	Class    int
	Units    float64 // of a request without bytes
	PerMiB   float64 // more for each 2^20 bytes
	Assume   int64   // bytes, where the size is not known before
}

// Tariff is a list of rules; the first that fits holds.
type Tariff struct {
	byKind [][]Rule
	most   float64 // units that one request may count
}

// New checks that every operation has a rule for every size. classes is how many
// there are; most is what the largest request counts.
func New(rules []Rule, classes int, most float64) (*Tariff, error) {
	t := &Tariff{byKind: make([][]Rule, objectapi.Kinds()), most: most}
	for i, r := range rules {
		if r.Class < 0 || r.Class >= classes {
			return nil, fmt.Errorf("rule %d: no class %d", i, r.Class)
		}
		if !(r.Units >= 0) || !(r.PerMiB >= 0) || math.IsInf(r.Units+r.PerMiB, 0) || r.Assume < 0 || r.MaxBytes < 0 {
			return nil, fmt.Errorf("rule %d: units, per_mib, assume_bytes and max_bytes must not be negative", i)
		}
		for _, k := range r.Kinds {
			t.byKind[k] = append(t.byKind[k], r)
		}
	}
	for k, rs := range t.byKind {
		if len(rs) == 0 || rs[len(rs)-1].MaxBytes != 0 {
			return nil, fmt.Errorf("no rule for %v of every size", objectapi.Kind(k))
		}
	}
	return t, nil
}

// Price is what a request counts as.
type Price struct {
	Class int
	Units float64
}

// Of prices an operation of so many bytes; -1 where the size is not known.
func (t *Tariff) Of(k objectapi.Kind, bytes int64) Price {
	for _, r := range t.byKind[k] {
		n := bytes
		if n < 0 {
			n = r.Assume
		}
		if r.MaxBytes != 0 && n > r.MaxBytes {
			continue
		}
		return Price{r.Class, min(r.Units+r.PerMiB*float64(n)/(1<<20), t.most)}
	}
	panic("costmodel: no rule") // New has checked
}
