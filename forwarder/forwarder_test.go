package forwarder

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func settings() Config {
	return Config{
		Seed: 1, MaxConnsPerNode: 4, MaxStreamsPerNode: 2, IdleTimeout: 2 * time.Second, MaxConnAge: 20 * time.Second,
		DialTimeout: 200 * time.Millisecond, ResponseMargin: 5 * time.Millisecond, MaxRequests: 64,
		Dispatch: dispatch.Config{
			DispatcherIndex: 0, DispatcherCount: 1, CancelAttempts: true, MaxRetryAfter: time.Second, MaxAttempts: 3,
			MeanUnits: 1, MaxUnits: 8, Quiescence: 50 * time.Millisecond, RoundTrip: time.Millisecond,
			RetryBudget: dispatch.RetryBudget{MinRetries: 3, Ratio: 0.2, Window: 5 * time.Second},
			Classes: []dispatch.Class{
				{Name: "read", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 2},
				{
					Name: "write", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 2, Idempotency: dispatch.Deduplicated,
					DedupScope: dispatch.DedupPerShard, DedupWindow: 2 * time.Second, Ordered: true,
				},
				{Name: "unsafe", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: dispatch.NonIdempotent},
			},
			Plans: []dispatch.Plan{{Name: "p", Reserve: 1000, Weight: 1, Price: 1}},
		},
	}
}

// rig plays the world around a forwarder and checks what it does.
type rig struct {
	t      *testing.T
	x      *Forwarder
	now    time.Duration
	conns  map[ConnID]*rigConn
	state  map[dispatch.NodeID]dispatch.NodeState
	calls  map[dispatch.RequestID]*rigCall
	wake   time.Duration
	perNod map[dispatch.NodeID]int
	limit  int
	volume dispatch.VolumeID

	accounts map[string]attribution.Entry // by volume; each request has its own
	entries  int
}

type rigConn struct {
	id   ConnID
	node dispatch.NodeID
	open bool // dialled
	call *rigCall
}

type rigCall struct {
	id      dispatch.RequestID
	on      ConnID
	out     bool
	sends   int
	answers int
	gone    bool
	headed  bool
	once    bool
	due     time.Duration
	last    Action
}

func newRig(t *testing.T, cfg Config) *rig {
	x, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{
		t: t, x: x, accounts: map[string]attribution.Entry{}, conns: map[ConnID]*rigConn{}, state: map[dispatch.NodeID]dispatch.NodeState{}, volume: "v",
		calls: map[dispatch.RequestID]*rigCall{}, wake: 1 << 62, perNod: map[dispatch.NodeID]int{}, limit: cfg.MaxConnsPerNode,
	}
}

// tell hands over an event and follows the actions, checking each.
func (r *rig) tell(ev Event) []Action {
	acts := append([]Action(nil), r.x.Handle(r.now, ev)...)
	for _, a := range acts {
		r.follow(a)
	}
	return acts
}

func (r *rig) follow(a Action) {
	final := func(id dispatch.RequestID) {
		c := r.calls[id]
		if c.answers++; c.answers > 1 || c.gone {
			r.t.Fatalf("%v: request %d has %d answers, gone %v", a, id, c.answers, c.gone)
		}
		if r.now > c.due && !c.headed && !c.once {
			r.t.Fatalf("request %d answered at %v, due %v", id, r.now, c.due)
		}
		c.last = a
	}
	switch a := a.(type) {
	case Dial:
		r.conns[a.Conn] = &rigConn{id: a.Conn, node: a.Node}
		if r.perNod[a.Node]++; r.perNod[a.Node] > r.limit {
			r.t.Fatalf("%d connections to %s", r.perNod[a.Node], a.Node)
		}
	case SendRequest:
		k, c := r.conns[a.Conn], r.calls[a.ID]
		switch {
		case k == nil || !k.open || k.call != nil:
			r.t.Fatalf("%+v on a connection that cannot carry it", a)
		case c.out:
			r.t.Fatalf("request %d: a second attempt while one is out", a.ID)
		case c.answers > 0 || c.gone:
			r.t.Fatalf("request %d sent after its end", a.ID)
		case r.state[k.node] != dispatch.Ready:
			r.t.Fatalf("request %d sent to %s, which drains", a.ID, k.node)
		case c.once && c.sends > 0:
			r.t.Fatalf("request %d, whose body is gone, sent twice", a.ID)
		}
		k.call, c.out, c.on = c, true, a.Conn
		c.sends++
	case CloseConn:
		if k := r.conns[a.Conn]; k != nil {
			r.drop(k)
		}
	case ForwardResponse:
		final(a.ID)
		r.free(a.Conn)
	case DiscardResponse:
		r.free(a.Conn)
	case RequestAttributed:
		if c := r.calls[a.ID]; c != nil && c.answers > 0 {
			r.t.Fatalf("request %d: its account comes after its answer", a.ID)
		}
		r.accounts[a.Entry.Volume] = *a.Entry
		r.entries++
	case Reject:
		if final(a.ID); a.RetryAfter <= 0 {
			r.t.Fatalf("%+v: no time to come back", a)
		}
	case Fail:
		final(a.ID)
	case AbortResponse:
		c := r.calls[a.ID]
		if !c.headed {
			r.t.Fatalf("request %d cut before its answer began", a.ID)
		}
		c.answers++
	case SetTimer:
		r.wake = a.At
	}
}

