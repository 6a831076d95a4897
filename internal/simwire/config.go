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
		Me: p.integer("me"), Peers: p.integer("peers_total"),
		Cancel:        p.boolean("limits.cancel"),
		AskDiscovery:  p.m["discovery"] == "on_request",
		MaxRetryAfter: p.time("limits.max_retry_after_ms"), MaxAttempts: p.integer("limits.try_limit"),
		Round: p.time("round_ms"), UsualUnits: p.number("family_info.usual_units"),
		LargestUnits: p.number("family_info.largest"),
		Settle:       p.time("rules.settle_after_doubt_ms"),
		Cold: dispatch.ColdRule{
			From: p.number("rules.cold_from"), WarmUp: p.time("rules.warm_up_ms"),
			Multiple: p.number("rules.overload_factor"), Span: p.time("rules.overload_for_ms"),
			YoungLimit: p.number("family_info.young_limit"),
		},
		Budget: dispatch.BudgetRule{
			Free: p.number("rules.free_resends"), Ratio: p.number("rules.resend_ratio"),
			Span: p.time("rules.resend_span_ms"),
		},
	}
	for i := range p.count("classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		k := dispatch.Class{
			Name: p.m[at+"name"], Aim: p.time(at + "slo_ms"), Deadline: p.time(at + "deadline_ms"),
			Worth: p.number(at + "credit"), Window: p.time(at + "window_ms"),
			InTurn: p.boolean(at + "in_turn"),
		}
		k.Effect = dispatch.Effect(p.oneOf(at+"effect", map[string]int{
			"":           int(dispatch.Unsafe),
			"idempotent": int(dispatch.Safe), "deduplicated": int(dispatch.Keyed), "at_most_once": int(dispatch.Unsafe),
		}))
		k.Group = dispatch.Group(p.oneOf(at+"group", map[string]int{
			"":    int(dispatch.GroupShard),
			"all": int(dispatch.GroupAll), "zone": int(dispatch.GroupZone), "cell": int(dispatch.GroupShard),
		}))
		c.Classes = append(c.Classes, k)
	}
	for i := range p.count("policies.count") {
		at := fmt.Sprintf("policies.%d.", i)
		c.Plans = append(c.Plans, dispatch.Plan{
			Name:    p.m[at+"name"],
			Reserve: p.number(at + "guaranteed"), Weight: p.number(at + "weight"), Price: p.number(at + "value_factor"),
			Limit: p.number(at + "limit"), Burst: p.number(at + "limit_burst"), Slack: p.number(at + "cap_slack"),
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
