package timerqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// popAllDue removes all timers that are due at or before now and returns their values in order.
func popAllDue(q *Queue[int], now time.Duration) []int {
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
		t.Errorf("Next: got due time %v and %v, want 10 and true", at, ok)
	}
	if got := popAllDue(&q, 20); !slices.Equal(got, []int{1, 3, 2}) {
		t.Errorf("values due by 20: got %v, want 1, 3 and 2", got)
	}
	if got := popAllDue(&q, 29); got != nil {
		t.Errorf("values due by 29: got %v, want none", got)
	}
	if got := popAllDue(&q, 30); !slices.Equal(got, []int{0}) {
		t.Errorf("values due by 30: got %v, want 0", got)
	}
	if _, ok := q.Next(); ok || q.Len() != 0 {
		t.Error("the queue is not empty after all timers have fired")
	}
}

func TestRemove(t *testing.T) {
	var q Queue[int]
	a, b := q.Add(1, 1), q.Add(2, 2)
	q.Remove(nil)
	q.Remove(a)
	q.Remove(a)
	if got := popAllDue(&q, 5); !slices.Equal(got, []int{2}) {
		t.Errorf("values after the removal of the first timer: got %v, want 2", got)
	}
	q.Remove(b) // b has fired, so Remove must do nothing
	if q.Len() != 0 || b.At() != 2 {
		t.Errorf("got %d pending timers and due time %v of the fired timer, want 0 and 2", q.Len(), b.At())
	}
}

// After random additions and removals, the timers fire in the order of a stably sorted list.
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
	if got := popAllDue(&q, 50); !slices.Equal(got, want) {
		t.Errorf("values in the order of firing: got\n%v\nwant\n%v", got, want)
	}
}
