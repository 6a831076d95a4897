package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// quickstart returns the text of configs/quickstart.jsonc.
func quickstart(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../../configs/quickstart.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestQuickstartIsAccepted(t *testing.T) {
	s, err := Parse("quickstart.jsonc", []byte(quickstart(t)))
	if err != nil {
		t.Fatal(err)
	}
	if s.Shards != 4 || s.Classes[0].LatencyObjective.D() != 300*time.Millisecond || !s.Classes[1].Ordered ||
		s.Limits.Replay != 64<<10 || s.Rules.MaxAttempts != 3 {
		t.Fatalf("quickstart settings: got %+v, want the values of the file over the defaults", s)
	}
}

// invalidSettings lists edits of the quickstart file that make a setting invalid. Each edit
// replaces from with to; field and reason are the field that the error must name and a part
// of its reason.
var invalidSettings = []struct{ from, to, field, reason string }{
	{`"shards": 4`, `"shards": 0`, "shards", "expected 1 to 4096"},
	{`"shards": 4`, `"shards": "4"`, "shards", "expected a whole number"},
	{`"shards": 4`, `"shards": 4.5`, "shards", "expected a whole number"},
	{`"shards": 4`, `"shards": null`, "shards", "got null"},
	{`"shards": 4`, `"shards": 4, "shard": 2`, "shard", "unknown setting"},
	{`"aim": "300ms"`, `"aim": 300`, "classes[0].aim", "duration in quotes"},
	{`"aim": "300ms"`, `"aim": "300"`, "classes[0].aim", "invalid duration"},
	{`"aim": "300ms"`, `"aim": "-1s"`, "classes[0].aim", "above 0"},
	{`"aim": "300ms"`, `"aim": "6s"`, "classes[0].deadline", "at least the aim"},
	{`"effect": "safe"},`, `"effect": "save"},`, "classes[0].effect", "safe, keyed or unsafe"},
	{`"in_turn": true`, `"in_turn": "yes"`, "classes[1].in_turn", "true or false"},
	{`"weight": 1,`, `"weight": 0,`, "plans[0].weight", "above 0"},
	{`"plan": "standard"`, `"plan": "gold"`, "buckets[0].plan", "name of a plan"},
	{`"pattern": "*"`, `"pattern": "["`, "buckets[0].pattern", "pattern"},
	{`"GetObject"`, `"FetchObject"`, "operations[0].operations[0]", "name of an operation"},
	{`{"operations": ["*"], "class": "write", "units": 1},`, ``, "operations", "no rule for"},
	{`"listen": "127.0.0.1:9000"`, `"listen": "9000"`, "listen", "HOST:PORT"},
	{`"id": "READONLY"`, `"id": "QUICKSTART"`, "keys[1].id", "listed twice"},
	{`"secret": "readonly-secret"`, `"secret": "x"`, "keys[1].secret", "at least 8"},
	{`"level": "info"`, `"level": "loud"`, "log.level", "debug, info"},
	{`"rules": {`, `"limits": {"replay": 2000000}, "rules": {`, "limits.replay", "at most"},
	{`"rules": {`, `"limits": {"client_body": "0s"}, "rules": {`, "limits.client_body", "above 0"},
	{`"largest_units": 64`, `"largest_units": 1`, "rules.largest_units", "usual_units"},
	{`"rules": {`, `"share": {"quantum": 100}, "rules": {`, "share.quantum", `expected 4096 to`},
	{`"rules": {`, `"share": {"slice": "0s"}, "rules": {`, "share.slice", `expected "10us"`},
	{`"rules": {`, `"share": {"window": "1h"}, "rules": {`, "share.window", `expected "1ms"`},
	{`"rules": {`, `"share": {"byte_time": -1}, "rules": {`, "share.byte_time", `0 to 1000`},
	{`"rules": {`, `"share": {"finishing": 0}, "rules": {`, "share.finishing", `0.01 to 100`},
	{`"rules": {`, `"share": {"flows": 0}, "rules": {`, "share.flows", `1 to 1048576`},
	{`"rules": {`, `"share": {"newcomers": 0}, "rules": {`, "share.newcomers", `expected a weight`},
	{`"rules": {`, `"share": {"depth": 0}, "rules": {`, "share.depth", `1 to 65536`},
	{`"rules": {`, `"share": {"crowd": 0}, "rules": {`, "share.crowd", `1 to 65536`},
	{`"rules": {`, `"share": {"draw": 1}, "rules": {`, "share.draw", `expected 16384`},
	{`"rules": {`, `"share": {"lease": "0s"}, "rules": {`, "share.lease", `expected "1ms"`},
	{`"rules": {`, `"share": {"receive": 0}, "rules": {`, "share.receive", `expected 16384`},
	{`"rules": {`, `"share": {"max_wait": "0s"}, "rules": {`, "share.max_wait", `above 0`},
	{`"rules": {`, `"share": {"order": "random"}, "rules": {`, "share.order", `fair or arrival`},
	{`"rules": {`, `"share": {"overload": {"target": "-1s"}}, "rules": {`, "share.overload.target", `expected "0s"`},
	{
		`"rules": {`, `"share": {"overload": {"interval": "1ms"}}, "rules": {`,
		"share.overload.interval", `at least share.overload.target`,
	},
	{`"rules": {`, `"share": {"overload": {"back": "0s"}}, "rules": {`, "share.overload.back", `expected at least "1ms"`},
	{
		`"rules": {`, `"share": {"overload": {"max_back": "10ms"}}, "rules": {`,
		"share.overload.max_back", `expected at least share.overload.back`,
	},
	{`"weight": 1,`, `"weight": 1, "mib_per_second": -1,`, "plans[0].mib_per_second", `expected`},
	{`"weight": 1,`, `"weight": 1, "mib_burst": 5,`, "plans[0].mib_burst", `mib_per_second`},
	{`"rules": {`, `"nodes": [{"id": "a", "addr": "x:1"}], "rules": {`, "nodes", "must not both be set"},
}

// TestInvalidSettings checks that the error for each invalid setting names the line, the field
// and the expected value.
func TestInvalidSettings(t *testing.T) {
	base := quickstart(t)
	for _, tc := range invalidSettings {
		t.Run(tc.field, func(t *testing.T) {
			text := strings.Replace(base, tc.from, tc.to, 1)
			if text == base {
				t.Fatalf("the quickstart file does not contain %s", tc.from)
			}
			_, err := Parse("f.jsonc", []byte(text))
			var e *ConfigError
			if !errors.As(err, &e) || e.Field != tc.field || !strings.Contains(e.Reason(), tc.reason) {
				t.Fatalf("settings with %s: got error %v, want an error for field %s with %q", tc.to, err, tc.field, tc.reason)
			}
			checkLine(t, text, e)
			if !strings.HasPrefix(e.Error(), "f.jsonc:") {
				t.Error(e)
			}
		})
	}
}

// checkLine checks that the line of the error contains the name of the field, or that the
// list or object around the field starts on this line.
func checkLine(t *testing.T, text string, e *ConfigError) {
	t.Helper()
	line := strings.Split(text, "\n")[e.Line-1]
	last := e.Field[strings.LastIndexByte(e.Field, '.')+1:]
	name, _, _ := strings.Cut(last, "[")
	if !strings.Contains(line, `"`+name+`"`) && !strings.ContainsAny(line, "{[") {
		t.Errorf("error for field %s: got line %d, which is %q, want a line with the field", e.Field, e.Line, line)
	}
}

// TestMalformedText checks that the error for a text that is not a JSON object contains the
// file name.
func TestMalformedText(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "3", `{"name": }`, "{\n\n  \"name\": \"x\",,\n}"} {
		if _, err := Parse("f.jsonc", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), "f.jsonc:") {
			t.Errorf("text %q: got error %v, want an error that starts with the file name", text, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "x", "classes": [{"aim": "1s"}]}`))
	f.Add([]byte(`{"embedded_nodes": {"cores": []}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f", text); err == nil && (s.Shards < 1 || len(s.Classes) == 0) {
			t.Fatal("Parse accepted settings without shards or classes")
		}
	})
}

