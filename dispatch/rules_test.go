package dispatch

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func TestRuleOneAnswer(t *testing.T) {
	r := newRig(t, testConfig())
	id, acts := r.ask(Request{Shard: 0})
	want(t, "idle node", acts, id, "sent")
	want(t, "time-out at the deadline", func() []Action { r.now += time.Second; return r.end(id, 0, TimedOut) }(), id, "refused")
	if acts := r.end(id, 0, OK); len(attempts(acts)) > 0 {
		t.Error("sent after the answer")
	}
	id, acts = r.ask(Request{Shard: 7})
	want(t, "a shard that no node holds", acts, id, "refused")
	id, _ = r.ask(Request{Shard: 0})
	r.do(ClientCanceled{id})
	if acts := r.end(id, 0, Rejected); kindOf(acts, id) != "held" {
		t.Errorf("answered a client that has left: %v", acts)
	}
	r.do(ClientCanceled{999}) // never heard of: harmless
	r.end(999, 0, OK)
	if len(r.d.requests) != 0 {
		t.Errorf("%d requests kept after their end", len(r.d.requests))
	}
}

func TestHeldRequestIsAnsweredByItsAim(t *testing.T) {
	r := newRig(t, testConfig())
	var ids []RequestID
	for range 12 {
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		ids = append(ids, id)
	}
	waits := 0
	for _, id := range ids {
		if q := r.d.requests[id]; q != nil && q.state == queued {
			waits++
		}
	}
	if waits == 0 {
		t.Fatal("nothing held behind a full depth")
	}
	r.at(200 * ms)
	for id, q := range r.d.requests {
		if q.state == queued {
			t.Errorf("request %d still held at its aim", id)
		}
	}
}

func TestRuleEffects(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ends  AttemptResult
		wait  time.Duration
		want  string
	}{
		{"safe after an error is tried again", 0, ServerError, retryDelay, "sent"},
		{"safe turned away is tried again", 0, Rejected, retryDelay, "sent"},
		{"unsafe turned away is tried again", 2, Rejected, retryDelay, "sent"},
		{"unsafe after an error is neither sent nor refused", 2, ServerError, 0, "failed"},
		{"unsafe after a reset is neither sent nor refused", 2, ConnectionReset, 0, "failed"},
		{"unsafe that never connected is tried again", 2, ConnectFailed, retryDelay, "sent"},
		{"keyed after an error is tried again at its node", 1, ServerError, retryDelay, "sent"},
		{"keyed whose answer is lost is tried again at its node", 1, TimedOut, ms, "sent"},
		{"safe whose answer is lost is tried again", 0, TimedOut, ms, "sent"},
		{"unsafe whose answer is lost is neither sent nor refused", 2, TimedOut, 0, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig())
			id, acts := r.ask(Request{Shard: 0, Class: c.class, Plan: 1})
			want(t, "first", acts, id, "sent")
			r.now += 10 * ms
			acts = r.end(id, 0, c.ends)
			if c.wait > 0 {
				want(t, "before the gap", acts, id, "held")
				acts = r.at(c.wait)
			}
			want(t, "then", acts, id, c.want)
		})
	}
	t.Run("keyed new object stays in its group and window", func(t *testing.T) {
		r := newRig(t, testConfig())
		q := &request{class: &r.d.cfg.Classes[1], attempts: 1, ambiguous: true, ambiguousSince: r.d.now, ambiguousShard: 0}
		for range 40 { // room in the budget
			r.d.budgetRequests = append(r.d.budgetRequests, r.d.now)
		}
		if !r.d.mayRetry(q, r.d.nodes["n0"]) || r.d.mayRetry(q, r.d.nodes["n1"]) {
			t.Error("want a repeat at the same shard only")
		}
		r.d.now += 800 * ms
		if r.d.mayRetry(q, r.d.nodes["n0"]) {
			t.Error("repeated at the end of the window")
		}
	})
}

