package storagenode

import (
	"net"
	"net/http"
	"time"
)

// FaultKind is a way to fail.
type FaultKind int

// noFault is the kind of no fault.
const noFault FaultKind = 0

// The kinds of faults.
const (
	Stall            FaultKind = iota + 1 // no response for a time, then reset the connection
	StallInResponse                       // stall in the middle of the response
	Reject                                // respond 503 without executing the request
	ServerError                           // respond 500 without executing the request
	ResetConnection                       // reset the connection without executing the request
	LoseResponse                          // execute the request, then reset the connection
	TruncateResponse                      // reset the connection in the middle of the response
	Slow                                  // Factor times the service time
	Pause                                 // serve nothing until For has passed
	Exit                                  // stop the node; only in scripts
)

// Fault is a fault to inject.
type Fault struct {
	Kind   FaultKind
	Match  func(*http.Request) bool // nil: all requests
	Count  int                      // of requests; 0: no limit
	For    time.Duration            // from the injection on; 0: no end
	Hold   time.Duration            // length of a stall; 0: For, or until the client disconnects
	Share  float64                  // of the matching requests; 0: all
	Factor float64                  // of Slow
}

// maxHold is the length of a stall without one of its own.
const maxHold = time.Hour

// activeFault is an injected fault.
type activeFault struct {
	Fault
	until     time.Time // zero: no end
	remaining int       // requests, if Count is not 0
}

// kind returns the fault's kind; the receiver may be nil.
func (f *activeFault) kind() FaultKind {
	if f == nil {
		return noFault
	}
	return f.Kind
}

// Inject makes the node show a fault from now on.
func (n *Node) Inject(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	active := &activeFault{Fault: f, remaining: f.Count}
	if f.For > 0 {
		active.until = time.Now().Add(f.For)
	}
	if f.Kind == Pause {
		n.pausedUntil = active.until
		return
	}
	n.faults = append(n.faults, active)
}

// ClearFaults ends all faults.
func (n *Node) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = nil
	n.pausedUntil = time.Time{}
}

// matchFault returns the first fault that applies to a request, nil if none does.
func (n *Node) matchFault(r *http.Request) *activeFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, f := range n.faults {
		if !f.applies(r, now) {
			continue
		}
		if f.Share > 0 && n.rng.Float64() >= f.Share {
			continue
		}
		f.remaining--
		return f
	}
	return nil
}

func (f *activeFault) applies(r *http.Request, now time.Time) bool {
	expired := !f.until.IsZero() && now.After(f.until)
	usedUp := f.Count > 0 && f.remaining == 0
	return !expired && !usedUp && (f.Match == nil || f.Match(r))
}

// stall waits as long as a fault says, or until the client disconnects or the node stops.
func (n *Node) stall(r *http.Request, f *activeFault) {
	d := f.Hold
	if d <= 0 {
		d = f.For
	}
	if d <= 0 {
		d = maxHold
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	case <-r.Context().Done():
	}
}

// resetConnection resets a request's connection.
func resetConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // without it the connection ends by FIN
			}
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
