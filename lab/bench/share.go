package bench

import (
	"bufio"
	"chalkstand/internal/http1"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// Load is one of several that run at the same time: a target's request again and again
// on so many connections.
type Load struct {
	Target
	Name  string
	Conns int

	bytes    atomic.Int64 // of bodies, as they come
	requests atomic.Int64
	other    atomic.Int64
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
}

// Together runs loads at the same time. After a time to get going it counts for d: the
// bytes of bodies as they come, not only of whole ones, and the latency of requests
// that end within.
func Together(loads []*Load, warm, d time.Duration) ([]Figures, error) {
	var wg sync.WaitGroup
	var failed error
	var mu sync.Mutex
	start := time.Now().Add(warm)
	end := start.Add(d)
	for _, l := range loads {
		l.latency = hdrhistogram.New(1, 60_000_000, 3)
		for range l.Conns {
			wg.Go(func() {
				if err := l.drive(start, end); err != nil {
					mu.Lock()
					failed = errors.Join(failed, fmt.Errorf("%s: %w", l.Name, err))
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Until(start))
	before := make([]int64, len(loads))
	cpu := make([]time.Duration, len(loads))
	for i, l := range loads {
		before[i], cpu[i] = l.bytes.Load(), cpuOf(l.Peer.PID)
	}
	time.Sleep(time.Until(end))
	took := time.Since(start)
	var out []Figures
	for i, l := range loads {
		out = append(out, Figures{Name: l.Name, Took: took, Bytes: l.bytes.Load() - before[i], CPU: cpuOf(l.Peer.PID) - cpu[i]})
	}
	wg.Wait()
	for i, l := range loads {
		out[i].Requests, out[i].Other, out[i].Latency = int(l.requests.Load()), int(l.other.Load()), l.latency
	}
	return out, failed
}

// drive is one connection's closed loop. A refused request is tried again after a
// while; at the end what is under way is left.
func (l *Load) drive(start, end time.Time) error {
	c, err := net.Dial("tcp", l.Peer.Addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(end)
	h := hdrhistogram.New(1, 60_000_000, 3)
	defer func() {
		l.mu.Lock()
		l.latency.Merge(h)
		l.mu.Unlock()
	}()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	r := bufio.NewReaderSize(c, 16<<10)
	var scan http1.Head
	var resp http1.Response
	for time.Now().Before(end) {
		at := time.Now()
		if _, err = c.Write(l.Text); err == nil && len(l.Body) > 0 {
			err = l.upload(c)
		}
		if err == nil {
			err = l.answer(r, raw, &scan, &resp)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			return err
		}
		if resp.Status/100 != 2 {
			l.other.Add(1)
			time.Sleep(10 * time.Millisecond)
		} else if at.After(start) {
			l.requests.Add(1)
			h.RecordValue(time.Since(at).Microseconds())
		}
		if resp.Close {
			return errors.New("the connection was closed")
		}
	}
	return nil
}

func (l *Load) upload(c net.Conn) error {
	for b := l.Body; len(b) > 0; {
		n, err := c.Write(b[:min(len(b), 64<<10)])
		l.bytes.Add(int64(n))
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (l *Load) answer(r *bufio.Reader, raw syscall.RawConn, scan *http1.Head, resp *http1.Response) error {
	if err := readHead(r, l.Method, scan, resp); err != nil {
		return err
	}
	held, _ := r.Discard(int(min(resp.Length, int64(r.Buffered()))))
	l.got(held)
	return l.discard(raw, resp.Length-int64(held))
}

func (l *Load) got(n int) {
	if l.Method == "GET" {
		l.bytes.Add(int64(n))
	}
}

// nowhere takes what is not looked at.
var nowhere [1 << 20]byte

// discard takes bytes from the kernel without copying them: the load must cost less
// than what it loads.
func (l *Load) discard(raw syscall.RawConn, left int64) error {
	for left > 0 {
		var n int
		var err error
		if rerr := raw.Read(func(fd uintptr) bool {
			n, _, err = unix.Recvfrom(int(fd), nowhere[:min(left, int64(len(nowhere)))], unix.MSG_TRUNC|unix.MSG_DONTWAIT)
			return err != unix.EAGAIN
		}); rerr != nil {
			return rerr
		}
		if err != nil {
			return os.NewSyscallError("recv", err)
		}
		if n == 0 {
			return io.ErrUnexpectedEOF
		}
		left -= int64(n)
		l.got(n)
	}
	return nil
}

// ShareConfig is that of a gateway with two plans, for the buckets heavy and light.
type ShareConfig struct {
	Listen, Node string
	Order        string // fair or arrival
	Loops        int
	Weight       float64       // of heavy; light has 1
	Target       time.Duration // of waits under overload; 0: none is refused for it
	Aim          time.Duration // of requests; their deadline is twice as long
}

// WriteShareConfig writes a gateway's settings and returns the file's name.
func WriteShareConfig(dir string, c ShareConfig) (string, error) {
	name := filepath.Join(dir, fmt.Sprintf("share-%s-%d-%g.jsonc", c.Order, c.Loops, c.Weight))
	return name, os.WriteFile(name, fmt.Appendf(nil, shareConfig, c.Listen, c.Loops, c.Node, c.Aim, 2*c.Aim, c.Aim, 2*c.Aim, c.Weight, c.Order, c.Target), 0o600)
}

const shareConfig = `{
	"name": "bench", "listen": %q, "loops": %d, "shards": 1,
	"keys": [{"id": "BENCHKEY", "secret": "bench-secret", "buckets": ["*"], "write": true}],
	"nodes": [{"id": "node", "addr": %q, "shard": 0}],
	"classes": [{"name": "read", "aim": "%v", "deadline": "%v", "worth": 1, "effect": "safe"},
		{"name": "write", "aim": "%v", "deadline": "%v", "worth": 1, "effect": "keyed", "group": "shard", "window": "10s"}],
	"plans": [{"name": "heavy", "rate": 100000, "reserve": 0, "weight": %g, "price": 1}, {"name": "light", "rate": 100000, "reserve": 0, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "heavy", "plan": "heavy"}, {"pattern": "*", "plan": "light"}],
	"operations": [{"operations": ["PutObject", "UploadPart"], "class": "write", "units": 1, "per_mib": 1},
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 1, "assume_bytes": 4096}, {"operations": ["*"], "class": "read", "units": 1}],
	"limits": {"conns_per_node": 2048, "streams_per_node": 1024, "conns": 16384},
	"share": {"order": %q, "overload": {"target": "%v"}}, "log": {"level": "error"},
}`
