package simwire

import (
	"reflect"
	"testing"
	"time"
)

// TestJSONEqualsPairs checks that the same settings give the same configuration whether they
// are written as path=value pairs or as JSON.
func TestJSONEqualsPairs(t *testing.T) {
	pairs, err := parsePairs(settingsPairs)
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings([]byte(`{"peers_total":2,"me":1,"classes":[{"slo_ms":300.0,"deadline_ms":1500.0,"effect":"deduplicated","group":"zone","window_ms":4000.0,"in_turn":true}],
"policies":[{"weight":2.0,"limit":22.0,"limit_burst":48.0,"cap_slack":8.0}],"discovery":"on_request","family_info":{"class_writes":[true],"slots_total":8},
"rules":{"resend_span_ms":5000.0,"settle_after_doubt_ms":40.0},"an":{"unknown":{"key":["whatever",{"x":null}]}},
"areas":["a","b"],"kinds":["m"],"limits":{"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"max_open":20}}`))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s.Dispatch, pairs) {
		t.Errorf("settings as JSON: got %+v\nwant the settings as pairs: %+v", s.Dispatch, pairs)
	}
	if s.Shards != 8 || len(s.Zones) != 2 || len(s.ClassWrites) != 1 || !s.ClassWrites[0] || s.NodeIdleTimeout != 15*time.Second ||
		s.DialTimeout != 250*time.Millisecond || s.MaxOpenRequests != 20 {
		t.Errorf("settings beside the dispatcher's: got %+v, want the values of the JSON text", s)
	}
	for _, bad := range []string{``, `[]`, `{"peers_total":"many"}`, `{"classes":[{"effect":"odd"}]}`} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("invalid settings %s: got no error", bad)
		}
	}
}
