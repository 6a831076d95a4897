package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"chalkstand/fake/storagenode"
)

// The platform kills a server no sooner than the longest deadline and this time after SIGTERM.
const respKillMargin = 700 * time.Millisecond

// Limits of the server.
const (
	respSockets  = 256
	respMemoryMB = 128
)

// noticeDelay is how long the server may take to read a document of discovery.
const noticeDelay = 50 * time.Millisecond

// respNode is a fake node with its place in the endpoint list.
type respNode struct {
	*respnode.Node
	id    string
	shard int
	state string

	mu    sync.Mutex
	fault fault
	until time.Time
	draws uint64
}

// respSystem is a server of the platform's protocol with fake nodes and two fake discovery services.
type respSystem struct {
	epoch     time.Time
	listen    string
	guard     string
	discovery []*fakediscovery.Server

	mu      sync.Mutex
	current []*respNode // by shard
	nodes   []*respNode // all
	version int         // of the endpoint list
	moves   int         // of discovery, between its two services
}

func newRespSystem(epoch time.Time, listen, guard string) (*respSystem, error) {
	s := &respSystem{epoch: epoch, listen: listen, guard: guard, version: 1}
	for range 2 {
		d, err := fakediscovery.Start()
		if err != nil {
			s.close()
			return nil, err
		}
		s.discovery = append(s.discovery, d)
	}
	for shard := range shards {
		s.current = append(s.current, nil)
		if err := s.startNode(shard); err != nil {
			s.close()
			return nil, err
		}
	}
	s.publish()
	return s, nil
}

// publish publishes the present endpoint list and the changes that lead to it.
func (s *respSystem) publish(changes ...fakediscovery.Endpoint) {
	for _, d := range s.discovery {
		d.Publish(s.document(), fakediscovery.Document(s.version, false, changes...))
	}
}

// startNode starts a node of a shard, which becomes its current one.
func (s *respSystem) startNode(shard int) error {
	node, err := respnode.Start()
	if err != nil {
		return err
	}
	n := &respNode{Node: node, id: fmt.Sprintf("s%d.%d", shard, len(s.nodes)), shard: shard, state: "Ready"}
	node.SetChooser(n.choose)
	s.current[shard] = n
	s.nodes = append(s.nodes, n)
	return nil
}

// choose returns how the node handles a command, by its fault.
func (n *respNode) choose([]string) respnode.Behavior {
	n.mu.Lock()
	defer n.mu.Unlock()
	normal := respnode.Behavior{Delay: serviceTime}
	if time.Now().After(n.until) {
		return normal
	}
	n.draws++
	affected := float64(n.draws*drawStep%drawCycle)/drawCycle < n.fault.Share
	switch {
	case n.fault.Kind == hang:
		return respnode.Behavior{Hang: true}
	case n.fault.Kind == slow:
		return respnode.Behavior{Delay: slowService}
	case n.fault.Kind == loseResponses && affected:
		return respnode.Behavior{Delay: serviceTime, Close: true, Reset: true}
	case n.fault.Kind == resets && affected:
		return respnode.Behavior{Close: true, Reset: true}
	}
	return normal
}

// Of the sequence that spreads a share of affected commands evenly.
const (
	drawStep  = 619
	drawCycle = 1000
)

func (n *respNode) endpoint() fakediscovery.Endpoint {
	return fakediscovery.Endpoint{ID: n.id, Addr: n.Addr(), State: n.state, Cell: n.shard}
}

func (s *respSystem) arguments(configFile string) []string {
	return []string{string(RESP), "--config", configFile}
}

const respSettings = `{"me":0,"peers_total":1,"discovery":"on_request","areas":["a"],"kinds":["m"],"round_ms":10,
"limits":{"cancel":true,"conn_idle_ms":%d,"connect_timeout_ms":250,"max_retry_after_ms":1000,
"try_limit":3,"max_open":1000},
"classes":[{"name":"read","credit":3,"slo_ms":300,"deadline_ms":%d,"effect":"idempotent","group":"all"},
{"name":"write","credit":2,"slo_ms":400,"deadline_ms":%d,"effect":%q,"group":"cell","window_ms":%d,"in_turn":%v},
{"name":"remove","credit":1,"slo_ms":400,"deadline_ms":%d,"effect":%q,"group":"cell"}],
"policies":[{"name":"all","base_rate":1000,"guaranteed":1000,"weight":1,"value_factor":1}],
"rules":{"settle_after_doubt_ms":%d,"free_resends":%d,"resend_ratio":%g,"resend_span_ms":%d},
"family_info":{"largest":8,"usual_units":1,"slots_total":%d,"class_writes":[false,true,true]}}`

func (s *respSystem) configuration() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects, inTurn := [2]string{"deduplicated", "at_most_once"}, true
	switch s.guard {
	case guardEffects:
		effects = [2]string{"idempotent", "idempotent"}
	case guardOrder:
		inTurn = false
	}
	settings := fmt.Sprintf(respSettings, nodeIdleTime.Milliseconds(), readDeadline.Milliseconds(),
		writeDeadline.Milliseconds(), effects[0], dedupWindow.Milliseconds(), inTurn,
		writeDeadline.Milliseconds(), effects[1],
		quiescence.Milliseconds(), freeRetries, retryRatio, retryWindow.Milliseconds(), shards)
	text, err := json.Marshal(map[string]any{
		"name":      programName,
		"listen":    s.listen,
		"discovery": s.discovery[s.moves%len(s.discovery)].Addr(),
		"seed":      "1",
		"limits":    map[string]any{"cores": 1, "memory_mb": respMemoryMB, "sockets": respSockets},
		"known":     json.RawMessage(s.document()),
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		panic(err) // a fault of this package
	}
	return text
}

