package faultinjection

import (
	"context"
	"time"

	"chalkstand/fake/storagenode"
)

// maxSuccessorDelay is how late the successor of a drained node starts at most.
const maxSuccessorDelay = 800 * time.Millisecond

// loadFaults are the faults that change the load. Flood and hot key share their volume.
type loadFaults struct {
	surge     float64 // factor of the load of all volumes
	flood     float64 // factor of the load of one volume
	volume    int     // index of the volume of flood and hot key
	impatient float64 // share of requests that their clients cancel early
	hotKey    float64 // share of writes that go to one key
}

// scheduleFaults starts each fault of the script at its time after base.
func (r *run) scheduleFaults(ctx context.Context, base time.Duration) {
	for _, f := range r.options.Script {
		if f.At.Duration() >= r.options.Duration {
			continue
		}
		r.wg.Go(func() {
			if sleep(ctx, f.At.Duration()-(r.now()-base)) {
				r.inject(ctx, f)
			}
		})
	}
}

// inject makes a fault and ends it after its time.
func (r *run) inject(ctx context.Context, f Fault) {
	r.printProgress("%s for %v (which %d, times %.2f)", f.Kind, f.For.Duration(), f.Which, f.Times)
	switch f.Kind {
	case Surge, Flood, EarlyCancel, HotKey:
		r.injectLoadFault(ctx, f)
	case DrainWave:
		r.drainWave(ctx, f)
	case NodeDeath:
		r.killNode(ctx, f.Which%r.options.Shards, f.For.Duration()/2)
	case GatewayCrash:
		r.crashGateway(ctx, f.Which%r.options.Gateways, f.For.Duration()/3)
	case FrozenReports:
		for _, n := range r.currentNodes() {
			n.FreezeReport(f.For.Duration())
		}
	default:
		nodes := r.currentNodes()
		injectNodeFault(nodes[f.Which%len(nodes)], f)
	}
}

// injectLoadFault changes the load for the time of the fault.
func (r *run) injectLoadFault(ctx context.Context, f Fault) {
	volume := f.Which % len(r.volumes)
	var begin, end func()
	switch f.Kind {
	case Surge:
		begin = func() { r.load.surge = f.Times }
		end = func() { r.load.surge = 1 }
	case Flood:
		begin = func() { r.load.volume, r.load.flood = volume, f.Times }
		end = func() { r.load.flood = 1 }
	case EarlyCancel:
		begin = func() { r.load.impatient = f.Times }
		end = func() { r.load.impatient = 0 }
	case HotKey:
		begin = func() { r.load.volume, r.load.hotKey = volume, f.Times }
		end = func() { r.load.hotKey = 0 }
	}
	r.locked(begin)
	sleep(ctx, f.For.Duration())
	r.locked(end)
}

// drainWave replaces the nodes of consecutive shards, one after the other. Every other successor starts late.
func (r *run) drainWave(ctx context.Context, f Fault) {
	for i := range f.Count {
		successorDelay := time.Duration(0)
		if i%2 == 1 {
			successorDelay = min(f.For.Duration()/4, maxSuccessorDelay)
		}
		r.replaceNode(ctx, (f.Which+i)%r.options.Shards, successorDelay, f.For.Duration()/2)
		if !sleep(ctx, f.For.Duration()/time.Duration(f.Count)) {
			return
		}
	}
}

// injectNodeFault makes a fault at one node, which ends it by itself.
func injectNodeFault(n *storagenode.Node, f Fault) {
	fault := storagenode.Fault{For: f.For.Duration()}
	switch f.Kind {
	case Unresponsive:
		fault.Kind = storagenode.Stall
	case SlowNode:
		fault.Kind = storagenode.Slow
		fault.Factor = f.Times
	case LoseResponses:
		fault.Kind = storagenode.LoseResponse
		fault.Share = f.Times
	case TruncateResponses:
		fault.Kind = storagenode.TruncateResponse
		fault.Share = f.Times
	case ConnectionResets:
		fault.Kind = storagenode.ResetConnection
		fault.Share = f.Times
	default: // ParseScript accepts no other kind
		return
	}
	n.Inject(fault)
}
