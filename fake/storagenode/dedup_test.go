package storagenode

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// putKeyed writes an object with an idempotency key and returns the status, 0 without a response.
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

// A key that is written again after its window does not make a later keyed write panic, which left
// the data set locked.
func TestKeyWrittenAgainAfterItsWindow(t *testing.T) {
	const window = 20 * time.Millisecond
	d := NewDataset("")
	d.AddBucket("photos", time.Now())
	n := startNode(t, d, Config{ID: "a", DedupWindow: window})
	for _, key := range []string{"one", "one", "two", "two", "one"} {
		if status := putKeyed(t, n, key, "text"); status != http.StatusOK {
			t.Fatalf("%s: status %d", key, status)
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
		t.Errorf("%d writes executed, each came after the window of the one before", executed)
	}
	if len(d.dedup) != 1 || len(d.dedupOrder) != 1 {
		t.Errorf("%d entries and %d in order of expiry are kept, want the last one", len(d.dedup), len(d.dedupOrder))
	}
}

// A repeat within the window of a key that was written again is dropped: the expiry of the first
// write does not forget the second.
func TestExpiredEntryLeavesItsSuccessor(t *testing.T) {
	d := NewDataset("")
	const window = time.Minute
	start := time.Now()
	first, _ := d.startKeyedWrite("k", start)
	d.finishKeyedWrite(first, start, -window) // expired at once
	second, isFirst := d.startKeyedWrite("k", start)
	if !isFirst {
		t.Fatal("the expired entry is still in force")
	}
	d.finishKeyedWrite(second, start, window)
	other, _ := d.startKeyedWrite("other", start)
	d.finishKeyedWrite(other, start, window)
	if entry, isFirst := d.startKeyedWrite("k", start); isFirst || entry != second {
		t.Error("the repeat is executed")
	}
}