// TestAmbiguousMembersAreRejected checks that an object member with an empty name or a
// repeated name is reported with its line. For such a member, Parse cannot know which value
// the user intended.
func TestAmbiguousMembersAreRejected(t *testing.T) {
	for _, test := range []struct {
		text, field string
		line        int
	}{
		{"{\n\"\": {}}", `""`, 2},
		{"{\"rules\": {\n\n\"\": 1}}", `rules.""`, 3},
		{"{\"name\": \"a\",\n\"name\": \"b\"}", "name", 2},
		{"{\"limits\": {\"line\": 1,\n\"line\": 2}}", "limits.line", 2},
	} {
		_, err := Parse("test", []byte(test.text))
		var configErr *ConfigError
		if !errors.As(err, &configErr) || configErr.Field != test.field || configErr.Line != test.line {
			t.Errorf("text %s: got error %v, want an error for field %s on line %d", test.text, err, test.field, test.line)
		}
	}
}

// TestEmptyKeyIsRejected checks that an empty key gives an error and does not cause a panic.
func TestEmptyKeyIsRejected(t *testing.T) {
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("Parse of an empty key: got panic %v, want an error", r)
		}
	}()
	if _, err := Parse("test", []byte(`{"": {}}`)); err == nil {
		t.Error("Parse accepted an empty key")
	}
}
