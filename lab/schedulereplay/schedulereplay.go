// Package schedulereplay executes the model checker's replays over sockets. It runs a real gateway on the
// loopback address, with clients and nodes that act in the order of the replay. The model checker
// executes the same replay. It determines which request, connection or node each move refers to, and
// how each request must end. No step waits for a fixed time. The gateway opens connections and fires
// timers by itself, and a later move that depends on such an event waits for it. Play rejects a replay
// with moves that cannot be made over sockets.
package schedulereplay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/modelcheck"
	"chalkstand/internal/settings"
)

// stepTimeout limits each wait for the gateway or for a node.
const stepTimeout = 5 * time.Second

var (
	// ErrUnsupported is returned for a replay that cannot be executed over sockets.
	ErrUnsupported = errors.New("cannot be reproduced over sockets")

	// ErrTimeout is returned if the gateway takes longer than stepTimeout to do what a move needs.
	ErrTimeout = fmt.Errorf("timed out after %v", stepTimeout)
)

// StepError describes an error at one line of a replay.
type StepError struct {
	Line int
	Text string
	Err  error
}

// Error returns the line number, the move and the cause.
func (e *StepError) Error() string { return fmt.Sprintf("line %d: %s: %v", e.Line, e.Text, e.Err) }

// Unwrap returns the cause of the error.
func (e *StepError) Unwrap() error { return e.Err }

// Report is the result of a replay. Its outcomes are in the order of the requests. The outcome of a
// request that has not ended is "".
type Report struct {
	Outcomes []string // outcomes that the clients observed
	Expected []string // outcomes that the model checker computed
	Failures []string // messages about requests with two attempts in flight, and about a failed gateway
}

// executor executes one replay.
type executor struct {
	gateway    *gateway.Gateway
	addr       string // address that the gateway listens on
	requests   []modelcheck.ScenarioRequest
	nodes      map[string]*node
	conns      map[uint32]net.Conn // connections at the nodes, by the model checker's connection number
	goroutines sync.WaitGroup

	mu       sync.Mutex
	changed  *sync.Cond           // signals each change of the fields below
	atNode   map[attempt]net.Conn // connections of the attempts that nodes have received and that have not ended
	received map[attempt]bool     // all attempts that nodes have received
	inFlight map[string]int       // number of attempts that have not ended, by tag
	outcomes map[int]string       // outcomes by request number, starting at 1
	failures []string
	clients  map[int]net.Conn // connections of the clients, by request number
	closed   bool
	accepted []net.Conn // connections that the nodes have accepted; not changed after closed is set
}

// attempt identifies an attempt by the tag of its request and its number, which starts at 0.
type attempt struct {
	tag    string
	number int
}

// Play executes a replay over sockets and reports the outcome of each request.
func Play(ctx context.Context, in io.Reader) (_ *Report, err error) {
	script, err := modelcheck.ReadScript(in)
	if err != nil {
		return nil, err
	}
	if script.Scenario.HasHistory() {
		return nil, fmt.Errorf("scenario %s begins with a history, which the replay does not contain: it %w",
			script.Scenario.Name, ErrUnsupported)
	}
	e := newExecutor(script.Scenario.Requests())
	defer func() { err = errors.Join(err, e.stop()) }()
	if err := e.start(ctx, script.Scenario.Nodes()); err != nil {
		return nil, err
	}
	for _, s := range script.Steps {
		if err := e.executeStep(ctx, s); err != nil {
			return nil, &StepError{Line: s.Line, Text: s.Text, Err: err}
		}
	}
	return e.report(script.Outcomes)
}