func TestRuleDrain(t *testing.T) {
	for _, kind := range []string{"draining", "gone", "missing from the whole list"} {
		t.Run(kind, func(t *testing.T) {
			r := newRig(t, testConfig())
			switch kind {
			case "draining":
				r.list(Delta, Node{ID: "n0", Shard: 0, State: Draining})
			case "gone":
				r.list(Delta, Node{ID: "n0", Shard: 0, State: Removed})
			default:
				r.list(Snapshot, Node{ID: "n1", Shard: 1})
			}
			id, acts := r.ask(Request{Shard: 0})
			want(t, "no node serves it", acts, id, "refused")
			r.list(Delta, Node{ID: "n2", Shard: 0})
			id, acts = r.ask(Request{Shard: 0})
			want(t, "a successor", acts, id, "sent")
		})
	}
	t.Run("what is held moves to the successor", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 4 {
			r.ask(Request{Shard: 0, Plan: 1})
		}
		id, acts := r.ask(Request{Shard: 0, Plan: 1})
		want(t, "depth is full", acts, id, "held")
		acts = r.list(Delta, Node{ID: "n0", Shard: 0, State: Draining}, Node{ID: "n2", Shard: 0})
		want(t, "successor", acts, id, "sent")
	})
	t.Run("an emptied list is harmless", func(t *testing.T) {
		r := newRig(t, testConfig())
		r.list(Snapshot)
		id, acts := r.ask(Request{Shard: AnyShard})
		want(t, "no nodes", acts, id, "refused")
	})
}

func TestDiscoveryIsAskedAndAskedAgain(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	d, err := New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	watched := func(acts []Action) bool {
		for _, a := range acts {
			if w, ok := a.(Watch); ok && w.On {
				return true
			}
		}
		return false
	}
	if !watched(d.Handle(time.Hour, EndpointUpdate{Kind: Cached})) {
		t.Fatal("discovery not asked at the start")
	}
	now := time.Hour
	// A change binds 6 s after discovery could be reached, and a call may take 2.5 s of these; 6 s after
	// a watch fell silent, which shows 2.7 s later.
	for range 3 {
		longest := 750 * ms
		for range 20 {
			if watched(d.Handle(now, EndpointUpdate{Kind: PollFailed})) {
				t.Fatal("asked again at once after a failure")
			}
			if now += longest; !watched(d.Handle(now, TimerFired{"wake"})) {
				t.Fatalf("not asked again %v after a failure", longest)
			}
			longest = 3 * time.Second
		}
		d.Handle(now, EndpointUpdate{Kind: Delta}) // it was told something: what failed before is over
	}
}

// The requests that a node reports in hand bound what one unlucky, or lucky, answer says of
// its delay; a report that makes no sense is as good as none.
func TestReportBoundsTheDelay(t *testing.T) {
	after := func(rep LoadReport, took time.Duration) time.Duration {
		r := newRig(t, testConfig())
		for range 2 {
			id, _ := r.ask(Request{Shard: 0, Plan: 1})
			r.do(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 10 * ms})
		}
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.do(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: took, LoadReport: rep})
		return r.d.expectedDelay(r.d.nodes["n0"])
	}
	alone := after(nil, 150*ms)
	if few := after(LoadReport{"inflight": 1}, 150*ms); few >= alone/2 {
		t.Errorf("delay %v with one in hand, %v without a report", few, alone)
	}
	if idle := after(LoadReport{"inflight": 0}, 150*ms); idle > ms {
		t.Errorf("delay %v at an idle node", idle)
	}
	if many := after(LoadReport{"inflight": 50}, 10*ms); many < 20*ms {
		t.Errorf("delay %v with 50 in hand", many)
	}
	for _, bad := range []LoadReport{{"inflight": -3}, {"inflight": math.NaN()}, {"inflight": math.Inf(1)}, {"other": 7}, {}} {
		if got := after(bad, 150*ms); got != alone {
			t.Errorf("%v: delay %v, want %v as without a report", bad, got, alone)
		}
	}
}

