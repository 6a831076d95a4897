package settings

import (
	"chalkstand/costmodel"
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/objectapi"
	"fmt"
	"net"
	"path"
	"time"
)

// check finds the first setting that makes no sense: its field and what is wanted.
func (s *Settings) check() (field, want string) {
	for _, c := range []func() (string, string){
		s.checkPlaces, s.checkKeys, s.checkNodes, s.checkClasses, s.checkPlans,
		s.checkBuckets, s.checkOperations, s.checkRules, s.checkLimits, s.checkShare, s.checkAccounts,
	} {
		if f, w := c(); w != "" {
			return f, w
		}
	}
	return "", ""
}

func (s *Settings) checkPlaces() (string, string) {
	switch {
	case s.Name == "":
		return "name", "want a name without blanks or slashes"
	case !address(s.Listen):
		return "listen", `want HOST:PORT, such as "127.0.0.1:9000"`
	case s.Admin != "" && !address(s.Admin):
		return "admin", `want HOST:PORT, such as "127.0.0.1:9001", or ""`
	case s.Region == "":
		return "region", "want the region that clients sign for"
	case s.Loops < 0 || s.Loops > 256:
		return "loops", "want 0 to 256"
	case s.Peers < 1:
		return "peers", "want at least 1: this gateway counts"
	case s.Me < 0 || s.Me >= s.Peers:
		return "me", fmt.Sprintf("want 0 to %d, below peers", s.Peers-1)
	case s.Log.Level != "debug" && s.Log.Level != "info" && s.Log.Level != "warn" && s.Log.Level != "error":
		return "log.level", "want debug, info, warn or error"
	}
	for i, r := range s.Name {
		if r <= ' ' || r == '/' || r > '~' || i > 63 {
			return "name", "want up to 64 letters, without blanks or slashes"
		}
	}
	return "", ""
}

func address(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port != ""
}

func (s *Settings) checkKeys() (string, string) {
	ids := map[string]bool{}
	for i, k := range s.Keys {
		f := fmt.Sprintf("keys[%d].", i)
		switch {
		case len(k.ID) < 3:
			return f + "id", "want at least 3 letters"
		case len(k.Secret) < 8:
			return f + "secret", "want at least 8 letters"
		case ids[k.ID]:
			return f + "id", "this key is listed twice"
		case len(k.Buckets) == 0:
			return f + "buckets", `want patterns of buckets, such as ["*"]`
		}
		ids[k.ID] = true
		for j, p := range k.Buckets {
			if _, err := path.Match(p, ""); err != nil {
				return fmt.Sprintf("%sbuckets[%d]", f, j), `want a pattern such as "photos-*"`
			}
		}
	}
	return "", ""
}

func (s *Settings) checkNodes() (string, string) {
	if s.Shards < 1 || s.Shards > 4096 {
		return "shards", "want 1 to 4096"
	}
	if s.Embedded != nil && len(s.Nodes) > 0 {
		return "nodes", "either nodes or embedded_nodes, not both"
	}
	if e := s.Embedded; e != nil && (e.Cores < 0 || e.Queue < 0 || e.PerUnit < 0) {
		return "embedded_nodes", "cores, queue and per_unit must not be negative"
	}
	ids := map[string]bool{}
	for i, n := range s.Nodes {
		f := fmt.Sprintf("nodes[%d].", i)
		switch {
		case n.ID == "":
			return f + "id", "want a name"
		case ids[n.ID]:
			return f + "id", "this node is listed twice"
		case !address(n.Addr):
			return f + "addr", `want HOST:PORT, such as "127.0.0.1:9100"`
		case n.Shard < 0 || n.Shard >= s.Shards:
			return f + "shard", fmt.Sprintf("want 0 to %d, below shards", s.Shards-1)
		case n.State != "" && n.State != "serving" && n.State != "draining":
			return f + "state", "want serving or draining"
		}
		ids[n.ID] = true
	}
	return "", ""
}

var (
	effects = map[string]dispatch.Idempotency{"safe": dispatch.Idempotent, "keyed": dispatch.Deduplicated, "unsafe": dispatch.NonIdempotent}
	groups  = map[string]dispatch.DedupScope{"": dispatch.DedupEverywhere, "all": dispatch.DedupEverywhere, "zone": dispatch.DedupPerZone, "shard": dispatch.DedupPerShard}
)

