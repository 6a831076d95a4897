package gateway

import (
	"testing"
	"time"
)

// Clients leave backoff in the order of their times; a removed one does not, and one that is in
// backoff already keeps its time.
func TestBackoffQueue(t *testing.T) {
	var q backoffQueue
	all := make([]*clientConn, 50)
	for i := range all {
		all[i] = &clientConn{}
		q.add(all[i], time.Duration(i*37%50))
		q.add(all[i], 0)
	}
	for i := 0; i < 50; i += 3 {
		q.remove(all[i])
		q.remove(all[i])
	}
	last := time.Duration(-1)
	n := 0
	for c := q.popDue(49); c != nil; c = q.popDue(49) {
		if c.backoff.until < last || c.inBackoff() {
			t.Fatalf("%v after %v", c.backoff.until, last)
		}
		last = c.backoff.until
		n++
	}
	if n != 33 || q.Len() != 0 {
		t.Errorf("%d left backoff, %d are in it", n, q.Len())
	}
}
