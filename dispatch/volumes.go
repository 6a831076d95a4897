// This file keeps the records of the volumes that requests arrive for. It decides when the
// record of an idle volume is deleted, and which one makes room for a new volume. It owns the
// set of volumes. Comments in the type volume
// name the file that owns each group of its fields.

package dispatch

import (
	"slices"
	"strings"
	"time"
)

// idleVolumeTTL is how long the record of a volume without requests is kept.
const idleVolumeTTL = 30 * time.Second

// evictionScan is the number of records that are examined to find one that makes room for a new
// volume.
const evictionScan = 32

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
	unconfirmedUnits float64 // units of sent requests that may still arrive at a node
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
			id:               VolumeID(strings.Clone(string(e.Volume))), // may be part of a long string
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

// hasRoomForVolume reports whether the records can hold the volume with the given ID. If a new
// record would exceed Config.MaxVolumes, it deletes the record of another volume whose state can
// no longer affect a decision. Of the records that it examines, it deletes the one whose last
// request is the oldest. Successive calls examine different records.
func (d *Dispatcher) hasRoomForVolume(id VolumeID) bool {
	if d.cfg.MaxVolumes == 0 || len(d.volumes) < d.cfg.MaxVolumes || d.volumes[id] != nil {
		return true
	}
	var victim *volume
	at := 0
	for range min(evictionScan, len(d.volumeOrder)) {
		d.evictionCursor = (d.evictionCursor + 1) % len(d.volumeOrder)
		v := d.volumeOrder[d.evictionCursor]
		if (victim == nil || v.lastSeen < victim.lastSeen) && d.idleVolume(v) {
			victim = v
			at = d.evictionCursor
		}
	}
	if victim == nil {
		return false
	}
	delete(d.volumes, victim.id)
	d.volumeOrder = slices.Delete(d.volumeOrder, at, at+1)
	return true
}

// idleVolume deletes the flows of v that can no longer affect a decision. It reports whether the
// same holds for the rest of the record: v has no queued request, and its token bucket is full.
func (d *Dispatcher) idleVolume(v *volume) bool {
	v.flows = slices.DeleteFunc(v.flows, (*flow).idle)
	d.refillTokens(v)
	bucketFull := v.plan.RateLimit == 0 || v.tokens >= v.tokenCapacity()
	return bucketFull && v.queuedUnits <= negligibleUnits && len(v.flows) == 0
}

// dropIdleVolumes deletes the flows and volumes whose state can no longer affect a decision.
func (d *Dispatcher) dropIdleVolumes() {
	d.volumeOrder = slices.DeleteFunc(d.volumeOrder, func(v *volume) bool {
		idle := d.idleVolume(v) && d.now-v.lastSeen > idleVolumeTTL
		if idle {
			delete(d.volumes, v.id)
		}
		return idle
	})
}
