package storagenode

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// putKeyed writes an object with an idempotency key. It returns the status of the response, or 0 if there is none.
func putKeyed(t *testing.T, n *Node, key, body string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+n.Addr()+"/photos/k", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(headerIdempotencyKey, key)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// A write that reuses a key after its deduplication window is executed. Such a write must not make a later keyed
// write panic. The panic left the data set locked.
func TestKeyWrittenAgainAfterItsWindow(t *testing.T) {
	const window = 20 * time.Millisecond
	d := NewDataset("")
	d.AddBucket("photos", time.Now())
	n := startNode(t, d, Config{ID: "a", DedupWindow: window})
	for _, key := range []string{"one", "one", "two", "two", "one"} {
		if status := putKeyed(t, n, key, "text"); status != http.StatusOK {
			t.Fatalf("PUT with key %q: got status %d, want 200", key, status)
		}
		time.Sleep(2 * window)
	}
	executed := 0
	for _, e := range n.Log() {
		if e.Executed {
			executed++
		}
	}
	if executed != 5 {
		t.Errorf("got %d executed writes, want 5, because each is sent after the window of the previous one", executed)
	}
	if len(d.dedup) != 1 || len(d.dedupOrder) != 1 {
		t.Errorf("got %d entries by key and %d in order of expiry, want 1 each", len(d.dedup), len(d.dedupOrder))
	}
}

// When the entry of a keyed write expires, a newer entry with the same key must stay, so that a repeat of the
// newer write is not executed.
func TestExpiryKeepsNewerEntryOfTheKey(t *testing.T) {
	d := NewDataset("")
	const window = time.Minute
	start := time.Now()
	first, _ := d.startKeyedWrite("k", start)
	d.finishKeyedWrite(first, start, -window) // the negative window makes the entry expire at once
	second, isFirst := d.startKeyedWrite("k", start)
	if !isFirst {
		t.Fatal("startKeyedWrite returned the expired entry, want a new one")
	}
	d.finishKeyedWrite(second, start, window)
	other, _ := d.startKeyedWrite("other", start)
	d.finishKeyedWrite(other, start, window)
	if entry, isFirst := d.startKeyedWrite("k", start); isFirst || entry != second {
		t.Error("startKeyedWrite did not return the entry of the second write, so the repeat is executed")
	}
}
