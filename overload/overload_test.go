package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func overload(t interface{ Fatal(...any) }, c Config) *Controller {
	o, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

var overloadConfig = Config{Target: 20 * ms, Interval: 100 * ms, Back: 100 * ms, MaxBack: 2 * time.Second}

func TestBurstIsServed(t *testing.T) {
	o := overload(t, overloadConfig)
	for at := time.Duration(0); at < 99*ms; at += ms { // waits as long as a burst's may be
		if _, refuse := o.Head(at, 90*ms); refuse {
			t.Fatalf("refused at %v", at)
		}
	}
	o.Head(99*ms, 0) // one that waited for nothing: no queue stands
	if _, refuse := o.Head(150*ms, 90*ms); refuse {
		t.Error("refused after a short wait")
	}
}

func TestStandingQueueIsRefused(t *testing.T) {
	o := overload(t, overloadConfig)
	at := time.Duration(0)
	for ; at < 110*ms; at += ms {
		o.Head(at, 50*ms)
	}
	after, refuse := o.Head(at, 50*ms)
	if !refuse || after < 50*ms || after > 2*time.Second {
		t.Fatalf("%v, %v", after, refuse)
	}
	if _, refuse := o.Head(at, 5*ms); refuse {
		t.Error("one that waited little is refused")
	}
	for end := at + 110*ms; at < end; at += ms { // as long as waits are short, it is over after an interval
		o.Head(at, 5*ms)
	}
	if _, refuse := o.Head(at, 50*ms); refuse || o.Over() {
		t.Error("refused after an interval of short waits")
	}
}

// A queue that was seen long ago does not stand.
func TestSilenceEndsOverload(t *testing.T) {
	o := overload(t, overloadConfig)
	for at := time.Duration(0); at < 200*ms; at += ms {
		o.Head(at, 50*ms)
	}
	if _, refuse := o.Head(time.Second, 50*ms); refuse {
		t.Error("refused after a second of silence")
	}
	if _, refuse := o.Head(1050*ms, 50*ms); refuse {
		t.Error("refused before an interval has passed again")
	}
}

func TestTimeToComeBackFollowsRefusals(t *testing.T) {
	o := overload(t, overloadConfig)
	var last time.Duration
	for at := time.Duration(0); at < 3*time.Second; at += ms {
		last, _ = o.Head(at, 50*ms)
	}
	if last < time.Second || last > 2*time.Second {
		t.Errorf("after 3 s of refusals only: %v", last)
	}
	for at := 3 * time.Second; at < 4*time.Second; at += ms {
		o.Head(at, ms)
	}
	if o.back != overloadConfig.Back {
		t.Errorf("after a second without: %v", o.back)
	}
}

// A queue with a server of its own, some times as much as it can do, and clients who give up
// after a while: what is done in time stays near what can be done; without refusals
// it falls to nothing. Here refusing costs a twentieth of serving.
func TestGoodputStaysUnderOverload(t *testing.T) {
	const cost, cheap, patience = 100 * time.Microsecond, 5 * time.Microsecond, 250 * ms
	play := func(times float64, c Config) (good int) {
		o := overload(t, c)
		var queue []time.Duration // when each came
		now, next := time.Duration(0), 0.0
		for now < 5*time.Second {
			for next <= float64(now) {
				queue = append(queue, time.Duration(next))
				next += float64(cost) / times
			}
			if len(queue) == 0 {
				now = time.Duration(next) + 1
				continue
			}
			came := queue[0]
			queue = queue[1:]
			if _, refuse := o.Head(now, now-came); refuse {
				now += cheap
				continue
			}
			if now += cost; now-came <= patience && now > time.Second {
				good++
			}
		}
		return good
	}
	can := int(4 * time.Second / cost)
	for _, times := range []float64{1.5, 2, 5, 10} {
		with, without := play(times, overloadConfig), play(times, Config{})
		// What is not served costs a twentieth: at 10 times, nearly half of the time.
		if least := float64(can) * (1 - 0.06*times); float64(with) < least || without > can/20 {
			t.Errorf("%g times: %d of %d in time, without refusals %d", times, with, can, without)
		}
	}
	if good := play(0.9, overloadConfig); good < can*88/100 {
		t.Errorf("at 0.9 times: %d of %d", good, can)
	}
}

// Whatever waits are seen: nobody is refused who waited less than the target, none before
// waits were long for an interval, and times to come back are within their bounds.
func TestOverloadBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := overload(t, overloadConfig)
		now, short := time.Duration(0), time.Duration(0) // the last short wait, or the start
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms
			waited := time.Duration(rapid.IntRange(0, 60).Draw(t, "waited")) * ms
			was := o.Over()
			after, refuse := o.Head(now, waited)
			switch {
			case refuse && waited < overloadConfig.Target:
				t.Fatalf("refused after %v", waited)
			case refuse && !was && now-short < overloadConfig.Interval:
				t.Fatalf("refused %v after a short wait", now-short)
			case refuse && (after < overloadConfig.Back/2 || after > overloadConfig.MaxBack):
				t.Fatalf("come back after %v", after)
			}
			if waited < overloadConfig.Target {
				short = now
			}
		}
	})
}

func TestOverloadSettings(t *testing.T) {
	for _, c := range []Config{
		{Target: -1},
		{Target: 2 * time.Minute, Interval: time.Hour, Back: 1, MaxBack: 1},
		{Target: 20 * ms, Interval: 10 * ms, Back: 1, MaxBack: 1},
		{Target: 20 * ms, Interval: 100 * ms},
		{Target: 20 * ms, Interval: 100 * ms, Back: 2, MaxBack: 1},
	} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}