// Clients that give up early and repeat at once are answered at once, and cost the others
// neither place, reserve nor budget.
func TestImpatientRepeatsTakeNothing(t *testing.T) {
	r := newRig(t, testConfig())
	id, acts := r.ask(Request{Shard: 0, Plan: 1}) // shows how long clients of the class wait
	want(t, "patient", acts, id, "sent")
	r.end(id, 0, OK)
	r.ask(Request{Shard: 0, Plan: 1, Volume: "w"})
	v := r.d.volumes["v"]
	reserve := v.reserve
	for range 15 {
		id, acts := r.ask(Request{Shard: 0, Plan: 1, Timeout: 60 * ms})
		want(t, "impatient", acts, id, "refused")
	}
	if v.reserve != reserve || v.queuedUnits != 0 || len(r.d.budgetRetries) != 0 {
		t.Errorf("reserve %g, was %g; %g units held", v.reserve, reserve, v.queuedUnits)
	}
}

// With many dispatchers D starts at one: four each would flood a node before any of them
// sees it. A calm node gets one more, until an answer is crowded.
func TestFloorOfDepthAmongMany(t *testing.T) {
	for peers, floor := range map[int]int{1: 4, 8: 4, 10: 3, 40: 1, 200: 1} {
		cfg := testConfig()
		cfg.DispatcherCount = peers
		r := newRig(t, cfg)
		n := r.d.nodes["n0"]
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers: D %d, want %d", peers, got, floor)
		}
		answer := func(took time.Duration) {
			id, _ := r.ask(Request{Shard: 0, Plan: 1})
			r.now += took
			r.do(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: took})
			r.at(10 * time.Second)
		}
		answer(5 * ms)
		answer(5 * ms)
		if got, calm := r.d.concurrencyLimit(n), min(4, floor+1); got != calm {
			t.Errorf("%d dispatchers, calm node: D %d, want %d", peers, got, calm)
		}
		answer(150 * ms)
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers, after a crowded answer: D %d, want %d", peers, got, floor)
		}
	}
}

