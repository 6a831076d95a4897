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

// Process is a subcommand of this program that runs in a separate process.
type Process struct {
	cmd  *exec.Cmd
	Addr string
}

const (
	startTimeout = 5 * time.Second      // a process must listen within this time
	startPoll    = 5 * time.Millisecond // pause between two attempts to connect to a process that starts
)

// Start runs this program with the arguments in a new process, with GOMAXPROCS set to cores. The process runs until
// Stop is called or the context ends. Start waits until the process listens at addr. If addr is empty, it waits for
// the address that the process prints as its first line.
func Start(ctx context.Context, cores int, addr string, args ...string) (*Process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.CommandContext(ctx, executable, args...), Addr: addr}
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	p.cmd.Stderr = os.Stderr
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if addr == "" {
		line, err := bufio.NewReader(stdout).ReadString('\n')
		if err != nil {
			p.Stop()
			return nil, fmt.Errorf("process %v: expected an address as the first line of output: %w", args, err)
		}
		p.Addr = strings.TrimSpace(line)
	}
	if err := p.awaitListening(ctx); err != nil {
		p.Stop()
		return nil, fmt.Errorf("process %v: does not listen at its address: %w", args, err)
	}
	return p, nil
}

// awaitListening waits until the process accepts a connection.
func (p *Process) awaitListening(ctx context.Context) error {
	var dialer net.Dialer
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(startPoll) {
		c, err := dialer.DialContext(ctx, "tcp", p.Addr)
		if err == nil {
			closeConn(c)
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}

// PID returns the process's ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Stop kills the process and waits until it has ended.
func (p *Process) Stop() {
	_ = p.cmd.Process.Kill() // fails only if the process has already ended
	_ = p.cmd.Wait()         // returns an error that reports the kill
}

// clockTick is the unit in which the kernel reports processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from the first field after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// cpuTime returns the processor time that a process has used, or 0 if it cannot be read.
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
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)     // cannot fail: the kernel writes a number
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64) // cannot fail: the kernel writes a number
	return time.Duration(user+system) * clockTick
}

// PeakMemory returns the peak resident memory of a process in bytes, or 0 if it cannot be read.
func PeakMemory(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64) // cannot fail: the kernel writes a number
			return kib << 10
		}
	}
	return 0
}

// proxyIdleConns is how many idle connections to the target the proxy keeps. With the default of 2, most requests
// would open a new connection.
const proxyIdleConns = 256

// Proxy serves the reverse proxy of net/http/httputil on ln. The proxy forwards every request to the address target
// and is configured as in the documentation of httputil.
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
