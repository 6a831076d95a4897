package storagenode

import (
	"sync"
	"time"
)

// Ledger is how the stand-in nodes of one installation account for volumes
// together: what was served of each in the last finished period, told late, and
// what each node served for other gateways since it last told one.
type Ledger struct {
	Period time.Duration // over which a rate is taken
	Delay   time.Duration // until a finished period is told

	mu   sync.Mutex
	volumes map[string]*volumeAccount
}

type volumeAccount struct {
	periods []period // oldest first
	unreported  map[nodeGateway]float64
	reporters    map[nodeGateway]bool
}

type period struct {
	index int64
	units float64
}

type nodeGateway struct{ node, gateway string }

// NewLedger returns an empty ledger.
func NewLedger(period, late time.Duration) *Ledger {
	return &Ledger{Period: period, Delay: late, volumes: map[string]*volumeAccount{}}
}

func (l *Ledger) account(vol string) *volumeAccount {
	a := l.volumes[vol]
	if a == nil {
		a = &volumeAccount{unreported: map[nodeGateway]float64{}, reporters: map[nodeGateway]bool{}}
		l.volumes[vol] = a
	}
	return a
}

// Add counts units that a node served for a volume through a gateway.
func (l *Ledger) Add(vol, node, gateway string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(vol)
	i := time.Now().UnixNano() / int64(l.Period)
	if n := len(a.periods); n == 0 || a.periods[n-1].index != i {
		a.periods = append(a.periods, period{index: i})
		if len(a.periods) > 16 {
			a.periods = a.periods[1:]
		}
	}
	a.periods[len(a.periods)-1].units += units
	for p := range a.reporters {
		if p.node == node && p.gateway != gateway {
			a.unreported[p] += units
		}
	}
}

// Report tells a volume's rate, in units a second, in the last period that may be
// told, and what the node served of it through other gateways since it last told.
func (l *Ledger) Report(vol, node, gateway string) (rate, elsewhere float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(vol)
	told := time.Now().Add(-l.Delay).UnixNano()/int64(l.Period) - 1
	for _, p := range a.periods {
		if p.index == told {
			rate = p.units / l.Period.Seconds()
		}
	}
	k := nodeGateway{node, gateway}
	a.reporters[k] = true
	elsewhere = a.unreported[k]
	a.unreported[k] = 0
	return rate, elsewhere
}
