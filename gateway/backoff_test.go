package gateway

import (
	"testing"
	"time"
)

// Clients that rest come back in the order of their times; who is taken out does not, and one
// that rests already keeps its time.
func TestRestingClients(t *testing.T) {
	var r backoffQueue
	all := make([]*clientConn, 50)
	for i := range all {
		all[i] = &clientConn{}
		r.add(all[i], time.Duration(i*37%50))
		r.add(all[i], 0)
	}
	for i := 0; i < 50; i += 3 {
		r.remove(all[i])
		r.remove(all[i])
	}
	last, n := time.Duration(-1), 0
	for c := r.popDue(49); c != nil; c = r.popDue(49) {
		if c.backoff.until < last || c.inBackoff() {
			t.Fatalf("%v after %v", c.backoff.until, last)
		}
		last = c.backoff.until
		n++
	}
	if n != 33 || r.Len() != 0 {
		t.Errorf("%d came back, %d are left", n, r.Len())
	}
}
