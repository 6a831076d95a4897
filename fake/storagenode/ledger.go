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
	Late   time.Duration // until a finished period is told

	mu   sync.Mutex
	vols map[string]*account
}

type account struct {
	periods []period // oldest first
	others  map[pair]float64
	seen    map[pair]bool
}

type period struct {
	index int64
	units float64
}

type pair struct{ node, gateway string }

// NewLedger returns an empty ledger.
func NewLedger(period, late time.Duration) *Ledger {
	return &Ledger{Period: period, Late: late, vols: map[string]*account{}}
}

func (l *Ledger) account(vol string) *account {
	a := l.vols[vol]
	if a == nil {
		a = &account{others: map[pair]float64{}, seen: map[pair]bool{}}
		l.vols[vol] = a
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
	for p := range a.seen {
		if p.node == node && p.gateway != gateway {
			a.others[p] += units
		}
	}
}

// Report tells a volume's rate, in units a second, in the last period that may be
// told, and what the node served of it through other gateways since it last told.
func (l *Ledger) Report(vol, node, gateway string) (rate, elsewhere float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(vol)
	told := time.Now().Add(-l.Late).UnixNano()/int64(l.Period) - 1
	for _, p := range a.periods {
		if p.index == told {
			rate = p.units / l.Period.Seconds()
		}
	}
	k := pair{node, gateway}
	a.seen[k] = true
	elsewhere = a.others[k]
	a.others[k] = 0
	return rate, elsewhere
}
