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

// TestStalledReadIsRejectedWithoutRetry checks that the gateway rejects a range read whose node stalls. The rejection
// must arrive before the client's deadline, and the gateway must not make a second attempt.
func TestStalledReadIsRejectedWithoutRetry(t *testing.T) {
	const deadline = 600 * time.Millisecond
	s := kit.Settings(1)
	s.Classes[0].LatencyObjective = settings.Duration(300 * time.Millisecond)
	s.Classes[0].Deadline = settings.Duration(deadline)
	site := kit.Start(t, s, nil)
	createBucket(t, site, "photos").put(t, "k", []byte("0123456789"))
	before := len(site.Nodes[0].Log())
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.Stall, Count: 1, For: 5 * time.Second})
	start := time.Now()
	byteRange := http.Header{"Range": {"bytes=2-4"}}
	resp := site.Do(http.MethodGet, "/photos/k", byteRange, nil)
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("read from a stalled node: got response %v, want status 503 with a Retry-After", resp)
	}
	if elapsed := time.Since(start); elapsed > deadline {
		t.Fatalf("response time: got %v, want at most the deadline of %v", elapsed, deadline)
	}
	if got := site.Nodes[0].Log()[before:]; len(got) != 1 {
		t.Fatalf("attempts that reached the node: got %d, want 1", len(got))
	}
	resp = site.Do(http.MethodGet, "/photos/k", byteRange, nil)
	kit.CheckEqual(t, "GET after the stall", resp.Body, []byte("234"))
	checkAttemptsAreUnique(t, site.Log())
}

// TestBrokenNodeResponse checks responses that break off after the gateway has forwarded the response header. The
// client must see that such a response is incomplete, and must not receive bytes from two attempts.
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
				t.Fatalf("broken response: got status %d and error %v, want status 200 and an error", resp.Status, err)
			}
			if len(got) >= len(large) || !bytes.HasPrefix(large, got) {
				t.Fatalf("broken response: got %d bytes, want a proper prefix of the object", len(got))
			}
			if n := len(node.Log()) - before; n != 1 {
				t.Fatalf("attempts that reached the node: got %d, want 1", n)
			}
		})
	}
	t.Run("small, truncated", func(t *testing.T) {
		// The gateway buffers a small response until the response is complete. If a node truncates the response, the
		// gateway can therefore replace it by the response to another attempt.
		small := large[:5000]
		b.put(t, "small", small)
		site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.TruncateResponse, Count: 1})
		resp := site.Do(http.MethodGet, "/photos/small", nil, nil)
		kit.CheckEqual(t, "GET /photos/small", resp.Body, small)
	})
	checkAttemptsAreUnique(t, site.Log())
}

// TestLostWriteResponses checks that the gateway responds to a write with status 504 if the node sends no response,
// because the write may have been executed. The gateway must retry a write whose connection the node reset before
// executing the write.
func TestLostWriteResponses(t *testing.T) {
	s := kit.Settings(1)
	s.Classes[1].LatencyObjective = settings.Duration(300 * time.Millisecond)
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
		time.Sleep(60 * time.Millisecond) // longer than rules.settle, the quiescence of a key after an ambiguous attempt
	}
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.ResetConnection, Count: 1})
	resp := site.Do(http.MethodPut, "/photos/k2", nil, strings.NewReader("x"))
	checkStatus(t, "connection reset", resp, http.StatusOK)
	checkAttemptsAreUnique(t, site.Log())
}

// TestRetriedKeyedWriteIsExecutedOnce checks that the gateway retries a keyed write at the same shard if the
// connection breaks before the response arrives. The node recognizes the retry as a duplicate, so that the write is
// executed once.
func TestRetriedKeyedWriteIsExecutedOnce(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	before := len(site.Log())
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.LoseResponse, Count: 1, Hold: time.Millisecond})
	resp := site.Do(http.MethodPut, "/photos/k", nil, strings.NewReader("x"))
	checkStatus(t, "PUT", resp, http.StatusOK)
	log := site.Log()[before:]
	if len(log) != 2 || log[0].Key != log[1].Key {
		t.Fatalf("node log: got %+v, want two attempts with the same idempotency key", log)
	}
	if !log[0].Executed || log[1].Executed || !log[1].Deduplicated {
		t.Fatalf("node log: got %+v, want the first attempt executed and the second one deduplicated", log)
	}
	checkAttemptsAreUnique(t, site.Log())
}

// TestStalledNodeDuringUpload checks that the gateway aborts an upload if the node reads only the request header.
// Until then, the gateway must buffer only a bounded part of the request body.
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
		// The gateway may close the connection before the client reads the response. The status is then 0.
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
				t.Errorf("upload to a stalled node: got status %d, want 500, 504 or a closed connection", status)
			}
			if highest == 0 || highest > maxBuffered {
				t.Errorf("highest number of buffered bytes: got %d, want 1 to %d", highest, maxBuffered)
			}
			return
		default:
			highest = max(highest, site.Gateway.BufferedBytes())
		}
	}
}

// TestPersistentNodeErrorIsInternalError checks that the gateway responds with status 500 and without Retry-After if
// every attempt of a read fails at the node. A rejection with Retry-After would promise that a retry helps, although
// load is not the cause.
func TestPersistentNodeErrorIsInternalError(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos").put(t, "k", []byte("0123456789"))
	site.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.ServerError})
	for range 6 {
		resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
		if resp.Status != http.StatusInternalServerError || resp.Header.Get("Retry-After") != "" {
			t.Errorf("GET from a failing node: got %v with Retry-After %q, want status 500 without Retry-After",
				resp, resp.Header.Get("Retry-After"))
		}
	}
	site.Nodes[0].ClearFaults()
	resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
	kit.CheckEqual(t, "GET after the fault", resp.Body, []byte("0123456789"))
}
