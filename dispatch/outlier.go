// This file implements outlier ejection: a node gets no requests for some time after
// consecutive failures. It decides when and for how long a node is ejected. It owns
// node.consecutiveFailures and node.ejectedUntil, which recordResult also updates.

package dispatch

import "time"

const (
	// ejectionThreshold is the number of consecutive failures at which a node is ejected.
	ejectionThreshold = 3

	// The duration of an ejection doubles with each further failure, from minEjection up to
	// maxEjection. It is multiplied by a random factor between minEjectionJitter and
	// minEjectionJitter+ejectionJitterRange.
	minEjection          = 100 * time.Millisecond
	maxEjection          = 2 * time.Second
	maxEjectionDoublings = 8 // largest number of doublings of the duration
	minEjectionJitter    = 0.75
	ejectionJitterRange  = 0.5
)

// overdue reports whether n should have answered the last attempt of r by now. The timeout of an
// attempt that ended earlier says something about the time of its client, and is no failure of n.
func (d *Dispatcher) overdue(r *request, n *node) bool {
	late := max(n.serviceTime(lateAttemptFactor*r.Units), d.delayTarget())
	return d.now-r.sentAt > d.observedDelay(n)+late
}

// eject stops sending requests to n for a duration that grows with its consecutive failures.
func (d *Dispatcher) eject(n *node) {
	doubling := min(n.consecutiveFailures-ejectionThreshold, maxEjectionDoublings)
	ejection := min(minEjection<<doubling, maxEjection)
	jitter := minEjectionJitter + ejectionJitterRange*d.rng.Float64()
	n.ejectedUntil = d.now + time.Duration(float64(ejection)*jitter)
	d.addTimer(n.ejectedUntil, timerEvent{kind: releaseTimer, node: n})
}
