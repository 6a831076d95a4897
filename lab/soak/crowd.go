package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Times of the idle clients and the bad clients.
const (
	extraRedialPause = 50 * time.Millisecond // pause after a failed dial or a closed connection
	// badClientLimit is the longest time for which the program may keep a connection on which a client has sent an
	// incomplete or invalid request.
	badClientLimit = 3500 * time.Millisecond
	floodTime      = 500 * time.Millisecond // time for which a client sends requests at full speed
	floodShare     = 0.3                    // share of the bad clients' connections on which they do so
)

// badMessages lists incomplete and invalid requests of both protocols.
var badMessages = []string{
	"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n00",
	"*4\r\n$7\r\nOBJ.GET\r\n$-5\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX-",
	"POST /photos/x HTTP/1.1\r\nContent-Length: 5, 6\r\n\r\n",
	"\x00\x01\x02\x03\r\n\r\n",
	"*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n0000000000000000\r\n$1\r\na\r\n$1\r\nb\r\n$65536\r\n" + strings.Repeat("x", 60<<10),
	"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 7<<10),
}

// floods lists small requests of both protocols that clients send many of at full speed.
var floods = []string{
	strings.Repeat("*1\r\n$4\r\nPING\r\n", 500),
	strings.Repeat("*4\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n", 100),
	strings.Repeat("GET /photos/x HTTP/1.1\r\nHost: a\r\n\r\n", 200),
}

// idleClient keeps a connection open without sending anything, until ctx ends. If the program closes the
// connection, idleClient opens a new one.
func (r *run) idleClient(ctx context.Context) {
	for ctx.Err() == nil {
		r.holdConn(ctx, "")
		sleep(ctx, extraRedialPause)
	}
}

// badClient repeatedly sends a bad message and waits for the program to close the connection, until ctx ends. It
// reports a violation if the program keeps a connection longer than badClientLimit.
func (r *run) badClient(ctx context.Context, index int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(10_000+index)))
	for ctx.Err() == nil {
		if rng.Float64() < floodShare {
			r.floodConn(ctx, floods[rng.IntN(len(floods))])
			continue
		}
		message := badMessages[rng.IntN(len(badMessages))]
		if held := r.holdConn(ctx, message); held > badClientLimit {
			r.report(BadClientsEnd, "a connection that sent %q was kept for %v", message, held)
		}
		sleep(ctx, extraRedialPause)
	}
}

// floodConn opens a connection, sends a message again and again at full speed for floodTime, reads whatever the
// program sends, and closes the connection with input that the program has not read.
func (r *run) floodConn(ctx context.Context, message string) {
	ctx, cancel := context.WithTimeout(ctx, floodTime)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.system.addr())
	if err != nil {
		sleep(ctx, extraRedialPause)
		return
	}
	defer func() { _ = conn.Close() }() // no data depends on this connection
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends when the connection closes
	for {
		if _, err := io.WriteString(conn, message); err != nil {
			return
		}
	}
}

// holdConn opens a connection, sends a message, and waits until the program closes the connection or ctx ends. It
// returns the time from the message to the end of the connection, or 0 if dialing or sending fails.
func (r *run) holdConn(ctx context.Context, message string) time.Duration {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.system.addr())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }() // no data depends on this connection
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

// canConnect reports whether a server accepts connections at addr.
func canConnect(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close() // no data was sent
	return true
}
