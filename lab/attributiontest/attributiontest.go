// Package attributiontest plays small troubles on loopback through a real gateway and compares
// its latency accounts with what the clients measured: the totals of each volume,
// and whether the cause that was made is the cause that is named.
package attributiontest

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/attributionlog"
	"chalkstand/internal/settings"
	"chalkstand/lab/sigv4client"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Tolerance is how far a volume's total may be from what its clients measured.
const Tolerance = 0.05

// Result is what a drill showed.
type Result struct {
	Scenario string
	Seed     uint64
	Took     time.Duration
	Volumes  []Compared
	Worst    float64 // the largest difference of a volume
	Faults   []string
	Window   attribution.Window // over the whole drill
	Data     []attributionlog.Slot
}

// Compared is a volume's time as its clients and as the accounts have it.
type Compared struct {
	Volume  string
	Clients time.Duration
	Told    time.Duration
}

// Off is the difference as a share of what the clients measured.
func (c Compared) Off() float64 {
	if c.Clients <= 0 {
		return 0
	}
	return (c.Clients - c.Told).Seconds() / c.Clients.Seconds()
}

const (
	keyID  = "DRILLKEY"
	secret = "drill-secret"
)

const config = `{
	"name": "drill", "listen": "127.0.0.1:0", "loops": 2, "shards": 1,
	"keys": [{"id": "DRILLKEY", "secret": "drill-secret", "buckets": ["*"], "write": true}],
	"classes": [
		{"name": "read", "aim": "4s", "deadline": "8s", "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "4s", "deadline": "8s", "worth": 2, "effect": "keyed", "group": "shard", "window": "30s", "in_turn": true},
	],
	"plans": [
		{"name": "open", "rate": 1000, "reserve": 1000, "weight": 1, "price": 1},
		{"name": "capped", "rate": 25, "reserve": 20, "weight": 1, "price": 1, "limit": 25, "burst": 10, "slack": 8},
	],
	"buckets": [{"pattern": "capped*", "plan": "capped"}, {"pattern": "*", "plan": "open"}],
	"operations": [
		{"operations": ["GetObject"], "class": "read", "units": 1},
		{"operations": ["PutObject"], "class": "write", "units": 1},
		{"operations": ["*"], "class": "read", "units": 1},
	],
	"rules": {"usual_units": 1, "largest_units": 8, "settle": "20ms", "budget": {"free": 1000, "ratio": 1, "span": "5s"}},
}`

// play is one drill while it runs.
type play struct {
	seed  uint64
	rng   *rand.Rand
	node  *storagenode.Node
	data  *storagenode.Dataset
	epoch time.Time
	step  atomic.Int64 // of the wall clock, by drills that set it

	mu     sync.Mutex
	g      *gateway.Gateway
	addr   string
	stop   context.CancelFunc
	seen   map[string]time.Duration // by clients
	told   map[string]time.Duration // by accounts
	faults []string

	afterFlood attribution.Window
	log        *attributionlog.Writer
	logPath    string

	work sync.WaitGroup
	over chan struct{}
	tr   *http.Transport
}

func (p *play) wall() time.Time { return time.Now().Add(time.Duration(p.step.Load())) }

func (p *play) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.faults) < 20 {
		p.faults = append(p.faults, fmt.Sprintf(format, args...))
	}
}

// objects that the volumes hold.
const (
	small    = "small"
	large    = "large"
	smallLen = 1000
	largeLen = 16 << 20
)

