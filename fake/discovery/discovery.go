// Package discovery is a fake of the platform's discovery service, for tests and for the command
// chalkstand fake-nodes. Each watch receives the lines that the caller of Send or Publish passes.
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

// maxBufferedLines is the maximum number of unsent lines of a watch. Send and Publish block while a watch has this many.
const maxBufferedLines = 64

// heartbeatInterval is the time between two empty lines that a watch receives after the first call of Publish.
const heartbeatInterval = time.Second

// Endpoint is a node's entry in an endpoint list.
type Endpoint struct {
	ID        string
	Addr      string
	State     string // Ready, Terminating or Gone
	Shard     int    // shard of the node
	StartedMS int64  // start of the node, as a Unix time in milliseconds
}

func (e Endpoint) json() string {
	return fmt.Sprintf(
		`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		e.ID, e.Addr, e.Shard, e.State, e.StartedMS)
}

// Document returns an endpoint list in the service's JSON format, without a newline at the end. If full is
// true, the list is a snapshot; otherwise it has only the changes since an earlier version.
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
	served chan struct{} // closed when the goroutine that serves the listener ends

	mu           sync.Mutex
	calls        []string      // the since parameter of each call
	watches      []chan string // unsent lines of each watch opened since the last call of CloseWatches
	failingCalls int           // number of future calls that fail
	snapshot     string        // first line of each new watch; empty before the first call of Publish
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
		_ = s.http.Serve(ln) // Serve always returns an error, also after Close
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop stops the server and closes its watches.
func (s *Server) Stop() {
	_ = s.http.Close() // Close only fails if the listener is already closed
	<-s.served
}

// FailCalls makes future calls fail with status 503. calls is the number of calls that fail.
func (s *Server) FailCalls(calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingCalls = calls
}

// Calls returns the since parameter of each call, in the order of the calls. The parameter is the version
// from which the client requests a watch. It is empty if the client sent none.
func (s *Server) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Send sends a line to all watches that were opened since the last call of CloseWatches, and returns their number.
// The number includes watches whose client has disconnected.
func (s *Server) Send(line string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lines := range s.watches {
		lines <- line
	}
	return len(s.watches)
}

// Publish sets the snapshot that each new watch receives as its first line, and sends the changes from the previous
// snapshot to the watches that are already open. After the first call, watches also get heartbeats, as in the
// platform's service.
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

// ServeHTTP serves one watch: it sends lines and heartbeats until the client disconnects or CloseWatches is called.
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

// published reports whether Publish has set a snapshot.
func (s *Server) published() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot != ""
}

// openWatch records a call and opens a watch for it. It returns false if FailCalls makes this call fail.
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