func TestRuleCold(t *testing.T) {
	sentOver := func(r *rig, length time.Duration) (sent float64) {
		for end := r.now + length; r.now < end; {
			_, acts := r.ask(Request{Shard: 0, Plan: 1, Units: 3})
			acts = append(acts, r.at(10*ms)...)
			for _, id := range attempts(acts) {
				sent += 3
				r.end(id, 0, ServerError)
			}
		}
		return sent
	}
	start := func(usual float64) *rig {
		r := newRig(t, testConfig())
		r.list(Delta, Node{ID: "n0", Shard: 0, Started: r.now})
		u := r.d.throughputOf(0)
		u.sum, u.updatedAt = usual*shardThroughputWindow.Seconds()*(1-decayFactor(r.now-r.d.startedAt, shardThroughputWindow)), r.now
		return r
	}
	even := 20.0 / 2 * slowStartSafetyFactor // a span's even part of what is always borne
	if sent := sentOver(start(0), 3*time.Second); sent > 3*1.5*even+6 || sent == 0 {
		t.Errorf("%g units without history, want above 0 and at most the even part", sent)
	}
	usual := 40.0
	most := even + usual*2.5*0.2*slowStartSafetyFactor
	if sent := sentOver(start(usual), time.Second); sent > most+6 || sent < most/2 {
		t.Errorf("%g units in the first second, want about %g by what the shard usually served", sent, most)
	}
	t.Run("usual service is known of a successor, and fades", func(t *testing.T) {
		r := start(usual)
		r.list(Delta, Node{ID: "n0", Shard: 0, State: Removed}, Node{ID: "n9", Shard: 0, Started: r.now})
		if got := r.d.usualThroughput(r.d.nodes["n9"]); got < usual*0.99 || got > usual*1.01 {
			t.Errorf("%g, want %g", got, usual)
		}
		r.now += shardThroughputWindow
		r.do(TimerFired{"wake"})
		if got := r.d.usualThroughput(r.d.nodes["n9"]); got > usual/2 {
			t.Errorf("%g a span later", got)
		}
	})
	warm := newRig(t, testConfig())
	warm.list(Delta, Node{ID: "n0", Shard: 0, Started: warm.now - 12*time.Second})
	id, acts := warm.ask(Request{Shard: 0, Units: 8, Plan: 1})
	want(t, "a warm node", acts, id, "sent")
	t.Run("a restarted dispatcher starts in debt", func(t *testing.T) {
		debts := 0.0
		for seed := range uint64(40) {
			d, _ := New(testConfig(), seed)
			d.Handle(time.Hour, EndpointUpdate{Kind: Cached, Nodes: []Node{{ID: "n0", Started: time.Hour - time.Second}}})
			d.slowStartReadyAt(d.nodes["n0"], 0)
			debts += d.nodes["n0"].slowStartDebt / 40
		}
		if debts < 0.7 || debts > 1.3 {
			t.Errorf("a mean debt of %g units, want half a usual request", debts)
		}
	})
	t.Run("reserved work gets the little there is first", func(t *testing.T) {
		for _, beyond := range []bool{false, true} {
			r := start(usual)
			n := r.d.nodes["n0"]
			r.d.slowStartReadyAt(n, 0)
			n.slowStartDebt = -0.5 // less than a usual request
			id, _ := r.ask(Request{Shard: 1, Plan: 1})
			r.end(id, 0, OK)
			if beyond {
				r.d.volumes["v"].reserve = -20
			}
			id, acts := r.ask(Request{Shard: 0, Plan: 1})
			want(t, fmt.Sprint("beyond the reserve: ", beyond), acts, id, map[bool]string{false: "sent", true: "refused"}[beyond])
		}
	})
	t.Run("one unit for each of many peers", func(t *testing.T) {
		cfg := testConfig()
		cfg.DispatcherCount = 200 // above YoungLimit
		r := newRig(t, cfg)
		r.list(Delta, Node{ID: "n0", Shard: 0, Started: r.now})
		if sent := sentOver(r, time.Second); sent > 3 {
			t.Errorf("%g units without history, want one request at most", sent)
		}
	})
}

// A lost answer costs one time-out within the aim, once it is seen that answers are lost;
// a silent node and a slow one are not taken for that.
func TestLostAnswersAreToldApart(t *testing.T) {
	lose := func(r *rig) []Action {
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.now += time.Second
		return r.end(id, 0, TimedOut)
	}
	until := func(acts []Action) time.Duration {
		for _, a := range acts {
			if a, ok := a.(SendAttempt); ok {
				return a.Deadline
			}
		}
		t.Fatal("nothing sent")
		return 0
	}
	learn := func(r *rig) {
		id, acts := r.ask(Request{Shard: 0, Plan: 1})
		if until(acts) != 0 {
			t.Error("ended early without evidence")
		}
		r.now += 5 * ms
		r.end(id, 0, OK)
	}
	r := newRig(t, testConfig())
	learn(r)
	lose(r)
	if r.d.lossRate != 0 {
		t.Error("a time-out alone taken for a lost answer")
	}
	r.now += 3 * time.Second
	learn(r)
	id, acts := r.ask(Request{Shard: 0, Plan: 1})
	at := until(acts)
	if at <= r.now || at >= r.now+200*ms {
		t.Fatalf("ends after %v, want within the aim", at-r.now)
	}
	r.now = at
	acts = append(r.end(id, 0, TimedOut), r.at(0)...)
	acts = append(acts, r.at(ms)...)
	want(t, "a lost answer, in time for another attempt", acts, id, "sent")

	slow := newRig(t, testConfig())
	learn(slow)
	lose(slow)
	id, _ = slow.ask(Request{Shard: 0, Plan: 1})
	slow.now += 900 * ms
	slow.do(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 900 * ms})
	if slow.d.lossRate != 0 {
		t.Error("a slow node taken for one that loses answers")
	}
}

