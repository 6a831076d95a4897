package overload

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testConfig = Config{
	Target:        20 * ms,
	Interval:      100 * ms,
	RetryAfter:    100 * ms,
	MaxRetryAfter: 2 * time.Second,
}

func newController(tb rapid.TB, cfg Config) *Controller {
	tb.Helper()
	c, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func TestBurstIsServed(t *testing.T) {
	c := newController(t, testConfig)
	for now := time.Duration(0); now < 99*ms; now += ms { // a burst that is shorter than the interval
		if _, reject := c.ShouldReject(now, 90*ms); reject {
			t.Fatalf("request of a short burst was rejected at %v, want it accepted", now)
		}
	}
	c.ShouldReject(99*ms, 0) // a short queue time proves that there is no standing queue
	if _, reject := c.ShouldReject(150*ms, 90*ms); reject {
		t.Error("request was rejected less than an interval after a short queue time")
	}
}

func TestStandingQueueIsRejected(t *testing.T) {
	c := newController(t, testConfig)
	now := time.Duration(0)
	for ; now < 110*ms; now += ms {
		c.ShouldReject(now, 50*ms)
	}
	retryAfter, reject := c.ShouldReject(now, 50*ms)
	if !reject || retryAfter < 50*ms || retryAfter > 2*time.Second {
		t.Fatalf("ShouldReject in a standing queue = %v, %v, want 50ms to 2s and true", retryAfter, reject)
	}
	if _, reject := c.ShouldReject(now, 5*ms); reject {
		t.Error("request with a short queue time was rejected during overload")
	}
	for end := now + 110*ms; now < end; now += ms { // overload ends after an interval of short queue times
		c.ShouldReject(now, 5*ms)
	}
	if _, reject := c.ShouldReject(now, 50*ms); reject || c.Overloaded() {
		t.Error("request was rejected, or the flow counts as overloaded, after an interval of short queue times")
	}
}

// An interval without requests ends overload, because there cannot have been a standing queue.
func TestIdleIntervalEndsOverload(t *testing.T) {
	c := newController(t, testConfig)
	for now := time.Duration(0); now < 200*ms; now += ms {
		c.ShouldReject(now, 50*ms)
	}
	if _, reject := c.ShouldReject(time.Second, 50*ms); reject {
		t.Error("request was rejected after 800 ms without requests")
	}
	if _, reject := c.ShouldReject(1050*ms, 50*ms); reject {
		t.Error("request was rejected before queue times were long for another interval")
	}
}

func TestRetryAfterFollowsRejections(t *testing.T) {
	c := newController(t, testConfig)
	var last time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += ms {
		last, _ = c.ShouldReject(now, 50*ms)
	}
	if last < time.Second || last > 2*time.Second {
		t.Errorf("retry time after 3 s in which every request is rejected = %v, want 1s to 2s", last)
	}
	for now := 3 * time.Second; now < 4*time.Second; now += ms {
		c.ShouldReject(now, ms)
	}
	if c.retryAfter != testConfig.RetryAfter {
		t.Errorf("retry time after 1 s without rejections = %v, want Config.RetryAfter", c.retryAfter)
	}
}

// These constants describe the server that goodput simulates, and its clients.
const (
	serviceTime   = 100 * time.Microsecond
	rejectTime    = 5 * time.Microsecond // a twentieth of serviceTime
	clientTimeout = 250 * ms
)

// goodput simulates a server with a queue at the given multiple of its capacity. It returns the
// number of requests that the server completes within the client timeout. It counts for four
// seconds, after one second of warm-up.
func goodput(t *testing.T, load float64, cfg Config) int {
	t.Helper()
	c := newController(t, cfg)
	var arrivals []time.Duration // arrival times of the queued requests
	now := time.Duration(0)
	next := 0.0
	good := 0
	for now < 5*time.Second {
		for next <= float64(now) {
			arrivals = append(arrivals, time.Duration(next))
			next += float64(serviceTime) / load
		}
		if len(arrivals) == 0 {
			now = time.Duration(next) + 1
			continue
		}
		arrived := arrivals[0]
		arrivals = arrivals[1:]
		if _, reject := c.ShouldReject(now, now-arrived); reject {
			now += rejectTime
			continue
		}
		now += serviceTime
		if now-arrived <= clientTimeout && now > time.Second {
			good++
		}
	}
	return good
}

// Under overload, goodput stays near the server's capacity. Without rejections, it falls below
// a twentieth of the capacity.
func TestGoodputStaysUnderOverload(t *testing.T) {
	capacity := int(4 * time.Second / serviceTime)
	for _, load := range []float64{1.5, 2, 5, 10} {
		with, without := goodput(t, load, testConfig), goodput(t, load, Config{})
		// A rejection costs a twentieth of a service. At a load of 10, rejections take nearly half
		// of the server's time.
		if least := float64(capacity) * (1 - 0.06*load); float64(with) < least || without > capacity/20 {
			t.Errorf("load %g: goodput = %d, want near the capacity %d; without rejections it is %d, want near 0",
				load, with, capacity, without)
		}
	}
	if good := goodput(t, 0.9, testConfig); good < capacity*88/100 {
		t.Errorf("load 0.9: goodput = %d, want at least 88%% of the capacity %d", good, capacity)
	}
}

// For any sequence of queue times, a request is rejected only if its queue time is at least the
// target and queue times were long for an interval. Retry times stay within their bounds.
func TestRejectionBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newController(t, testConfig)
		now := time.Duration(0)
		lastShort := time.Duration(0) // time of the last request with a short queue time, or the start
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms
			queueTime := time.Duration(rapid.IntRange(0, 60).Draw(t, "queue time")) * ms
			before := c.Overloaded()
			retryAfter, reject := c.ShouldReject(now, queueTime)
			switch {
			case reject && queueTime < testConfig.Target:
				t.Fatalf("request with queue time %v was rejected, want only those at the target or above", queueTime)
			case reject && !before && now-lastShort < testConfig.Interval:
				t.Fatalf("request was rejected %v after a short queue time, want an interval or more", now-lastShort)
			case reject && (retryAfter < testConfig.RetryAfter/2 || retryAfter > testConfig.MaxRetryAfter):
				t.Fatalf("retry time = %v, want RetryAfter/2 to MaxRetryAfter", retryAfter)
			}
			if queueTime < testConfig.Target {
				lastShort = now
			}
		}
	})
}

func TestInvalidConfig(t *testing.T) {
	for _, test := range []struct {
		field string
		cfg   Config
	}{
		{"Target", Config{Target: -1}},
		{"Target", Config{Target: 2 * time.Minute, Interval: time.Hour, RetryAfter: 1, MaxRetryAfter: 1}},
		{"Interval", Config{Target: 20 * ms, Interval: 10 * ms, RetryAfter: 1, MaxRetryAfter: 1}},
		{"RetryAfter", Config{Target: 20 * ms, Interval: 100 * ms}},
		{"MaxRetryAfter", Config{Target: 20 * ms, Interval: 100 * ms, RetryAfter: 2, MaxRetryAfter: 1}},
	} {
		_, err := New(test.cfg)
		var configErr *ConfigError
		if !errors.As(err, &configErr) || configErr.Field != test.field {
			t.Errorf("New(%+v) = error %v, want a ConfigError of %s", test.cfg, err, test.field)
		}
	}
}
