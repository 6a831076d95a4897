package e2e

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/internal/settings"
	kit "chalkstand/internal/testkit"
)

// A range read whose node stalls is rejected before the client's deadline, without a second attempt.
func TestStalledReadIsRejectedWithoutRetry(t *testing.T) {
	const deadline = 600 * time.Millisecond
	s := kit.Settings(1)
	s.Classes[0].Aim = settings.Duration(300 * time.Millisecond)
	s.Classes[0].Deadline = settings.Duration(deadline)
	site := kit.Start(t, s, nil)
	createBucket(t, site, "photos").put(t, "k", []byte("0123456789"))
	before := len(site.Nodes[0].Log())
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.Stall, Count: 1, For: 5 * time.Second})
	start := time.Now()
	byteRange := http.Header{"Range": {"bytes=2-4"}}
	resp := site.Do(http.MethodGet, "/photos/k", byteRange, nil)
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatal(resp)
	}
	if elapsed := time.Since(start); elapsed > deadline {
		t.Fatalf("response after %v, the deadline is %v", elapsed, deadline)
	}
	if got := site.Nodes[0].Log()[before:]; len(got) != 1 {
		t.Fatalf("%d attempts reached the node", len(got))
	}
	resp = site.Do(http.MethodGet, "/photos/k", byteRange, nil)
	kit.CheckEqual(t, "after the stall", resp.Body, []byte("234"))
	checkAttemptsAreUnique(t, site.Log())
}

// A response that breaks off after its header was forwarded reaches the client as broken: it is neither taken
// for complete nor spliced from two attempts.
func TestBrokenNodeResponse(t *testing.T) {
	s := kit.Settings(1)
	s.Limits.ClientBody = settings.Duration(500 * time.Millisecond)
	site := kit.Start(t, s, nil)
	b := createBucket(t, site, "photos")
	large := kit.RandomBytes(1, 1<<20)
	b.put(t, "k", large)
	for _, tt := range []struct {
		name  string
		fault storagenode.FaultKind
	}{
		{"truncated", storagenode.TruncateResponse},
		{"stalled", storagenode.StallInResponse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			node := site.Nodes[0]
			node.Inject(storagenode.Fault{Kind: tt.fault, Count: 1, For: 20 * time.Second})
			before := len(node.Log())
			resp := site.OpenStream("/photos/k")
			got, err := io.ReadAll(resp.Body)
			if err == nil || resp.Status != http.StatusOK {
				t.Fatalf("status %d, error %v", resp.Status, err)
			}
			if len(got) >= len(large) || !bytes.HasPrefix(large, got) {
				t.Fatalf("%d bytes, which are no proper prefix", len(got))
			}
			if n := len(node.Log()) - before; n != 1 {
				t.Fatalf("%d attempts", n)
			}
		})
	}
	t.Run("small, truncated", func(t *testing.T) {
		// A small response is buffered until it is complete, so another attempt can replace it.
		small := large[:5000]
		b.put(t, "small", small)
		site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.TruncateResponse, Count: 1})
		resp := site.Do(http.MethodGet, "/photos/small", nil, nil)
		kit.CheckEqual(t, "small", resp.Body, small)
	})
	checkAttemptsAreUnique(t, site.Log())
}

// A write without a response gets a status that says that it may have been executed. A write whose connection
// was reset before its execution is retried.
func TestLostWriteResponses(t *testing.T) {
	s := kit.Settings(1)
	s.Classes[1].Aim = settings.Duration(300 * time.Millisecond)
	s.Classes[1].Deadline = settings.Duration(500 * time.Millisecond)
	site := kit.Start(t, s, nil)
	createBucket(t, site, "photos")
	for _, tt := range []struct {
		name  string
		fault storagenode.FaultKind
	}{
		{"response lost", storagenode.LoseResponse},
		{"node stalls", storagenode.Stall},
	} {
		site.Nodes[0].Inject(storagenode.Fault{Kind: tt.fault, Count: 1})
		resp := site.Do(http.MethodPut, "/photos/k", nil, strings.NewReader("x"))
		checkStatus(t, tt.name, resp, http.StatusGatewayTimeout)
		time.Sleep(60 * time.Millisecond) // longer than the key's quiescence, rules.settle
	}
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.ResetConnection, Count: 1})
	resp := site.Do(http.MethodPut, "/photos/k2", nil, strings.NewReader("x"))
	checkStatus(t, "connection reset", resp, http.StatusOK)
	checkAttemptsAreUnique(t, site.Log())
}

// A keyed write whose response is lost with its connection is retried at the same shard, where the retry is
// recognized as a duplicate: the write is executed once.
func TestRetriedKeyedWriteIsExecutedOnce(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	before := len(site.Log())
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.LoseResponse, Count: 1, Hold: time.Millisecond})
	resp := site.Do(http.MethodPut, "/photos/k", nil, strings.NewReader("x"))
	checkStatus(t, "PUT", resp, http.StatusOK)
	log := site.Log()[before:]
	if len(log) != 2 || log[0].Key != log[1].Key {
		t.Fatalf("%+v", log)
	}
	if !log[0].Executed || log[1].Executed || !log[1].Deduplicated {
		t.Fatalf("%+v", log)
	}
	checkAttemptsAreUnique(t, site.Log())
}

// An upload whose node reads no more than its header is aborted, and the gateway buffers a bounded part of its
// body until then.
func TestStalledNodeDuringUpload(t *testing.T) {
	const maxBuffered = 64 << 10
	s := shortTimeouts()
	s.Limits.ClientBody = settings.Duration(time.Second)
	site := kit.Start(t, s, nil)
	createBucket(t, site, "photos")
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.Stall, Count: 1, For: 20 * time.Second})
	body := strings.NewReader(strings.Repeat("x", 64<<20))
	r := site.NewRequest(http.MethodPut, "/photos/k", body)
	statuses := make(chan int, 1)
	go func() {
		// The connection may be closed before the response is read: the status is 0 then.
		resp, _ := kit.RoundTrip(&http.Transport{}, r)
		statuses <- resp.Status
	}()
	highest := 0
	for {
		select {
		case status := <-statuses:
			switch status {
			case http.StatusInternalServerError, http.StatusGatewayTimeout, 0:
			default:
				t.Errorf("status %d", status)
			}
			if highest == 0 || highest > maxBuffered {
				t.Errorf("up to %d bytes buffered, at most %d", highest, maxBuffered)
			}
			return
		default:
			highest = max(highest, site.Gateway.BufferedBytes())
		}
	}
}

// A read that its node keeps failing is answered as an internal error. A rejection would promise that a retry
// helps, although no load is the cause.
func TestReadThatItsNodeFailsIsAnInternalError(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos").put(t, "k", []byte("0123456789"))
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.ServerError})
	for range 6 {
		resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
		if resp.Status != http.StatusInternalServerError || resp.Header.Get("Retry-After") != "" {
			t.Errorf("%v, Retry-After %q", resp, resp.Header.Get("Retry-After"))
		}
	}
	site.Nodes[0].ClearFaults()
	resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
	kit.CheckEqual(t, "after the fault", resp.Body, []byte("0123456789"))
}
