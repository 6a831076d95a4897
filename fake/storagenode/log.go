package storagenode

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkstand/internal/objectapi"
)

// LogEntry records one request at a node. Times count from the node's epoch.
type LogEntry struct {
	Node         string
	Gateway      string
	Request      uint64
	Attempt      int
	Volume       string
	Units        float64
	Op           objectapi.Kind
	Path         string
	Key          string // of a keyed write
	Tag          string // the client's own name for its request
	Arrived      time.Duration
	Ended        time.Duration // 0: not yet
	Disconnected time.Duration // when its connection ended before the response; 0: it did not
	Executed     bool          // the operation was executed
	Deduplicated bool          // dropped as a repeated write
	Status       int           // 0: no response
	ParseError   string
	QueueTime    time.Duration // until it had a core
	ServiceTime  time.Duration // while it had one
	requestName  string        // as its gateway named it
}

// Log returns a copy of the entries of all requests so far.
func (n *Node) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]LogEntry, len(n.log))
	for i, e := range n.log {
		out[i] = *e
	}
	return out
}

// OnArrival has f called with the entry of each request as it arrives. f must not call methods of
// the node.
func (n *Node) OnArrival(f func(LogEntry)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onArrival = f
}

// recordArrival logs a request and counts what it adds to the load of a node that has just started.
func (n *Node) recordArrival(r *http.Request) *LogEntry {
	h := r.Header
	e := &LogEntry{
		Node:   n.cfg.ID,
		Volume: h.Get(headerVolume),
		Path:   r.RequestURI,
		Key:    h.Get(headerKey),
		Tag:    h.Get(headerTag),
	}
	e.Units, _ = strconv.ParseFloat(h.Get(headerUnits), 64)
	if p := strings.Split(h.Get(headerRequest), "/"); len(p) == 3 {
		e.requestName = h.Get(headerRequest)
		e.Gateway = p[0]
		e.Request, _ = strconv.ParseUint(p[1], 10, 64)
		e.Attempt, _ = strconv.Atoi(p[2])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	e.Arrived = now.Sub(n.epoch)
	n.inflight++
	if !n.cfg.DiscardLog {
		n.log = append(n.log, e)
	}
	n.checkOverload(now, e.Units)
	if n.onArrival != nil {
		n.onArrival(*e)
	}
	return e
}

// recordEnd logs the end of a request.
func (n *Node) recordEnd(e *LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inflight--
	e.Ended = time.Since(n.epoch)
}

// update changes an entry.
func (n *Node) update(e *LogEntry, change func(*LogEntry)) {
	n.mu.Lock()
	change(e)
	n.mu.Unlock()
}