func (r *rig) free(id ConnID) {
	if k := r.conns[id]; k != nil && k.call != nil {
		k.call.out, k.call = false, nil
	}
}

func (r *rig) drop(k *rigConn) {
	r.free(k.id)
	delete(r.conns, k.id)
	r.perNod[k.node]--
}

func (r *rig) node(id string, shard int, s dispatch.NodeState) {
	r.state[dispatch.NodeID(id)] = s
	r.tell(EndpointUpdate{Kind: dispatch.Delta, Nodes: []Node{{Addr: id, Node: dispatch.Node{ID: dispatch.NodeID(id), Shard: dispatch.Shard(shard), State: s}}}})
}

func (r *rig) begin(id int, class, shard int, key string, once bool) *rigCall {
	left := r.x.cfg.Dispatch.Classes[class].Deadline
	c := &rigCall{id: dispatch.RequestID(id), due: r.now + left, once: once}
	r.calls[c.id] = c
	r.tell(StartRequest{NotReplayable: once, Request: dispatch.Request{
		ID: c.id, Class: class, Volume: r.volume, Key: key,
		Shard: dispatch.Shard(shard), Units: 1, Dispatchers: 1, Timeout: left,
	}})
	return c
}

// wait moves time on, firing timers.
func (r *rig) wait(d time.Duration) {
	end := r.now + d
	for r.wake <= end {
		r.now, r.wake = max(r.wake, r.now), 1<<62
		r.tell(TimerFired{})
	}
	r.now = end
}

func (r *rig) dialed(ok bool) ConnID {
	for id, k := range r.conns {
		if !k.open {
			if k.open = ok; !ok {
				r.drop(k)
			}
			r.tell(DialCompleted{Conn: id, OK: ok})
			return id
		}
	}
	r.t.Fatal("nothing is being opened")
	return 0
}

func served() ResponseInfo { return ResponseInfo{Result: dispatch.OK} }

func TestServedOverAConnectionUsedTwice(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	for i := 1; i <= 3; i++ {
		c := r.begin(i, 0, 0, "", false)
		if i == 1 {
			r.dialed(true)
		}
		r.now += time.Millisecond
		r.tell(ResponseCompleted{Conn: c.on, Info: served(), Reuse: true})
		if c.answers != 1 || c.sends != 1 {
			t.Fatalf("request %d: %+v", i, c)
		}
	}
	if r.x.Conns() != 1 || r.x.Requests() != 0 {
		t.Fatalf("%d connections, %d calls", r.x.Conns(), r.x.Requests())
	}
	r.wait(3 * time.Second)
	if r.x.Conns() != 0 {
		t.Fatal("an unused connection stays open")
	}
}

// A read whose node stalls is given up at its deadline, on a closed connection,
// and the answer that comes after is nobody's.
func TestLateAnswerIsThrownAway(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	c := r.begin(1, 0, 0, "", false)
	k := r.dialed(true)
	r.wait(995 * time.Millisecond)
	if c.answers != 1 || r.conns[k] != nil {
		t.Fatalf("answers %d, connection open: %v", c.answers, r.conns[k] != nil)
	}
	if acts := r.tell(ResponseCompleted{Conn: k, Info: served(), Reuse: true}); len(acts) > 0 {
		t.Fatalf("a late answer causes %v", acts)
	}
}