func (s *Settings) checkClasses() (string, string) {
	if len(s.Classes) == 0 {
		return "classes", "want at least one class"
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		f := fmt.Sprintf("classes[%d].", i)
		_, effect := effects[c.Effect]
		_, group := groups[c.Group]
		switch {
		case c.Name == "" || names[c.Name]:
			return f + "name", "want a name that no other class has"
		case c.Aim <= 0:
			return f + "aim", `want a time above 0, such as "300ms"`
		case c.Deadline < c.Aim:
			return f + "deadline", "want a time not below the aim"
		case c.Deadline <= s.Limits.Margin:
			return f + "deadline", "want a time above limits.margin"
		case !(c.Worth >= 0):
			return f + "worth", "want 0 or more"
		case !effect:
			return f + "effect", "want safe, keyed or unsafe"
		case !group:
			return f + "group", "want all, zone or shard"
		case c.Effect == "keyed" && c.Window <= 0:
			return f + "window", "want how long nodes drop repeats of a keyed request"
		}
		names[c.Name] = true
	}
	return "", ""
}

func (s *Settings) checkPlans() (string, string) {
	if len(s.Plans) == 0 {
		return "plans", "want at least one plan"
	}
	names := map[string]bool{}
	for i, p := range s.Plans {
		f := fmt.Sprintf("plans[%d].", i)
		switch {
		case p.Name == "" || names[p.Name]:
			return f + "name", "want a name that no other plan has"
		case !(p.Rate > 0):
			return f + "rate", "want units a second above 0"
		case !(p.Weight > 0):
			return f + "weight", "want a number above 0"
		case !(p.Reserve >= 0) || !(p.Price >= 0) || !(p.Limit >= 0) || !(p.Burst >= 0) || !(p.Slack >= 0):
			return f + "reserve", "reserve, price, limit, burst and slack must not be negative"
		case !(p.MiBPerSecond >= 0) || p.MiBPerSecond > 1<<20:
			return f + "mib_per_second", "want 0 (no limit) to 1048576"
		case !(p.MiBBurst >= 0) || p.MiBBurst > 1<<20:
			return f + "mib_burst", "want 0 (a second's worth) to 1048576"
		case p.MiBBurst > 0 && p.MiBPerSecond == 0:
			return f + "mib_burst", "a burst needs mib_per_second"
		case p.Weight > 1e6 || p.Weight < 1e-6:
			return f + "weight", "want 0.000001 to 1000000"
		case p.Limit > 0 && p.Burst+p.Slack < s.Rules.LargestUnits:
			return f + "burst", "burst and slack together must bear the largest request (rules.largest_units)"
		}
		names[p.Name] = true
	}
	return "", ""
}

