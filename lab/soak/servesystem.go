package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/lab/sigv4client"
)

const (
	keyID  = "SOAK"
	secret = "soak-secret"
	bucket = "photos"

	reloadTimeout = 5 * time.Second        // the program must log a reload within this time
	drainWait     = 2 * time.Second        // the gateway must end within this time after SIGTERM
	killMargin    = 500 * time.Millisecond // time beyond drainWait before which a supervisor does not kill the gateway
)

// serveSystem is the deployment of the HTTP gateway, with fake storage nodes.
type serveSystem struct {
	epoch  time.Time
	listen string
	guard  string
	data   []*storagenode.Dataset // indexed by shard

	mu       sync.Mutex
	current  []*storagenode.Node // the current node of each shard, indexed by shard
	nodes    []*storagenode.Node // all nodes, including the drained ones
	draining []*storagenode.Node
	version  int // version of the configuration
}

func newServeSystem(epoch time.Time, listen, guard string) (*serveSystem, error) {
	s := &serveSystem{epoch: epoch, listen: listen, guard: guard}
	body := bytes.Repeat([]byte("x"), objectBytes)
	for shard := range shards {
		data := storagenode.NewDataset("")
		data.AddBucket(bucket, time.Now())
		for object := range objects {
			data.Store(bucket, objectKey(object), body)
		}
		s.data = append(s.data, data)
		s.current = append(s.current, nil)
		if err := s.startNode(shard); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// startNode starts a node and makes it the current node of its shard.
func (s *serveSystem) startNode(shard int) error {
	cfg := storagenode.Config{
		ID:          fmt.Sprintf("n%d.%d", shard, len(s.nodes)),
		Shard:       shard,
		Cores:       8,
		Queue:       64,
		PerUnit:     serviceTime,
		DedupWindow: 2 * dedupWindow,
		Seed:        uint64(len(s.nodes)),
	}
	n, err := storagenode.Start("127.0.0.1:0", cfg, s.data[shard], nil, s.epoch)
	if err != nil {
		return err
	}
	s.current[shard] = n
	s.nodes = append(s.nodes, n)
	return nil
}

func (s *serveSystem) arguments(configFile string) []string {
	return []string{string(Serve), "--config", configFile}
}

const serveSettings = `{
	"name": "g1", "listen": %q, "loops": 2, "shards": %d, "log": {"level": "info"},
	"keys": [%s],
	"classes": [
		{"name": "read", "aim": "300ms", "deadline": %q, "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "400ms", "deadline": %q, "worth": 2, "effect": %q, "group": "shard",
			"window": "3s", "in_turn": %v},
		{"name": "remove", "aim": "400ms", "deadline": %q, "worth": 1, "effect": %q},
	],
	"plans": [{"name": "all", "rate": 1000, "reserve": 1000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "all"}],
	"operations": [
		{"operations": ["GetObject"], "class": "read", "units": 1},
		{"operations": ["PutObject"], "class": "write", "units": 1},
		{"operations": ["DeleteObject"], "class": "remove", "units": 1},
		{"operations": ["*"], "class": "read", "units": 1},
	],
	"rules": {"max_attempts": 3, "max_retry_after": "1s", "settle": "150ms", "round": "10ms",
		"budget": {"free": 3, "ratio": 0.1, "span": "5s"}},
	"limits": {"margin": "30ms", "connect": "300ms", "conns": 64, "client_head": "1s", "client_idle": "1s",
		"client_body": "2s", "node_idle": "500ms", "drain_wait": %q},
	"nodes": [%s],
}`

// configuration returns the gateway's settings. They hold one unused key for each version. The gateway logs the
// number of keys after a reload, so awaitReload recognizes the version by this number.
func (s *serveSystem) configuration() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadlineFactor := time.Duration(1)
	effects, inTurn := [2]string{"keyed", "unsafe"}, true
	switch s.guard {
	case guardDeadlines:
		deadlineFactor = 4
	case guardIdempotency:
		effects = [2]string{"safe", "safe"}
	case guardOrder:
		inTurn = false
	}
	keys := []string{fmt.Sprintf(`{"id": %q, "secret": %q, "buckets": ["*"], "write": true}`, keyID, secret)}
	for i := range s.version {
		keys = append(keys, fmt.Sprintf(`{"id": "version-%d", "secret": "unused-secret", "buckets": ["none"]}`, i))
	}
	var nodes []string
	for shard, n := range s.current {
		nodes = append(nodes, fmt.Sprintf(`{"id": %q, "addr": %q, "shard": %d}`, n.ID(), n.Addr(), shard))
	}
	for _, n := range s.draining {
		nodes = append(nodes, fmt.Sprintf(`{"id": %q, "addr": %q, "shard": %d, "state": "draining"}`,
			n.ID(), n.Addr(), n.Shard()))
	}
	writes := (deadlineFactor * writeDeadline).String()
	return fmt.Appendf(nil, serveSettings, s.listen, shards, strings.Join(keys, ", "),
		(deadlineFactor * readDeadline).String(), writes, effects[0], inTurn, writes, effects[1], drainWait.String(),
		strings.Join(nodes, ", "))
}

func (s *serveSystem) addr() string { return s.listen }

func (s *serveSystem) protocol() protocol { return httpProtocol{} }

func (s *serveSystem) inject(f fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	injected := storagenode.Fault{For: f.For}
	switch f.Kind {
	case hang:
		injected.Kind = storagenode.Stall
		injected.Hold = f.For
	case slow:
		injected.Kind, injected.Factor = storagenode.Slow, float64(slowService/serviceTime)
	case loseResponses:
		injected.Kind, injected.Share = storagenode.LoseResponse, f.Share
		injected.Hold = time.Millisecond
	case resets:
		injected.Kind, injected.Share = storagenode.ResetConnection, f.Share
	default:
		return fmt.Errorf("soak: fault kind %q cannot be injected at a node", f.Kind)
	}
	s.current[f.Shard].Inject(injected)
	return nil
}

func (s *serveSystem) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.current {
		n.ClearFaults()
	}
}

