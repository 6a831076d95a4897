// Package bench measures a gateway beside net/http/httputil's reverse proxy on the
// same stand-in nodes, each a process of its own, in one run.
package bench

import (
	"bufio"
	"bytes"
	"chalkstand/internal/http1"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Peer is one server under test.
type Peer struct {
	Name string
	Addr string
	PID  int // 0: not a process of ours
}

// Target is a request, written out, for one peer.
type Target struct {
	Peer   Peer
	Method string
	Text   []byte // head; a body follows
	Body   []byte
}

// Figures are what a run of one target showed.
type Figures struct {
	Name     string
	Requests int
	Other    int // answers that were not 2xx
	Took     time.Duration
	Bytes    int64
	Latency  *hdrhistogram.Histogram // microseconds
	CPU      time.Duration           // of the peer
	Peak     int64                   // memory of the peer, bytes, since its start
}

// PerSecond returns requests a second.
func (f Figures) PerSecond() float64 { return float64(f.Requests) / f.Took.Seconds() }

// Run sends a target's request again and again on so many connections.
func Run(t Target, conns int, d time.Duration) (Figures, error) {
	f := Figures{Name: t.Peer.Name, Latency: hdrhistogram.New(1, 60_000_000, 3)}
	cpu := cpuOf(t.Peer.PID)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	start := time.Now()
	end := start.Add(d)
	for range conns {
		wg.Go(func() {
			h := hdrhistogram.New(1, 60_000_000, 3)
			n, other, size, err := drive(t, end, h)
			mu.Lock()
			defer mu.Unlock()
			f.Latency.Merge(h)
			f.Requests += n
			f.Other += other
			f.Bytes += size
			failed = errors.Join(failed, err)
		})
	}
	wg.Wait()
	f.Took = time.Since(start)
	f.CPU = cpuOf(t.Peer.PID) - cpu
	f.Peak = Peak(t.Peer.PID)
	return f, failed
}

// drive is one connection's closed loop.
func drive(t Target, end time.Time, h *hdrhistogram.Histogram) (n, other int, size int64, err error) {
	c, err := net.Dial("tcp", t.Peer.Addr)
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	var scan http1.Head
	var resp http1.Response
	for {
		at := time.Now()
		if !at.Before(end) {
			return n, other, size, nil
		}
		if _, err := c.Write(t.Text); err != nil {
			return n, other, size, err
		}
		if len(t.Body) > 0 {
			if _, err := c.Write(t.Body); err != nil {
				return n, other, size, err
			}
		}
		got, err := answer(r, t.Method, &scan, &resp)
		if err != nil {
			return n, other, size, err
		}
		h.RecordValue(time.Since(at).Microseconds())
		n++
		size += got + int64(len(t.Body))
		if resp.Status/100 != 2 {
			other++
		}
		if resp.Close {
			return n, other, size, errors.New("the connection was closed")
		}
	}
}

func answer(r *bufio.Reader, method string, scan *http1.Head, resp *http1.Response) (int64, error) {
	if err := readHead(r, method, scan, resp); err != nil {
		return 0, err
	}
	if resp.Chunked {
		return io.Copy(io.Discard, httputil.NewChunkedReader(r))
	}
	_, err := io.CopyN(io.Discard, r, resp.Length)
	return resp.Length, err
}

// readHead takes an answer's head. The text of its headers is gone with the next read.
func readHead(r *bufio.Reader, method string, scan *http1.Head, resp *http1.Response) error {
	for want := 1; ; {
		if _, err := r.Peek(want); err != nil {
			return err
		}
		b, _ := r.Peek(r.Buffered())
		n, herr := scan.ParseResponse(b, http1.DefaultLimits, method, resp)
		if herr != nil {
			return herr
		}
		if n > 0 {
			_, err := r.Discard(n)
			return err
		}
		want = len(b) + 1
	}
}

// cpuOf returns the processor time that a process has used.
func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(b, []byte(") "))
	f := strings.Fields(string(rest))
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.ParseInt(f[11], 10, 64)
	s, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(u+s) * 10 * time.Millisecond
}

// Peak returns the most memory that a process has held, in bytes.
func Peak(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Process is a command of this program that was started for a run.
type Process struct {
	cmd  *exec.Cmd
	Addr string
}

// Start runs this program with the arguments and so many cores. Its first line of
// output, or addr if that is given, is where it listens.
func Start(cores int, addr string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(self, args...), Addr: addr}
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if addr == "" {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			p.Stop()
			return nil, fmt.Errorf("%v: it did not say where it listens: %w", args, err)
		}
		p.Addr = strings.TrimSpace(line)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", p.Addr)
		if err == nil {
			c.Close()
			return p, nil
		}
		if time.Now().After(end) {
			p.Stop()
			return nil, fmt.Errorf("%v: it does not listen: %w", args, err)
		}
	}
}

// PID returns the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Stop ends the process.
func (p *Process) Stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// Proxy serves httputil's reverse proxy to target, as its documentation has it.
func Proxy(ln net.Listener, target string) error {
	u, err := url.Parse("http://" + target)
	if err != nil {
		return err
	}
	tr := http.DefaultTransport.(*http.Transport).Clone()
	tr.MaxIdleConnsPerHost = 256 // the default of 2 would open a connection for most requests
	p := &httputil.ReverseProxy{Transport: tr, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(u) }}
	return http.Serve(ln, p)
}

// WriteConfig writes settings of a gateway with one node, with or without latency
// accounts, for a run and returns the
// file's name.
func WriteConfig(dir, listen, node string, accounts bool) (string, error) {
	name := filepath.Join(dir, fmt.Sprintf("bench-%v.jsonc", accounts))
	text := fmt.Sprintf(config, listen, node, accounts)
	return name, os.WriteFile(name, []byte(text), 0o600)
}

// The key of the run's settings.
const (
	KeyID  = "BENCHKEY"
	Secret = "bench-secret"
)

const config = `{
	"name": "bench", "listen": %q, "loops": 1, "shards": 1,
	"keys": [{"id": "BENCHKEY", "secret": "bench-secret", "buckets": ["*"], "write": true}],
	"nodes": [{"id": "node", "addr": %q, "shard": 0}],
	"classes": [{"name": "read", "aim": "500ms", "deadline": "5s", "worth": 1, "effect": "safe"},
		{"name": "write", "aim": "30s", "deadline": "60s", "worth": 1, "effect": "keyed", "group": "shard", "window": "10s"}],
	"plans": [{"name": "p", "rate": 100000, "reserve": 100000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "p"}],
	"operations": [{"operations": ["PutObject", "UploadPart"], "class": "write", "units": 1, "per_mib": 1},
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 1, "assume_bytes": 4096}, {"operations": ["*"], "class": "read", "units": 1}],
	"accounts": {"on": %v}, "log": {"level": "error"},
}`

// Median returns the run with the median rate.
func Median(fs []Figures) Figures {
	s := slices.Clone(fs)
	slices.SortFunc(s, func(a, b Figures) int { return cmp.Compare(a.PerSecond(), b.PerSecond()) })
	return s[len(s)/2]
}
