package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/settings"
)

// loopOptions returns the options of an event loop that uses the function now as its clock.
// The memory of the loop's buffers is counted in bufferMemory.
func loopOptions(s *settings.Settings, now func() time.Duration, bufferMemory *atomic.Int64) eventloop.Options {
	share := s.FairSharing
	return eventloop.Options{
		Quantum:      share.Quantum,
		PollInterval: share.PollInterval.D(),
		Now:          now,
		BufferMemory: bufferMemory,
		FairShare: fairshare.Config{
			ByteTime:         share.ByteTime,
			Window:           share.Window.D(),
			Flows:            share.Flows,
			InProgressWeight: share.InProgressWeight,
			FIFO:             share.Order == "arrival",
		},
	}
}

// usageRegistry holds the shared usage of each volume, through which the event loops schedule the flows
// of one volume together. Each worker asks for a volume's shared usage once, when it creates the
// volume.
type usageRegistry struct {
	mu       sync.Mutex
	byVolume map[string]*fairshare.SharedUsage
}

// sharedUsage returns the shared usage of a volume. Once share.flows volumes have one, it returns nil
// for any further volume, and each loop then schedules the further volume separately.
func (r *usageRegistry) sharedUsage(name string, cfg *settings.Settings) *fairshare.SharedUsage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.byVolume[name]; u != nil {
		return u
	}
	if len(r.byVolume) >= cfg.FairSharing.Flows {
		return nil
	}
	if r.byVolume == nil {
		r.byVolume = map[string]*fairshare.SharedUsage{}
	}
	u := fairshare.NewSharedUsage(cfg.LoopCount())
	r.byVolume[name] = u
	return u
}

// chargedVolume returns the volume to which the work of a transaction is charged.
func (w *loopWorker) chargedVolume(t *transaction) *volume {
	if t.volume == nil {
		return w.gatewayVolume
	}
	return t.volume
}

// rateLimitDelay returns the time after which the client should retry a new request, or 0 if the
// request is accepted. A request is not accepted if the volume's byte rate would delay its body for
// longer than share.max_wait.
func (w *loopWorker) rateLimitDelay(v *volume) time.Duration {
	if wait := w.loop.Delay(v.flow, w.gateway.cfg.FairSharing.Quantum); wait > w.gateway.cfg.FairSharing.MaxDelay.D() {
		return wait
	}
	return 0
}

// VolumeUsage describes how much of the event loops a volume has used since the loops first served the
// volume, and how many of the volume's connections and responses are waiting.
type VolumeUsage struct {
	Volume           string        `json:"volume"`
	Weight           float64       `json:"weight"`
	LoopTime         time.Duration `json:"loops_ns"` // loop time used; at least share.byte_time for each byte
	Bytes            int64         `json:"bytes"`    // bytes read from clients and nodes
	Waiting          int           `json:"waits"`    // connections that wait for a time slice
	WaitingResponses int           `json:"streams"`  // responses that wait for a grant of their node's gate
	RateLimited      bool          `json:"paced"`    // the volume's byte rate delays it on at least one loop
}

// addUsage returns the sum of a volume's usage on two loops. The sum has the volume name and weight of u.
func (u VolumeUsage) addUsage(other VolumeUsage) VolumeUsage {
	u.LoopTime += other.LoopTime
	u.Bytes += other.Bytes
	u.Waiting += other.Waiting
	u.WaitingResponses += other.WaitingResponses
	u.RateLimited = u.RateLimited || other.RateLimited
	return u
}

// VolumeUsage returns the usage of all volumes in the order of their names. It returns nil once the
// gateway is closed.
func (g *Gateway) VolumeUsage() []VolumeUsage {
	parts := make(chan map[string]VolumeUsage, len(g.workers))
	for _, w := range g.workers {
		w.loop.Post(func() { parts <- w.volumeUsage() })
	}
	sums := map[string]VolumeUsage{}
	for range g.workers {
		select {
		case part := <-parts:
			for name, u := range part {
				sums[name] = u.addUsage(sums[name])
			}
		case <-g.core.done:
			return nil
		}
	}
	var all []VolumeUsage
	for _, u := range sums {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b VolumeUsage) int { return cmp.Compare(a.Volume, b.Volume) })
	return all
}

// volumeUsage returns the usage of each volume on this worker's loop, by volume name.
func (w *loopWorker) volumeUsage() map[string]VolumeUsage {
	byVolume := map[string]VolumeUsage{}
	w.loop.Flows(func(f *eventloop.Flow) {
		used := f.Usage()
		_, limited := f.RateLimitedUntil()
		byVolume[f.Name()] = VolumeUsage{
			Volume:      f.Name(),
			Weight:      f.Weight(),
			LoopTime:    time.Duration(used.Cost),
			Bytes:       used.Bytes,
			Waiting:     f.Waiting(),
			RateLimited: limited,
		}
	})
	for _, g := range w.gates {
		g.Flows(func(f *fairshare.Flow[*nodeConn]) {
			if u, ok := byVolume[f.Name()]; ok {
				u.WaitingResponses += f.Waiting()
				byVolume[f.Name()] = u
			}
		})
	}
	return byVolume
}

// VolumeUsageHandler returns a handler that serves the result of VolumeUsage as JSON, in the form
// {"loops": n, "shares": [...]}.
func (g *Gateway) VolumeUsageHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Loops  int           `json:"loops"`
			Shares []VolumeUsage `json:"shares"`
		}{len(g.workers), g.VolumeUsage()})
	})
}

// writeJSON writes v as a JSON document. It ignores write errors, because they mean that the client has
// disconnected.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
