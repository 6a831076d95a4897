package storagenode

import (
	"io"
	"net/http"
	"time"

	"chalkstand/internal/objectapi"
)

// dedupEntry remembers a keyed write, so that repeats of it are not executed.
type dedupEntry struct {
	key      string
	until    time.Time     // zero while the write is running
	done     chan struct{} // closed when response is set
	response response
}

// execute runs an operation, or returns the first response for a repeat of a keyed write.
func (n *Node) execute(op objectapi.Operation, r *http.Request, e *LogEntry) response {
	key := r.Header.Get(headerKey)
	if key == "" || n.cfg.DedupWindow <= 0 || !op.Kind.Writes() {
		n.recordExecution(r, e)
		return n.data.run(op, r)
	}
	now := time.Now()
	entry, first := n.data.startKeyed(key, now)
	if !first {
		_, _ = io.Copy(io.Discard, r.Body) // the response does not depend on it
		n.update(e, func(x *LogEntry) { x.Deduplicated = true })
		select {
		case <-entry.done:
		case <-n.ctx.Done():
		}
		return entry.response
	}
	n.recordExecution(r, e)
	entry.response = n.data.run(op, r)
	n.data.finishKeyed(entry, now, n.cfg.DedupWindow)
	return entry.response
}

// startKeyed returns the entry of a key and reports whether it is a new one.
func (d *Dataset) startKeyed(key string, now time.Time) (entry *dedupEntry, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry = d.dedup[key]
	if entry != nil && (entry.until.IsZero() || now.Before(entry.until)) {
		return entry, false
	}
	entry = &dedupEntry{key: key, done: make(chan struct{})}
	d.dedup[key] = entry
	return entry, true
}

// finishKeyed ends a keyed write that was started at a time, and forgets the entries that had
// expired then.
func (d *Dataset) finishKeyed(entry *dedupEntry, started time.Time, window time.Duration) {
	d.mu.Lock()
	entry.until = time.Now().Add(window)
	d.dedupOrder = append(d.dedupOrder, entry)
	for len(d.dedupOrder) > 0 && started.After(d.dedupOrder[0].until) {
		expired := d.dedupOrder[0]
		if d.dedup[expired.key] == expired { // not replaced by a later write of its key
			delete(d.dedup, expired.key)
		}
		d.dedupOrder = d.dedupOrder[1:]
	}
	d.mu.Unlock()
	close(entry.done)
}

// recordExecution logs that an operation is executed and adds its units to the ledger.
func (n *Node) recordExecution(r *http.Request, e *LogEntry) {
	n.update(e, func(x *LogEntry) { x.Executed = true })
	if n.ledger != nil {
		n.ledger.Add(e.Volume, n.cfg.ID, gatewayOf(r.Header), e.Units)
	}
}
