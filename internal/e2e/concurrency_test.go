package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkstand/fake/storagenode"
	kit "chalkstand/internal/testkit"
)

// TestClientDisconnects checks that the gateway drops a request whose client disconnects while the request is
// queued, in flight or half sent. Incomplete bodies must not be stored.
func TestClientDisconnects(t *testing.T) {
	const clients = 40 // more than the gateway sends to a node at once, so that some requests are queued
	site := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) {
		c.Cores = 1
		c.Queue = 100
		c.PerUnit = 20 * time.Millisecond
	})
	createBucket(t, site, "photos")
	arrived := make(chan storagenode.LogEntry, 1000)
	site.Nodes[0].OnArrival(func(e storagenode.LogEntry) { arrived <- e })
	var conns []net.Conn
	for i := range clients {
		c := site.Dial()
		if err := site.NewRequest(http.MethodGet, fmt.Sprint("/photos/k", i), nil).Write(c); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	<-arrived
	for _, c := range conns {
		c.Close()
	}
	disconnectInBody(t, site, "/photos/half", 1000, nil)      // buffered by the gateway, never sent to the node
	disconnectInBody(t, site, "/photos/half", 1<<20, arrived) // streamed by the gateway to the node
	waitUntilIdle(t, site)
	resp := site.Do(http.MethodGet, "/photos/half", nil, nil)
	checkStatus(t, "GET after incomplete uploads", resp, http.StatusNotFound)
	checkAttemptsAreUnique(t, site.Log())
}

// disconnectInBody sends a PUT request with only the first half of its body of n bytes, and then closes the
// connection. If arrived is not nil, disconnectInBody first waits until the request has reached the node.
func disconnectInBody(t *testing.T, site *kit.Site, path string, n int, arrived <-chan storagenode.LogEntry) {
	t.Helper()
	text := requestText(t, site, http.MethodPut, path, strings.NewReader(strings.Repeat("x", n)))
	c := site.Dial()
	defer c.Close()
	if _, err := c.Write(text[:len(text)-n/2]); err != nil {
		t.Fatal(err)
	}
	if arrived == nil {
		return
	}
	for e := range arrived {
		if e.Path == path {
			return
		}
	}
}

// TestConcurrentWritesOfOneKeyAreSerialized checks that the node executes the writes of two clients to one key one
// after the other, and that the object always holds the whole body of one write.
func TestConcurrentWritesOfOneKeyAreSerialized(t *testing.T) {
	const size = 10_000
	site := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) {
		c.Cores = 8
		c.Queue = 100
		c.PerUnit = 2 * time.Millisecond
	})
	createBucket(t, site, "photos")
	var writers sync.WaitGroup
	for w := range 2 {
		writers.Go(func() {
			body := bytes.Repeat([]byte{byte('a' + w)}, size)
			for range 30 {
				resp, err := site.TryDo(http.MethodPut, "/photos/k", nil, bytes.NewReader(body))
				if err != nil || resp.Status != http.StatusOK {
					t.Errorf("PUT /photos/k: got response %v and error %v, want status 200", resp, err)
				}
			}
		})
	}
	writers.Wait()
	checkWritesDoNotOverlap(t, site.Nodes[0].Log(), "/photos/k")
	got := site.Do(http.MethodGet, "/photos/k", nil, nil).Body
	if len(got) != size || bytes.Count(got, got[:1]) != len(got) {
		t.Fatal("GET /photos/k: got a mixture of two writes or a wrong size, want the body of one write")
	}
}

// checkWritesDoNotOverlap checks that each write to path arrived at the node after the writes before it had ended.
// The log must be in the order of arrival.
func checkWritesDoNotOverlap(t *testing.T, log []storagenode.LogEntry, path string) {
	t.Helper()
	for i, a := range log {
		for _, b := range log[i+1:] {
			if a.Path == path && b.Path == path && b.Arrived < a.Ended {
				t.Fatalf("writes overlap: first write from %v to %v, next write from %v", a.Arrived, a.Ended, b.Arrived)
			}
		}
	}
}

// TestDrainCompletesRequestsInFlight checks that a draining gateway completes the requests in flight and accepts no
// further connections.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	const requests = 8
	site := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) {
		c.Cores = 2
		c.Queue = 100
		c.PerUnit = 30 * time.Millisecond
	})
	createBucket(t, site, "photos")
	arrived := make(chan storagenode.LogEntry, 100)
	site.Nodes[0].OnArrival(func(e storagenode.LogEntry) { arrived <- e })
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			path := fmt.Sprint("/photos/k", i)
			resp, err := site.TryDo(http.MethodPut, path, nil, strings.NewReader("x"))
			if err != nil || resp.Status != http.StatusOK {
				t.Errorf("PUT %s in flight during drain: got response %v and error %v, want status 200", path, resp, err)
			}
		})
	}
	waitFor(t, "all requests are in flight", func() bool { return site.Gateway.InFlight() == requests })
	<-arrived
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	if err := site.Gateway.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	clients.Wait()
	d := net.Dialer{Timeout: time.Second}
	if c, err := d.DialContext(t.Context(), "tcp", site.Addr); err == nil {
		c.Close()
		t.Error("dial after the drain: the gateway accepted the connection, want an error")
	}
}
