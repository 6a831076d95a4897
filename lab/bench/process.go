package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// Process is a command of this program that runs as a process of its own.
type Process struct {
	cmd  *exec.Cmd
	Addr string
}

const (
	startTimeout = 5 * time.Second // until a process listens
	startPoll    = 5 * time.Millisecond
)

// Start runs this program with the arguments on a number of cores, until Stop is called or the context is
// done. It waits until the process listens at addr; if addr is empty, at the address that the process prints
// as its first line.
func Start(ctx context.Context, cores int, addr string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.CommandContext(ctx, self, args...), Addr: addr}
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
			return nil, fmt.Errorf("%v: no address was printed: %w", args, err)
		}
		p.Addr = strings.TrimSpace(line)
	}
	if err := p.awaitListening(ctx); err != nil {
		p.Stop()
		return nil, fmt.Errorf("%v: it does not listen: %w", args, err)
	}
	return p, nil
}

// awaitListening waits until the process accepts a connection.
func (p *Process) awaitListening(ctx context.Context) error {
	var dialer net.Dialer
	for end := time.Now().Add(startTimeout); ; time.Sleep(startPoll) {
		c, err := dialer.DialContext(ctx, "tcp", p.Addr)
		if err == nil {
			closeConn(c)
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Stop kills the process and waits for it.
func (p *Process) Stop() {
	_ = p.cmd.Process.Kill() // fails where the process has ended
	_ = p.cmd.Wait()         // reports the kill
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// cpuTime returns the processor time of a process, or 0 if it can't be read.
func cpuTime(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(b, []byte(") "))
	fields := strings.Fields(string(rest))
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)     // the kernel writes numbers
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64) // the kernel writes numbers
	return time.Duration(user+system) * clockTick
}

// PeakMemory returns the peak resident memory of a process in bytes, or 0 if it can't be read.
func PeakMemory(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64) // the kernel writes a number
			return kib << 10
		}
	}
	return 0
}

// proxyIdleConns is how many idle connections the proxy keeps. With the default of 2, most requests would
// open a connection.
const proxyIdleConns = 256

// Proxy serves httputil's reverse proxy to the target, an address, configured as in its documentation.
func Proxy(ln net.Listener, target string) error {
	u, err := url.Parse("http://" + target)
	if err != nil {
		return err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = proxyIdleConns
	proxy := &httputil.ReverseProxy{
		Transport: transport,
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(u) },
	}
	return http.Serve(ln, proxy)
}