func (s *Settings) planIndex(name string) int {
	for i, p := range s.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

func (s *Settings) classIndex(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

func (s *Settings) checkBuckets() (string, string) {
	if len(s.Buckets) == 0 {
		return "buckets", `want at least one line, such as {"pattern": "*", "plan": …}`
	}
	for i, b := range s.Buckets {
		f := fmt.Sprintf("buckets[%d].", i)
		if _, err := path.Match(b.Pattern, ""); err != nil || b.Pattern == "" {
			return f + "pattern", `want a pattern such as "photos-*"`
		}
		switch {
		case s.planIndex(b.Plan) < 0:
			return f + "plan", "want the name of a plan"
		case b.Hosts < 0 || b.Hosts > s.Peers:
			return f + "hosts", "want 0 (all) to peers"
		case b.Spread < 0 || b.Spread > s.Shards:
			return f + "spread", "want 0 (all) to shards"
		}
	}
	return "", ""
}

func (s *Settings) checkOperations() (string, string) {
	for i, o := range s.Operations {
		f := fmt.Sprintf("operations[%d].", i)
		if s.classIndex(o.Class) < 0 {
			return f + "class", "want the name of a class"
		}
		for j, n := range o.Operations {
			if _, ok := objectapi.KindNamed(n); !ok && n != "*" {
				return fmt.Sprintf("%soperations[%d]", f, j), `want the name of an operation, such as "GetObject", or "*"`
			}
		}
	}
	if _, err := s.CostModel(); err != nil {
		return "operations", err.Error()
	}
	return "", ""
}

func (s *Settings) checkRules() (string, string) {
	r := s.Rules
	switch {
	case r.MaxAttempts < 1:
		return "rules.max_attempts", "want at least 1"
	case r.MaxRetryAfter <= 0:
		return "rules.max_retry_after", "want a time above 0"
	case r.Settle < 0 || r.Round < 0:
		return "rules.settle", "settle and round must not be negative"
	case !(r.UsualUnits > 0) || !(r.LargestUnits >= r.UsualUnits):
		return "rules.largest_units", "want 0 < usual_units <= largest_units"
	case !(r.Budget.Free >= 0) || !(r.Budget.Ratio >= 0) || r.Budget.Span < 0:
		return "rules.budget", "free, ratio and span must not be negative"
	case r.Cold.YoungLimit > 0 && (r.Cold.Span <= 0 || !(r.Cold.From > 0) || r.Cold.From > 1):
		return "rules.cold", "young_limit needs a span and a from in (0, 1]"
	}
	return "", ""
}

func (s *Settings) checkLimits() (string, string) {
	l := s.Limits
	for _, c := range []struct {
		field     string
		have, min int
	}{
		{"line", l.Line, 256},
		{"headers", l.Headers, 8},
		{"head", l.Head, 1024},
		{"replay", l.Replay, 1},
		{"document", l.Document, 1024},
		{"pipelined", l.Pipelined, 1},
		{"fan_out", l.FanOut, 1},
		{"conns", l.Conns, 1},
		{"calls", l.Calls, 1},
		{"conns_per_node", l.ConnsPerNode, 1},
	} {
		if c.have < c.min {
			return "limits." + c.field, fmt.Sprintf("want at least %d", c.min)
		}
	}
	if l.Replay > 1<<20 {
		return "limits.replay", "want at most 1048576: larger bodies stream"
	}
	for _, c := range []struct {
		field string
		have  Duration
	}{
		{"node_idle", l.NodeIdle},
		{"node_age", l.NodeAge},
		{"connect", l.Connect},
		{"client_head", l.ClientHead},
		{"client_idle", l.ClientIdle},
		{"client_body", l.ClientBody},
		{"skew", l.Skew},
		{"drain_wait", l.DrainWait},
	} {
		if c.have <= 0 {
			return "limits." + c.field, `want a time above 0, such as "30s"`
		}
	}
	if l.Streams < 0 || l.Streams >= l.ConnsPerNode {
		return "limits.streams_per_node", "want 0 to below conns_per_node: the rest is for what the dispatcher sends"
	}
	if l.Margin < 0 {
		return "limits.margin", "want 0 or more"
	}
	return "", ""
}

func (s *Settings) checkShare() (string, string) {
	x := s.Share
	switch {
	case x.Order != "fair" && x.Order != "arrival":
		return "share.order", "want fair or arrival"
	case x.Quantum < 4<<10 || x.Quantum > 16<<20:
		return "share.quantum", "want 4096 to 16777216 bytes"
	case x.Slice < Duration(10*time.Microsecond) || x.Slice > Duration(100*time.Millisecond):
		return "share.slice", `want "10us" to "100ms"`
	case x.Window < Duration(time.Millisecond) || x.Window > Duration(10*time.Second):
		return "share.window", `want "1ms" to "10s"`
	case !(x.ByteTime >= 0) || x.ByteTime > 1000:
		return "share.byte_time", "want 0 to 1000 nanoseconds"
	case !(x.Finishing >= 0.01) || x.Finishing > 100:
		return "share.finishing", "want a weight, 0.01 to 100"
	case x.Flows < 1 || x.Flows > 1<<20:
		return "share.flows", "want 1 to 1048576"
	case !(x.Newcomers >= 1e-6) || x.Newcomers > 1e6:
		return "share.newcomers", "want a weight, 0.000001 to 1000000"
	case x.Depth < 1 || x.Depth > 1<<16:
		return "share.depth", "want 1 to 65536"
	case x.Crowd < 1 || x.Crowd > 1<<16:
		return "share.crowd", "want 1 to 65536"
	case x.Draw < 16<<10 || x.Draw > 1<<30:
		return "share.draw", "want 16384 to 1073741824 bytes"
	case x.Lease < Duration(time.Millisecond) || x.Lease > Duration(10*time.Second):
		return "share.lease", `want "1ms" to "10s"`
	case x.Receive < 16<<10 || x.Receive > 64<<20:
		return "share.receive", "want 16384 to 67108864 bytes"
	case x.MaxWait <= 0:
		return "share.max_wait", `want a time above 0, such as "2s"`
	}
	return s.checkOverload()
}

func (s *Settings) checkOverload() (string, string) {
	x := s.Share.Overload
	switch {
	case x.Target < 0 || x.Target > Duration(time.Minute):
		return "share.overload.target", `want "0s" to "1m"`
	case x.Interval < x.Target || x.Interval < Duration(time.Millisecond) || x.Interval > Duration(time.Minute):
		return "share.overload.interval", `want "1ms" to "1m", and the target or more`
	case x.Back < Duration(time.Millisecond):
		return "share.overload.back", `want "1ms" or more`
	case x.MaxBack < x.Back || x.MaxBack > Duration(time.Hour):
		return "share.overload.max_back", `want back or more, "1h" at most`
	}
	return "", ""
}

func (s *Settings) checkAccounts() (string, string) {
	a := s.Accounts
	for _, c := range []struct {
		field           string
		have, min, most int
	}{
		{"volumes", a.Volumes, 1, 4096},
		{"pairs", a.Pairs, 1, 16384},
		{"distributions", a.Distributions, 0, 256},
		{"late", a.Late, 1, 1 << 20},
		{"batches", a.Batches, 1, 4096},
		{"log_files", a.LogFiles, 1, 1000},
	} {
		if c.have < c.min || c.have > c.most {
			return "accounts." + c.field, fmt.Sprintf("want %d to %d", c.min, c.most)
		}
	}
	if a.LogBytes < 64<<10 {
		return "accounts.log_bytes", "want at least 65536"
	}
	return "", ""
}

// CostModel returns the cost model of the "operations" list.
func (s *Settings) CostModel() (*costmodel.Model[objectapi.Kind], error) {
	var rules []costmodel.Rule[objectapi.Kind]
	for _, o := range s.Operations {
		r := costmodel.Rule[objectapi.Kind]{
			MaxBytes:     o.MaxBytes,
			Class:        s.classIndex(o.Class),
			Units:        o.Units,
			PerMiB:       o.PerMiB,
			AssumedBytes: o.Assume,
		}
		for _, n := range o.Operations {
			if n == "*" {
				for k := range objectapi.Kinds() {
					r.Operations = append(r.Operations, objectapi.Kind(k))
				}
			} else if k, ok := objectapi.KindNamed(n); ok {
				r.Operations = append(r.Operations, k)
			}
		}
		rules = append(rules, r)
	}
	return costmodel.New(rules, objectapi.Kinds(), len(s.Classes), s.Rules.LargestUnits)
}

// DispatchConfig returns the dispatcher's settings.
func (s *Settings) DispatchConfig() dispatch.Config {
	r := s.Rules
	c := dispatch.Config{
		DispatcherIndex: s.Me, DispatcherCount: s.Peers, CancelAttempts: true, MaxRetryAfter: r.MaxRetryAfter.D(), MaxAttempts: r.MaxAttempts,
		RoundTrip: r.Round.D(), MeanUnits: r.UsualUnits, MaxUnits: r.LargestUnits, Quiescence: r.Settle.D(),
		RetryBudget: dispatch.RetryBudget{MinRetries: r.Budget.Free, Ratio: r.Budget.Ratio, Window: r.Budget.Span.D()},
		SlowStart: dispatch.SlowStart{
			InitialCapacity: r.Cold.From, WarmUp: r.Cold.WarmUp.D(), OverloadFactor: r.Cold.Multiple, Window: r.Cold.Span.D(),
			InitialUnits: r.Cold.YoungLimit,
		},
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, dispatch.Class{
			Name: k.Name, LatencyObjective: k.Aim.D(), Deadline: k.Deadline.D(), PriorityWeight: k.Worth,
			Idempotency: effects[k.Effect], DedupScope: groups[k.Group], DedupWindow: k.Window.D(), Ordered: k.InTurn,
		})
	}
	for _, p := range s.Plans {
		c.Plans = append(c.Plans, dispatch.Plan{
			Name: p.Name, Reserve: p.Reserve, Weight: p.Weight, Price: p.Price,
			RateLimit: p.Limit, Burst: p.Burst, Slack: p.Slack,
		})
	}
	return c
}

// Plan returns the index of a bucket rule's plan.
func (s *Settings) Plan(rule int) int { return s.planIndex(s.Buckets[rule].Plan) }

// Terms is the share of the loops, and the limit in bytes, that a bucket which fits a
// rule has at this gateway: its volume's limit divided by the gateways that serve it.
func (s *Settings) Terms(rule int) fairshare.FlowConfig {
	p := s.Plans[s.Plan(rule)]
	burst := p.MiBBurst
	if burst == 0 {
		burst = p.MiBPerSecond
	}
	n := float64(max(s.Hosts(rule), 1))
	return fairshare.FlowConfig{Weight: p.Weight, Rate: p.MiBPerSecond * (1 << 20) / n, Burst: burst * (1 << 20) / n}
}

// Hosts returns through how many gateways the requests of a bucket rule come.
func (s *Settings) Hosts(rule int) int {
	if h := s.Buckets[rule].Hosts; h > 0 {
		return h
	}
	return s.Peers
}
