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

// respKillMargin is added to the longest deadline to get the shortest time after SIGTERM at which the platform
// kills a server.
const respKillMargin = 700 * time.Millisecond

// Resource limits in the server's configuration.
const (
	respSockets  = 256
	respMemoryMB = 32 // the least that a platform gives a dispatcher
)

// noticeDelay is the longest time that the server may take to read a new document of the discovery service.
const noticeDelay = 50 * time.Millisecond

// respNode is a fake node with the data of its entry in the endpoint list and its current fault.
type respNode struct {
	*respnode.Node
	id    string
	shard int
	state string

	mu       sync.Mutex
	fault    fault
	faultEnd time.Time
	draws    uint64 // number of commands received during faults; selects the affected commands
}

// respSystem is the deployment of the RESP server, which speaks the platform's protocol. It has fake nodes and two
// fake discovery services.
type respSystem struct {
	epoch     time.Time
	listen    string
	guard     string
	discovery []*fakediscovery.Server

	mu       sync.Mutex
	current  []*respNode // the current node of each shard, indexed by shard
	nodes    []*respNode // all nodes, including the drained ones
	version  int         // version of the endpoint list
	switches int         // how often the configuration has switched between the two discovery services
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

// publish passes the current endpoint list, and the latest changes to it, to both discovery services.
func (s *respSystem) publish(changes ...fakediscovery.Endpoint) {
	for _, d := range s.discovery {
		d.Publish(s.document(), fakediscovery.Document(s.version, false, changes...))
	}
}

// startNode starts a node and makes it the current node of its shard.
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

// choose returns how the node handles a command under its current fault.
func (n *respNode) choose([]string) respnode.Behavior {
	n.mu.Lock()
	defer n.mu.Unlock()
	normal := respnode.Behavior{Delay: serviceTime}
	if time.Now().After(n.faultEnd) {
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

// Parameters of the sequence that selects the commands that a fault affects. Multiples of drawStep modulo drawCycle
// take every value below drawCycle in a scattered order, so any share of the commands is spread evenly.
const (
	drawStep  = 619
	drawCycle = 1000
)

func (n *respNode) endpoint() fakediscovery.Endpoint {
	return fakediscovery.Endpoint{ID: n.id, Addr: n.Addr(), State: n.state, Shard: n.shard}
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
	case guardIdempotency:
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
		"discovery": s.discovery[s.switches%len(s.discovery)].Addr(),
		"seed":      "1",
		"limits":    map[string]any{"cores": 1, "memory_mb": respMemoryMB, "sockets": respSockets},
		"known":     json.RawMessage(s.document()),
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		panic(err) // a bug in this package
	}
	return text
}

// document returns the discovery document with the whole endpoint list. The caller must hold mu.
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
	n.fault, n.faultEnd = f, time.Now().Add(f.For)
	return nil
}

func (s *respSystem) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.current {
		n.mu.Lock()
		n.faultEnd = time.Time{}
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

func (s *respSystem) changeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches++
}

func (s *respSystem) awaitReload(p *process) bool {
	s.mu.Lock()
	text := fmt.Sprintf(`"discovery address changed","address":%q`, s.discovery[s.switches%len(s.discovery)].Addr())
	s.mu.Unlock()
	return p.awaitLog(text, reloadTimeout)
}

func (s *respSystem) terminationDelay() time.Duration { return longestTimeout + respKillMargin }

func (s *respSystem) completedText() string { return "graceful shutdown completed" }

// entries converts the nodes' logs to the format of the checker and numbers the attempts in the order of arrival. A
// repeated write with a deduplication key counts as dropped if it arrives at the same shard within dedupWindow.
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

// Indexes of the arguments of a command. Index 0 holds the command's name.
const (
	argObject = iota + 1
	argID
	argFields
	minArguments
)

func (s *respSystem) entry(n *respNode, command respnode.LogEntry) (storagenode.LogEntry, bool) {
	if len(command.Args) < minArguments {
		return storagenode.LogEntry{}, false // a command without an object, such as CLIENT
	}
	e := storagenode.LogEntry{
		Node:     n.id,
		Gateway:  programName,
		Tag:      command.Args[argID],
		Path:     command.Args[argObject],
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

// respProtocol is the platform's protocol, which is based on RESP.
type respProtocol struct{}

func (respProtocol) supportsPipelining() bool { return true }

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
		return response{status: http.StatusOK, mismatched: !strings.HasSuffix(reply, " for "+q.tag)}, nil
	}
	return response{status: http.StatusInternalServerError}, nil
}
