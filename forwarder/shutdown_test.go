package forwarder

import (
	"reflect"
	"strconv"
	"testing"
	"time"

	"chalkstand/dispatch"
)

// Each request gets its final response at a shutdown, whatever its stage is. Only a request that a
// node may have executed, and that its client may not repeat, fails.
func TestShutdownAnswersEveryStage(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(*harness) *testRequest
		want  Action
	}{
		{"dialing", func(h *harness) *testRequest { return h.startRead(1) }, Reject{}},
		{"read in flight", func(h *harness) *testRequest {
			r := h.startRead(1)
			h.completeDial()
			return r
		}, Reject{}},
		{"write in flight", func(h *harness) *testRequest {
			r := h.start(1, writeClass, 0, "k", false)
			h.completeDial()
			return r
		}, Fail{}},
		{"upload that streams", func(h *harness) *testRequest {
			r := h.start(1, unsafeClass, 0, "", true)
			h.completeDial()
			h.handle(BodyStreaming{ID: r.id})
			return r
		}, Fail{}},
		{"write behind another one", func(h *harness) *testRequest {
			h.start(2, writeClass, 0, "k", false)
			h.completeDial()
			return h.start(1, writeClass, 0, "k", false)
		}, Reject{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testConfig())
			h.setNode("a", 0, dispatch.Ready)
			r := c.start(h)
			h.handle(Shutdown{})
			if reflect.TypeOf(r.response) != reflect.TypeOf(c.want) {
				t.Errorf("got response %#v, want %T", r.response, c.want)
			}
			if n := h.f.Requests(); n != 0 {
				t.Errorf("got %d requests after the shutdown, want none", n)
			}
			if later := h.startRead(9); reflect.TypeOf(later.response) != reflect.TypeFor[Reject]() {
				t.Errorf("request after the shutdown: got response %#v, want Reject", later.response)
			}
		})
	}
}

// A response that its client has begun to receive continues through a shutdown.
func TestShutdownContinuesStreamedResponse(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	conn := h.completeDial()
	r.streaming = true
	h.handle(ResponseHeaders{Conn: conn, Info: okInfo()})
	h.handle(Shutdown{})
	if r.responses != 0 {
		t.Fatalf("got response %#v at the shutdown, want none", r.response)
	}
	h.complete(conn)
	if r.responses != 1 || h.f.Requests() != 0 {
		t.Errorf("got %d responses and %d requests at the end, want 1 and 0", r.responses, h.f.Requests())
	}
}

// A shutdown in the middle of a random history leaves only requests whose responses are streamed, and
// no attempt is sent after it.
func TestShutdownInRandomHistories(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			history := newRandomHistory(t, seed)
			defer history.checkAttribution()
			for range 300 {
				history.step()
			}
			history.handle(Shutdown{})
			sent := history.attempts()
			history.checkOnlyStreamsOpen()
			for range 300 {
				history.step()
			}
			if got := history.attempts(); got != sent {
				t.Errorf("got %d attempts after the shutdown, want none", got-sent)
			}
			history.advance(15 * time.Second)
			history.checkStreams()
			history.checkResponses()
			history.checkConns()
		})
	}
}

// attempts returns the number of attempts of all requests.
func (h *randomHistory) attempts() (sum int) {
	for _, r := range h.requests {
		sum += r.sent
	}
	return sum
}

// checkOnlyStreamsOpen checks that every request without a final response is streamed or canceled.
func (h *randomHistory) checkOnlyStreamsOpen() {
	h.t.Helper()
	for id, r := range h.requests {
		if r.responses == 0 && !r.canceled && !r.streaming {
			h.t.Errorf("request %d has no final response after the shutdown", id)
		}
	}
}