func newExecutor(requests []modelcheck.ScenarioRequest) *executor {
	e := &executor{
		requests: requests,
		nodes:    map[string]*node{},
		conns:    map[uint32]net.Conn{},
		atNode:   map[attempt]net.Conn{},
		received: map[attempt]bool{},
		inFlight: map[string]int{},
		outcomes: map[int]string{},
		clients:  map[int]net.Conn{},
	}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// start starts the nodes and the gateway. For each node name, listed says whether the first endpoint list
// has the node.
func (e *executor) start(ctx context.Context, listed map[string]bool) error {
	cfg, err := settings.Parse("schedulereplay", []byte(gatewaySettings))
	if err != nil {
		return err
	}
	if e.gateway, err = gateway.New(*cfg, gateway.WithSeed(1)); err != nil {
		return err
	}
	var endpoints []forwarder.Node
	for name, isListed := range listed {
		if err := e.startNode(ctx, name); err != nil {
			return err
		}
		if isListed {
			endpoints = append(endpoints, e.endpoint(name, dispatch.Ready))
		}
	}
	e.gateway.UpdateEndpoints(dispatch.Snapshot, endpoints)
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	e.addr = ln.Addr().String()
	e.goroutines.Go(func() {
		if err := e.gateway.Serve(ctx, ln); err != nil {
			e.addFailure("the gateway stopped serving: %v", err)
		}
	})
	return nil
}

// endpoint returns the endpoint list entry of a node in the given state.
func (e *executor) endpoint(name string, state dispatch.NodeState) forwarder.Node {
	return forwarder.Node{
		Addr: e.nodes[name].listener.Addr().String(),
		Node: dispatch.Node{ID: dispatch.NodeID(name), State: state},
	}
}

// stop closes the gateway, the nodes and all connections, and waits until all goroutines have ended.
func (e *executor) stop() error {
	e.mu.Lock()
	e.closed = true
	for _, c := range e.clients {
		closeConn(c)
	}
	for _, c := range e.atNode {
		closeConn(c)
	}
	e.mu.Unlock()
	var errs []error
	for _, n := range e.nodes {
		errs = append(errs, n.listener.Close())
	}
	if e.gateway != nil {
		errs = append(errs, e.gateway.Close())
	}
	// If a dial of the gateway completes while the gateway is closing, its socket stays open
	// (docs/ROADMAP.md, eventloop.Loop.Dial). The node's side therefore closes the connection.
	for _, c := range e.accepted {
		closeConn(c)
	}
	e.goroutines.Wait()
	return errors.Join(errs...)
}

// closeConn closes a connection. It ignores the error, because the connection may be closed already.
func closeConn(c net.Conn) { _ = c.Close() }

// addFailure adds a message to the failures of the report.
func (e *executor) addFailure(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = append(e.failures, fmt.Sprintf(format, args...))
}

// report waits until each request that ends in the model checker has an outcome, and returns the report.
func (e *executor) report(expected []string) (*Report, error) {
	r := &Report{Expected: expected}
	for i, expectedOutcome := range expected {
		outcome := ""
		if expectedOutcome != "" {
			hasOutcome := func() bool { // await calls it with the lock held, because other requests may still end
				outcome = e.outcomes[i+1]
				return outcome != ""
			}
			if err := e.await(hasOutcome); err != nil {
				return nil, fmt.Errorf("request %d has no outcome: %w", i+1, err)
			}
		}
		r.Outcomes = append(r.Outcomes, outcome)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Failures = e.failures
	return r, nil
}

// await waits until a condition on the fields that e.mu guards holds. It holds e.mu when it calls the
// condition.
func (e *executor) await(condition func() bool) error {
	timedOut := false
	timer := time.AfterFunc(stepTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		timedOut = true
		e.changed.Broadcast()
	})
	defer timer.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for !condition() {
		if timedOut {
			return ErrTimeout
		}
		e.changed.Wait()
	}
	return nil
}

// awaitGateway polls a condition on the gateway until it holds. It does not hold e.mu when it calls the
// condition.
func (e *executor) awaitGateway(condition func() bool) error {
	for end := time.Now().Add(stepTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return ErrTimeout
		}
	}
	return nil
}

// executeStep makes a move. It then waits until the nodes have received the latest attempt that each
// request has after this move in the model checker.
func (e *executor) executeStep(ctx context.Context, s modelcheck.Step) error {
	if err := e.makeMove(ctx, s); err != nil {
		return err
	}
	for i, sent := range s.AttemptsSent {
		if sent == 0 {
			continue
		}
		last := attempt{tag: strconv.Itoa(i + 1), number: sent - 1}
		if err := e.await(func() bool { return e.received[last] }); err != nil {
			return fmt.Errorf("no node received attempt %d of request %d: %w", last.number, i+1, err)
		}
	}
	return nil
}

// makeMove makes one move of the replay, or returns ErrUnsupported if sockets do not allow it.
func (e *executor) makeMove(ctx context.Context, s modelcheck.Step) error {
	switch s.Move.Kind {
	case modelcheck.StartRequest:
		return e.sendRequest(ctx, s.Request)
	case modelcheck.CancelRequest:
		return e.cancelRequest(s.Request)
	case modelcheck.CompleteDial, modelcheck.RunLoop0, modelcheck.RunLoop1,
		modelcheck.FireTimer, modelcheck.AdvanceBefore, modelcheck.AdvanceTo:
		return nil // the gateway makes this move by itself
	case modelcheck.DrainNode:
		e.updateNode(s.Node, dispatch.Draining)
		return nil
	case modelcheck.RemoveNode:
		e.updateNode(s.Node, dispatch.Removed)
		return nil
	case modelcheck.AddNode:
		e.updateNode(s.Node, dispatch.Ready)
		return nil
	case modelcheck.ResetConn:
		return e.resetConn(s)
	}
	response, ok := responses[s.Move.Kind]
	if !ok {
		return ErrUnsupported
	}
	c, err := e.connForStep(s)
	if err != nil {
		return err
	}
	_, err = io.WriteString(c, response)
	return err
}

// updateNode reports a new state of a node to the gateway.
func (e *executor) updateNode(name string, state dispatch.NodeState) {
	e.gateway.UpdateEndpoints(dispatch.Delta, []forwarder.Node{e.endpoint(name, state)})
}
