package faultinjection

import (
	"fmt"
	"strings"
	"time"

	"chalkstand/internal/settings"
	"chalkstand/lab/invariants"
)

// Parameters of the fake nodes. The gateways' settings contain some of them, too.
const (
	nodeCores       = 2
	workPerUnit     = 25 * time.Millisecond
	initialSpeed    = 0.12 // speed at which slow start begins, as a share of the node's full speed
	warmUp          = 6 * time.Second
	overloadFactor  = 1.5 // a node in slow start counts as overloaded above this multiple of its capacity
	overloadWindow  = time.Second
	slowStartUnits  = 8.0 // cost units within overloadWindow that never overload a node in slow start
	drainGrace      = 250 * time.Millisecond
	nodeDedupWindow = 6 * time.Second
)

// The rate limit of the volumes with the basic plan: limitRate is in cost units per second, limitBurst and
// limitSlack are in cost units.
const (
	limitRate  = 40.0
	limitBurst = 20.0
	limitSlack = 12.0
)

// Tolerances of the checker. They allow for delays that the machine causes, not the gateways.
const (
	logTolerance      = 60 * time.Millisecond
	responseTolerance = 150 * time.Millisecond
)

// Indexes of the classes in the settings' list of classes.
const (
	classRead = iota
	classScan
	classWrite
	classBulk
	classRemove
)

// The clients' access key. siteText contains the same values.
const (
	keyID  = "BADDAY"
	secret = "bad-day-secret"
)

const siteText = `{
	"name": "gw", "listen": "127.0.0.1:0", "loops": 1, "peers": %d, "me": %d, "shards": %d,
	"keys": [{"id": "BADDAY", "secret": "bad-day-secret", "buckets": ["*"], "write": true}],
	"classes": [
		{"name": "read", "aim": "300ms", "deadline": "1s", "worth": 3, "effect": "safe"},
		{"name": "scan", "aim": "1s", "deadline": "3s", "worth": 1, "effect": "safe"},
		{"name": "write", "aim": "400ms", "deadline": "1500ms", "worth": 2,
			"effect": "keyed", "group": "shard", "window": "3s", "in_turn": true},
		{"name": "bulk", "aim": "1s", "deadline": "3s", "worth": 1,
			"effect": "keyed", "group": "shard", "window": "3s"},
		{"name": "remove", "aim": "400ms", "deadline": "1500ms", "worth": 1, "effect": "unsafe"},
	],
	"plans": [
		{"name": "basic", "rate": 15, "reserve": 7, "weight": 1, "price": 1, "limit": %g, "burst": %g, "slack": %g},
		{"name": "standard", "rate": 20, "reserve": 20, "weight": 2, "price": 1.2},
		{"name": "priority", "rate": 30, "reserve": 30, "weight": 3, "price": 1.5},
	],
	"buckets": [
		{"pattern": "basic-*", "plan": "basic"},
		{"pattern": "standard-*", "plan": "standard"},
		{"pattern": "*", "plan": "priority"},
	],
	"operations": [
		{"operations": ["GetObject"], "max_bytes": 65536,
			"class": "read", "units": 1, "per_mib": 8, "assume_bytes": 4096},
		{"operations": ["GetObject"], "class": "scan", "units": 1, "per_mib": 8},
		{"operations": ["PutObject"], "max_bytes": 65536, "class": "write", "units": 1, "per_mib": 8},
		{"operations": ["PutObject"], "class": "bulk", "units": 1, "per_mib": 8},
		{"operations": ["DeleteObject"], "class": "remove", "units": 1},
		{"operations": ["*"], "class": "scan", "units": 1},
	],
	"rules": {
		"max_attempts": 3, "max_retry_after": "1s", "settle": "150ms", "round": "10ms",
		"usual_units": 1.3, "largest_units": 6,
		"budget": {"free": 3, "ratio": 0.1, "span": "5s"},
		"cold": {"from": %g, "warm_up": "%v", "multiple": %g, "span": "%v", "young_limit": %g},
	},
	"limits": {"margin": "30ms", "client_body": "2s", "connect": "300ms"},
}`

// siteSettings returns the settings of the gateway with the given index. It panics if siteText is invalid.
func siteSettings(o Options, index int) settings.Settings {
	divisor := o.capacityDivisor()
	text := fmt.Sprintf(siteText, o.Gateways, index, o.Shards, limitRate, limitBurst, limitSlack,
		initialSpeed, warmUp, overloadFactor/divisor, overloadWindow, slowStartUnits/divisor)
	s, err := settings.Parse("fault-injection", []byte(text))
	if err != nil {
		panic(err)
	}
	return *s
}

// disableGuard changes a gateway's settings so that the guard no longer works. The guard of drains is not a
// setting: gatewayInstance.notify disables it.
func disableGuard(s *settings.Settings, guard string) {
	switch guard {
	case guardBudget:
		s.Rules.RetryBudget.Window = 0
		s.Rules.MaxAttempts = 20
	case guardLimits:
		s.Plans[0].RateLimit = 0
	case guardOrder:
		s.Classes[classWrite].Ordered = false
	case guardIdempotency:
		for i := range s.Classes {
			s.Classes[i].Idempotency = "safe"
		}
	case guardSlowStart:
		s.Rules.SlowStart = settings.SlowStart{}
	case guardDeadlines:
		for i := range s.Classes {
			s.Classes[i].Deadline *= 4
		}
	}
}

// idempotencies maps the names that the settings use for a class's effect to the checker's values.
var idempotencies = map[string]invariants.Idempotency{
	"safe":   invariants.Idempotent,
	"keyed":  invariants.Deduplicated,
	"unsafe": invariants.NonIdempotent,
}

// invariantParameters returns the bounds that the checker uses. They assume that no guard is disabled.
func invariantParameters(o Options) invariants.Parameters {
	s := siteSettings(o, 0)
	params := invariants.Parameters{
		DrainGrace:        drainGrace,
		Quiescence:        s.Rules.Quiescence.D(),
		BudgetMinRetries:  s.Rules.RetryBudget.MinRetries,
		BudgetRatio:       s.Rules.RetryBudget.Ratio,
		BudgetWindow:      s.Rules.RetryBudget.Window.D(),
		Limits:            map[string]invariants.RateLimit{},
		LogTolerance:      logTolerance,
		ResponseTolerance: responseTolerance,
	}
	for _, c := range s.Classes {
		params.Classes = append(params.Classes, invariants.Class{
			Deadline:    c.Deadline.D(),
			Idempotency: idempotencies[c.Idempotency],
			Ordered:     c.Ordered,
		})
	}
	for _, volume := range volumeNames(o) {
		if strings.HasPrefix(volume, "basic-") {
			params.Limits[volume] = invariants.RateLimit{Rate: limitRate, Capacity: limitBurst + limitSlack}
		}
	}
	return params
}

// volumeNames returns the names of the volumes. A volume's name begins with the name of its plan.
func volumeNames(o Options) []string {
	plans := []string{"basic", "standard", "priority"}
	var names []string
	for i := range o.Volumes {
		names = append(names, fmt.Sprintf("%s-%02d", plans[i%len(plans)], i))
	}
	return names
}
