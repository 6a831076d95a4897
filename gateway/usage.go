package gateway

import (
	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/settings"
	"chalkstand/overload"
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// loopOptions are a loop's settings.
func loopOptions(s *settings.Settings, now func() time.Duration) eventloop.Options {
	x := s.Share
	return eventloop.Options{
		Quantum: x.Quantum,
		Slice:   x.Slice.D(),
		Now:     now,
		FairShare: fairshare.Config{
			ByteTime:         x.ByteTime,
			Window:           x.Window.D(),
			Flows:            x.Flows,
			InProgressWeight: x.Finishing,
			FIFO:             x.Order == "arrival",
		},
	}
}

// newOverloadController returns the state of one flow's refusals.
func (l *loopWorker) newOverloadController() *overload.Controller {
	x := l.gateway.cfg.Share.Overload
	o, err := overload.New(overload.Config{
		Target:        x.Target.D(),
		Interval:      x.Interval.D(),
		RetryAfter:    x.Back.D(),
		MaxRetryAfter: x.MaxBack.D(),
	})
	if err != nil {
		panic("gateway: " + err.Error()) // cannot happen: the settings were checked
	}
	return o
}

// usageRegistry joins the flows of a volume on all loops. It is asked once for each volume
// and loop; turns do not come here.
type usageRegistry struct {
	mu       sync.Mutex
	byVolume map[string]*fairshare.SharedUsage
}

// shared finds or makes the account of a volume. Beyond the bound there is none: such
// a volume has its share of each loop by itself.
func (s *usageRegistry) shared(name string, cfg *settings.Settings) *fairshare.SharedUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byVolume[name]; a != nil {
		return a
	}
	if len(s.byVolume) >= cfg.Share.Flows {
		return nil
	}
	if s.byVolume == nil {
		s.byVolume = map[string]*fairshare.SharedUsage{}
	}
	a := fairshare.NewSharedUsage(cfg.LoopCount())
	s.byVolume[name] = a
	return a
}

// chargedVolume is the volume that a transaction's work counts for.
func (l *loopWorker) chargedVolume(t *transaction) *volume {
	if t.volume == nil {
		return l.ownVolume
	}
	return t.volume
}

// rateLimitDelay tells after which time a request that comes now is better asked again: where
// the limit in bytes lets each body of its volume move so seldom that their clients
// would take them for dead. 0: it is taken, and paced.
func (l *loopWorker) rateLimitDelay(v *volume) time.Duration {
	if wait := l.loop.Delay(v.flow, l.gateway.cfg.Share.Quantum); wait > l.gateway.cfg.Share.MaxWait.D() {
		return wait
	}
	return 0
}

// VolumeUsage is what a volume had of the gateway's loops since they first knew it, and what
// of it waits.
type VolumeUsage struct {
	Volume      string        `json:"volume"`
	Weight      float64       `json:"weight"`
	LoopTime    time.Duration `json:"loops_ns"` // time, bytes at their price
	Bytes       int64         `json:"bytes"`    // read from clients and nodes
	Waiting     int           `json:"waits"`    // connections that wait for a turn
	Streams     int           `json:"streams"`  // answers that wait for leave to draw on their node
	RateLimited bool          `json:"paced"`    // held by its limit on some loop
}

// VolumeUsage tells what the volumes had, in the order of their names.
func (g *Gateway) VolumeUsage() []VolumeUsage {
	parts := make(chan map[string]VolumeUsage, len(g.workers))
	for _, l := range g.workers {
		l.loop.Post(func() { parts <- l.volumeUsage() })
	}
	all := map[string]VolumeUsage{}
	for range g.workers {
		select {
		case p := <-parts:
			for name, x := range p {
				s := all[name]
				x.LoopTime, x.Bytes, x.Waiting, x.Streams, x.RateLimited = x.LoopTime+s.LoopTime, x.Bytes+s.Bytes, x.Waiting+s.Waiting, x.Streams+s.Streams, x.RateLimited || s.RateLimited
				all[name] = x
			}
		case <-g.core.done:
			return nil
		}
	}
	var out []VolumeUsage
	for _, x := range all {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b VolumeUsage) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}

func (l *loopWorker) volumeUsage() map[string]VolumeUsage {
	out := map[string]VolumeUsage{}
	l.loop.Flows(func(f *eventloop.Flow) {
		had := f.Usage()
		_, paced := f.RateLimitedUntil()
		out[f.Name()] = VolumeUsage{Volume: f.Name(), Weight: f.Weight(), LoopTime: time.Duration(had.Cost), Bytes: had.Bytes, Waiting: f.Waiting(), RateLimited: paced}
	})
	for _, g := range l.gates {
		g.Flows(func(f *fairshare.Flow[*nodeConn]) {
			if s, ok := out[f.Name()]; ok {
				s.Streams += f.Waiting()
				out[f.Name()] = s
			}
		})
	}
	return out
}

// VolumeUsageHandler serves Shares as JSON: {"loops": n, "shares": [...]}.
func (g *Gateway) VolumeUsageHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(struct {
			Loops  int           `json:"loops"`
			Shares []VolumeUsage `json:"shares"`
		}{len(g.workers), g.VolumeUsage()})
	})
}
