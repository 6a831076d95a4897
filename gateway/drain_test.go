package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"chalkstand/fake/storagenode"
	kit "chalkstand/internal/testkit"
)

// earlyReturn is the time for which a test watches that Drain does not return.
const earlyReturn = 50 * time.Millisecond

// startDrain calls Drain and checks that it does not return while a client connection is busy. The
// returned function waits until Drain has returned without an error.
func startDrain(t *testing.T, site *kit.Site) (wait func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
	t.Cleanup(cancel)
	drained := make(chan error, 1)
	go func() { drained <- site.Gateway.Drain(ctx) }()
	select {
	case err := <-drained:
		t.Fatalf("Drain returned (error %v) while a client connection was busy", err)
	case <-time.After(earlyReturn):
	}
	return func() {
		t.Helper()
		if err := <-drained; err != nil {
			t.Error(err)
		}
	}
}

// waitUntil polls a condition until it holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(clientTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until ", what)
		}
	}
}

// A client is in the middle of a request's head when the gateway drains. Drain waits for the rest and
// the gateway responds. Before the fix, Drain returned at once, and the request was lost at the close.
func TestDrainWaitsForPartialHead(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	conn := kit.Dial(t, site.Addr)
	var head bytes.Buffer
	if err := site.NewRequest(http.MethodPut, "/photos", nil).Write(&head); err != nil {
		t.Fatal(err)
	}
	half := head.Len() / 2
	kit.Must(conn.Write(head.Next(half)))(t)
	waitUntil(t, "the gateway has read half of the head", func() bool { return site.Gateway.BufferedBytes() == half })
	wait := startDrain(t, site)
	kit.Must(conn.Write(head.Bytes()))(t)
	if resp := kit.ReadResponse(t, bufio.NewReader(conn)); resp.Status != http.StatusOK || !resp.Close {
		t.Errorf("got response %v, close %t, want status 200 on a connection that closes", resp, resp.Close)
	}
	wait()
}

// A client has not read the end of a response when the gateway drains. Drain waits until the kernel has
// accepted the whole response. Before the fix, Drain returned at once, and the close cut the response.
func TestDrainWaitsForUnsentResponse(t *testing.T) {
	const responseSize = 64 << 20 // far more than the kernel buffers
	site := kit.Start(t, kit.Settings(1), nil)
	client := dialTestClient(t, site.Addr, "/photos/none")
	client.sendRequest(t, kit.Secret)
	client.readResponse(t)
	site.Gateway.WriteToClients(make([]byte, responseSize))
	wait := startDrain(t, site)
	if n, err := io.Copy(io.Discard, client.reader); n != responseSize || err != nil {
		t.Errorf("read %d bytes of the response (error %v), want all %d and the end of the connection", n, err, responseSize)
	}
	wait()
}

// TestDrainAnnouncesTheClose guards against requests that are discarded because their clients cannot know that the
// connection closes: the response to a request that was in flight when the gateway began to drain must say so.
func TestDrainAnnouncesTheClose(t *testing.T) {
	s := kit.Settings(1)
	site := kit.Start(t, s, func(_ int, c *storagenode.Config) { c.PerUnit = 4 * earlyReturn })
	site.Data[0].AddBucket("photos", time.Now())
	site.Data[0].Store("photos", "small", []byte("a photo"))
	client := dialTestClient(t, site.Addr, "/photos/small")
	client.sendRequest(t, kit.Secret)
	waitUntil(t, "the request is in flight", func() bool { return site.Gateway.InFlight() == 1 })
	wait := startDrain(t, site)
	if resp := client.readResponse(t); resp.Status != http.StatusOK || !resp.Close {
		t.Errorf("got response %v, close %t, want status 200 on a connection that closes", resp, resp.Close)
	}
	wait()
}

// TestDrainAnswersTheNextRequest guards against the same loss where the head of the response was sent before the
// drain and could not announce the close: the request that the client has sent behind it still gets a response.
func TestDrainAnswersTheNextRequest(t *testing.T) {
	const size = 32 << 20 // far more than the kernel buffers
	site := kit.Start(t, kit.Settings(1), nil)
	site.Data[0].AddBucket("photos", time.Now())
	site.Data[0].Store("photos", "large", make([]byte, size))
	client := dialTestClient(t, site.Addr, "/photos/large")
	client.sendRequest(t, kit.Secret)
	resp, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	client.path = "/photos/none"
	client.sendRequest(t, kit.Secret)
	wait := startDrain(t, site)
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil || resp.Close {
		t.Errorf("first response: read %d bytes, error %v, close %t; want %d bytes of a response from before the drain",
			n, err, resp.Close, size)
	}
	if next := client.readResponse(t); next.Status != http.StatusNotFound || !next.Close {
		t.Errorf("next request: got response %v, close %t, want status 404 on a connection that closes", next, next.Close)
	}
	wait()
}