func TestRuleOrder(t *testing.T) {
	r := newRig(t, testConfig())
	put := func(key string) (RequestID, []Action) { return r.ask(Request{Shard: 0, Class: 1, Key: key, Plan: 1}) }
	a, acts := put("k")
	want(t, "first", acts, a, "sent")
	b, acts := put("k")
	want(t, "second waits for its turn", acts, b, "held")
	c, acts := put("other")
	want(t, "another key", acts, c, "sent")
	r.end(c, 0, OK)
	want(t, "the turn passes", r.end(a, 0, OK), b, "sent")
	r.now += 10 * ms
	e, _ := put("k")
	acts = r.do(ClientCanceled{b})
	want(t, "the client of the one running has left; its attempt is out", acts, e, "held")
	acts = r.end(b, 0, Canceled)
	want(t, "the key rests after doubt", acts, e, "held")
	want(t, "still", r.at(149*ms), e, "held")
	want(t, "rested", r.at(ms), e, "sent")
	r.end(e, 0, OK)
	if len(r.d.keyQueues) != 0 {
		t.Errorf("%d keys kept", len(r.d.keyQueues))
	}
}

func TestRuleBudget(t *testing.T) {
	r := newRig(t, testConfig()) // 2 free + 10 %
	again := 0
	for range 10 {
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.end(id, 0, ServerError)
		for _, a := range attempts(r.at(retryDelay)) {
			again++
			r.end(a, 1, OK)
		}
	}
	if again != 3 { // 2 + 10 % of 10
		t.Errorf("%d further attempts for 10 requests, want 3", again)
	}
	cfg := testConfig()
	cfg.RetryBudget = RetryBudget{}
	r = newRig(t, cfg)
	for range 10 {
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.end(id, 0, ServerError)
		acts := r.at(retryDelay)
		want(t, "no budget stated", acts, id, "sent")
		r.end(id, 1, OK)
	}
}

func TestRuleLimit(t *testing.T) {
	r := newRig(t, testConfig())
	sent := 0.0
	for range 100 {
		id, acts := r.ask(Request{Shard: 0, Plan: 0, Units: 4, Dispatchers: 2})
		if kindOf(acts, id) == "sent" {
			sent += 4
			r.end(id, 0, OK)
		}
	}
	if part := (40.0 + 8) / 2; sent > part || sent < part-4 {
		t.Errorf("%g units at once, want nearly this host's part %g", sent, part)
	}
	id, acts := r.ask(Request{Shard: 0, Plan: 0, Units: 30, Dispatchers: 2})
	want(t, "more than the limit can ever hold", acts, id, "refused")
	t.Run("a restarted dispatcher starts with nothing", func(t *testing.T) {
		d, _ := New(testConfig(), 1)
		d.Handle(time.Hour, EndpointUpdate{Kind: Cached, Nodes: []Node{{ID: "n0"}}})
		acts := d.Handle(time.Hour, Request{ID: 1, Volume: "v", Units: 1, Dispatchers: 1, Timeout: time.Second})
		want(t, "at once", acts, 1, "held")
		acts = d.Handle(time.Hour+40*ms, TimerFired{"wake"})
		want(t, "once the rate has brought a unit", acts, 1, "sent")
	})
	t.Run("fewer hosts do not enlarge the part", func(t *testing.T) {
		r := newRig(t, testConfig())
		r.ask(Request{Volume: "w", Dispatchers: 4, Shard: 0})
		r.ask(Request{Volume: "w", Dispatchers: 1, Shard: 0})
		if h := r.d.volumes["w"].dispatchers; h != 4 {
			t.Errorf("hosts = %d, want 4", h)
		}
	})
}

