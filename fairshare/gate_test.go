package fairshare

import (
	"errors"
	"testing"
	"time"
)

func newGate(t *testing.T, c GateConfig) *Gate[int] {
	t.Helper()
	g, err := NewGate[int](c)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// A gate keeps weights where the resource behind it is the bottleneck, whatever the number of
// streams: a link that moves a quantum at a time for the streams with grants, in turn.
func TestGateKeepsWeights(t *testing.T) {
	const quantum = 64
	for _, depth := range []int{1, 2, 4} {
		g := newGate(t, GateConfig{
			Depth:           depth,
			WaitersPerGrant: 1000,
			Quantum:         quantum,
			GrantTimeout:    time.Second,
			Window:          time.Second,
			Flows:           8,
		})
		names := []string{"a", "b"}
		configs := []FlowConfig{{Weight: 4}, {Weight: 1}}
		for i, streams := range []int{4, 64} {
			for range streams {
				g.Request(0, names[i], configs[i], i)
			}
		}
		var grants []*Grant[int]
		bytes := [2]int{}
		for range 10000 {
			for grant, ok := g.NextGrant(0); ok; grant, ok = g.NextGrant(0) {
				grants = append(grants, grant)
			}
			if len(grants) != depth {
				t.Fatalf("%d grants, depth %d", len(grants), depth)
			}
			grant := grants[0]
			grants = grants[1:]
			bytes[grant.Item] += quantum
			g.Done(0, grant, quantum)
			g.Request(0, names[grant.Item], configs[grant.Item], grant.Item)
		}
		if ratio := float64(bytes[0]) / float64(bytes[1]); ratio < 3.9 || ratio > 4.1 {
			t.Errorf("depth %d: %.2f to 1, want 4", depth, ratio)
		}
	}
}

// The grant of a stream that does not move expires, and is charged in full; one that ends early is
// charged for what it moved; ending a grant twice has no effect.
func TestGrantsExpire(t *testing.T) {
	g := newGate(t, GateConfig{
		Depth:           1,
		WaitersPerGrant: 1000,
		Quantum:         1000,
		GrantTimeout:    ms,
		Window:          time.Second,
		Flows:           8,
	})
	request := func(name string, item int) { g.Request(0, name, FlowConfig{Weight: 1}, item) }
	request("slow", 1)
	slow, _ := g.NextGrant(0)
	request("b", 2)
	if _, ok := g.NextGrant(0); ok {
		t.Fatal("two grants, depth 1")
	}
	if at, ok := g.NextWake(); !ok || at != ms {
		t.Fatalf("wakes at %v, %v", at, ok)
	}
	if _, ok := g.Expired(ms - 1); ok {
		t.Fatal("expired early")
	}
	if grant, ok := g.Expired(ms); !ok || grant != slow {
		t.Fatal("the grant has not expired")
	}
	g.Done(ms, slow, 10) // has expired
	b, ok := g.NextGrant(ms)
	if !ok || b.Item != 2 || g.outstanding != 1 {
		t.Fatalf("%v, %d grants", ok, g.outstanding)
	}
	request("slow", 1)
	request("b", 2)
	g.Done(ms, b, 10)
	g.Done(ms, b, 10)
	if g.outstanding != 0 {
		t.Fatal("a grant that was ended twice counts twice")
	}
	if grant, _ := g.NextGrant(ms); grant.Item != 2 {
		t.Error("a stream that moved 10 bytes is served after one that was charged in full")
	}
	if _, ok := g.Expired(time.Hour); !ok {
		t.Error("the grant has not expired")
	}
	if _, ok := g.NextGrant(time.Hour); !ok {
		t.Error("the next stream has no grant")
	}
	if _, ok := g.Expired(2 * time.Hour); !ok || !g.Idle() || g.grants != nil {
		t.Error("not idle without grants")
	}
}

// With many waiting streams the depth grows, so that each is served soon.
func TestGateDepthGrowsWithWaiters(t *testing.T) {
	g := newGate(t, GateConfig{
		Depth:           2,
		WaitersPerGrant: 32,
		Quantum:         1000,
		GrantTimeout:    ms,
		Window:          time.Second,
		Flows:           8,
	})
	for i := range 320 {
		g.Request(0, "a", FlowConfig{Weight: 1}, i)
	}
	n := 0
	for _, ok := g.NextGrant(0); ok; _, ok = g.NextGrant(0) {
		n++
	}
	if n < 10 || n > 12 {
		t.Errorf("%d of 320 have grants, want 2 and 1 for each 32", n)
	}
}

func TestInvalidGateConfig(t *testing.T) {
	for _, test := range []struct {
		field string
		spoil func(*GateConfig)
	}{
		{"Depth", func(c *GateConfig) { c.Depth = 0 }},
		{"WaitersPerGrant", func(c *GateConfig) { c.WaitersPerGrant = 0 }},
		{"Quantum", func(c *GateConfig) { c.Quantum = 0 }},
		{"GrantTimeout", func(c *GateConfig) { c.GrantTimeout = 0 }},
		{"Window", func(c *GateConfig) { c.Window = 0 }},
	} {
		c := GateConfig{Depth: 1, WaitersPerGrant: 1, Quantum: 1, GrantTimeout: 1, Window: time.Second, Flows: 1}
		test.spoil(&c)
		_, err := NewGate[int](c)
		var configErr *ConfigError
		if !errors.As(err, &configErr) || configErr.Field != test.field {
			t.Errorf("%+v: %v, want an error of %s", c, err, test.field)
		}
	}
}
