package settings

import (
	"fmt"
	"strconv"
)

const (
	minLine     = 256      // minimum of limits.line, in bytes
	minHeaders  = 8        // minimum of limits.headers, in header fields
	minHead     = 1 * kib  // minimum of limits.head, in bytes
	minDocument = 1 * kib  // minimum of limits.document, in bytes
	minMemory   = 1 * mib  // minimum of limits.memory, in bytes
	maxReplay   = 1 * mib  // maximum of limits.replay, in bytes
	minLogBytes = 64 * kib // minimum of accounts.log_bytes, in bytes
)

func (s *Settings) checkLimits() *ConfigError {
	l := s.Limits
	return firstError(
		atLeast(l.Line, minLine, "limits.line"),
		atLeast(l.Headers, minHeaders, "limits.headers"),
		atLeast(l.Head, minHead, "limits.head"),
		atLeast(l.Replay, 1, "limits.replay"),
		atLeast(l.Document, minDocument, "limits.document"),
		errorUnless(l.Memory >= 2*l.Document && l.Memory >= minMemory, "limits.memory",
			fmt.Sprintf("at least %d and twice limits.document", minMemory)),
		atLeast(l.Pipelined, 1, "limits.pipelined"),
		atLeast(l.FanOut, 1, "limits.fan_out"),
		atLeast(l.Conns, 1, "limits.conns"),
		atLeast(l.Requests, 1, "limits.calls"),
		atLeast(l.ConnsPerNode, 1, "limits.conns_per_node"),
		errorUnless(l.Replay <= maxReplay, "limits.replay", fmt.Sprintf("at most %d, because larger bodies are streamed", maxReplay)),
		positive(l.NodeIdle, "limits.node_idle"),
		positive(l.NodeAge, "limits.node_age"),
		positive(l.Connect, "limits.connect"),
		positive(l.ClientHead, "limits.client_head"),
		positive(l.ClientIdle, "limits.client_idle"),
		positive(l.ClientBody, "limits.client_body"),
		positive(l.ClockSkew, "limits.skew"),
		positive(l.ShutdownTimeout, "limits.drain_wait"),
		errorUnless(within(l.Streams, 0, l.ConnsPerNode-1), "limits.streams_per_node",
			"0 or more and less than conns_per_node, because the dispatcher needs the other connections"),
		errorUnless(l.ResponseMargin >= 0, "limits.margin", "0 or more"),
	)
}

func atLeast[T int | int64](v, low T, field string) *ConfigError {
	return errorUnless(v >= low, field, "at least "+strconv.FormatInt(int64(low), 10))
}

func positive(d Duration, field string) *ConfigError {
	return errorUnless(d > 0, field, `a time above 0, such as "30s"`)
}

func (s *Settings) checkFairSharing() *ConfigError {
	share := s.FairSharing
	return firstError(
		errorUnless(share.Order == orderFair || share.Order == orderArrival, "share.order", "fair or arrival"),
		errorUnless(within(share.Quantum, 4*kib, 16*mib), "share.quantum", "4096 to 16777216 bytes"),
		errorUnless(within(share.PollInterval, 10*microsecond, 100*millisecond), "share.slice", `"10us" to "100ms"`),
		errorUnless(within(share.Window, millisecond, 10*second), "share.window", `"1ms" to "10s"`),
		errorUnless(within(share.ByteTime, 0, 1000), "share.byte_time", "0 to 1000 nanoseconds"),
		errorUnless(within(share.InProgressWeight, 0.01, 100), "share.finishing", "a weight, 0.01 to 100"),
		errorUnless(within(share.Flows, 1, 1<<20), "share.flows", "1 to 1048576"),
		errorUnless(within(share.NewConnsWeight, minWeight, maxWeight), "share.newcomers", "a weight, 0.000001 to 1000000"),
		errorUnless(within(share.Depth, 1, 1<<16), "share.depth", "1 to 65536"),
		errorUnless(within(share.WaitersPerGrant, 1, 1<<16), "share.crowd", "1 to 65536"),
		errorUnless(within(share.GrantBytes, 16*kib, 1<<30), "share.draw", "16384 to 1073741824 bytes"),
		errorUnless(within(share.GrantTimeout, millisecond, 10*second), "share.lease", `"1ms" to "10s"`),
		errorUnless(within(share.ReceiveBuffer, 16*kib, 64*mib), "share.receive", "16384 to 67108864 bytes"),
		errorUnless(share.MaxDelay > 0, "share.max_wait", `a time above 0, such as "2s"`),
		share.Overload.check(),
	)
}

func (o Overload) check() *ConfigError {
	return firstError(
		errorUnless(within(o.Target, 0, minute), "share.overload.target", `"0s" to "1m"`),
		errorUnless(o.Interval >= o.Target && within(o.Interval, millisecond, minute), "share.overload.interval",
			`"1ms" to "1m" and at least share.overload.target`),
		errorUnless(o.RetryAfter >= millisecond, "share.overload.back", `at least "1ms"`),
		errorUnless(within(o.MaxRetryAfter, o.RetryAfter, hour), "share.overload.max_back", `at least share.overload.back and at most "1h"`),
	)
}

func (s *Settings) checkAttribution() *ConfigError {
	a := s.Attribution
	return firstError(
		fromTo(a.Volumes, 1, 4096, "accounts.volumes"),
		fromTo(a.Pairs, 1, 16384, "accounts.pairs"),
		fromTo(a.Distributions, 0, 256, "accounts.distributions"),
		fromTo(a.LateReports, 1, 1<<20, "accounts.late"),
		fromTo(a.Batches, 1, 4096, "accounts.batches"),
		fromTo(a.LogFiles, 1, 1000, "accounts.log_files"),
		atLeast(a.LogBytes, minLogBytes, "accounts.log_bytes"),
	)
}

func fromTo(v, low, high int, field string) *ConfigError {
	return errorUnless(within(v, low, high), field, fmt.Sprintf("%d to %d", low, high))
}
