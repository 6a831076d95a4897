package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// absent is the word that the simulator writes in place of a missing value.
const absent = "-"

// maxListLength is the maximum length of a list. The limit keeps an invalid length from
// exhausting memory.
const maxListLength = 1000

// SettingError reports an invalid setting.
type SettingError struct {
	Key      string // path of the setting; "" if the text is not a path=value pair
	Expected string // description of a valid value
	Got      string // invalid value
}

// Error returns a message with the path of the setting, the expected value and the value.
func (e *SettingError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("config: expected %s, got %q", e.Expected, e.Got)
	}
	return fmt.Sprintf("config: %s: expected %s, got %q", e.Key, e.Expected, e.Got)
}

// settingsReader looks up settings by their path and converts their values. It stores the
// first error.
type settingsReader struct {
	values map[string]string // text of each value, by the path of the setting
	err    error             // first error
}

// parsePairs parses settings that are written as path=value pairs between spaces.
func parsePairs(text string) (dispatch.Config, error) {
	r := settingsReader{values: map[string]string{}}
	for _, pair := range strings.Fields(text) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return dispatch.Config{}, &SettingError{Expected: "path=value", Got: pair}
		}
		r.values[path] = value
	}
	return r.dispatchConfig()
}

// dispatchConfig returns the configuration of a dispatcher. It maps the simulator's setting
// names to the fields of dispatch.Config.
func (r *settingsReader) dispatchConfig() (dispatch.Config, error) {
	cfg := dispatch.Config{
		DispatcherIndex: r.integer("me"),
		DispatcherCount: r.integer("peers_total"),
		CancelAttempts:  r.boolean("limits.cancel"),
		PollDiscovery:   r.values["discovery"] == "on_request",
		ListsPushed:     r.values["discovery"] == "pushed",
		MaxRetryAfter:   r.duration("limits.max_retry_after_ms"),
		MaxAttempts:     r.integer("limits.try_limit"),
		RoundTrip:       r.duration("round_ms"),
		MeanUnits:       r.number("family_info.usual_units"),
		MaxUnits:        r.number("family_info.largest"),
		Quiescence:      r.duration("rules.settle_after_doubt_ms"),
		SlowStart: dispatch.SlowStart{
			InitialCapacity: r.number("rules.cold_from"),
			WarmUp:          r.duration("rules.warm_up_ms"),
			OverloadFactor:  r.number("rules.overload_factor"),
			Window:          r.duration("rules.overload_for_ms"),
			InitialUnits:    r.number("family_info.young_limit"),
		},
		RetryBudget: dispatch.RetryBudget{
			MinRetries: r.number("rules.free_resends"),
			Ratio:      r.number("rules.resend_ratio"),
			Window:     r.duration("rules.resend_span_ms"),
		},
	}
	for i := range r.count("classes.count") {
		cfg.Classes = append(cfg.Classes, r.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range r.count("policies.count") {
		cfg.Plans = append(cfg.Plans, r.plan(fmt.Sprintf("policies.%d.", i)))
	}
	return cfg, r.err
}

// These maps translate the words that the simulator uses for the idempotency and the
// deduplication scope of a class.
var (
	idempotencies = map[string]dispatch.Idempotency{
		"":             dispatch.NonIdempotent,
		"idempotent":   dispatch.Idempotent,
		"deduplicated": dispatch.Deduplicated,
		"at_most_once": dispatch.NonIdempotent,
	}
	dedupScopes = map[string]dispatch.DedupScope{
		"":     dispatch.DedupPerShard,
		"all":  dispatch.DedupEverywhere,
		"zone": dispatch.DedupPerZone,
		"cell": dispatch.DedupPerShard,
	}
)

// class returns the request class whose setting paths start with prefix.
func (r *settingsReader) class(prefix string) dispatch.Class {
	return dispatch.Class{
		Name:             r.values[prefix+"name"],
		LatencyObjective: r.duration(prefix + "slo_ms"),
		Deadline:         r.duration(prefix + "deadline_ms"),
		DedupWindow:      r.duration(prefix + "window_ms"),
		Ordered:          r.boolean(prefix + "in_turn"),
		Idempotency:      oneOf(r, prefix+"effect", idempotencies),
		DedupScope:       oneOf(r, prefix+"group", dedupScopes),
	}
}

// plan returns the plan whose setting paths start with prefix.
func (r *settingsReader) plan(prefix string) dispatch.Plan {
	return dispatch.Plan{
		Name:      r.values[prefix+"name"],
		Reserve:   r.number(prefix + "guaranteed"),
		Weight:    r.number(prefix + "weight"),
		RateLimit: r.number(prefix + "limit"),
		Burst:     r.number(prefix + "limit_burst"),
		Slack:     r.number(prefix + "cap_slack"),
	}
}

// fail stores an error about the value of a setting, unless an error is already stored.
func (r *settingsReader) fail(key, expected string) {
	if r.err == nil {
		r.err = &SettingError{Key: key, Expected: expected, Got: r.values[key]}
	}
}

// number returns the value of a numeric setting. It returns 0 if the setting is missing or
// invalid.
func (r *settingsReader) number(key string) float64 {
	s, ok := r.values[key]
	if !ok || s == absent || s == "" {
		return 0
	}
	x, ok := ParseFinite(s)
	if !ok {
		r.fail(key, "a number")
	}
	return x
}

// ParseFinite parses a number and reports whether s is a valid number that is neither
// infinite nor NaN.
func ParseFinite(s string) (float64, bool) {
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
}

func (r *settingsReader) integer(key string) int { return int(r.number(key)) }

// count returns the length of a list. A length below 0 or above maxListLength is an error,
// for which count returns 0.
func (r *settingsReader) count(key string) int {
	n := r.integer(key)
	if n < 0 || n > maxListLength {
		r.fail(key, fmt.Sprintf("0 to %d", maxListLength))
		return 0
	}
	return n
}

// duration returns the value of a setting that is given in milliseconds.
func (r *settingsReader) duration(key string) time.Duration { return milliseconds(r.number(key)) }

// boolean returns the value of a boolean setting. A missing setting is false.
func (r *settingsReader) boolean(key string) bool {
	switch r.values[key] {
	case "true", "1":
		return true
	case "false", "0", "", absent:
	default:
		r.fail(key, "true or false")
	}
	return false
}

// oneOf returns the value that words assigns to the text of a setting. A text that is not in
// words is an error.
func oneOf[T any](r *settingsReader, key string, words map[string]T) T {
	value, ok := words[r.values[key]]
	if !ok {
		r.fail(key, "a known word")
	}
	return value
}
