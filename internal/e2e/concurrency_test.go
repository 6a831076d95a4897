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

// Clients that disconnect while their request is queued, in flight or half sent leave no request behind, and
// an incomplete body is not stored.
func TestClientDisconnects(t *testing.T) {
	const clients = 40 // more than may be in flight at once: some are queued
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
	disconnectInBody(t, site, "/photos/half", 1000, nil)      // buffered: the node gets nothing
	disconnectInBody(t, site, "/photos/half", 1<<20, arrived) // streamed
	waitUntilIdle(t, site)
	resp := site.Do(http.MethodGet, "/photos/half", nil, nil)
	checkStatus(t, "after incomplete bodies", resp, http.StatusNotFound)
	checkAttemptsAreUnique(t, site.Log())
}

// disconnectInBody sends a PUT without the second half of its body of n bytes, and closes the connection: at
// once, or when the request has reached the node if arrived is not nil.
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

// Writes of one key by two clients are executed one after the other, each of them whole.
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
					t.Errorf("%v, %v", resp, err)
				}
			}
		})
	}
	writers.Wait()
	checkWritesDoNotOverlap(t, site.Nodes[0].Log(), "/photos/k")
	got := site.Do(http.MethodGet, "/photos/k", nil, nil).Body
	if len(got) != size || bytes.Count(got, got[:1]) != len(got) {
		t.Fatal("the object is a mixture of two writes")
	}
}

// checkWritesDoNotOverlap checks a log, which is in the order of arrival.
func checkWritesDoNotOverlap(t *testing.T, log []storagenode.LogEntry, path string) {
	t.Helper()
	for i, a := range log {
		for _, b := range log[i+1:] {
			if a.Path == path && b.Path == path && b.Arrived < a.Ended {
				t.Fatalf("writes overlap: one from %v to %v, one from %v", a.Arrived, a.Ended, b.Arrived)
			}
		}
	}
}

// Draining completes the requests in flight and accepts no further connections.
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
				t.Errorf("%s, in flight when draining started: %v, %v", path, resp, err)
			}
		})
	}
	waitFor(t, "all requests in flight", func() bool { return site.Gateway.InFlight() == requests })
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
		t.Error("a connection was accepted after draining")
	}
}