// Run plays a scenario. dir holds the account log.
func Run(s Scenario, seed uint64, dir string) (Result, error) {
	p := &play{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 17)), data: storagenode.NewDataset(""), epoch: time.Now(),
		seen: map[string]time.Duration{}, told: map[string]time.Duration{}, over: make(chan struct{}), logPath: filepath.Join(dir, fmt.Sprintf("%s-%d.log", s.Name, seed)),
		tr: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: dial},
	}
	defer p.tr.CloseIdleConnections()
	for _, v := range Volumes {
		p.data.AddBucket(v, p.epoch)
		p.data.Store(v, small, make([]byte, smallLen))
	}
	p.data.Store("review", large, make([]byte, largeLen))
	cfg := storagenode.Config{ID: "node", Cores: 2, Queue: 400, PerUnit: 20 * time.Millisecond, Timing: true, Seed: seed, DedupWindow: 30 * time.Second}
	if s.node != nil {
		s.node(&cfg)
	}
	var err error
	if p.node, err = storagenode.Start("127.0.0.1:0", cfg, p.data, nil, p.epoch); err != nil {
		return Result{}, err
	}
	defer p.node.Stop()
	if err := os.Remove(p.logPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return Result{}, err
	}
	if p.log, err = attributionlog.Open(p.logPath, 16<<20, 2); err != nil {
		return Result{}, err
	}
	defer p.log.Close()
	if err := p.start(); err != nil {
		return Result{}, err
	}
	defer func() { p.end() }()
	s.play(p)
	close(p.over)
	p.work.Wait()
	p.quiet()
	return p.result(s)
}

// dial opens a connection with a small buffer for what it receives: bytes that wait
// there have been taken, as far as a gateway can see.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if t, ok := c.(*net.TCPConn); ok {
		err = t.SetReadBuffer(64 << 10)
	}
	return c, err
}

// start runs a gateway.
func (p *play) start() error {
	cfg, err := settings.Parse("drill", []byte(config))
	if err != nil {
		return err
	}
	var g *gateway.Gateway
	ready := make(chan struct{})
	g, err = gateway.New(*cfg, gateway.WithSeed(p.seed), gateway.WithClock(p.wall), gateway.WithAttribution(p.account),
		gateway.WithAttributionLog(func(a attribution.Action) { <-ready; p.save(g, a) }))
	if err != nil {
		return err
	}
	close(ready)
	g.UpdateEndpoints(dispatch.Snapshot, []forwarder.Node{{Addr: p.node.Addr(), Node: dispatch.Node{ID: "node"}}})
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		g.Close()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	p.mu.Lock()
	p.g, p.addr, p.stop = g, ln.Addr().String(), stop
	p.mu.Unlock()
	go g.Serve(ctx, ln)
	return nil
}

// end closes the gateway and with it its books.
func (p *play) end() {
	p.stop()
	p.g.Close()
}

func (p *play) save(g *gateway.Gateway, a attribution.Action) {
	if err := p.log.Append(attributionlog.NewRecord(g.Run(), p.wall(), g.Now(), a)); err != nil {
		p.fault("%v", err)
	}
}

// account checks that an account sums exactly, and adds it up.
func (p *play) account(e attribution.Entry) {
	var behind time.Duration
	for _, b := range e.Behind {
		behind += b.Time
	}
	if e.Parts.Total() != e.Ended-e.Started {
		p.fault("%s: causes sum to %v of %v", e.Volume, e.Parts.Total(), e.Ended-e.Started)
	}
	if line := e.Parts[attribution.QueuedBehindOthers] + e.Parts[attribution.NodeQueue] + e.Parts[attribution.EventLoop]; behind > line {
		p.fault("%s: waited %v behind others, of %v in line", e.Volume, behind, line)
	}
	for c, d := range e.Parts {
		if d < 0 {
			p.fault("%s: %v of %v", e.Volume, d, attribution.Component(c))
		}
	}
	p.mu.Lock()
	p.told[e.Volume] += e.Parts.Total()
	p.mu.Unlock()
}

