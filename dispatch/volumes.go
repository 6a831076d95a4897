// Volumes: the records of the volumes that requests arrive for. Decides when an idle volume is
// forgotten. Owns the set of volumes; the fields of a record are owned as marked.

package dispatch

import (
	"slices"
	"time"
)

// idleVolumeTTL is how long a volume without requests is remembered.
const idleVolumeTTL = 30 * time.Second

// negligibleUnits bounds the rounding error of a sum of units.
const negligibleUnits = 1e-9

// volume is a volume with requests in the recent past.
type volume struct {
	id          VolumeID
	plan        *Plan
	dispatchers int // that serve the volume; the largest number seen

	// weights.go
	weight     float64 // φ in the paper
	quotaUsage float64 // latest figure, not yet applied; 0: none

	// quota.go
	tokens           float64 // this dispatcher's share of the rate limit's bucket, units
	tokensUpdatedAt  time.Duration
	reserve          float64 // unused units of the reserve, as far as this dispatcher knows
	reserveUpdatedAt time.Duration

	// fairqueue.go
	queuedUnits float64
	flows       []*flow

	lastSeen time.Duration // arrival of the last request
}

// volumeFor returns the volume of a request, adding it if it is not known.
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
	// The number does not fall: dispatchers that left may have spent their shares of the limit.
	v.dispatchers = max(v.dispatchers, e.Dispatchers)
	v.lastSeen = d.now
	return v
}

// dropIdleVolumes forgets the flows and volumes whose state no longer matters.
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