func TestSilenceShowsBeforeAnyOutcome(t *testing.T) {
	r := newRig(t, testConfig())
	for range 4 {
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.end(id, 0, OK)
	}
	r.ask(Request{Shard: 0, Plan: 1})
	r.at(400 * ms) // the one out has had no answer for twice the aim
	id, acts := r.ask(Request{Shard: 0, Plan: 1})
	want(t, "one that finds out whether only an answer was lost", acts, id, "sent")
	id, acts = r.ask(Request{Shard: 0, Plan: 1})
	want(t, "a silent node", acts, id, "refused")
	r.at(400 * ms)
	id, acts = r.ask(Request{Shard: 0, Plan: 1})
	want(t, "a node that was silent to both", acts, id, "refused")
	id, acts = r.ask(Request{Shard: 1, Plan: 1})
	want(t, "another node", acts, id, "sent")
}

func TestSuspicionNeedsMoreThanOneSample(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.d.nodes["n0"]
	for i := range ejectionThreshold {
		if n.ejectedUntil > r.now {
			t.Fatalf("backed off after %d bad ends", i)
		}
		id, _ := r.ask(Request{Shard: 0, Plan: 1, Class: 2})
		r.end(id, 0, ConnectionReset)
	}
	if n.ejectedUntil <= r.now {
		t.Fatal("not backed off")
	}
	r.now = n.ejectedUntil
	id, acts := r.ask(Request{Shard: 0, Plan: 1, Class: 2})
	want(t, "the first try after the back-off", acts, id, "sent")
	id2, acts := r.ask(Request{Shard: 0, Plan: 1, Class: 2})
	want(t, "only one at a time", acts, id2, "held")
	r.end(id, 0, OK)
	if r.d.concurrencyLimit(n) < minConcurrency {
		t.Error("an answer did not clear the suspicion")
	}
}

func TestNewReturnsConfigError(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
		"DispatcherCount":             func(c *Config) { c.DispatcherCount = 0 },
		"DispatcherIndex":             func(c *Config) { c.DispatcherIndex = 2 },
		"Classes":                     func(c *Config) { c.Classes = nil },
		"Classes[1].LatencyObjective": func(c *Config) { c.Classes[1].LatencyObjective = 0 },
		"Classes[0].Deadline":         func(c *Config) { c.Classes[0].Deadline = -1 },
		"Classes[1].DedupWindow":      func(c *Config) { c.Classes[1].DedupWindow = -1 },
		"Plans":                       func(c *Config) { c.Plans = nil },
		"Plans[0].Weight":             func(c *Config) { c.Plans[0].Weight = 0 },
		"Plans[1].Weight":             func(c *Config) { c.Plans[1].Weight = math.NaN() },
		"Plans[1].RateLimit":          func(c *Config) { c.Plans[1].RateLimit = -1 },
		"Plans[0].Burst":              func(c *Config) { c.Plans[0].Burst = -1 },
		"Plans[0].Slack":              func(c *Config) { c.Plans[0].Slack = -1 },
		"Plans[0].Reserve":            func(c *Config) { c.Plans[0].Reserve = -1 },
		"SlowStart.Window":            func(c *Config) { c.SlowStart.Window = 0 },
		"SlowStart.InitialCapacity":   func(c *Config) { c.SlowStart.InitialCapacity = 0 },
		"RetryBudget.Window":          func(c *Config) { c.RetryBudget.Window = -1 },
		"RetryBudget.MinRetries":      func(c *Config) { c.RetryBudget.MinRetries = -1 },
		"RetryBudget.Ratio":           func(c *Config) { c.RetryBudget.Ratio = -1 },
		"MaxAttempts":                 func(c *Config) { c.MaxAttempts = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			cfg := testConfig()
			spoil(&cfg)
			_, err := New(cfg, 1)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != field {
				t.Fatalf("error %v, want a ConfigError of %s", err, field)
			}
			if !strings.Contains(err.Error(), field+": expected ") {
				t.Errorf("text %q does not say what is expected of %s", err, field)
			}
		})
	}
}

