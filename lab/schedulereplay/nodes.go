package schedulereplay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"chalkstand/internal/modelcheck"
)

// node is a simulated storage node. It responds only when a move of the replay says so.
type node struct {
	listener net.Listener
}

// startNode starts a node on a free port of the loopback address.
func (e *executor) startNode(ctx context.Context, name string) error {
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n := &node{listener: ln}
	e.nodes[name] = n
	e.goroutines.Go(func() { e.acceptConns(n) })
	return nil
}

// acceptConns accepts the gateway's connections to a node until the node's listener is closed.
func (e *executor) acceptConns(n *node) {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		if !e.addAccepted(c) {
			closeConn(c)
			continue
		}
		e.goroutines.Go(func() { e.receiveAttempts(c) })
	}
}

// addAccepted records a connection that a node has accepted, so that stop can close it. It
// returns false after stop has begun.
func (e *executor) addAccepted(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.accepted = append(e.accepted, c)
	return true
}

// receiveAttempts reads the requests on a node's connection and records them as attempts. It
// sends no responses, because the moves of the replay do that.
func (e *executor) receiveAttempts(c net.Conn) {
	defer closeConn(c)
	r := bufio.NewReader(c)
	var last attempt // latest attempt on this connection; its tag is "" if there is none
	for {
		req, err := http.ReadRequest(r)
		if last.tag != "" {
			e.endAttempt(last, c)
		}
		if err != nil {
			return
		}
		last = parseAttempt(req)
		e.startAttempt(last, c)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			e.endAttempt(last, c)
			return
		}
	}
}

// parseAttempt returns the attempt that the headers of a request identify.
func parseAttempt(req *http.Request) attempt {
	parts := strings.Split(req.Header.Get("x-chalkstand-request"), "/")
	number, _ := strconv.Atoi(parts[len(parts)-1]) // the gateway always writes a valid number
	return attempt{tag: req.Header.Get("x-amz-meta-tag"), number: number}
}

// startAttempt records an attempt that a node has received.
func (e *executor) startAttempt(a attempt, c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.atNode[a] = c
	e.received[a] = true
	e.inFlight[a.tag]++
	if e.inFlight[a.tag] > 1 {
		e.failures = append(e.failures, fmt.Sprintf("request %s has two attempts in flight", a.tag))
	}
	e.changed.Broadcast()
}

// endAttempt records the end of an attempt if the connection still carries the attempt.
func (e *executor) endAttempt(a attempt, c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.atNode[a] == c {
		e.inFlight[a.tag]--
		delete(e.atNode, a)
	}
	e.changed.Broadcast()
}

// resetConn resets the connection that a move refers to.
func (e *executor) resetConn(s modelcheck.Step) error {
	c, err := e.connForStep(s)
	if err != nil {
		return err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil { // makes Close reset the connection instead of closing it gracefully
			return errors.Join(err, c.Close())
		}
	}
	return c.Close()
}

// connForStep returns the connection that a move refers to. If the move refers to a request, this is the
// connection that carries the attempt. Otherwise it is the connection that an earlier move with the same
// connection number referred to.
func (e *executor) connForStep(s modelcheck.Step) (net.Conn, error) {
	if s.Request > 0 {
		a := attempt{tag: strconv.Itoa(s.Request), number: s.Attempt}
		arrived := func() bool {
			if c := e.atNode[a]; c != nil {
				e.conns[s.Move.Target] = c
				return true
			}
			return false
		}
		if err := e.await(arrived); err != nil {
			return nil, fmt.Errorf("no node has attempt %d of request %d: %w", s.Attempt, s.Request, err)
		}
	}
	if c := e.conns[s.Move.Target]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("a move on a connection that has not carried a request %w", ErrUnsupported)
}
