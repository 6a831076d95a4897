// Outlier detection: a node is ejected for a while after consecutive failures. Decides when and
// for how long. Owns node.consecutiveFailures and node.ejectedUntil, which
// recordResult updates.

package dispatch

import "time"

const (
	// ejectionThreshold is the number of consecutive failures from which a node is ejected.
	ejectionThreshold = 3

	// The ejection doubles with each further failure between these bounds, times a random
	// factor between minEjectionJitter and minEjectionJitter+ejectionJitterRange.
	minEjection         = 100 * time.Millisecond
	maxEjection         = 2 * time.Second
	maxEjectionDoubling = 8
	minEjectionJitter   = 0.75
	ejectionJitterRange = 0.5
)

// eject stops sending to n for a time that grows with its consecutive failures.
func (d *Dispatcher) eject(n *node) {
	doubling := min(n.consecutiveFailures-ejectionThreshold, maxEjectionDoubling)
	ejection := min(minEjection<<doubling, maxEjection)
	jitter := minEjectionJitter + ejectionJitterRange*d.rng.Float64()
	n.ejectedUntil = d.now + time.Duration(float64(ejection)*jitter)
	d.addTimer(n.ejectedUntil, timerEvent{kind: releaseTimer, node: n})
}
