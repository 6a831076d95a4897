// Package schedulereplay plays the explorer's replays through a real gateway on loopback
// sockets, with clients and nodes that do what the replay says when it says it. The
// replay is played in the explorer beside, which tells what each move is about and
// how each request must end. Nothing waits for a length of time: what the gateway
// does by itself (connections that open, its timers) is waited for where a later
// move needs it. What cannot be forced on sockets is refused.
package schedulereplay

import (
	"bufio"
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/modelcheck"
	"chalkstand/internal/settings"
	"chalkstand/lab/sigv4client"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// patience bounds each wait.
const patience = 5 * time.Second

const (
	keyID  = "FORCED"
	secret = "forced-secret"
)

const config = `{
	"name": "forced", "listen": "127.0.0.1:0", "loops": 1, "shards": 1,
	"keys": [{"id": "FORCED", "secret": "forced-secret", "buckets": ["*"], "write": true}],
	"classes": [
		{"name": "safe", "aim": "8s", "deadline": "10s", "worth": 1, "effect": "safe"},
		{"name": "keyed", "aim": "8s", "deadline": "10s", "worth": 1, "effect": "keyed", "group": "shard", "window": "30s"},
		{"name": "in turn", "aim": "8s", "deadline": "10s", "worth": 1, "effect": "keyed", "group": "shard", "window": "30s", "in_turn": true},
	],
	"plans": [{"name": "p", "rate": 1000, "reserve": 1000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "p"}],
	"operations": [{"operations": ["GetObject"], "class": "safe", "units": 1}, {"operations": ["DeleteObject"], "class": "keyed", "units": 1},
		{"operations": ["*"], "class": "in turn", "units": 1}],
	"rules": {"usual_units": 1, "largest_units": 8, "settle": "60ms"},
	"log": {"level": "error"},
}`

var methods = map[string]string{"safe": "GET", "keyed": "DELETE", "in turn": "PUT"}

// large is the body of an answer that streams through.
var large = strings.Repeat("x", 256<<10)

// answers are what nodes send, by the names of the moves.
var answers = map[modelcheck.Kind]string{
	modelcheck.RespondOK:       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	modelcheck.RespondAndClose: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	modelcheck.RespondError:    "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
	modelcheck.RespondReject:   "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno",
	modelcheck.RespondStart:    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large[:len(large)/2]),
	modelcheck.RespondRest:     large[len(large)/2:],
	modelcheck.RespondInvalid:  "what?\r\n\r\n",
	modelcheck.RespondTwice:    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
}

// Report is what a play showed.
type Report struct {
	Ends   []string // by request, as the clients saw it
	Want   []string // as the explorer has it
	Faults []string
}

// player is one play.
type player struct {
	g    *gateway.Gateway
	addr string
	asks []modelcheck.ScenarioRequest

	mu      sync.Mutex
	changed *sync.Cond
	got     map[attempt]net.Conn // requests that are at nodes
	seen    map[attempt]bool     // that were, at any time
	out     map[string]int       // attempts of a request that have not ended
	ends    map[int]string
	faults  []string
	nodes   map[string]*node
	clients map[int]net.Conn
	conns   map[uint32]net.Conn // by the explorer's number
	closed  bool
	work    sync.WaitGroup
}

type attempt struct {
	tag string
	n   int
}

type node struct {
	name string
	ln   net.Listener
}

