package gateway

import (
	"testing"
	"time"
)

// TestBackoffQueue checks that connections leave the queue in the order of their retry times. A removed
// connection must not leave it, and a connection that is added again must keep its first time.
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
			t.Fatalf("popped a client due at %v after one due at %v; want ascending times and clients out of backoff", c.backoff.until, last)
		}
		last = c.backoff.until
		n++
	}
	if n != 33 || q.Len() != 0 {
		t.Errorf("clients popped = %d, clients still queued = %d, want 33 and 0", n, q.Len())
	}
}
