package forwarder

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// Clients and nodes act at random. Each request must get one response in time and have at
// most one attempt at a time, and no stream or idle connection may remain at the end.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			history := newRandomHistory(t, seed)
			defer history.checkAttribution()
			for range 600 {
				history.step()
			}
			history.advance(15 * time.Second)
			history.checkStreams()
			history.checkResponses()
			history.checkConns()
		})
	}
}

// randomHistory is a harness that draws its events at random. The same seed draws the same
// events.
type randomHistory struct {
	*harness
	rng     *rand.Rand
	lastID  int
	started map[string]time.Duration // start time of each request by its volume, which is unique
}

func newRandomHistory(t *testing.T, seed uint64) *randomHistory {
	t.Helper()
	cfg := testConfig()
	cfg.Attribution = true
	h := &randomHistory{
		harness: newHarness(t, cfg),
		rng:     rand.New(rand.NewPCG(seed, 7)),
		started: map[string]time.Duration{},
	}
	for i := range 4 {
		h.setNode(fmt.Sprint("n", i), i%2, dispatch.Ready)
	}
	return h
}

// step draws one event at random and handles it.
func (h *randomHistory) step() {
	h.t.Helper()
	switch h.rng.IntN(12) {
	case 0, 1, 2:
		h.startRandom()
	case 3, 4:
		h.completeRandomDial()
	case 5, 6, 7:
		h.completeRandomResponse()
	case 8:
		if c := h.pick(func(c *testConn) bool { return c.open }); c != nil {
			h.loseConn(ConnectionLost{Conn: c.id})
		}
	case 9:
		h.streamOrCancel()
	case 10:
		id := fmt.Sprint("n", h.rng.IntN(4))
		state := dispatch.NodeState(h.rng.IntN(3))
		h.setNode(id, int(id[1]-'0')%2, state)
	default:
		h.advance(time.Duration(h.rng.IntN(300)) * ms)
	}
}

// pick returns a random connection for which a condition holds, or nil.
func (h *randomHistory) pick(condition func(*testConn) bool) *testConn {
	for id := ConnID(1); id <= h.f.lastConnID; id++ { // a fixed order keeps the history reproducible
		if c := h.conns[id]; c != nil && condition(c) && h.rng.IntN(3) == 0 {
			return c
		}
	}
	return nil
}

func (h *randomHistory) startRandom() {
	h.t.Helper()
	h.lastID++
	h.volume = dispatch.VolumeID(fmt.Sprint("v", h.lastID))
	h.started[string(h.volume)] = h.now
	class := h.rng.IntN(3)
	shard := h.rng.IntN(2)
	key := strconv.Itoa(h.rng.IntN(3))
	h.start(h.lastID, class, shard, key, h.rng.IntN(4) == 0)
}

func (h *randomHistory) completeRandomDial() {
	h.t.Helper()
	c := h.pick(func(c *testConn) bool { return !c.open })
	if c == nil {
		return
	}
	c.open = h.rng.IntN(5) > 0
	if !c.open {
		h.removeConn(c)
	}
	h.handle(DialCompleted{Conn: c.id, OK: c.open})
}

func (h *randomHistory) completeRandomResponse() {
	h.t.Helper()
	c := h.pick(func(c *testConn) bool { return c.request != nil })
	if c == nil {
		return
	}
	results := []dispatch.AttemptResult{dispatch.OK, dispatch.OK, dispatch.ServerError, dispatch.Rejected}
	result := results[h.rng.IntN(len(results))]
	if c.request.streaming {
		result = dispatch.OK
	}
	info := ResponseInfo{
		Result:      result,
		HasTiming:   h.rng.IntN(2) == 0,
		QueueTime:   time.Duration(h.rng.IntN(80)) * ms,
		ServiceTime: 20 * ms,
	}
	h.handle(ResponseCompleted{Conn: c.id, Info: info, Reuse: h.rng.IntN(4) > 0})
}

func (h *randomHistory) streamOrCancel() {
	h.t.Helper()
	c := h.pick(func(c *testConn) bool { return c.request != nil && !c.request.streaming })
	if c == nil {
		return
	}
	r := c.request
	switch h.rng.IntN(3) {
	case 0:
		r.streaming = true
		h.handle(ResponseHeaders{Conn: c.id, Info: okInfo()})
	case 1:
		if r.notReplayable {
			h.handle(BodyStreaming{ID: r.id})
			h.handle(BodySent{ID: r.id})
			r.deadline += 10 * time.Second
		}
	default:
		r.canceled = true
		h.handle(ClientCanceled{ID: r.id})
	}
}

// checkAttribution checks that the parts of each request sum up to exactly the request's
// duration, and that each finished request has an entry.
func (h *randomHistory) checkAttribution() {
	h.t.Helper()
	for _, e := range h.entries {
		var behind time.Duration
		for _, b := range e.Behind {
			behind += b.Time
		}
		started := h.started[e.Volume]
		if e.Parts.Total() != e.Ended-started || e.Started != started ||
			behind != e.Parts[attribution.QueuedBehindOthers]+e.Parts[attribution.NodeQueue] {
			h.t.Errorf("volume %s: attributed %v, want %v; contributions sum up to %v, want the queue times in %v",
				e.Volume, e.Parts.Total(), e.Ended-started, behind, e.Parts)
		}
	}
	if h.entryCount+len(h.f.requests) != len(h.started) {
		h.t.Errorf("got %d entries for %d requests, of which %d are unfinished; want one for each finished request",
			h.entryCount, len(h.started), len(h.f.requests))
	}
}

// checkStreams checks that each node counts its streams correctly and has at most
// MaxStreamsPerNode of them.
func (h *randomHistory) checkStreams() {
	h.t.Helper()
	streams := 0
	for _, r := range h.f.requests {
		if r.streamNode != nil {
			streams++
		}
	}
	for _, n := range h.f.nodes {
		if streams -= n.streamCount; n.streamCount < 0 || n.streamCount > 2 {
			h.t.Fatalf("got %d streams at node %s, want 0 to 2", n.streamCount, n.ID)
		}
	}
	if streams != 0 {
		h.t.Fatalf("requests that stream minus streams that nodes count = %d, want 0", streams)
	}
}

func (h *randomHistory) checkResponses() {
	h.t.Helper()
	for id := range h.f.requests {
		if !h.requests[id].streaming {
			h.t.Fatalf("request %d is unfinished and has no response", id)
		}
	}
	for _, r := range h.requests {
		if r.responses == 0 && !r.canceled && !r.streaming {
			h.t.Fatalf("request %d has no response, want one", r.id)
		}
	}
}

func (h *randomHistory) checkConns() {
	h.t.Helper()
	for _, c := range h.f.conns {
		if c.request == nil && c.state != connDialing {
			h.t.Fatal("got an idle connection at the end, want none")
		}
	}
}
