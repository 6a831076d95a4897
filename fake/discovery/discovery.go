// Package discovery is a fake of the platform's discovery service, for tests and for chalkstand
// fake-nodes: each watch receives the lines that the test sends.
package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxBufferedLines is how many lines a watch may lag behind before Send blocks.
const maxBufferedLines = 64

// heartbeatInterval is how often a watch gets an empty line once a list was published.
const heartbeatInterval = time.Second

// Endpoint is a node's entry in an endpoint list.
type Endpoint struct {
	ID        string
	Addr      string
	State     string // Ready, Terminating or Gone
	Cell      int    // its shard
	StartedMS int64  // Unix time in milliseconds
}

func (e Endpoint) json() string {
	return fmt.Sprintf(
		`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		e.ID, e.Addr, e.Cell, e.State, e.StartedMS)
}

// Document returns an endpoint list in the service's form, without a line end. full tells a snapshot
// from the changes since an earlier version.
func Document(version int, full bool, endpoints ...Endpoint) string {
	servers := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		servers = append(servers, endpoint.json())
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(servers, ","))
}

// Server is a running fake of the discovery service.
type Server struct {
	http   *http.Server
	ln     net.Listener
	served chan struct{} // closed once the listener is no longer served

	mu           sync.Mutex
	calls        []string      // the since parameter of each call
	watches      []chan string // lines to send
	failingCalls int           // so many calls are still to fail
	snapshot     string        // first line of each watch; empty: none
}

// Start starts a server on a free port of the loopback address.
func Start() (*Server, error) {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, served: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(ln) // it returns an error in any case: the server was closed
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop stops the server and closes its watches.
func (s *Server) Stop() {
	_ = s.http.Close() // it only fails where the listener is closed already
	<-s.served
}

// FailCalls makes the next calls fail with 503.
func (s *Server) FailCalls(calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingCalls = calls
}

// Calls returns, for each call in order, the version from which a watch was asked for; it is empty
// where none was given.
func (s *Server) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Send sends a line on all watches that were opened and returns their number.
func (s *Server) Send(line string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lines := range s.watches {
		lines <- line
	}
	return len(s.watches)
}

// Publish sets the list with which each watch begins from now on, and sends the changes that lead to it on all
// open watches. From the first call on watches get heartbeats, as those of the platform do.
func (s *Server) Publish(snapshot, changes string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
	for _, lines := range s.watches {
		lines <- changes
	}
}

// CloseWatches closes all watches.
func (s *Server) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lines := range s.watches {
		close(lines)
	}
	s.watches = nil
}

// ServeHTTP serves a watch.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lines, ok := s.openWatch(r.FormValue("since"))
	if !ok {
		http.Error(w, "later", http.StatusServiceUnavailable)
		return
	}
	response := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for err := response.Flush(); err == nil; err = response.Flush() {
		select {
		case <-heartbeat.C:
			if !s.published() {
				continue
			}
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
		case line, open := <-lines:
			if !open {
				return
			}
			if _, err := fmt.Fprintf(w, "%s\n", line); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// published reports whether a list was published.
func (s *Server) published() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot != ""
}

// openWatch records a call and opens its watch. It reports false for a call that is to fail.
func (s *Server) openWatch(since string) (lines chan string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, since)
	if s.failingCalls > 0 {
		s.failingCalls--
		return nil, false
	}
	lines = make(chan string, maxBufferedLines)
	if s.snapshot != "" {
		lines <- s.snapshot
	}
	s.watches = append(s.watches, lines)
	return lines, true
}
