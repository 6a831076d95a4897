// Weights: the controller that adapts the fair-queuing weights to the volumes' use of their
// quotas (C-SFQ(D), sections 4 and 5.4). Owns volume.weight and
// volume.quotaUsage, which the ends of attempts set.

package dispatch

import "time"

const (
	controllerInterval = 3 * time.Second

	// A volume's weight stays within these multiples of its plan's weight, so that one late
	// figure neither starves a volume nor lets it displace the others.
	minWeightFactor = 0.25
	maxWeightFactor = 2.0
)

// updateWeights scales each weight by 100 over the latest usage in percent. A figure is applied
// once; without a new one the weight stays.
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

// setWeight changes the weight of a volume and recomputes the tags of its flows (the paper's
// section 4): the finish tag of the last request sent follows anew from its start tag, and the
// queued requests follow it.
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
