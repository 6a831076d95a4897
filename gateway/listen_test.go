package gateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	"chalkstand/gateway"
	"chalkstand/internal/testfd"
	kit "chalkstand/internal/testkit"
)

// serveTimeout is the maximum time that Serve may take to return.
const serveTimeout = 10 * time.Second

func newTestGateway(t *testing.T) *gateway.Gateway {
	t.Helper()
	s := kit.Settings(1)
	s.EmbeddedNodes = nil
	s.Loops = 2
	return kit.Must(gateway.New(s))(t)
}

// serveInBackground runs Serve with a new listener. It returns the listener's address and a channel that
// receives the error that Serve returns.
func serveInBackground(ctx context.Context, t *testing.T, g *gateway.Gateway) (string, chan error) {
	t.Helper()
	ln := kit.Must(gateway.Listen("127.0.0.1:0"))(t)
	addr := ln.Addr().String() // read before Serve takes ownership of the listener
	returned := make(chan error, 1)
	go func() { returned <- g.Serve(ctx, ln) }()
	return addr, returned
}

// expectReturn checks that Serve returns nil within serveTimeout.
func expectReturn(t *testing.T, returned <-chan error) {
	t.Helper()
	select {
	case err := <-returned:
		if err != nil {
			t.Errorf("Serve returned %v, want nil", err)
		}
	case <-time.After(serveTimeout):
		t.Fatalf("Serve has not returned after %v", serveTimeout)
	}
}

// dialUntil opens connections to an address, one after the other, until the channel ended is closed.
func dialUntil(ctx context.Context, addr string, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		default:
		}
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Millisecond))
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n"))
		_ = conn.Close()
	}
}

// TestServeReturnsWhenClosedDuringStart calls Close at various moments while Serve starts and clients
// dial. Serve must return, and no accepted connection may stay open.
func TestServeReturnsWhenClosedDuringStart(t *testing.T) {
	const rounds = 200
	openBefore := testfd.Count(t)
	for round := range rounds {
		g := newTestGateway(t)
		addr, returned := serveInBackground(t.Context(), t, g)
		ended := make(chan struct{})
		clientEnded := make(chan struct{})
		go func() {
			defer close(clientEnded)
			dialUntil(t.Context(), addr, ended)
		}()
		time.Sleep(time.Duration(round%10) * time.Millisecond)
		if err := g.Close(); err != nil {
			t.Fatal(err)
		}
		expectReturn(t, returned)
		close(ended)
		<-clientEnded
	}
	testfd.Await(t, openBefore)
}

// TestServeClosesListenerWhenContextEnds checks that the listener is closed after the end of the context
// has made Serve return. The gateway must then be able to serve on another listener.
func TestServeClosesListenerWhenContextEnds(t *testing.T) {
	g := newTestGateway(t)
	defer g.Close()
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		addr, returned := serveInBackground(ctx, t, g)
		if status := kit.Get(t, "http://"+addr+"/").Status; status != 403 {
			t.Errorf("status of an unsigned request = %d, want 403", status)
		}
		cancel()
		expectReturn(t, returned)
		if conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr); err == nil {
			conn.Close()
			t.Error("dialing the listener after Serve returned succeeded, want an error")
		}
	}
}
