package settings

import (
	"fmt"
	"strconv"
)

const (
	minLine     = 256      // bytes
	minHeaders  = 8        // header fields
	minHead     = 1 * kib  // bytes
	minDocument = 1 * kib  // bytes
	maxReplay   = 1 * mib  // bytes
	minLogBytes = 64 * kib // bytes
)

func (s *Settings) checkLimits() *ConfigError {
	l := s.Limits
	return first(
		atLeast(l.Line, minLine, "limits.line"),
		atLeast(l.Headers, minHeaders, "limits.headers"),
		atLeast(l.Head, minHead, "limits.head"),
		atLeast(l.Replay, 1, "limits.replay"),
		atLeast(l.Document, minDocument, "limits.document"),
		atLeast(l.Pipelined, 1, "limits.pipelined"),
		atLeast(l.FanOut, 1, "limits.fan_out"),
		atLeast(l.Conns, 1, "limits.conns"),
		atLeast(l.Calls, 1, "limits.calls"),
		atLeast(l.ConnsPerNode, 1, "limits.conns_per_node"),
		expect(l.Replay <= maxReplay, "limits.replay", fmt.Sprintf("at most %d: larger bodies stream", maxReplay)),
		positive(l.NodeIdle, "limits.node_idle"),
		positive(l.NodeAge, "limits.node_age"),
		positive(l.Connect, "limits.connect"),
		positive(l.ClientHead, "limits.client_head"),
		positive(l.ClientIdle, "limits.client_idle"),
		positive(l.ClientBody, "limits.client_body"),
		positive(l.Skew, "limits.skew"),
		positive(l.DrainWait, "limits.drain_wait"),
		expect(within(l.Streams, 0, l.ConnsPerNode-1), "limits.streams_per_node",
			"0 to below conns_per_node: the rest is for what the dispatcher sends"),
		expect(l.Margin >= 0, "limits.margin", "0 or more"),
	)
}

func atLeast[T int | int64](v, low T, field string) *ConfigError {
	return expect(v >= low, field, "at least "+strconv.FormatInt(int64(low), 10))
}

func positive(d Duration, field string) *ConfigError {
	return expect(d > 0, field, `a time above 0, such as "30s"`)
}

func (s *Settings) checkShare() *ConfigError {
	x := s.Share
	return first(
		expect(x.Order == orderFair || x.Order == orderArrival, "share.order", "fair or arrival"),
		expect(within(x.Quantum, 4*kib, 16*mib), "share.quantum", "4096 to 16777216 bytes"),
		expect(within(x.Slice, 10*microsecond, 100*millisecond), "share.slice", `"10us" to "100ms"`),
		expect(within(x.Window, millisecond, 10*second), "share.window", `"1ms" to "10s"`),
		expect(within(x.ByteTime, 0, 1000), "share.byte_time", "0 to 1000 nanoseconds"),
		expect(within(x.Finishing, 0.01, 100), "share.finishing", "a weight, 0.01 to 100"),
		expect(within(x.Flows, 1, 1<<20), "share.flows", "1 to 1048576"),
		expect(within(x.Newcomers, minWeight, maxWeight), "share.newcomers", "a weight, 0.000001 to 1000000"),
		expect(within(x.Depth, 1, 1<<16), "share.depth", "1 to 65536"),
		expect(within(x.Crowd, 1, 1<<16), "share.crowd", "1 to 65536"),
		expect(within(x.Draw, 16*kib, 1<<30), "share.draw", "16384 to 1073741824 bytes"),
		expect(within(x.Lease, millisecond, 10*second), "share.lease", `"1ms" to "10s"`),
		expect(within(x.Receive, 16*kib, 64*mib), "share.receive", "16384 to 67108864 bytes"),
		expect(x.MaxWait > 0, "share.max_wait", `a time above 0, such as "2s"`),
		x.Overload.check(),
	)
}

func (o Overload) check() *ConfigError {
	return first(
		expect(within(o.Target, 0, minute), "share.overload.target", `"0s" to "1m"`),
		expect(o.Interval >= o.Target && within(o.Interval, millisecond, minute), "share.overload.interval",
			`"1ms" to "1m", and the target or more`),
		expect(o.Back >= millisecond, "share.overload.back", `"1ms" or more`),
		expect(within(o.MaxBack, o.Back, hour), "share.overload.max_back", `back or more, "1h" at most`),
	)
}

func (s *Settings) checkAccounts() *ConfigError {
	a := s.Accounts
	return first(
		fromTo(a.Volumes, 1, 4096, "accounts.volumes"),
		fromTo(a.Pairs, 1, 16384, "accounts.pairs"),
		fromTo(a.Distributions, 0, 256, "accounts.distributions"),
		fromTo(a.Late, 1, 1<<20, "accounts.late"),
		fromTo(a.Batches, 1, 4096, "accounts.batches"),
		fromTo(a.LogFiles, 1, 1000, "accounts.log_files"),
		atLeast(a.LogBytes, minLogBytes, "accounts.log_bytes"),
	)
}

func fromTo(v, low, high int, field string) *ConfigError {
	return expect(within(v, low, high), field, fmt.Sprintf("%d to %d", low, high))
}
