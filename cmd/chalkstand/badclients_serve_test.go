package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/internal/testkit"
)

// Sizes of the tests with bad clients of serve.
const (
	// serveMemoryMB bounds the memory of serve with the default limits.memory of 64 MiB, as docs/operate/settings.md
	// tells: twice that, because the garbage collector lets the heap grow to twice its live part, 8 KiB for each
	// connection, and 32 MiB for everything else.
	serveMemoryMB = 2*64 + serveCrowd*8>>10 + 32
	serveCrowd    = 4000 // with heads of nearly 32 KiB, twice limits.memory
	partialHead   = 31 << 10
	serveLoops    = 2
	serveKey      = "TESTKEY"
	serveSecret   = "test-secret"
	serveBucket   = "photos"
)

// limitedServe is the command serve as a process of its own, with a fake storage node.
type limitedServe struct {
	*limitedProcess
	node  *storagenode.Node
	epoch time.Time
}

// serveTestSettings is a format string. Its arguments are the address, the number of loops, the key, its secret,
// the ID of the node, and the address of the node.
const serveTestSettings = `{"name": "g1", "listen": %q, "loops": %d, "shards": 1,
	"keys": [{"id": %q, "secret": %q, "buckets": ["*"], "write": true}],
	"classes": [{"name": "read", "aim": "300ms", "deadline": "1500ms", "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "500ms", "deadline": "4s", "worth": 2, "effect": "keyed", "group": "shard", "window": "4s"}],
	"plans": [{"name": "all", "rate": 1000, "reserve": 1000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "all"}],
	"operations": [{"operations": ["PutObject"], "class": "write", "units": 1},
		{"operations": ["*"], "class": "read", "units": 1}],
	"nodes": [{"id": %q, "addr": %q, "shard": 0}]}`

// startLimitedServe starts the command serve in front of a fake node that holds one object.
func startLimitedServe(t *testing.T) *limitedServe {
	t.Helper()
	data := storagenode.NewDataset("")
	data.AddBucket(serveBucket, time.Now())
	data.Store(serveBucket, "object", []byte("body"))
	epoch := time.Now()
	node, err := storagenode.Start("127.0.0.1:0", storagenode.Config{ID: "n0", DedupWindow: 8 * time.Second}, data, nil, epoch)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	addr := freeTestAddress(t)
	text := fmt.Sprintf(serveTestSettings, addr, serveLoops, serveKey, serveSecret, node.ID(), node.Addr())
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return &limitedServe{startLimitedProcess(t, addr, serveMemoryMB, serveName, "--config", file), node, epoch}
}

// httpProtocol is the object API. Its clients read one object.
type httpProtocol struct{ addr string }

func (p httpProtocol) request(int64) string {
	return signedRequest(p.addr, http.MethodGet, "object", "")
}

func (httpProtocol) readReply(r *bufio.Reader) (soundOutcome, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return outcomeFailed, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // the body was read to its end or to an error
	switch resp.StatusCode {
	case http.StatusOK:
		return outcomeServed, err
	case http.StatusServiceUnavailable:
		return outcomeRejected, err
	}
	return outcomeFailed, err
}

// signedRequest returns a signed request for an object.
func signedRequest(addr, method, key, body string) string {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr+"/"+serveBucket+"/"+key, strings.NewReader(body))
	if err != nil {
		panic(err) // a bug in this file
	}
	testkit.SignRequest(r, serveKey, serveSecret, time.Now())
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		panic(err) // a buffer accepts all writes
	}
	return text.String()
}

// playBadServeClients runs bad clients of serve beside sound ones, and checks the memory of the process and the
// replies to the sound clients.
func playBadServeClients(t *testing.T, count int, behave badClient) {
	t.Helper()
	s := startLimitedServe(t)
	ctx, cancel := context.WithTimeout(t.Context(), badClientTime)
	defer cancel()
	sound := startSoundClients(ctx, s.addr, httpProtocol{s.addr})
	bad := startBadClients(ctx, s.addr, count, behave)
	sound.check(t)
	bad.Wait()
	s.checkLimits(t)
}

