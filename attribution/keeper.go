package attribution

import (
	"fmt"
	"math"
	"time"
)

// Keeper keeps the books of a gateway's requests and puts late reports where they
// belong. It is told of events with the time and returns actions; it is not safe
// for concurrent use.
type Keeper struct {
	books  *Books
	now    time.Duration
	await  *ring[callKey, awaited] // requests whose nodes have not told
	early  *ring[callKey, Told]    // reports of requests that are not entered yet
	counts Counts
	acts   []Action
}

// KeeperConfig bounds a keeper.
type KeeperConfig struct {
	Config
	Late  int // ended requests that are remembered for late reports
	Early int // reports that wait for their request's end
}

// DefaultKeeperConfig returns the defaults.
func DefaultKeeperConfig() KeeperConfig {
	return KeeperConfig{Config: DefaultConfig(), Late: 8192, Early: 1024}
}

// Counts are what a keeper has seen since its start.
type Counts struct {
	Entered   int64 `json:"entered"`
	Untold    int64 `json:"untold"`    // attempts whose nodes had not told by the request's end
	ToldLate  int64 `json:"told_late"` // of these, told since
	Corrected int64 `json:"corrected"` // of these, in slots that had been closed
	Unplaced  int64 `json:"unplaced"`  // reports whose request is not known, or no longer
	Overdue   int64 `json:"overdue"`   // entries of slots that had been closed, and perhaps saved, before
	Lost      int64 `json:"lost"`      // entries that could not be handed over
}

// Event is something that a keeper hears.
type Event interface{ keeperEvent() }

// Batch is what has come together: entries and late reports, in any order.
type Batch struct {
	Entries []Entry
	Told    []Told
	Lost    int64 // entries that had to be thrown away before this batch
}

// Told is a node's report, after its answer, of how an attempt's time there divides.
type Told struct {
	Call    uint64
	Attempt int
	Queue   time.Duration
	Work    time.Duration
}

// Tick tells that time has passed.
type Tick struct{}

func (Batch) keeperEvent() {}
func (Tick) keeperEvent()  {}

// Finish closes all slots: nothing more will come.
type Finish struct{}

func (Finish) keeperEvent() {}

// Action is something that a keeper wants done.
type Action interface{ keeperAction() }

// Closed tells that a slot is complete and can be saved. A Fixed may follow.
type Closed struct{ Window Window }

// Fixed tells of a correction to a slot that was told as Closed.
type Fixed struct{ Correction Correction }

func (Closed) keeperAction() {}
func (Fixed) keeperAction()  {}

type callKey struct {
	call    uint64
	attempt int
}

type awaited struct {
	volume  string
	ended   time.Duration
	unknown time.Duration
	had     *time.Duration // the request's whole time at nodes that is not told
	ahead   []Share
}

// NewKeeper returns a keeper of empty books.
func NewKeeper(cfg KeeperConfig) (*Keeper, error) {
	if cfg.Late < 1 || cfg.Early < 1 {
		return nil, fmt.Errorf("attribution: want room for at least 1 late and 1 early report")
	}
	b, err := NewBooks(cfg.Config)
	if err != nil {
		return nil, err
	}
	k := &Keeper{books: b, await: newRing[callKey, awaited](cfg.Late), early: newRing[callKey, Told](cfg.Early)}
	b.closed = func(ring int, p *page) {
		slot := cfg.Resolutions[ring].Slot
		at := time.Duration(p.index) * slot
		k.acts = append(k.acts, Closed{p.window(at, at+slot, slot)})
	}
	return k, nil
}

// Books returns the books, for reading between events.
func (k *Keeper) Books() *Books { return k.books }

// Counts returns what was seen so far.
func (k *Keeper) Counts() Counts { return k.counts }

// Handle takes an event and returns what is to be done. The slice is the caller's
// until the next call.
func (k *Keeper) Handle(now time.Duration, ev Event) []Action {
	k.acts = k.acts[:0]
	k.now = max(now, k.now)
	until := k.now
	if _, ok := ev.(Finish); ok {
		until = math.MaxInt64
	}
	k.books.Advance(until)
	if b, ok := ev.(Batch); ok {
		k.counts.Lost += b.Lost
		for i := range b.Entries {
			k.enter(&b.Entries[i])
		}
		for _, t := range b.Told {
			k.told(t)
		}
	}
	return k.acts
}

