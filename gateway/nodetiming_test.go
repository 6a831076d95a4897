package gateway

import (
	"chalkstand/internal/http1"
	"testing"
	"time"
)

func timingHeaders(v string) http1.Headers {
	return http1.Headers{{Name: []byte("Server-Timing"), Value: []byte(v)}}
}

func TestOwnTiming(t *testing.T) {
	for v, want := range map[string][2]time.Duration{
		"queue;dur=1.5, work;dur=20":                    {1500 * time.Microsecond, 20 * time.Millisecond},
		"work;desc=\"\";dur=3":                          {0, 3 * time.Millisecond},
		" queue ; dur=2 ,cache;dur=9, work;dur=x":       {2 * time.Millisecond, 0},
		`queue;dur=1;desc="gw/1/0", work;dur=2`:         {0, 2 * time.Millisecond},
		"queue;dur=-1, work;dur=NaN":                    {},
		"queue;dur=1e300, work":                         {},
		"":                                              {},
		";;;,,,=,queue;dur":                             {},
		"db;dur=4, total;dur=5, queue;foo=1;dur=7;x=\"": {7 * time.Millisecond, 0},
	} {
		q, w, told := readTiming(timingHeaders(v))
		if q != want[0] || w != want[1] || told != (q+w > 0) {
			t.Errorf("%q: %v %v %v", v, q, w, told)
		}
	}
}

func TestTimingsAreBounded(t *testing.T) {
	long := ""
	for range 1000 {
		long += "queue;dur=1,"
	}
	n := 0
	eachTiming(timingHeaders(long), func(timingMetric) { n++ })
	if n != maxTimings {
		t.Errorf("%d metrics were read", n)
	}
}

func TestParseName(t *testing.T) {
	for s, want := range map[string]bool{"gw/7/0": true, "gw/7": false, "gw/x/0": false, "gw/7/-1": false, "": false, "gw/7/0/1": false, "gw/18446744073709551615/3": true} {
		if _, _, _, ok := parseAttemptID([]byte(s)); ok != want {
			t.Errorf("%q: %v", s, ok)
		}
	}
}