// TestUnfinishedHeadsExceedMemory guards against heads that arrive in part, of many clients at once.
func TestUnfinishedHeadsExceedMemory(t *testing.T) {
	line := "GET / HTTP/1.1\r\n"
	long := line + "X-Long: " + strings.Repeat("x", partialHead)
	for name, behave := range map[string]badClient{
		"stopped":      sendAndWait(long),
		"slow":         sendSlowly(long, partialHead/8, 100*time.Millisecond),
		"short fields": sendAndWait(line + strings.Repeat("a:\r\n", partialHead/4)),
	} {
		t.Run(name, func(t *testing.T) { playBadServeClients(t, serveCrowd, behave) })
	}
}

// TestUnfinishedBodiesExceedMemory guards against signed requests whose buffered bodies do not arrive.
func TestUnfinishedBodiesExceedMemory(t *testing.T) {
	s := startLimitedServe(t)
	put := signedRequest(s.addr, http.MethodPut, "object", strings.Repeat("x", 60<<10))
	ctx, cancel := context.WithTimeout(t.Context(), badClientTime)
	defer cancel()
	sound := startSoundClients(ctx, s.addr, httpProtocol{s.addr})
	bad := startBadClients(ctx, s.addr, serveCrowd, sendAndWait(put[:len(put)-1<<10]))
	sound.check(t)
	bad.Wait()
	s.checkLimits(t)
}

// unsignedGets holds small requests that the gateway answers with an error.
var unsignedGets = strings.Repeat("GET /photos/object HTTP/1.1\r\nHost: a\r\n\r\n", commandsAtOnce)

// TestUnreadResponsesDelayOtherClientsOfServe guards against clients that send small requests at full speed and
// read no response.
func TestUnreadResponsesDelayOtherClientsOfServe(t *testing.T) {
	playBadServeClients(t, crowd, sendAtFullSpeed(func() string { return unsignedGets }, false))
}

// TestFloodDelaysOtherClientsOfServe guards against clients that send small requests at full speed.
func TestFloodDelaysOtherClientsOfServe(t *testing.T) {
	flood := func() string { return unsignedGets }
	for _, c := range []struct {
		name   string
		count  int
		behave badClient
	}{
		{"one client", 1, sendAtFullSpeed(flood, true)},
		{"crowd", 300, sendAtFullSpeed(flood, true)},
		{"invalid", 10, sendAtFullSpeed(func() string { return "GET / HTTP/1.1\r\n\r\n" }, true)},
	} {
		t.Run(c.name, func(t *testing.T) { playBadServeClients(t, c.count, c.behave) })
	}
}

// TestRequestsOfClosedClientAreSentByServe guards against attempts for a client that has closed its connection
// behind pipelined input that the gateway has not read.
func TestRequestsOfClosedClientAreSentByServe(t *testing.T) {
	for name, unread := range map[string]string{
		"nothing":   "",
		"pipelined": strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", unreadBytes/30),
	} {
		t.Run(name, func(t *testing.T) {
			s := startLimitedServe(t)
			s.node.Inject(storagenode.Fault{Kind: storagenode.LoseResponse, Hold: 4 * closeTolerance / 3})
			conn := dialTest(t, s.addr)
			_ = conn.SetWriteDeadline(time.Now().Add(closeTolerance / 5)) // the gateway does not read all of it
			sent := time.Now()
			_, _ = io.WriteString(conn, signedRequest(s.addr, http.MethodPut, "new", "body")+unread)
			time.Sleep(time.Until(sent.Add(closeTolerance / 5)))
			_ = conn.Close()
			closed := time.Since(s.epoch)
			time.Sleep(soundTimeout)
			log := s.node.Log()
			for _, entry := range log {
				if entry.Arrived-closed > closeTolerance {
					t.Errorf("attempt: arrived %v after the close of its client, want at most %v", entry.Arrived-closed, closeTolerance)
				}
			}
			if len(log) == 0 {
				t.Error("attempts: got none, want at least one")
			}
		})
	}
}