// enter puts a request into the books. Reports that came before it are applied to
// the entry itself; for those that may come later it is remembered.
func (k *Keeper) enter(e *Entry) {
	k.counts.Entered++
	wait := e.Untold
	if len(k.early.at) > 0 {
		wait = k.toldEarly(e)
	}
	if k.wasClosed(e.Ended) {
		k.counts.Overdue++
	}
	k.books.Add(*e)
	if len(wait) == 0 {
		return
	}
	had := e.Parts[NodeTime]
	for _, u := range wait {
		k.counts.Untold++
		k.await.put(callKey{u.Call, u.Attempt}, awaited{e.Volume, e.Ended, u.Unknown, &had, u.Ahead})
	}
}

// toldEarly applies the reports that came before their request and returns the
// attempts that are still untold.
func (k *Keeper) toldEarly(e *Entry) (wait []Untold) {
	for _, u := range e.Untold {
		t, ok := k.early.take(callKey{u.Call, u.Attempt})
		if !ok {
			wait = append(wait, u)
			continue
		}
		queue, work := t.within(u.Unknown)
		e.Move(NodeTime, NodeQueue, queue)
		e.Move(NodeTime, NodeWork, work)
		e.Behind = append(e.Behind, Divide(u.Ahead, queue)...)
	}
	return wait
}

// within bounds what a report tells by the time that the attempt took.
func (t Told) within(unknown time.Duration) (queue, work time.Duration) {
	queue = min(max(t.Queue, 0), unknown)
	return queue, min(max(t.Work, 0), unknown-queue)
}

// told puts a late report on its request and slot. One that is told twice counts
// once.
func (k *Keeper) told(t Told) {
	key := callKey{t.Call, t.Attempt}
	a, ok := k.await.take(key)
	if !ok {
		if _, full := k.early.put(key, t); full {
			k.counts.Unplaced++
		}
		return
	}
	queue, work := t.within(a.unknown)
	c := Correction{Volume: a.volume, Ended: a.ended, From: NodeTime, Had: *a.had, Behind: Divide(a.ahead, queue)}
	for _, m := range []Moved{{NodeQueue, queue}, {NodeWork, work}} {
		if m.Time > 0 {
			c.To = append(c.To, m)
		}
	}
	*a.had -= queue + work
	k.counts.ToldLate++
	if _, late := k.books.Correct(c); late {
		k.counts.Corrected++
	}
	if k.wasClosed(a.ended) {
		k.acts = append(k.acts, Fixed{c})
	}
}

// wasClosed tells whether the slot of a time was told as Closed.
func (k *Keeper) wasClosed(at time.Duration) bool {
	p := k.books.held(k.books.distRing(), at)
	return p != nil && p.rolled
}

// ring remembers so many things by key; the oldest give way.
type ring[K comparable, V any] struct {
	slots []ringSlot[K, V]
	at    map[K]int
	next  int
}

type ringSlot[K comparable, V any] struct {
	key  K
	val  V
	used bool
}

func newRing[K comparable, V any](n int) *ring[K, V] {
	return &ring[K, V]{slots: make([]ringSlot[K, V], n), at: map[K]int{}}
}

// put remembers a value. It returns what had to give way.
func (r *ring[K, V]) put(key K, v V) (gone V, gave bool) {
	if i, ok := r.at[key]; ok {
		r.slots[i].val = v
		return gone, false
	}
	s := &r.slots[r.next]
	if gone, gave = s.val, s.used; gave {
		delete(r.at, s.key)
	}
	*s = ringSlot[K, V]{key, v, true}
	r.at[key] = r.next
	r.next = (r.next + 1) % len(r.slots)
	return gone, gave
}

// take returns a value and forgets it.
func (r *ring[K, V]) take(key K) (v V, ok bool) {
	i, ok := r.at[key]
	if !ok {
		return v, false
	}
	v = r.slots[i].val
	r.slots[i] = ringSlot[K, V]{}
	delete(r.at, key)
	return v, true
}
