package timerqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func drain(q *Queue[int], now time.Duration) []int {
	var out []int
	for {
		v, due := q.PopDue(now)
		if !due {
			return out
		}
		out = append(out, v)
	}
}

func TestOrder(t *testing.T) {
	var q Queue[int]
	for i, at := range []time.Duration{30, 10, 20, 10} {
		q.Add(at, i)
	}
	if at, ok := q.Next(); !ok || at != 10 {
		t.Errorf("next at %v, %v", at, ok)
	}
	if got := drain(&q, 20); !slices.Equal(got, []int{1, 3, 2}) {
		t.Errorf("due by 20: %v", got)
	}
	if got := drain(&q, 29); got != nil {
		t.Errorf("due by 29: %v", got)
	}
	if got := drain(&q, 30); !slices.Equal(got, []int{0}) {
		t.Errorf("due by 30: %v", got)
	}
	if _, ok := q.Next(); ok || q.Len() != 0 {
		t.Error("not empty at the end")
	}
}

func TestRemove(t *testing.T) {
	var q Queue[int]
	a, b := q.Add(1, 1), q.Add(2, 2)
	q.Remove(nil)
	q.Remove(a)
	q.Remove(a)
	if got := drain(&q, 5); !slices.Equal(got, []int{2}) {
		t.Errorf("%v", got)
	}
	q.Remove(b) // has fired
	if q.Len() != 0 || b.At() != 2 {
		t.Errorf("%d timers, at %v", q.Len(), b.At())
	}
}

// Random additions and removals fire in the order of a sorted list.
func TestAgainstSortedList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var q Queue[int]
	type entry struct {
		timer *Timer[int]
		at    time.Duration
		value int
	}
	var list []entry
	for i := range 500 {
		at := time.Duration(rng.IntN(50))
		list = append(list, entry{q.Add(at, i), at, i})
		if rng.IntN(3) == 0 {
			k := rng.IntN(len(list))
			q.Remove(list[k].timer)
			list = slices.Delete(list, k, k+1)
		}
	}
	slices.SortStableFunc(list, func(a, b entry) int { return int(a.at - b.at) })
	var want []int
	for _, e := range list {
		want = append(want, e.value)
	}
	if got := drain(&q, 50); !slices.Equal(got, want) {
		t.Errorf("%v\nwant\n%v", got, want)
	}
}
