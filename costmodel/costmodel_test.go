package costmodel

import "testing"

type operation int

const (
	get operation = iota
	put
	operations
)

func (o operation) String() string { return []string{"get", "put"}[o] }

func TestCost(t *testing.T) {
	m, err := New([]Rule[operation]{
		{Operations: []operation{get}, MaxBytes: 1 << 20, Class: 0, Units: 1, PerMiB: 2},
		{Operations: []operation{get}, Class: 1, Units: 3, PerMiB: 1, AssumedBytes: 4 << 20},
		{Operations: []operation{put}, Class: 1, Units: 2, AssumedBytes: 1},
	}, int(operations), 2, 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		op    operation
		bytes int64
		want  Cost
	}{
		{"small", get, 1 << 19, Cost{Class: 0, Units: 2}},
		{"at the rule's largest size", get, 1 << 20, Cost{Class: 0, Units: 3}},
		{"above the rule's largest size", get, 1<<20 + 1<<20, Cost{Class: 1, Units: 5}},
		{"above the model's maximum cost", get, 1 << 30, Cost{Class: 1, Units: 10}},
		{"without bytes", put, 0, Cost{Class: 1, Units: 2}},
		{"of unknown size", put, -1, Cost{Class: 1, Units: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := m.Cost(c.op, c.bytes); got != c.want {
				t.Errorf("got cost %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestInvalidRules(t *testing.T) {
	every := []operation{get, put}
	for _, c := range []struct {
		name string
		rule Rule[operation]
	}{
		{"no such class", Rule[operation]{Operations: every, Class: 1}},
		{"negative units", Rule[operation]{Operations: every, Units: -1}},
		{"negative size", Rule[operation]{Operations: every, AssumedBytes: -1}},
		{"an operation without a rule", Rule[operation]{Operations: []operation{get}}},
		{"a size without a rule", Rule[operation]{Operations: every, MaxBytes: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := New([]Rule[operation]{c.rule}, int(operations), 1, 10); err == nil {
				t.Error("New accepted an invalid rule, want an error")
			}
		})
	}
}
