package storagenode

import (
	"io"
	"net/http"
	"time"

	"chalkstand/internal/objectapi"
)

// dedupEntry records a write with an idempotency key and its response. The node does not execute repeats of the write.
type dedupEntry struct {
	key      string
	expires  time.Time     // end of the deduplication window; zero while the write is running
	done     chan struct{} // closed when response is set
	response response
}

// execute executes an operation and returns its response. A repeat of a keyed write within the
// deduplication window is not executed and gets the response of the first write.
func (n *Node) execute(op objectapi.Operation, r *http.Request, e *LogEntry) response {
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" || n.cfg.DedupWindow <= 0 || !op.Kind.Writes() {
		n.recordExecution(r, e)
		return n.data.run(op, r)
	}
	now := time.Now()
	entry, first := n.data.startKeyedWrite(key, now)
	if !first {
		_, _ = io.Copy(io.Discard, r.Body) // the response does not depend on the body, even if it is incomplete
		n.update(e, func(x *LogEntry) { x.Deduplicated = true })
		select {
		case <-entry.done:
		case <-n.ctx.Done():
		}
		return entry.response
	}
	n.recordExecution(r, e)
	entry.response = n.data.run(op, r)
	n.data.finishKeyedWrite(entry, now, n.cfg.DedupWindow)
	return entry.response
}

// startKeyedWrite returns the entry of an idempotency key. It creates the entry and returns true if the key has none or
// its entry has expired.
func (d *Dataset) startKeyedWrite(key string, now time.Time) (entry *dedupEntry, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry = d.dedup[key]
	if entry != nil && (entry.expires.IsZero() || now.Before(entry.expires)) {
		return entry, false
	}
	entry = &dedupEntry{key: key, done: make(chan struct{})}
	d.dedup[key] = entry
	return entry, true
}

// finishKeyedWrite starts the deduplication window of a keyed write whose response is set. It also deletes
// the entries that had already expired when the write started.
func (d *Dataset) finishKeyedWrite(entry *dedupEntry, started time.Time, window time.Duration) {
	d.mu.Lock()
	entry.expires = time.Now().Add(window)
	d.dedupOrder = append(d.dedupOrder, entry)
	for len(d.dedupOrder) > 0 && started.After(d.dedupOrder[0].expires) {
		expired := d.dedupOrder[0]
		if d.dedup[expired.key] == expired { // a later write with the same key may have replaced the entry
			delete(d.dedup, expired.key)
		}
		d.dedupOrder = d.dedupOrder[1:]
	}
	d.mu.Unlock()
	close(entry.done)
}

// recordExecution marks a request as executed in the log and adds its cost units to the ledger.
func (n *Node) recordExecution(r *http.Request, e *LogEntry) {
	n.update(e, func(x *LogEntry) { x.Executed = true })
	if n.ledger != nil {
		n.ledger.Add(e.Volume, n.cfg.ID, gatewayOf(r.Header), e.Units)
	}
}
