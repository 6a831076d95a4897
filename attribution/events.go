package attribution

import "time"

// Event is an input of a collector: Batch, Tick or Flush.
type Event interface{ collectorEvent() }

// Batch is what a gateway's loops have collected: entries and late reports, in any order.
type Batch struct {
	Entries []Entry
	Reports []NodeReport
	Lost    int64 // entries dropped before this batch
}

// Tick is the passing of time.
type Tick struct{}

// Flush closes all slots: no event follows.
type Flush struct{}

func (Batch) collectorEvent() {}
func (Tick) collectorEvent()  {}
func (Flush) collectorEvent() {}

// NodeReport is a node's report, after its response, of how an attempt's time there divides.
type NodeReport struct {
	Request uint64 // number of the request to the node
	Attempt int
	Queue   time.Duration
	Service time.Duration
}

// bounded returns the reported times, limited to the time that the attempt took.
func (r NodeReport) bounded(unknown time.Duration) (queue, work time.Duration) {
	queue = min(max(r.Queue, 0), unknown)
	return queue, min(max(r.Service, 0), unknown-queue)
}

// Action is an output of a collector: SlotClosed or SlotCorrected.
type Action interface{ collectorAction() }

// SlotClosed reports that a slot is complete and can be saved. Corrections may follow.
type SlotClosed struct{ Window Window }

// SlotCorrected reports a correction to a slot after its SlotClosed.
type SlotCorrected struct{ Correction Correction }

func (SlotClosed) collectorAction()    {}
func (SlotCorrected) collectorAction() {}
