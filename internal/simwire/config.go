package simwire

import (
	"chalkstand/dispatch"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// settings reads path=value pairs; the first error stays.
type settings struct {
	m   map[string]string
	err error
}

// config reads the settings as the simulator writes them: path=value pairs.
func config(s string) (dispatch.Config, error) {
	p := settings{m: map[string]string{}}
	for _, kv := range strings.Fields(s) {
		k, v, ok := strings.Cut(kv, "=")
		if !ok {
			return dispatch.Config{}, fmt.Errorf("config: expected path=value, got %q", kv)
		}
		p.m[k] = v
	}
	return p.dispatchConfig()
}

// the dispatcher reads what the decisions use.
func (p *settings) dispatchConfig() (dispatch.Config, error) {
	c := dispatch.Config{
		DispatcherIndex: p.integer("me"), DispatcherCount: p.integer("peers_total"),
		CancelAttempts: p.boolean("limits.cancel"),
		PollDiscovery:  p.m["discovery"] == "on_request",
		MaxRetryAfter:  p.time("limits.max_retry_after_ms"), MaxAttempts: p.integer("limits.try_limit"),
		RoundTrip: p.time("round_ms"), MeanUnits: p.number("family_info.usual_units"),
		MaxUnits:   p.number("family_info.largest"),
		Quiescence: p.time("rules.settle_after_doubt_ms"),
		SlowStart: dispatch.SlowStart{
			InitialCapacity: p.number("rules.cold_from"), WarmUp: p.time("rules.warm_up_ms"),
			OverloadFactor: p.number("rules.overload_factor"), Window: p.time("rules.overload_for_ms"),
			InitialUnits: p.number("family_info.young_limit"),
		},
		RetryBudget: dispatch.RetryBudget{
			MinRetries: p.number("rules.free_resends"), Ratio: p.number("rules.resend_ratio"),
			Window: p.time("rules.resend_span_ms"),
		},
	}
	for i := range p.count("classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		k := dispatch.Class{
			Name: p.m[at+"name"], LatencyObjective: p.time(at + "slo_ms"), Deadline: p.time(at + "deadline_ms"),
			PriorityWeight: p.number(at + "credit"), DedupWindow: p.time(at + "window_ms"),
			Ordered: p.boolean(at + "in_turn"),
		}
		k.Idempotency = dispatch.Idempotency(p.oneOf(at+"effect", map[string]int{
			"":           int(dispatch.NonIdempotent),
			"idempotent": int(dispatch.Idempotent), "deduplicated": int(dispatch.Deduplicated), "at_most_once": int(dispatch.NonIdempotent),
		}))
		k.DedupScope = dispatch.DedupScope(p.oneOf(at+"group", map[string]int{
			"":    int(dispatch.DedupPerShard),
			"all": int(dispatch.DedupEverywhere), "zone": int(dispatch.DedupPerZone), "cell": int(dispatch.DedupPerShard),
		}))
		c.Classes = append(c.Classes, k)
	}
	for i := range p.count("policies.count") {
		at := fmt.Sprintf("policies.%d.", i)
		c.Plans = append(c.Plans, dispatch.Plan{
			Name:    p.m[at+"name"],
			Reserve: p.number(at + "guaranteed"), Weight: p.number(at + "weight"), Price: p.number(at + "value_factor"),
			RateLimit: p.number(at + "limit"), Burst: p.number(at + "limit_burst"), Slack: p.number(at + "cap_slack"),
		})
	}
	return c, p.err
}

func (p *settings) bad(k, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("config: %s: expected %s, got %q", k, want, p.m[k])
	}
}

func (p *settings) number(k string) float64 {
	s, ok := p.m[k]
	if !ok || s == "-" || s == "" {
		return 0
	}
	x, ok := Finite(s)
	if !ok {
		p.bad(k, "a number")
	}
	return x
}

// Finite reads a number that is neither infinite nor none.
func Finite(s string) (float64, bool) {
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
}

func (p *settings) integer(k string) int { return int(p.number(k)) }

// count bounds a list's length, so that a wrong one cannot exhaust memory.
func (p *settings) count(k string) int {
	n := p.integer(k)
	if n < 0 || n > 1000 {
		p.bad(k, "0 to 1000")
		return 0
	}
	return n
}

func (p *settings) time(k string) time.Duration { return millis(p.number(k)) }

func (p *settings) boolean(k string) bool {
	switch p.m[k] {
	case "true", "1":
		return true
	case "false", "0", "", "-":
	default:
		p.bad(k, "true or false")
	}
	return false
}

func (p *settings) oneOf(k string, of map[string]int) int {
	v, ok := of[p.m[k]]
	if !ok {
		p.bad(k, "a known word")
	}
	return v
}
