package fairshare

import "sync/atomic"

// Account joins the flows of one volume on several loops. Each loop writes its own
// part, seldom, and reads those of the others: no lock, and no line of memory that two
// write.
type Account struct {
	parts []part
}

type part struct {
	cost  atomic.Int64 // nanoseconds
	bytes atomic.Int64
	_     [48]byte // a line of its own
}

// NewAccount returns an account over so many loops.
func NewAccount(loops int) *Account { return &Account{parts: make([]part, loops)} }

func (a *Account) add(loop int, s Served) {
	a.parts[loop].cost.Add(int64(s.Cost))
	a.parts[loop].bytes.Add(s.Bytes)
}

func (a *Account) elsewhere(loop int) (s Served) {
	for i := range a.parts {
		if i != loop {
			s.Cost += float64(a.parts[i].cost.Load())
			s.Bytes += a.parts[i].bytes.Load()
		}
	}
	return s
}