// Play plays a replay.
func Play(in io.Reader) (*Report, error) {
	script, err := modelcheck.ReadScript(in)
	if err != nil {
		return nil, err
	}
	if script.Scenario.HasHistory() {
		return nil, fmt.Errorf("scenario %s begins with a history that a replay has not in it: it cannot be forced on sockets", script.Scenario.Name)
	}
	p := &player{
		asks: script.Scenario.Requests(), got: map[attempt]net.Conn{}, seen: map[attempt]bool{}, out: map[string]int{}, ends: map[int]string{}, nodes: map[string]*node{},
		clients: map[int]net.Conn{}, conns: map[uint32]net.Conn{},
	}
	p.changed = sync.NewCond(&p.mu)
	if err := p.start(script.Scenario.Nodes()); err != nil {
		return nil, err
	}
	defer p.stop()
	for _, s := range script.Steps {
		if err := p.step(s); err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", s.Line, s.Text, err)
		}
		for i, n := range s.AttemptsSent { // what was sent there must be at a node here
			if n > 0 {
				a := attempt{strconv.Itoa(i + 1), n - 1}
				if err := p.wait(func() bool { return p.seen[a] }); err != nil {
					return nil, fmt.Errorf("line %d: %s: attempt %d of request %d came to no node: %w", s.Line, s.Text, n-1, i+1, err)
				}
			}
		}
	}
	r := &Report{Want: script.Outcomes}
	for i, want := range script.Outcomes {
		if want == "" {
			r.Ends = append(r.Ends, "")
			continue
		}
		end := "" // read under the lock: other requests' ends may still come
		if err := p.wait(func() bool { end = p.ends[i+1]; return end != "" }); err != nil {
			return nil, fmt.Errorf("request %d has no end: %w", i+1, err)
		}
		r.Ends = append(r.Ends, end)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Faults = p.faults
	return r, nil
}

func (p *player) start(places map[string]bool) error {
	cfg, err := settings.Parse("forced", []byte(config))
	if err != nil {
		return err
	}
	if p.g, err = gateway.New(*cfg, gateway.WithSeed(1)); err != nil {
		return err
	}
	var list []forwarder.Node
	for name, first := range places {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		n := &node{name, ln}
		p.nodes[name] = n
		p.work.Go(func() { p.accept(n) })
		if first {
			list = append(list, p.entry(name, dispatch.Ready))
		}
	}
	p.g.UpdateEndpoints(dispatch.Snapshot, list)
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	p.addr = ln.Addr().String()
	p.work.Go(func() { p.g.Serve(context.Background(), ln) })
	return nil
}

func (p *player) entry(name string, s dispatch.NodeState) forwarder.Node {
	return forwarder.Node{Addr: p.nodes[name].ln.Addr().String(), Node: dispatch.Node{ID: dispatch.NodeID(name), State: s}}
}

func (p *player) stop() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.clients {
		c.Close()
	}
	for _, c := range p.got {
		c.Close()
	}
	p.mu.Unlock()
	for _, n := range p.nodes {
		n.ln.Close()
	}
	p.g.Close()
	p.work.Wait()
}

// accept takes the gateway's connections at a node.
func (p *player) accept(n *node) {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.serve(c) })
	}
}

// serve notes the requests that come on a connection; the replay answers them.
func (p *player) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var last attempt
	for {
		req, err := http.ReadRequest(r)
		p.mu.Lock()
		if last.tag != "" && p.got[last] == c { // what it carried has ended
			p.out[last.tag]--
			delete(p.got, last)
		}
		if err != nil {
			p.changed.Broadcast()
			p.mu.Unlock()
			return
		}
		parts := strings.Split(req.Header.Get("x-chalkstand-request"), "/")
		n, _ := strconv.Atoi(parts[len(parts)-1])
		last = attempt{req.Header.Get("x-amz-meta-tag"), n}
		p.got[last], p.seen[last] = c, true
		if p.out[last.tag]++; p.out[last.tag] > 1 {
			p.faults = append(p.faults, fmt.Sprintf("request %s has two attempts out", last.tag))
		}
		p.changed.Broadcast()
		p.mu.Unlock()
		io.Copy(io.Discard, req.Body)
	}
}

// wait waits until something is so.
func (p *player) wait(is func() bool) error {
	late := false
	t := time.AfterFunc(patience, func() {
		p.mu.Lock()
		late = true
		p.changed.Broadcast()
		p.mu.Unlock()
	})
	defer t.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !is() {
		if late {
			return fmt.Errorf("waited %v in vain", patience)
		}
		p.changed.Wait()
	}
	return nil
}