// document returns the whole endpoint list. It is called with mu held.
func (s *respSystem) document() string {
	var all []fakediscovery.Endpoint
	for _, n := range s.nodes {
		all = append(all, n.endpoint())
	}
	return fakediscovery.Document(s.version, true, all...)
}

func (s *respSystem) addr() string { return s.listen }

func (s *respSystem) protocol() protocol { return respProtocol{} }

func (s *respSystem) inject(f fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.current[f.Shard]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault, n.until = f, time.Now().Add(f.For)
	return nil
}

func (s *respSystem) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.current {
		n.mu.Lock()
		n.until = time.Time{}
		n.mu.Unlock()
	}
}

func (s *respSystem) drainNode(shard int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current[shard]
	if err := s.startNode(shard); err != nil {
		return "", err
	}
	old.state = "Terminating"
	s.version++
	s.publish(old.endpoint(), s.current[shard].endpoint())
	return old.id, nil
}

func (s *respSystem) awaitDrain(*process) bool {
	time.Sleep(noticeDelay)
	return true
}

func (s *respSystem) moved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moves++
}

func (s *respSystem) reloaded(p *process) bool {
	s.mu.Lock()
	text := fmt.Sprintf(`"discovery address changed","address":%q`, s.discovery[s.moves%len(s.discovery)].Addr())
	s.mu.Unlock()
	return p.awaitLog(text, reloadTimeout)
}

func (s *respSystem) terminationDelay() time.Duration { return longestTimeout + respKillMargin }

func (s *respSystem) completed() string { return "graceful shutdown completed" }

// entries converts the nodes' logs. Attempts are numbered in the order of arrival. A repeat of a deduplicated
// write that came to the same shard within the nodes' window counts as dropped.
func (s *respSystem) entries() []storagenode.LogEntry {
	var all []storagenode.LogEntry
	for _, n := range s.nodes {
		for _, command := range n.Log() {
			if e, ok := s.entry(n, command); ok {
				all = append(all, e)
			}
		}
	}
	numberAttempts(all)
	return all
}

// Places of a command's arguments.
const (
	argPiece = iota + 1
	argID
	argFields
	minArguments
)

func (s *respSystem) entry(n *respNode, command respnode.LogEntry) (storagenode.LogEntry, bool) {
	if len(command.Args) < minArguments {
		return storagenode.LogEntry{}, false // CLIENT and the like
	}
	e := storagenode.LogEntry{
		Node:     n.id,
		Gateway:  programName,
		Tag:      command.Args[argID],
		Path:     command.Args[argPiece],
		Units:    1,
		Arrived:  command.Arrived.Sub(s.epoch),
		Executed: command.Executed,
	}
	for field := range strings.SplitSeq(command.Args[argFields], ",") {
		if key, ok := strings.CutPrefix(field, "k="); ok {
			e.Key = fmt.Sprintf("%d/%s", n.shard, key)
		}
	}
	if !command.Ended.IsZero() {
		e.Ended = command.Ended.Sub(s.epoch)
		e.Status = http.StatusOK
	}
	if !command.Disconnected.IsZero() {
		e.Disconnected = command.Disconnected.Sub(s.epoch)
	}
	return e, true
}

func (s *respSystem) close() {
	for _, n := range s.nodes {
		n.Stop()
	}
	for _, d := range s.discovery {
		d.Stop()
	}
}

// respProtocol is the platform's protocol.
type respProtocol struct{}

func (respProtocol) pipelines() bool { return true }

func (respProtocol) encode(q request, _ string) ([]byte, error) {
	class := [...]string{classRead: "read", classWrite: "write", classRemove: "remove"}[q.class]
	deadline := readDeadline
	if q.class != classRead {
		deadline = writeDeadline
	}
	fields := fmt.Sprintf("c=%s,t=all,d=%d,volume=00000000000000aa,units=1,shard=%d,hosts=1",
		class, deadline.Milliseconds(), q.shard)
	switch q.class {
	case classRead:
		return []byte(respnode.Command("OBJ.GET", q.key, q.tag, fields)), nil
	case classWrite:
		fields += ",k=" + q.tag
	}
	return []byte(respnode.Command("OBJ.PUT", q.key, q.tag, fields, q.tag)), nil
}

func (respProtocol) readResponse(r *bufio.Reader, q request) (response, error) {
	reply, err := respnode.ReadReply(r)
	switch {
	case err != nil:
		return response{}, err
	case strings.HasPrefix(reply, "-BUSY"):
		return response{status: http.StatusServiceUnavailable, retryAfter: true}, nil
	case strings.HasPrefix(reply, "$"):
		return response{status: http.StatusOK, wrong: !strings.HasSuffix(reply, " for "+q.tag)}, nil
	}
	return response{status: http.StatusInternalServerError}, nil
}