func (s *serveSystem) drainNode(shard int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current[shard]
	if err := s.startNode(shard); err != nil {
		return "", err
	}
	s.draining = append(s.draining, old)
	s.version++
	return old.ID(), nil
}

func (s *serveSystem) awaitDrain(p *process) bool { return s.awaitReload(p) }

func (s *serveSystem) changeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
}

func (s *serveSystem) awaitReload(p *process) bool {
	s.mu.Lock()
	text := fmt.Sprintf(`"configuration reloaded","keys":%d,`, 1+s.version)
	s.mu.Unlock()
	return p.awaitLog(text, reloadTimeout)
}

func (s *serveSystem) terminationDelay() time.Duration {
	if s.guard == guardShutdown {
		return 0 // the gateway gets no time for its graceful shutdown
	}
	return drainWait + killMargin
}

func (s *serveSystem) completedText() string { return "graceful shutdown finished" }

func (s *serveSystem) entries() []storagenode.LogEntry {
	var all []storagenode.LogEntry
	for _, n := range s.nodes {
		all = append(all, n.Log()...)
	}
	return all
}

func (s *serveSystem) close() {
	for _, n := range s.nodes {
		n.Stop()
	}
}

// httpProtocol is the object API over HTTP.
type httpProtocol struct{}

func (httpProtocol) supportsPipelining() bool { return false }

func (httpProtocol) encode(q request, addr string) ([]byte, error) {
	method := [...]string{classRead: http.MethodGet, classWrite: http.MethodPut, classRemove: http.MethodDelete}[q.class]
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr+"/"+bucket+"/"+q.key,
		bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("x-amz-meta-tag", q.tag)
	sigv4client.Request(r, keyID, secret, time.Now())
	var b bytes.Buffer
	err = r.Write(&b)
	return b.Bytes(), err
}

func (httpProtocol) readResponse(r *bufio.Reader, q request) (response, error) {
	method := http.MethodGet
	if q.class == classRemove {
		method = http.MethodDelete
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return response{}, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // the body was read to its end or to an error
	if err != nil {
		return response{}, &abortedError{resp.StatusCode, err}
	}
	return response{
		status:     resp.StatusCode,
		retryAfter: resp.Header.Get("Retry-After") != "",
		closing:    resp.Close,
	}, nil
}
