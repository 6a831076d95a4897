// This file keeps the records of the volumes that requests arrive for. It decides when the
// record of an idle volume is deleted. It owns the set of volumes. Comments in the type volume
// name the file that owns each group of its fields.

package dispatch

import (
	"slices"
	"time"
)

// idleVolumeTTL is how long the record of a volume without requests is kept.
const idleVolumeTTL = 30 * time.Second

// negligibleUnits is the largest sum of units that counts as 0, because it may be a rounding
// error.
const negligibleUnits = 1e-9

// volume is the record of a volume that has recently had requests.
type volume struct {
	id          VolumeID
	plan        *Plan
	dispatchers int // largest reported number of dispatchers that serve the volume

	// The file weights.go owns the following fields.
	weight     float64 // weight in the fair queues; φ in the paper
	quotaUsage float64 // latest usage figure if it is not yet applied to weight; 0 means none

	// The file quota.go owns the following fields.
	tokens           float64 // units in this dispatcher's share of the rate limit's token bucket
	tokensUpdatedAt  time.Duration
	reserve          float64 // unused units of the reserve, as far as this dispatcher knows
	reserveUpdatedAt time.Duration

	// The file fairqueue.go owns the following fields.
	queuedUnits float64
	flows       []*flow

	lastSeen time.Duration // arrival time of the last request
}

// volumeFor returns the volume of request e. It creates the record if there is none.
func (d *Dispatcher) volumeFor(e Request) *volume {
	v := d.volumes[e.Volume]
	if v == nil {
		plan := &d.cfg.Plans[e.Plan]
		v = &volume{
			id:               e.Volume,
			plan:             plan,
			dispatchers:      max(e.Dispatchers, 1),
			weight:           plan.Weight,
			tokensUpdatedAt:  d.startedAt,
			reserveUpdatedAt: d.now,
		}
		v.reserve = d.reserveCapacity(v)
		d.volumes[v.id] = v
		d.volumeOrder = append(d.volumeOrder, v)
	}
	d.refillTokens(v)
	// The number of dispatchers never decreases, because a dispatcher that no longer serves the
	// volume may already have spent its share of the rate limit.
	v.dispatchers = max(v.dispatchers, e.Dispatchers)
	v.lastSeen = d.now
	return v
}

// dropIdleVolumes deletes the flows and volumes whose state can no longer affect a decision.
func (d *Dispatcher) dropIdleVolumes() {
	d.volumeOrder = slices.DeleteFunc(d.volumeOrder, func(v *volume) bool {
		v.flows = slices.DeleteFunc(v.flows, (*flow).idle)
		d.refillTokens(v)
		bucketFull := v.plan.RateLimit == 0 || v.tokens >= v.tokenCapacity()
		idle := bucketFull && v.queuedUnits <= negligibleUnits && len(v.flows) == 0 &&
			d.now-v.lastSeen > idleVolumeTTL
		if idle {
			delete(d.volumes, v.id)
		}
		return idle
	})
}