func TestDrainWhileConnecting(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	c := r.begin(1, 0, 0, "", false)
	r.node("b", 0, dispatch.Ready)
	r.node("a", 0, dispatch.Draining)
	r.dialed(true) // to a: not to be used any more
	if c.sends != 0 {
		t.Fatal("sent to the draining node")
	}
	r.wait(50 * time.Millisecond)
	if len(r.conns) != 1 {
		t.Fatalf("connections: %d, want one to b", len(r.conns))
	}
	r.dialed(true)
	if c.sends != 1 || r.conns[c.on].node != "b" {
		t.Fatalf("sent %d times", c.sends)
	}
}

func TestBodyThatIsGoneIsNotSentAgain(t *testing.T) {
	for _, end := range []func(*rig, ConnID){
		func(r *rig, k ConnID) { r.drop(r.conns[k]); r.tell(ConnectionLost{Conn: k}) },
		func(r *rig, k ConnID) {
			r.tell(ResponseCompleted{Conn: k, Info: ResponseInfo{Result: dispatch.ServerError}})
		},
		func(r *rig, k ConnID) { r.wait(2 * time.Second) },
	} {
		r := newRig(t, settings())
		r.node("a", 0, dispatch.Ready)
		c := r.begin(1, 1, 0, "k", true)
		end(r, r.dialed(true))
		if _, failed := c.last.(Fail); !failed || c.sends != 1 {
			t.Fatalf("last %#v, sends %d", c.last, c.sends)
		}
	}
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	c := r.begin(1, 1, 0, "k", true)
	r.tell(ResponseCompleted{Conn: r.dialed(true), Info: ResponseInfo{Result: dispatch.Rejected}})
	if _, refused := c.last.(Reject); !refused || r.x.Requests() != 0 {
		t.Fatalf("a full node: %#v", c.last)
	}
}

// A client that keeps its node waiting is not held against the node.
func TestSlowClientIsNotTheNodesDelay(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	slow := r.begin(1, 2, 0, "", true)
	k := r.dialed(true)
	r.tell(BodyStreaming{ID: 1})
	r.wait(5 * time.Second)
	if slow.answers != 0 {
		t.Fatal("given up on while its client sends")
	}
	quick := r.begin(2, 0, 0, "", false)
	r.tell(ResponseCompleted{Conn: r.dialed(true), Info: served(), Reuse: true})
	if _, ok := quick.last.(ForwardResponse); !ok {
		t.Fatalf("beside a slow client: %#v", quick.last)
	}
	r.tell(BodySent{ID: 1})
	r.tell(ResponseCompleted{Conn: k, Info: served(), Reuse: true})
	if _, ok := slow.last.(ForwardResponse); !ok {
		t.Fatalf("the slow one: %#v", slow.last)
	}
}

// Beyond the bound a stream keeps its place in the dispatcher's depth until its end.
func TestStreamsAreBounded(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	var ks []ConnID
	for i := range 3 {
		c := r.begin(i+1, 0, 0, "", false)
		k := r.dialed(true)
		c.headed = true
		r.tell(ResponseHeaders{Conn: k, Info: served()})
		ks = append(ks, k)
	}
	if n := r.x.nodes["a"].streamCount; n != 2 || r.x.requests[3].resultReported || !r.x.requests[2].resultReported {
		t.Fatalf("%d streams", n)
	}
	for _, k := range ks {
		r.tell(ResponseCompleted{Conn: k, Info: served(), Reuse: true})
	}
	if n := r.x.nodes["a"].streamCount; n != 0 || r.x.Requests() != 0 {
		t.Fatalf("%d streams, %d calls left", n, r.x.Requests())
	}
}

func TestAnswerCutAfterItsHead(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	c := r.begin(1, 0, 0, "", false)
	k := r.dialed(true)
	c.headed = true
	r.tell(ResponseHeaders{Conn: k, Info: served()})
	r.wait(10 * time.Second)
	r.drop(r.conns[k])
	acts := r.tell(ConnectionLost{Conn: k})
	if len(acts) == 0 || acts[0] != (AbortResponse{ID: 1}) || c.sends != 1 {
		t.Fatalf("%v", acts)
	}
}

// Random histories: whatever the world does, each request has one answer in time,
// one attempt at a time, and nothing is left over.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { history(t, seed) })
	}
}

