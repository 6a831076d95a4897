package faultinjection

import (
	"context"
	"time"

	"chalkstand/fake/storagenode"
)

// maxSuccessorDelay bounds the time from the publication of a drain to the start of the drained node's successor.
const maxSuccessorDelay = 800 * time.Millisecond

// loadFaults holds the current effect of the faults that change the load. The faults Flood and HotKey act on the
// same volume.
type loadFaults struct {
	surgeFactor      float64 // multiplies the load of all volumes
	floodFactor      float64 // multiplies the load of one volume
	volume           int     // index of the volume on which Flood and HotKey act
	earlyCancelShare float64 // share of the requests that their clients cancel early
	hotKeyShare      float64 // share of the writes that go to one key
}

// scheduleFaults starts a goroutine for each fault of the script. The goroutine waits until f.At after base and
// then injects the fault. Faults that would start after the end of the run are left out.
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

// inject carries out a fault from its start to its end.
func (r *run) inject(ctx context.Context, f Fault) {
	r.printProgress("%s for %v (target %d, magnitude %.2f)", f.Kind, f.For.Duration(), f.Target, f.Magnitude)
	switch f.Kind {
	case Surge, Flood, EarlyCancel, HotKey:
		r.injectLoadFault(ctx, f)
	case DrainWave:
		r.drainWave(ctx, f)
	case NodeDeath:
		r.killNode(ctx, f.Target%r.options.Shards, f.For.Duration()/2)
	case GatewayCrash:
		r.crashGateway(ctx, f.Target%r.options.Gateways, f.For.Duration()/3)
	case FrozenReports:
		for _, n := range r.currentNodes() {
			n.FreezeReport(f.For.Duration())
		}
	default:
		nodes := r.currentNodes()
		injectNodeFault(nodes[f.Target%len(nodes)], f)
	}
}

// injectLoadFault changes the load, waits for f.For, and restores the normal load.
func (r *run) injectLoadFault(ctx context.Context, f Fault) {
	volume := f.Target % len(r.volumes)
	var begin, end func()
	switch f.Kind {
	case Surge:
		begin = func() { r.load.surgeFactor = f.Magnitude }
		end = func() { r.load.surgeFactor = 1 }
	case Flood:
		begin = func() { r.load.volume, r.load.floodFactor = volume, f.Magnitude }
		end = func() { r.load.floodFactor = 1 }
	case EarlyCancel:
		begin = func() { r.load.earlyCancelShare = f.Magnitude }
		end = func() { r.load.earlyCancelShare = 0 }
	case HotKey:
		begin = func() { r.load.volume, r.load.hotKeyShare = volume, f.Magnitude }
		end = func() { r.load.hotKeyShare = 0 }
	}
	r.locked(begin)
	sleep(ctx, f.For.Duration())
	r.locked(end)
}

// drainWave replaces the nodes of f.Count consecutive shards, one after the other. The successor of every
// second node starts with a delay after the drain was published.
func (r *run) drainWave(ctx context.Context, f Fault) {
	for i := range f.NodeCount {
		successorDelay := time.Duration(0)
		if i%2 == 1 {
			successorDelay = min(f.For.Duration()/4, maxSuccessorDelay)
		}
		r.replaceNode(ctx, (f.Target+i)%r.options.Shards, successorDelay, f.For.Duration()/2)
		if !sleep(ctx, f.For.Duration()/time.Duration(f.NodeCount)) {
			return
		}
	}
}

// injectNodeFault starts a fault at one node. The node itself ends the fault after f.For.
func injectNodeFault(n *storagenode.Node, f Fault) {
	fault := storagenode.Fault{For: f.For.Duration()}
	switch f.Kind {
	case Unresponsive:
		fault.Kind = storagenode.Stall
	case SlowNode:
		fault.Kind = storagenode.Slow
		fault.Factor = f.Magnitude
	case LoseResponses:
		fault.Kind = storagenode.LoseResponse
		fault.Share = f.Magnitude
	case TruncateResponses:
		fault.Kind = storagenode.TruncateResponse
		fault.Share = f.Magnitude
	case ConnectionResets:
		fault.Kind = storagenode.ResetConnection
		fault.Share = f.Magnitude
	default: // not reached: ParseScript rejects unknown kinds, and inject handles the other known ones
		return
	}
	n.Inject(fault)
}
