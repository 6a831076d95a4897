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

// If the resource that a gate guards is the bottleneck, flows share it by weight, regardless of
// their number of streams. The resource is a simulated link that moves one quantum at a time
// for each stream with a grant, in turn.
func TestGateSharesByWeight(t *testing.T) {
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
				t.Fatalf("got %d grants, want the depth %d", len(grants), depth)
			}
			grant := grants[0]
			grants = grants[1:]
			bytes[grant.Item] += quantum
			g.Done(0, grant, quantum)
			g.Request(0, names[grant.Item], configs[grant.Item], grant.Item)
		}
		if ratio := float64(bytes[0]) / float64(bytes[1]); ratio < 3.9 || ratio > 4.1 {
			t.Errorf("depth %d: bytes of flow a by bytes of flow b = %.2f, want 4", depth, ratio)
		}
	}
}

// The grant of a stream that moves no bytes expires, and its flow is charged in full. If a
// grant ends early, the flow is charged for the moved bytes only. Ending a grant twice has
// no effect.
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
		t.Fatal("got a second grant at depth 1, want none")
	}
	if at, ok := g.NextWake(); !ok || at != ms {
		t.Fatalf("NextWake = %v, %v, want 1ms, true", at, ok)
	}
	if _, ok := g.Expired(ms - 1); ok {
		t.Fatal("grant expired before GrantTimeout")
	}
	if grant, ok := g.Expired(ms); !ok || grant != slow {
		t.Fatal("grant of the slow stream has not expired at GrantTimeout")
	}
	g.Done(ms, slow, 10) // has no effect, because the grant has expired
	b, ok := g.NextGrant(ms)
	if !ok || b.Item != 2 || g.outstanding != 1 {
		t.Fatalf("NextGrant returned %v with %d grants outstanding, want true for stream 2 with 1 outstanding",
			ok, g.outstanding)
	}
	request("slow", 1)
	request("b", 2)
	g.Done(ms, b, 10)
	g.Done(ms, b, 10)
	if g.outstanding != 0 {
		t.Fatal("grants are outstanding after a grant was ended twice, want 0")
	}
	if grant, _ := g.NextGrant(ms); grant.Item != 2 {
		t.Error("next grant is not for flow b, which moved 10 bytes, while flow slow was charged in full")
	}
	if _, ok := g.Expired(time.Hour); !ok {
		t.Error("grant has not expired after an hour")
	}
	if _, ok := g.NextGrant(time.Hour); !ok {
		t.Error("next stream got no grant after the previous grant expired")
	}
	if _, ok := g.Expired(2 * time.Hour); !ok || !g.Idle() || g.grants != nil {
		t.Error("gate is not idle after the last grant expired")
	}
}

// The depth of a gate grows with the number of waiting streams, so that each waits only for
// a limited time.
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
		t.Errorf("%d of 320 streams have grants, want 2 and 1 more for each 32 waiting streams", n)
	}
}

func TestInvalidGateConfig(t *testing.T) {
	for _, test := range []struct {
		field      string
		invalidate func(*GateConfig)
	}{
		{"Depth", func(c *GateConfig) { c.Depth = 0 }},
		{"WaitersPerGrant", func(c *GateConfig) { c.WaitersPerGrant = 0 }},
		{"Quantum", func(c *GateConfig) { c.Quantum = 0 }},
		{"GrantTimeout", func(c *GateConfig) { c.GrantTimeout = 0 }},
		{"Window", func(c *GateConfig) { c.Window = 0 }},
	} {
		c := GateConfig{Depth: 1, WaitersPerGrant: 1, Quantum: 1, GrantTimeout: 1, Window: time.Second, Flows: 1}
		test.invalidate(&c)
		_, err := NewGate[int](c)
		var configErr *ConfigError
		if !errors.As(err, &configErr) || configErr.Field != test.field {
			t.Errorf("NewGate(%+v) = error %v, want a ConfigError of %s", c, err, test.field)
		}
	}
}