// request sends one request and measures it as a client does: from its first byte
// to the last byte of its answer.
func (p *play) request(method, vol, key string, slow time.Duration) {
	p.mu.Lock()
	addr := p.addr
	p.mu.Unlock()
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/%s", addr, vol, key), nil)
	if err != nil {
		p.fault("%v", err)
		return
	}
	sigv4client.Request(r, keyID, secret, p.wall())
	start := time.Now()
	resp, err := p.tr.RoundTrip(r)
	if err != nil {
		if _, ok := err.(net.Error); !ok && err != io.EOF {
			p.fault("%s %s: %v", method, vol, err)
		}
		return
	}
	defer resp.Body.Close()
	if slow > 0 { // a client that takes its answer in small bites
		bite := make([]byte, 256<<10)
		for {
			if _, err := io.ReadFull(resp.Body, bite); err != nil {
				break
			}
			time.Sleep(slow)
		}
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(start)
	p.mu.Lock()
	p.seen[vol] += took
	p.mu.Unlock()
	if resp.StatusCode != 200 && resp.StatusCode != 503 {
		p.fault("%s %s: status %d", method, vol, resp.StatusCode)
	}
}

// clients keep so many requests of a volume going until the channel closes, with a
// pause of about the length given before each.
func (p *play) clients(n int, vol string, pause time.Duration, until <-chan struct{}) {
	p.mu.Lock()
	seed := p.rng.Uint64()
	p.mu.Unlock()
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		p.work.Go(func() {
			for {
				wait := time.Duration(float64(pause) * (0.5 + rng.Float64()))
				select {
				case <-until:
					return
				case <-time.After(wait):
				}
				p.request("GET", vol, small, 0)
			}
		})
	}
}

// quiet waits until all that was taken is answered and accounted for.
func (p *play) quiet() {
	for end := time.Now().Add(10 * time.Second); p.g.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.fault("%d requests are still in hand", p.g.InFlight())
			return
		}
	}
	p.g.FlushAttribution()
	p.window(time.Minute) // what was flushed before is in the books now
}

// since reads the books from the first whole second after a time on.
func (p *play) since(at time.Duration) (w attribution.Window) {
	p.g.FlushAttribution()
	if err := p.g.Attribution(func(now time.Duration, k *attribution.Collector) {
		from := (at + time.Second - 1) / time.Second * time.Second
		w, _ = k.Aggregator().Window(now, max(now-from, time.Millisecond))
	}); err != nil {
		p.fault("%v", err)
	}
	return w
}

// window reads the books.
func (p *play) window(span time.Duration) (w attribution.Window) {
	if err := p.g.Attribution(func(now time.Duration, k *attribution.Collector) { w, _ = k.Aggregator().Window(now, span) }); err != nil {
		p.fault("%v", err)
	}
	return w
}

func (p *play) result(s Scenario) (Result, error) {
	r := Result{Scenario: s.Name, Seed: p.seed, Took: time.Since(p.epoch), Window: p.window(time.Minute)}
	var counts attribution.Counts
	if err := p.g.Attribution(func(_ time.Duration, k *attribution.Collector) { counts = k.Counts() }); err != nil {
		return r, err
	}
	if counts.Lost > 0 {
		p.fault("%d accounts were thrown away", counts.Lost)
	}
	p.end() // closes the slots, which go to the log
	recs, damage, err := attributionlog.Read(p.logPath)
	if err != nil {
		return r, err
	}
	for _, d := range damage {
		p.fault("%v", d)
	}
	line := attributionlog.NewTimeline(recs)
	r.Data = line.Slots
	if s.expect != nil {
		s.expect(p, &verdict{p: p, Window: r.Window, Counts: counts, Timeline: line})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	most := s.tolerance
	if most == 0 {
		most = Tolerance
	}
	for v, d := range p.seen {
		c := Compared{v, d, p.told[v]}
		r.Volumes = append(r.Volumes, c)
		off := c.Off()
		if r.Worst = max(r.Worst, off, -off); off > most || off < -most {
			p.faults = append(p.faults, fmt.Sprintf("%s: clients measured %v, accounts tell %v (%.1f %%)", v, c.Clients, c.Told, 100*off))
		}
	}
	slices.SortFunc(r.Volumes, func(a, b Compared) int { return int(min(max(b.Clients-a.Clients, -1), 1)) })
	r.Faults = p.faults
	return r, nil
}
