package storagenode

import (
	"sync"
	"time"
)

// maxPeriods is the maximum number of periods that a ledger keeps for each volume.
const maxPeriods = 16

// Ledger is the usage accounting that the nodes of one installation share. For each volume it counts the
// cost units served in each period. For each node and gateway, it also counts the units that the node
// served for other gateways since its last report to this gateway.
type Ledger struct {
	Period time.Duration // interval over which a volume's rate is measured
	Delay  time.Duration // time between the end of a period and the first report of its rate

	mu      sync.Mutex
	volumes map[string]*volumeAccount
}

type volumeAccount struct {
	periods    []period                 // in ascending order of index
	unreported map[nodeGateway]float64  // units that the node served for other gateways since its last report to this one
	reported   map[nodeGateway]struct{} // pairs for which the node has sent the gateway at least one report
}

type period struct {
	index int64   // Unix time of the period's start, divided by Period
	units float64 // cost units that all nodes served in the period
}

type nodeGateway struct{ node, gateway string }

// NewLedger returns an empty ledger.
func NewLedger(period, delay time.Duration) *Ledger {
	return &Ledger{Period: period, Delay: delay, volumes: map[string]*volumeAccount{}}
}

// account returns the account of a volume and creates it if necessary. The caller must hold mu.
func (l *Ledger) account(volume string) *volumeAccount {
	a := l.volumes[volume]
	if a == nil {
		a = &volumeAccount{unreported: map[nodeGateway]float64{}, reported: map[nodeGateway]struct{}{}}
		l.volumes[volume] = a
	}
	return a
}

// Add adds the cost units of a request that a node served for a volume and a gateway.
func (l *Ledger) Add(volume, node, gateway string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(volume)
	i := time.Now().UnixNano() / int64(l.Period)
	if n := len(a.periods); n == 0 || a.periods[n-1].index != i {
		a.periods = append(a.periods, period{index: i})
		if len(a.periods) > maxPeriods {
			a.periods = a.periods[1:]
		}
	}
	a.periods[len(a.periods)-1].units += units
	for key := range a.reported {
		if key.node == node && key.gateway != gateway {
			a.unreported[key] += units
		}
	}
}

// Report returns the figures for a node's report to a gateway. rate is the volume's rate in the last
// period that ended at least Delay ago, in cost units per second. elsewhere is the number of units that
// the node served for the volume through other gateways since its last report to this gateway.
func (l *Ledger) Report(volume, node, gateway string) (rate, elsewhere float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(volume)
	last := time.Now().Add(-l.Delay).UnixNano()/int64(l.Period) - 1
	for _, p := range a.periods {
		if p.index == last {
			rate = p.units / l.Period.Seconds()
		}
	}
	key := nodeGateway{node: node, gateway: gateway}
	a.reported[key] = struct{}{}
	elsewhere = a.unreported[key]
	a.unreported[key] = 0
	return rate, elsewhere
}