func history(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := settings()
	cfg.Attribution = true
	r := newRig(t, cfg)
	began := map[string]time.Duration{}
	defer func() { // every request's parts sum to its time, exactly
		for _, e := range r.accounts {
			var behind time.Duration
			for _, b := range e.Behind {
				behind += b.Time
			}
			if e.Parts.Total() != e.Ended-began[e.Volume] || e.Started != began[e.Volume] || behind != e.Parts[attribution.QueuedBehindOthers]+e.Parts[attribution.NodeQueue] {
				t.Errorf("%s: %v accounted of %v, behind %v: %v", e.Volume, e.Parts.Total(), e.Ended-began[e.Volume], behind, e.Parts)
			}
		}
		if r.entries+len(r.x.requests) != len(began) {
			t.Errorf("%d accounts of %d requests, %d in hand", r.entries, len(began), len(r.x.requests))
		}
	}()
	for i := range 4 {
		r.node(fmt.Sprint("n", i), i%2, dispatch.Ready)
	}
	next := 0
	pick := func(ok func(*rigConn) bool) *rigConn {
		for id := ConnID(1); id <= r.x.lastConnID; id++ { // in order: the same history every time
			if k := r.conns[id]; k != nil && ok(k) && rng.IntN(3) == 0 {
				return k
			}
		}
		return nil
	}
	for range 600 {
		switch rng.IntN(12) {
		case 0, 1, 2:
			next++
			r.volume = dispatch.VolumeID(fmt.Sprint("v", next))
			began[string(r.volume)] = r.now
			r.begin(next, rng.IntN(3), rng.IntN(2), fmt.Sprint(rng.IntN(3)), rng.IntN(4) == 0)
		case 3, 4:
			if k := pick(func(k *rigConn) bool { return !k.open }); k != nil {
				ok := rng.IntN(5) > 0
				if k.open = ok; !ok {
					r.drop(k)
				}
				r.tell(DialCompleted{Conn: k.id, OK: ok})
			}
		case 5, 6, 7:
			if k := pick(func(k *rigConn) bool { return k.call != nil }); k != nil {
				s := []dispatch.AttemptResult{dispatch.OK, dispatch.OK, dispatch.ServerError, dispatch.Rejected}[rng.IntN(4)]
				if k.call.headed {
					s = dispatch.OK
				}
				r.tell(ResponseCompleted{Conn: k.id, Info: ResponseInfo{Result: s, HasTiming: rng.IntN(2) == 0, QueueTime: time.Duration(rng.IntN(80)) * ms, ServiceTime: 20 * ms}, Reuse: rng.IntN(4) > 0})
			}
		case 8:
			if k := pick(func(k *rigConn) bool { return k.open }); k != nil {
				id := k.id
				r.drop(k)
				r.tell(ConnectionLost{Conn: id})
			}
		case 9:
			if k := pick(func(k *rigConn) bool { return k.call != nil && !k.call.headed }); k != nil {
				switch rng.IntN(3) {
				case 0:
					k.call.headed = true
					r.tell(ResponseHeaders{Conn: k.id, Info: served()})
				case 1:
					if k.call.once {
						r.tell(BodyStreaming{ID: k.call.id})
						r.tell(BodySent{ID: k.call.id})
						k.call.due += 10 * time.Second
					}
				default:
					c := k.call
					c.gone = true
					r.tell(ClientCanceled{ID: c.id})
				}
			}
		case 10:
			id := fmt.Sprint("n", rng.IntN(4))
			s := dispatch.NodeState(rng.IntN(3))
			r.node(id, int(id[1]-'0')%2, s)
		default:
			r.wait(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
	}
	r.wait(15 * time.Second)
	streams := 0
	for _, c := range r.x.requests {
		if c.streamNode != nil {
			streams++
		}
	}
	for _, n := range r.x.nodes {
		if streams -= n.streamCount; n.streamCount < 0 || n.streamCount > 2 {
			t.Fatalf("%d streams at %s", n.streamCount, n.ID)
		}
	}
	if streams != 0 {
		t.Fatalf("%d more calls stream than nodes count", streams)
	}
	for id := range r.x.requests {
		if !r.calls[id].headed {
			t.Fatalf("request %d is never answered", id)
		}
	}
	for _, c := range r.calls {
		if c.answers == 0 && !c.gone && !c.headed {
			t.Fatalf("request %d has no answer", c.id)
		}
	}
	for _, k := range r.x.conns {
		if k.request == nil && k.state != connDialing {
			t.Fatal("an unused connection is left")
		}
	}
}

// What the dispatcher never does is stopped here all the same: a second attempt while one
// is out, and an attempt at a node that is told to drain or is not known.
func TestAttemptsThatMustNotBe(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	c := r.begin(1, 0, 0, "", false)
	r.dialed(true)
	r.x.actions = nil
	r.x.startAttempt(dispatch.SendAttempt{ID: 1, Node: "a"})
	if len(r.x.actions) > 0 || len(r.x.dispatcherEvents) > 0 || c.sends != 1 || r.x.Conns() != 1 || r.x.requests[1].stage != stageInFlight {
		t.Fatalf("a second attempt does %v", r.x.actions)
	}
	for _, s := range []dispatch.NodeState{dispatch.Draining, dispatch.Removed} {
		r := newRig(t, settings())
		r.node("a", 0, dispatch.Ready)
		r.begin(1, 0, 0, "", false)
		k := r.dialed(true)
		r.tell(ResponseCompleted{Conn: k, Info: served(), Reuse: true})
		r.x.requests[2] = &request{req: dispatch.Request{ID: 2}, class: &r.x.cfg.Dispatch.Classes[0], attempt: -1, deadline: r.now + time.Second}
		if r.x.nodes["a"].State = s; s == dispatch.Removed {
			delete(r.x.nodes, "a")
		}
		r.x.actions = nil
		r.x.startAttempt(dispatch.SendAttempt{ID: 2, Node: "a"})
		if len(r.x.actions) != 0 || r.x.requests[2].stage != stageWaiting {
			t.Fatalf("an attempt at a node of state %d does %v", s, r.x.actions)
		}
	}
}

func TestCallsAreBounded(t *testing.T) {
	cfg := settings()
	cfg.MaxRequests = 3
	r := newRig(t, cfg)
	r.node("a", 0, dispatch.Ready)
	for i := range 3 {
		r.begin(i+1, 0, 0, "", false)
	}
	if c := r.begin(4, 0, 0, "", false); c.answers != 1 || c.last != (Reject{ID: 4, RetryAfter: time.Second}) {
		t.Fatalf("%#v", c.last)
	}
}

// Unused connections to a node that drains, or that is another process now, are closed.
func TestConnectionsOfADrainedNodeAreClosed(t *testing.T) {
	for _, next := range []Node{
		{Addr: "a", Node: dispatch.Node{ID: "a", State: dispatch.Draining}},
		{Addr: "a", Node: dispatch.Node{ID: "a", Started: time.Second}},
		{Addr: "b", Node: dispatch.Node{ID: "a"}},
	} {
		r := newRig(t, settings())
		r.node("a", 0, dispatch.Ready)
		r.begin(1, 0, 0, "", false)
		r.tell(ResponseCompleted{Conn: r.dialed(true), Info: served(), Reuse: true})
		r.tell(EndpointUpdate{Kind: dispatch.Delta, Nodes: []Node{next}})
		if r.x.Conns() != 0 || len(r.conns) != 0 {
			t.Errorf("%+v: %d connections", next, r.x.Conns())
		}
	}
}

// A connection that was opened for a request which has ended meanwhile serves the
// next; one that comes after its place was given up is closed.
func TestConnectionThatComesLate(t *testing.T) {
	r := newRig(t, settings())
	r.node("a", 0, dispatch.Ready)
	c := r.begin(1, 0, 0, "", false)
	c.gone = true
	r.tell(ClientCanceled{ID: 1})
	r.dialed(true)
	if next := r.begin(2, 0, 0, "", false); next.sends != 1 || r.x.Conns() != 1 {
		t.Fatalf("sends %d over %d connections", next.sends, r.x.Conns())
	}
	if acts := r.x.Handle(r.now, DialCompleted{Conn: 99, OK: true}); len(acts) == 0 || acts[0] != (CloseConn{Conn: 99}) {
		t.Fatalf("%v", acts)
	}
}

// What an answer's size makes a request cost is told to the dispatcher, once; a client that
// leaves early pays for what had come.
func TestMeasuredUnits(t *testing.T) {
	r := newRig(t, settings())
	var told []float64
	r.x.Trace = func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if m, ok := ev.(dispatch.CostCorrection); ok {
			told = append(told, m.Units)
		}
	}
	r.node("a", 0, dispatch.Ready)
	r.begin(1, 0, 0, "", false)
	k := r.dialed(true)
	w := served()
	w.Units = 5
	r.tell(ResponseHeaders{Conn: k, Info: w})
	r.tell(ClientCanceled{ID: 1, Units: 2})
	r.begin(2, 0, 0, "", false)
	k = r.dialed(true)
	r.tell(ResponseCompleted{Conn: k, Info: w, Reuse: true})
	r.begin(3, 0, 0, "", false)
	r.tell(ClientCanceled{ID: 3, Units: 1e6}) // nothing has come yet
	if want := []float64{4, -3, 4}; !slices.Equal(told, want) {
		t.Errorf("told %v, want %v", told, want)
	}
}
