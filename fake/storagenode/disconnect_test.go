package storagenode

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// The log has the time at which a client disconnects, even if the node has not read the body of its request yet.
// Without this time, the invariant checks would count the attempt as in flight until the node completes it.
func TestDisconnectIsLoggedWhileTheBodyIsUnread(t *testing.T) {
	const (
		serviceTime = 400 * time.Millisecond
		bodyBytes   = 2000
	)
	d := NewDataset("")
	d.AddBucket("photos", time.Now())
	for _, link := range []float64{0, 1e9} {
		n := startNode(t, d, Config{ID: "a", Cores: 1, Queue: 4, PerUnit: serviceTime, Link: link})
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "PUT /photos/k HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, make([]byte, bodyBytes))
		waitFor(t, func() bool { return len(n.Log()) == 1 })
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
		waitFor(t, n.Idle)
		e := n.Log()[0]
		if e.Disconnected == 0 || e.Disconnected > e.Ended-serviceTime/4 {
			t.Errorf("link rate %g: got a disconnection at %v and the end at %v, want the disconnection at least "+
				"100ms before the end", link, e.Disconnected, e.Ended)
		}
	}
}

// waitFor waits until a condition holds, and fails the test after 10 seconds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the awaited condition does not hold after 10 s")
		}
	}
}
