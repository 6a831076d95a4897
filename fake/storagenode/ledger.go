package storagenode

import (
	"sync"
	"time"
)

// maxPeriods is how many periods of a volume a ledger keeps.
const maxPeriods = 16

// Ledger is the accounting by volume that the nodes of one installation share: the units served in
// the last finished period, reported with a delay, and the units that each node served for other
// gateways since its last report to one.
type Ledger struct {
	Period time.Duration // over which a rate is measured
	Delay  time.Duration // until a finished period is reported

	mu      sync.Mutex
	volumes map[string]*volumeAccount
}

type volumeAccount struct {
	periods    []period                 // oldest first
	unreported map[nodeGateway]float64  // units that the node served for other gateways
	reported   map[nodeGateway]struct{} // to which the node has reported
}

type period struct {
	index int64 // Unix time of its start, in periods
	units float64
}

type nodeGateway struct{ node, gateway string }

// NewLedger returns an empty ledger.
func NewLedger(period, delay time.Duration) *Ledger {
	return &Ledger{Period: period, Delay: delay, volumes: map[string]*volumeAccount{}}
}

// account returns a volume's account. It is called with mu held.
func (l *Ledger) account(volume string) *volumeAccount {
	a := l.volumes[volume]
	if a == nil {
		a = &volumeAccount{unreported: map[nodeGateway]float64{}, reported: map[nodeGateway]struct{}{}}
		l.volumes[volume] = a
	}
	return a
}

// Add adds units that a node served for a volume through a gateway.
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

// Report returns a volume's rate, in units a second, in the last period that may be reported, and
// the units that the node served of it through other gateways since its last report to this one.
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
