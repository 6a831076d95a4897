// This file implements the controller of C-SFQ(D), which adapts the fair-queuing weight of each
// volume to the use of its quota (sections 4 and 5.4 of the paper that the package comment
// names). It owns volume.weight and volume.quotaUsage. handleAttemptCompleted sets
// volume.quotaUsage.

package dispatch

import "time"

const (
	// controllerInterval is the time between two updates of the weights.
	controllerInterval = 3 * time.Second

	// The weight of a volume stays between minWeightFactor and maxWeightFactor times the weight
	// of its plan. One late usage figure can therefore neither starve a volume nor let it
	// displace the others.
	minWeightFactor = 0.25
	maxWeightFactor = 2.0
)

// updateWeights multiplies the weight of each volume by 100 and divides it by the latest usage
// of the volume's quota in percent. Each usage figure is applied once. The weight of a volume
// without a new figure stays the same.
func (d *Dispatcher) updateWeights() {
	d.addTimer(d.now+controllerInterval, timerEvent{kind: controllerTimer})
	for _, v := range d.volumeOrder {
		if v.quotaUsage <= 0 {
			continue
		}
		percent := max(v.quotaUsage-1, 1)
		v.quotaUsage = 0
		planWeight := v.plan.Weight
		v.setWeight(min(max(v.weight*100/percent, planWeight*minWeightFactor), planWeight*maxWeightFactor))
	}
}

// setWeight changes the weight of a volume and recomputes the tags of its flows (section 4 of
// the paper). The finish tag of the last request sent is recomputed from its start tag and the
// new weight. The queued requests get their tags from that finish tag.
func (v *volume) setWeight(weight float64) {
	if weight == v.weight {
		return
	}
	for _, f := range v.flows {
		if f.queuedRequests > 0 {
			f.node.backloggedWeight += weight - v.weight
		}
	}
	v.weight = weight
	for _, f := range v.flows {
		f.lastFinishTag = f.lastStartTag + f.lastCost/weight
		f.minStartTag = f.node.virtualTime
		f.updateHead()
	}
}