// State is bounded: fresh keys, volumes and replaced nodes are forgotten.
func TestStateIsBounded(t *testing.T) {
	r := newRig(t, testConfig())
	for i := range 20000 {
		name := string(rune('a'+i%26)) + time.Duration(i).String()
		if i%100 == 0 {
			r.list(Snapshot, Node{ID: NodeID(name), Shard: 0}, Node{ID: "n1", Shard: 1})
		}
		id, acts := r.ask(Request{Shard: 0, Class: i % 3, Plan: i % 2, Key: name, Volume: VolumeID(name)})
		if kindOf(acts, id) == "sent" {
			r.end(id, 0, OK)
		}
		r.at(20 * ms)
	}
	d := r.d
	if len(d.requests) > 50 || len(d.keyQueues) > 50 || len(d.volumes) > 4000 || len(d.nodes) > 5 || d.timers.Len() > 500 ||
		len(d.budgetRequests) > 300 || len(d.nodeOrder) > 5 {
		t.Errorf("kept: %d requests, %d keys, %d volumes, %d nodes, %d tasks, %d taken", len(d.requests), len(d.keyQueues),
			len(d.volumes), len(d.nodes), d.timers.Len(), len(d.budgetRequests))
	}
}

// Settings and requests at their extremes get a sensible decision.
func TestExtremes(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*Config)
		ask   Request
		want  string
	}{
		{"one dispatcher", func(c *Config) { c.DispatcherCount = 1 }, Request{Shard: 0}, "sent"},
		{"no figures of units", func(c *Config) { c.MeanUnits, c.MaxUnits = 0, 0 }, Request{Shard: 0}, "sent"},
		{"no reserve", func(c *Config) { c.Plans[1].Reserve = 0 }, Request{Shard: 0, Plan: 1}, "sent"},
		{"no worth stated", func(c *Config) { c.Classes[0].PriorityWeight = 0 }, Request{Shard: 0}, "sent"},
		{"an aim beyond the deadline", func(c *Config) { c.Classes[0].LatencyObjective = time.Hour }, Request{Shard: 0}, "sent"},
		{
			"a limit below one request", func(c *Config) { c.Plans[0].RateLimit, c.Plans[0].Burst, c.Plans[0].Slack = 1, 1, 1 },
			Request{Shard: 0, Units: 8},
			"refused",
		},
		{"no limit's store at all", func(c *Config) { c.Plans[0].Burst, c.Plans[0].Slack = 0, 0 }, Request{Shard: 0}, "refused"},
		{"units below nothing", func(*Config) {}, Request{Shard: 0, Units: -1}, "refused"},
		{"no time left", func(*Config) {}, Request{Shard: 0, Timeout: -1}, "refused"},
		{"an unknown plan", func(*Config) {}, Request{Shard: 0, Plan: 9}, "refused"},
		{"no round stated", func(c *Config) { c.RoundTrip = 0 }, Request{Shard: 0}, "sent"},
		{"no key in a class that keeps order", func(*Config) {}, Request{Shard: 0, Class: 1}, "sent"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			c.spoil(&cfg)
			id, acts := newRig(t, cfg).ask(c.ask)
			want(t, c.name, acts, id, c.want)
		})
	}
	t.Run("a request told twice is answered once", func(t *testing.T) {
		r := newRig(t, testConfig())
		id, _ := r.ask(Request{Shard: 0})
		if acts := r.do(Request{ID: id, Shard: 0, Units: 1, Timeout: time.Second}); len(acts) > 0 {
			t.Errorf("acted on the second: %v", acts)
		}
	})
}