// step does a move.
func (p *player) step(s modelcheck.Step) error {
	switch s.Move.Kind {
	case modelcheck.StartRequest:
		return p.ask(s.Request)
	case modelcheck.CancelRequest:
		p.mu.Lock()
		c := p.clients[s.Request]
		p.ends[s.Request] = "left"
		p.mu.Unlock()
		c.Close()
		return p.until(func() bool { return p.g.InFlight() == p.inHand() })
	case modelcheck.CompleteDial, modelcheck.RunLoop0, modelcheck.RunLoop1, modelcheck.FireTimer, modelcheck.AdvanceBefore, modelcheck.AdvanceTo:
		return nil // by itself; waited for where it matters
	case modelcheck.DrainNode:
		p.g.UpdateEndpoints(dispatch.Delta, []forwarder.Node{p.entry(s.Node, dispatch.Draining)})
		return nil
	case modelcheck.RemoveNode:
		p.g.UpdateEndpoints(dispatch.Delta, []forwarder.Node{p.entry(s.Node, dispatch.Removed)})
		return nil
	case modelcheck.AddNode:
		p.g.UpdateEndpoints(dispatch.Delta, []forwarder.Node{p.entry(s.Node, dispatch.Ready)})
		return nil
	}
	text, isAnswer := answers[s.Move.Kind]
	if !isAnswer && s.Move.Kind != modelcheck.ResetConn {
		return fmt.Errorf("cannot be forced on sockets")
	}
	c, err := p.conn(s)
	if err != nil {
		return err
	}
	if s.Move.Kind == modelcheck.ResetConn {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return c.Close()
	}
	_, err = io.WriteString(c, text)
	return err
}

// conn finds the connection that a move is about: by the request that it carries,
// or as the one that was found for its number before.
func (p *player) conn(s modelcheck.Step) (net.Conn, error) {
	if s.Request > 0 {
		a := attempt{strconv.Itoa(s.Request), s.Attempt}
		if err := p.wait(func() bool { return p.got[a] != nil }); err != nil {
			return nil, fmt.Errorf("attempt %d of request %d is at no node: %w", s.Attempt, s.Request, err)
		}
		p.mu.Lock()
		p.conns[s.Move.Target] = p.got[a]
		p.mu.Unlock()
	}
	if c := p.conns[s.Move.Target]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("the connection has carried nothing: it cannot be told from others")
}

func (p *player) inHand() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i := range p.clients {
		if p.ends[i] == "" {
			n++
		}
	}
	return n
}

// until looks at the gateway until something is so.
func (p *player) until(is func() bool) error {
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("waited %v in vain", patience)
		}
	}
	return nil
}

// ask sends a client's request, and sees to its end.
func (p *player) ask(i int) error {
	a := p.asks[i-1]
	method := methods[a.Class]
	if method == "" || a.NotReplayable || a.Shard != 0 {
		return fmt.Errorf("a request of this kind cannot be forced on sockets")
	}
	key := a.Key
	if key == "" {
		key = "object-" + strconv.Itoa(i)
	}
	req, err := http.NewRequest(method, "http://"+p.addr+"/photos/"+key, nil)
	if err != nil {
		return err
	}
	req.Header.Set("x-amz-meta-tag", strconv.Itoa(i))
	if method == "PUT" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader("x")), 1
	}
	sigv4client.Request(req, keyID, secret, time.Now())
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		return err
	}
	if err := req.Write(c); err != nil {
		return err
	}
	p.mu.Lock()
	p.clients[i] = c
	p.mu.Unlock()
	p.work.Go(func() { p.end(i, c, req) })
	return p.until(func() bool { return p.g.InFlight() == p.inHand() || p.ended(i) })
}

func (p *player) ended(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends[i] != ""
}

// end reads a client's answer.
func (p *player) end(i int, c net.Conn, req *http.Request) {
	end := "deliver"
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		end = "none"
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		switch {
		case err != nil:
			end = "cut"
		case resp.StatusCode == 503 && resp.Header.Get("Retry-After") != "":
			end = "refuse"
		case resp.StatusCode >= 500:
			end = "fail"
		case resp.StatusCode != 200:
			end = resp.Status
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ends[i] == "" && !p.closed {
		p.ends[i] = end
	}
	p.changed.Broadcast()
}
