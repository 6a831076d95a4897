package storagenode

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkstand/internal/objectapi"
)

// LogEntry records one request that a node received. Its times count from the node's epoch.
type LogEntry struct {
	Node         string
	Gateway      string
	Request      uint64
	Attempt      int
	Volume       string
	Units        float64
	Op           objectapi.Kind
	Path         string
	Key          string // idempotency key of a keyed write
	Tag          string // tag by which the client identifies its request
	Arrived      time.Duration
	Ended        time.Duration // when the node completed the request; 0: not yet
	Disconnected time.Duration // when the client disconnected before the request ended; 0: it did not
	Executed     bool          // the node executed the operation
	Deduplicated bool          // the node did not execute the request, because it repeats a keyed write
	Status       int           // HTTP status of the response; 0: no response
	ParseError   string        // error in the request's syntax; empty: none
	QueueTime    time.Duration // time that the request waited for a core
	ServiceTime  time.Duration // time that the request occupied a core
	requestName  string        // value of the header x-chalkstand-request
}

// Log returns a copy of the log entries of all requests so far.
func (n *Node) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]LogEntry, len(n.log))
	for i, e := range n.log {
		out[i] = *e
	}
	return out
}

// OnArrival sets a function that the node calls with the log entry of each request when it arrives.
// The function must not call methods of the node.
func (n *Node) OnArrival(f func(LogEntry)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onArrival = f
}

// recordArrival creates the log entry of a request. It also checks whether the request overloads a node
// that is still warming up.
func (n *Node) recordArrival(r *http.Request) *LogEntry {
	h := r.Header
	e := &LogEntry{
		Node:   n.cfg.ID,
		Volume: h.Get(headerVolume),
		Path:   r.RequestURI,
		Key:    h.Get(headerIdempotencyKey),
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

// recordEnd logs the time at which a request ended.
func (n *Node) recordEnd(e *LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inflight--
	e.Ended = time.Since(n.epoch)
}

// update applies a change to a log entry while it holds mu.
func (n *Node) update(e *LogEntry, change func(*LogEntry)) {
	n.mu.Lock()
	change(e)
	n.mu.Unlock()
}
