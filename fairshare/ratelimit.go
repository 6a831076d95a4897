package fairshare

import (
	"math"
	"time"
)

// refill adds the tokens that a flow's rate limit has yielded by now.
func (s *Scheduler[T]) refill(now time.Duration, f *Flow[T]) {
	if f.config.Rate > 0 && now > f.refilledAt {
		f.tokens = min(f.config.Burst, f.tokens+f.config.Rate*(now-f.refilledAt).Seconds())
	}
	f.refilledAt = max(f.refilledAt, now)
}

// limit reports whether a flow with a rate has less than one token, and sets when it will have
// one.
func (s *Scheduler[T]) limit(now time.Duration, f *Flow[T]) bool {
	s.refill(now, f)
	if f.tokens >= 1 {
		return false
	}
	f.limitedUntil = now + time.Duration(math.Ceil((1-f.tokens)/f.config.Rate*1e9))
	return true
}

// releaseRateLimited queues the first of the rate-limited flows again. It starts level with the
// others: it could not have been served meanwhile, so it has no claim on that time.
func (s *Scheduler[T]) releaseRateLimited(now time.Duration) {
	f := s.rateLimited.flows[0]
	s.rateLimited.remove(f)
	f.startTag = max(s.virtualTime, f.finishTag)
	s.enqueue(now, f)
}

// NextWake returns when the first rate-limited flow may be served; false if there is none.
func (s *Scheduler[T]) NextWake() (time.Duration, bool) {
	if len(s.rateLimited.flows) == 0 {
		return 0, false
	}
	return s.rateLimited.flows[0].limitedUntil, true
}

// Delay returns how long the rate limit of a flow delays an item that is pushed now, assuming that
// each queued item takes so many bytes.
func (s *Scheduler[T]) Delay(now time.Duration, f *Flow[T], bytesPerItem int) time.Duration {
	if f.config.Rate == 0 {
		return 0
	}
	s.refill(now, f)
	missing := float64(f.items.len)*float64(bytesPerItem) - f.tokens
	return time.Duration(max(missing, 0) / f.config.Rate * 1e9)
}
