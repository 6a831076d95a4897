// Package discovery is a fake of the discovery service, for tests and for chalkstand
// standins: each watch receives what the test gives it to send.
package discovery

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Endpoint is a node as discovery tells it.
type Endpoint struct {
	ID, Addr, State string
	Cell            int
	StartedMS       int64
}

func (e Endpoint) json() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`, e.ID, e.Addr, e.Cell, e.State, e.StartedMS)
}

// Document is a document of discovery.
func Document(version int, full bool, entries ...Endpoint) string {
	var s []string
	for _, e := range entries {
		s = append(s, e.json())
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(s, ","))
}

// Server is a stand-in for discovery. Each watch is told what it is given to say.
type Server struct {
	srv   *http.Server
	ln    net.Listener
	mu    sync.Mutex
	since []string
	lines []chan string
	fail  int // calls that are answered 503
}

// Start starts discovery on a free port.
func Start() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Server{ln: ln}
	d.srv = &http.Server{Handler: d}
	go d.srv.Serve(ln)
	return d, nil
}

// Addr is where it listens.
func (d *Server) Addr() string { return d.ln.Addr().String() }

// Stop ends it with its watches.
func (d *Server) Stop() { d.srv.Close() }

// FailCalls has so many calls answered 503.
func (d *Server) FailCalls(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = calls
}

// Calls are the versions from which watches were asked for, in order.
func (d *Server) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.since...)
}

// Send writes a line to all watches; none are told how many there are.
func (d *Server) Send(line string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.lines {
		c <- line
	}
	return len(d.lines)
}

// EndWatches ends all watches.
func (d *Server) EndWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.lines {
		close(c)
	}
	d.lines = nil
}

// ServeHTTP answers a watch.
func (d *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.since = append(d.since, r.FormValue("since"))
	if d.fail > 0 {
		d.fail--
		d.mu.Unlock()
		http.Error(w, "later", http.StatusServiceUnavailable)
		return
	}
	lines := make(chan string, 64)
	d.lines = append(d.lines, lines)
	d.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			fmt.Fprintf(w, "%s\n", line)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}
