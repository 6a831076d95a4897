package fairshare

import (
	"math"
	"time"
)

// refill adds the tokens that a flow has earned since its last refill.
func (s *Scheduler[T]) refill(now time.Duration, f *Flow[T]) {
	if f.config.Rate > 0 && now > f.refilledAt {
		f.tokens = min(f.config.Burst, f.tokens+f.config.Rate*(now-f.refilledAt).Seconds())
	}
	f.refilledAt = max(f.refilledAt, now)
}

// checkRateLimit reports whether a flow with a rate limit has less than one token. If so, it
// sets limitedUntil to the time at which the flow will have one.
func (s *Scheduler[T]) checkRateLimit(now time.Duration, f *Flow[T]) bool {
	s.refill(now, f)
	if f.tokens >= 1 {
		return false
	}
	f.limitedUntil = now + time.Duration(math.Ceil((1-f.tokens)/f.config.Rate*1e9))
	return true
}

// releaseRateLimited queues the first of the rate-limited flows for service again. The flow
// gets no credit for the time that it waited, because it could not have been served then.
func (s *Scheduler[T]) releaseRateLimited(now time.Duration) {
	f := s.rateLimited.flows[0]
	s.rateLimited.remove(f)
	f.startTag = max(s.virtualTime, f.finishTag)
	s.enqueue(now, f)
}

// NextWake returns when the first rate-limited flow may be served. It returns false if no
// flow is rate-limited.
func (s *Scheduler[T]) NextWake() (time.Duration, bool) {
	if len(s.rateLimited.flows) == 0 {
		return 0, false
	}
	return s.rateLimited.flows[0].limitedUntil, true
}

// Delay returns how long the rate limit of a flow delays an item that is pushed now. It
// assumes that each queued item takes bytesPerItem bytes.
func (s *Scheduler[T]) Delay(now time.Duration, f *Flow[T], bytesPerItem int) time.Duration {
	if f.config.Rate == 0 {
		return 0
	}
	s.refill(now, f)
	missing := float64(f.items.len)*float64(bytesPerItem) - f.tokens
	return time.Duration(max(missing, 0) / f.config.Rate * 1e9)
}
