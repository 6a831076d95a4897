package gateway

import (
	"strings"

	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/overload"
	"chalkstand/placement"
)

// maxVolumes is the maximum number of volumes in a worker's cache. The worker clears the cache when
// it is full.
const maxVolumes = 4096

// volume is a bucket with its settings and its scheduling state on one worker.
type volume struct {
	name        string
	plan        int     // index of the volume's plan in the settings
	rate        float64 // rate limit of the plan, in cost units per second
	dispatchers int     // number of gateways that serve the volume
	placement   *placement.Volume
	flow        *eventloop.Flow
	flowConfig  fairshare.FlowConfig
	overload    *overload.Controller
}

// volumeOf returns the volume of a bucket. It returns nil if no bucket rule of the settings matches
// the bucket.
func (w *loopWorker) volumeOf(bucket string) *volume {
	if v := w.volumes[bucket]; v != nil {
		return v
	}
	cfg := w.gateway.cfg
	rule := cfg.BucketRule(bucket)
	if rule < 0 {
		return nil
	}
	if len(w.volumes) >= maxVolumes {
		clear(w.volumes)
	}
	v := &volume{
		name:        strings.Clone(bucket),
		plan:        cfg.PlanIndex(rule),
		dispatchers: cfg.Dispatchers(rule),
		placement:   w.gateway.shards.Volume(bucket, cfg.Buckets[rule].ShardCount),
	}
	v.rate = cfg.Plans[v.plan].Rate
	v.flowConfig = cfg.FlowConfig(rule)
	v.flow = w.loop.Flow(v.name, v.flowConfig, w.gateway.usage.sharedUsage(v.name, cfg))
	v.overload = w.newOverloadController()
	w.volumes[v.name] = v
	return v
}
