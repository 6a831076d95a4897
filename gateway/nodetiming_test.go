package gateway

import (
	"strings"
	"testing"
	"time"

	"chalkstand/internal/http1"
)

func timingHeaders(v string) http1.Headers {
	return http1.Headers{{Name: []byte("Server-Timing"), Value: []byte(v)}}
}

func TestReadTiming(t *testing.T) {
	for header, want := range map[string][2]time.Duration{
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
		queue, work, found := readTiming(timingHeaders(header))
		if queue != want[0] || work != want[1] || found != (queue+work > 0) {
			t.Errorf("readTiming(%q): got queue %v, work %v, found %v, want the times in the test table", header, queue, work, found)
		}
	}
}

func TestTimingsAreBounded(t *testing.T) {
	n := 0
	eachTiming(timingHeaders(strings.Repeat("queue;dur=1,", 1000)), func(timingMetric) { n++ })
	if n != maxTimingMetrics {
		t.Errorf("eachTiming read %d metrics, want maxTimingMetrics", n)
	}
}

func TestParseAttemptID(t *testing.T) {
	for id, want := range map[string]bool{
		"gw/7/0":                    true,
		"gw/7":                      false,
		"gw/x/0":                    false,
		"gw/7/-1":                   false,
		"":                          false,
		"gw/7/0/1":                  false,
		"gw/18446744073709551615/3": true,
	} {
		if _, _, _, ok := parseAttemptID([]byte(id)); ok != want {
			t.Errorf("parseAttemptID(%q): got ok %v, want the opposite", id, ok)
		}
	}
}
