package attribution

import "time"

// Event is an input of a collector. Its implementations are Batch, Tick and Flush.
type Event interface{ collectorEvent() }

// Batch carries the entries and late reports that the event loops of a gateway have collected, in
// any order.
type Batch struct {
	Entries []Entry
	Reports []NodeReport
	Lost    int64 // number of entries that the gateway dropped before this batch
}

// Tick tells the collector the current time, so that it closes the slots that are due.
type Tick struct{}

// Flush closes all slots. It must be the last event.
type Flush struct{}

func (Batch) collectorEvent() {}
func (Tick) collectorEvent()  {}
func (Flush) collectorEvent() {}

// NodeReport holds the queue and service times of an attempt, which its node reports after the
// response.
type NodeReport struct {
	Request uint64 // number of the request to the node
	Attempt int
	Queue   time.Duration
	Service time.Duration
}

// bounded returns the reported times, limited so that their sum does not exceed unknown, the
// attempt's time at the node.
func (r NodeReport) bounded(unknown time.Duration) (queue, service time.Duration) {
	queue = min(max(r.Queue, 0), unknown)
	return queue, min(max(r.Service, 0), unknown-queue)
}

// Action is an output of a collector. Its implementations are SlotClosed and SlotCorrected.
type Action interface{ collectorAction() }

// SlotClosed reports that a slot is complete and can be saved. Corrections to it may follow.
type SlotClosed struct{ Window Window }

// SlotCorrected reports a correction to a slot that the collector has reported in a SlotClosed.
type SlotCorrected struct{ Correction Correction }

func (SlotClosed) collectorAction()    {}
func (SlotCorrected) collectorAction() {}
