package storagenode

import (
	"net"
	"net/http"
	"time"
)

// FaultKind says how a node fails.
type FaultKind int

// noFault is the FaultKind of a request without a fault.
const noFault FaultKind = 0

// The kinds of faults.
const (
	Stall            FaultKind = iota + 1 // the node waits for the time Hold and then resets the connection
	StallInResponse                       // the node sends half of the body, waits for the time Hold and sends the rest
	Reject                                // the node responds with status 503 and does not execute the request
	ServerError                           // the node responds with status 500 and does not execute the request
	ResetConnection                       // the node resets the connection and does not execute the request
	LoseResponse                          // the node executes the request, waits for the time Hold and resets the connection
	TruncateResponse                      // the node sends half of the body and resets the connection
	Slow                                  // the service time is multiplied by Factor
	Pause                                 // the node serves no request for the time For
	Exit                                  // the node stops; only RunScript supports this kind
)

// Fault describes a fault for Inject.
type Fault struct {
	Kind   FaultKind
	Match  func(*http.Request) bool // selects the affected requests; nil: all requests
	Count  int                      // maximum number of affected requests; 0: no limit
	For    time.Duration            // time from the injection to the end of the fault; 0: no end
	Hold   time.Duration            // duration of a stall; 0: the value of For, or maxHold if For is 0 too
	Share  float64                  // share of the matching requests that is affected; 0: all
	Factor float64                  // factor of the service time for the kind Slow
}

// maxHold is the duration of a stall if neither Hold nor For is set.
const maxHold = time.Hour

// activeFault is an injected fault with its state.
type activeFault struct {
	Fault
	until     time.Time // end of the fault; zero: no end
	remaining int       // number of requests that the fault can still affect; not used if Count is 0
}

// kind returns the kind of a fault. It returns noFault if f is nil.
func (f *activeFault) kind() FaultKind {
	if f == nil {
		return noFault
	}
	return f.Kind
}

// Inject activates a fault.
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

// ClearFaults ends all faults, including a running pause.
func (n *Node) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = nil
	n.pausedUntil = time.Time{}
}

// matchFault returns the first fault that affects a request, or nil. It counts the request for this fault.
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

// stall waits for the duration of a fault's stall. It returns earlier if the client disconnects or the node stops.
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

// resetConnection closes a request's connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // makes Close send a TCP reset in place of a FIN
			}
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
