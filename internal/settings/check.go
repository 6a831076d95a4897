package settings

import (
	"cmp"
	"fmt"
	"net"
	"path"

	"chalkstand/internal/objectapi"
)

const (
	maxLoops     = 256
	maxShards    = 4096
	maxName      = 64 // maximum length of the gateway's name, in bytes
	minKeyID     = 3  // minimum length of an access key ID, in bytes
	minKeySecret = 8  // minimum length of an access key secret, in bytes

	minWeight = 1e-6
	maxWeight = 1e6

	maxMiB = 1 << 20 // maximum of mib_per_second and mib_burst
)

// check validates the settings. It returns an error for the first invalid setting. The error
// contains no file name and no line number, which the caller adds.
func (s *Settings) check() *ConfigError {
	checks := []func() *ConfigError{
		s.checkGateway,
		s.checkKeys,
		s.checkNodes,
		s.checkClasses,
		s.checkPlans,
		s.checkBuckets,
		s.checkOperations,
		s.checkRules,
		s.checkLimits,
		s.checkFairSharing,
		s.checkAttribution,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...*ConfigError) *ConfigError {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// errorUnless returns nil if ok is true. Otherwise, it returns an error for field that describes
// the expected value.
func errorUnless(ok bool, field, expected string) *ConfigError {
	if ok {
		return nil
	}
	return &ConfigError{Field: field, Expected: expected}
}

// reject returns an error for field that describes the problem if bad is true. Otherwise, it
// returns nil.
func reject(bad bool, field, problem string) *ConfigError {
	if !bad {
		return nil
	}
	return &ConfigError{Field: field, Problem: problem}
}

// within reports whether low <= v <= high.
func within[T cmp.Ordered](v, low, high T) bool { return v >= low && v <= high }

// nonNegative reports whether all values are 0 or more.
func nonNegative[T int | Duration | float64](values ...T) bool {
	for _, v := range values {
		if v < 0 {
			return false
		}
	}
	return true
}

// isAddress reports whether a has the form HOST:PORT with a non-empty port.
func isAddress(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port != ""
}

// isPattern reports whether p is a valid pattern for path.Match.
func isPattern(p string) bool {
	_, err := path.Match(p, "")
	return err == nil
}

func (s *Settings) checkGateway() *ConfigError {
	return firstError(
		errorUnless(s.Name != "", "name", "a non-empty name"),
		errorUnless(isAddress(s.Listen), "listen", `HOST:PORT, such as "127.0.0.1:9000"`),
		errorUnless(s.Admin == "" || isAddress(s.Admin), "admin", `HOST:PORT, such as "127.0.0.1:9001", or ""`),
		errorUnless(s.Region != "", "region", "the region that clients use in their signatures"),
		errorUnless(within(s.Loops, 0, maxLoops), "loops", fmt.Sprintf("0 to %d", maxLoops)),
		errorUnless(s.DispatcherCount >= 1, "peers", "at least 1, because this gateway is included"),
		errorUnless(within(s.DispatcherIndex, 0, s.DispatcherCount-1), "me", fmt.Sprintf("0 to %d, less than peers", s.DispatcherCount-1)),
		errorUnless(s.Log.hasKnownLevel(), "log.level", "debug, info, warn or error"),
		errorUnless(isGatewayName(s.Name), "name",
			fmt.Sprintf("at most %d printable ASCII characters without spaces and slashes", maxName)),
	)
}

// isGatewayName reports whether a name can be used in logs and header fields.
func isGatewayName(name string) bool {
	for _, r := range name {
		if r <= ' ' || r == '/' || r > '~' {
			return false
		}
	}
	return len(name) <= maxName
}

func (l Log) hasKnownLevel() bool {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}

func (s *Settings) checkKeys() *ConfigError {
	ids := map[string]bool{}
	for i, k := range s.Keys {
		prefix := fmt.Sprintf("keys[%d].", i)
		err := firstError(
			errorUnless(len(k.ID) >= minKeyID, prefix+"id", fmt.Sprintf("at least %d characters", minKeyID)),
			errorUnless(len(k.Secret) >= minKeySecret, prefix+"secret", fmt.Sprintf("at least %d characters", minKeySecret)),
			reject(ids[k.ID], prefix+"id", "the access key is listed twice"),
			errorUnless(len(k.Buckets) > 0, prefix+"buckets", `at least one bucket pattern, such as ["*"]`),
		)
		if err != nil {
			return err
		}
		ids[k.ID] = true
		for j, p := range k.Buckets {
			if !isPattern(p) {
				return errorUnless(false, fmt.Sprintf("%sbuckets[%d]", prefix, j), `a valid pattern, such as "photos-*"`)
			}
		}
	}
	return nil
}

func (s *Settings) checkNodes() *ConfigError {
	err := firstError(
		errorUnless(within(s.Shards, 1, maxShards), "shards", fmt.Sprintf("1 to %d", maxShards)),
		reject(s.EmbeddedNodes != nil && len(s.Nodes) > 0, "nodes", "nodes and embedded_nodes must not both be set"),
		s.EmbeddedNodes.check(),
	)
	if err != nil {
		return err
	}
	ids := map[string]bool{}
	for i, n := range s.Nodes {
		prefix := fmt.Sprintf("nodes[%d].", i)
		err := firstError(
			errorUnless(n.ID != "", prefix+"id", "a non-empty name"),
			reject(ids[n.ID], prefix+"id", "the node is listed twice"),
			errorUnless(isAddress(n.Addr), prefix+"addr", `HOST:PORT, such as "127.0.0.1:9100"`),
			errorUnless(within(n.Shard, 0, s.Shards-1), prefix+"shard", fmt.Sprintf("0 to %d, less than shards", s.Shards-1)),
			errorUnless(n.hasKnownState(), prefix+"state", "serving or draining"),
		)
		if err != nil {
			return err
		}
		ids[n.ID] = true
	}
	return nil
}

func (e *EmbeddedNodes) check() *ConfigError {
	if e == nil {
		return nil
	}
	negative := e.Cores < 0 || e.Queue < 0 || e.PerUnit < 0
	return reject(negative, "embedded_nodes", "cores, queue and per_unit must not be negative")
}

func (n Node) hasKnownState() bool {
	return n.State == "" || n.State == stateServing || n.State == stateDraining
}

func (s *Settings) checkClasses() *ConfigError {
	if len(s.Classes) == 0 {
		return errorUnless(false, "classes", "at least one class")
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		_, knownIdempotency := idempotencyOf[c.Idempotency]
		_, knownScope := dedupScopeOf[c.DedupScope]
		err := firstError(
			errorUnless(c.Name != "" && !names[c.Name], prefix+"name", "a name that no other class has"),
			errorUnless(c.LatencyObjective > 0, prefix+"aim", `a time above 0, such as "300ms"`),
			errorUnless(c.Deadline >= c.LatencyObjective, prefix+"deadline", "a time of at least the aim"),
			errorUnless(c.Deadline > s.Limits.ResponseMargin, prefix+"deadline", "a time above limits.margin"),
			errorUnless(c.PriorityWeight >= 0, prefix+"worth", "0 or more"),
			errorUnless(knownIdempotency, prefix+"effect", "safe, keyed or unsafe"),
			errorUnless(knownScope, prefix+"group", "all, zone or shard"),
			errorUnless(c.Idempotency != effectKeyed || c.DedupWindow > 0, prefix+"window",
				"a time above 0, for which nodes drop repeats of a keyed request"),
		)
		if err != nil {
			return err
		}
		names[c.Name] = true
	}
	return nil
}

func (s *Settings) checkPlans() *ConfigError {
	if len(s.Plans) == 0 {
		return errorUnless(false, "plans", "at least one plan")
	}
	names := map[string]bool{}
	for i, p := range s.Plans {
		prefix := fmt.Sprintf("plans[%d].", i)
		err := firstError(
			errorUnless(p.Name != "" && !names[p.Name], prefix+"name", "a name that no other plan has"),
			p.check(prefix, s.Rules.MaxUnits),
		)
		if err != nil {
			return err
		}
		names[p.Name] = true
	}
	return nil
}

func (p Plan) check(prefix string, maxUnits float64) *ConfigError {
	return firstError(
		errorUnless(p.Rate > 0, prefix+"rate", "a number of cost units per second above 0"),
		errorUnless(p.Weight > 0, prefix+"weight", "a number above 0"),
		reject(!nonNegative(p.Reserve, p.Price, p.RateLimit, p.Burst, p.Slack), prefix+"reserve",
			"reserve, price, limit, burst and slack must not be negative"),
		errorUnless(within(p.MiBPerSecond, 0, maxMiB), prefix+"mib_per_second", fmt.Sprintf("0 (no limit) to %d", maxMiB)),
		errorUnless(within(p.MiBBurst, 0, maxMiB), prefix+"mib_burst", fmt.Sprintf("0 (the amount of one second) to %d", maxMiB)),
		reject(p.MiBBurst > 0 && p.MiBPerSecond == 0, prefix+"mib_burst", "mib_burst requires mib_per_second above 0"),
		errorUnless(within(p.Weight, minWeight, maxWeight), prefix+"weight", "0.000001 to 1000000"),
		reject(p.RateLimit > 0 && p.Burst+p.Slack < maxUnits, prefix+"burst",
			"burst plus slack must be at least rules.largest_units, the cost of the largest request"),
	)
}

func (s *Settings) checkBuckets() *ConfigError {
	if len(s.Buckets) == 0 {
		return errorUnless(false, "buckets", `at least one rule, such as {"pattern": "*", "plan": "NAME"}`)
	}
	for i, b := range s.Buckets {
		prefix := fmt.Sprintf("buckets[%d].", i)
		err := firstError(
			errorUnless(b.Pattern != "" && isPattern(b.Pattern), prefix+"pattern", `a valid pattern, such as "photos-*"`),
			errorUnless(s.planNamed(b.Plan) >= 0, prefix+"plan", "the name of a plan"),
			errorUnless(within(b.Dispatchers, 0, s.DispatcherCount), prefix+"hosts", "0 (all) to peers"),
			errorUnless(within(b.ShardCount, 0, s.Shards), prefix+"spread", "0 (all) to shards"),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkOperations() *ConfigError {
	for i, o := range s.Operations {
		prefix := fmt.Sprintf("operations[%d].", i)
		if s.classIndex(o.Class) < 0 {
			return errorUnless(false, prefix+"class", "the name of a class")
		}
		for j, name := range o.Operations {
			if _, ok := objectapi.ParseKind(name); !ok && name != anyOperation {
				return errorUnless(false, fmt.Sprintf("%soperations[%d]", prefix, j),
					`the name of an operation, such as "GetObject", or "*"`)
			}
		}
	}
	if _, err := s.CostModel(); err != nil {
		return reject(true, "operations", err.Error())
	}
	return nil
}

func (s *Settings) checkRules() *ConfigError {
	r := s.Rules
	c := r.SlowStart
	slowStart := c.InitialUnits > 0
	return firstError(
		errorUnless(r.MaxAttempts >= 1, "rules.max_attempts", "at least 1"),
		errorUnless(r.MaxRetryAfter > 0, "rules.max_retry_after", "a time above 0"),
		reject(!nonNegative(r.Quiescence, r.RoundTrip), "rules.settle", "settle and round must not be negative"),
		errorUnless(r.MeanUnits > 0 && r.MaxUnits >= r.MeanUnits, "rules.largest_units",
			"0 < usual_units <= largest_units"),
		reject(!nonNegative(r.RetryBudget.MinRetries, r.RetryBudget.Ratio) || r.RetryBudget.Window < 0, "rules.budget",
			"free, ratio and span must not be negative"),
		reject(slowStart && !(c.Window > 0 && c.InitialCapacity > 0 && c.InitialCapacity <= 1), "rules.cold",
			"young_limit requires a span above 0 and a from above 0 and at most 1"),
	)
}
