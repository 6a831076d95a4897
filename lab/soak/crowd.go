package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Times of the crowd.
const (
	crowdRedial = 50 * time.Millisecond // after a connection that could not be opened or was closed
	// badClientLimit is how long the program may keep a connection on which a request was begun and not
	// continued, or something came that is none.
	badClientLimit = 3500 * time.Millisecond
)

// badMessages are the beginnings of requests, and what is none.
var badMessages = []string{
	"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n00",
	"*4\r\n$7\r\nOBJ.GET\r\n$-5\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX-",
	"POST /photos/x HTTP/1.1\r\nContent-Length: 5, 6\r\n\r\n",
	"\x00\x01\x02\x03\r\n\r\n",
}

// idleClient holds a connection open on which nothing is sent, until ctx ends.
func (r *run) idleClient(ctx context.Context) {
	for ctx.Err() == nil {
		r.holdConn(ctx, "")
		sleep(ctx, crowdRedial)
	}
}

// badClient sends bad messages and waits for the program to close the connection, until ctx ends.
func (r *run) badClient(ctx context.Context, index int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(10_000+index)))
	for ctx.Err() == nil {
		message := badMessages[rng.IntN(len(badMessages))]
		if held := r.holdConn(ctx, message); held > badClientLimit {
			r.report(BadClientsEnd, "a connection that sent %q was kept for %v", message, held)
		}
		sleep(ctx, crowdRedial)
	}
}

// holdConn opens a connection, sends a message and waits for its end, or for that of ctx. It returns how long
// that took from the message on.
func (r *run) holdConn(ctx context.Context, message string) time.Duration {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.system.addr())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }() // nothing is lost with it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := conn.Write([]byte(message)); err != nil {
		return 0
	}
	start := time.Now()
	buffer := make([]byte, 1024)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return time.Since(start)
		}
	}
}

// canConnect reports whether a connection to an address is accepted.
func canConnect(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}
