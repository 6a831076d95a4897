package bufferlimit

import (
	"slices"
	"testing"
	"time"
)

// TestCostliest checks that a connection is chosen by the product of size and age, and that none is chosen
// if no connection holds a buffer.
func TestCostliest(t *testing.T) {
	const now = time.Second
	identity := func(u Usage) Usage { return u }
	for name, c := range map[string]struct {
		usages []Usage
		want   Usage
		ok     bool
	}{
		"none":             {},
		"no buffer":        {usages: []Usage{{Since: 0}, {Since: now}}},
		"older":            {[]Usage{{100, now / 2}, {100, now / 4}, {100, now}}, Usage{100, now / 4}, true},
		"larger":           {[]Usage{{100, now / 2}, {200, now / 2}}, Usage{200, now / 2}, true},
		"stopped, not new": {[]Usage{{65536, now}, {1000, 0}}, Usage{1000, 0}, true},
		"both new":         {[]Usage{{100, now}, {200, now}}, Usage{200, now}, true},
		"in the future":    {[]Usage{{100, 2 * now}}, Usage{100, 2 * now}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got, ok := Costliest(slices.Values(c.usages), identity, now); got != c.want || ok != c.ok {
				t.Errorf("costliest of %v: got %v, %v, want %v, %v", c.usages, got, ok, c.want, c.ok)
			}
		})
	}
}
