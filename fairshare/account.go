package fairshare

import "sync/atomic"

// SharedUsage joins the flows of one volume on several loops. Each loop writes its own
// part, seldom, and reads those of the others: no lock, and no line of memory that two
// write.
type SharedUsage struct {
	parts []part
}

type part struct {
	cost  atomic.Int64 // nanoseconds
	bytes atomic.Int64
	_     [48]byte // a line of its own
}

// NewSharedUsage returns an account over so many loops.
func NewSharedUsage(loops int) *SharedUsage { return &SharedUsage{parts: make([]part, loops)} }

func (a *SharedUsage) add(loop int, s Usage) {
	a.parts[loop].cost.Add(int64(s.Cost))
	a.parts[loop].bytes.Add(s.Bytes)
}

func (a *SharedUsage) elsewhere(loop int) (s Usage) {
	for i := range a.parts {
		if i != loop {
			s.Cost += float64(a.parts[i].cost.Load())
			s.Bytes += a.parts[i].bytes.Load()
		}
	}
	return s
}
