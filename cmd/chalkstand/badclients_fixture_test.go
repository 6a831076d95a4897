package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
)

// Times of the tests with bad clients.
const (
	soundInterval      = 20 * time.Millisecond   // pause between two requests of a sound client
	soundTimeout       = 1500 * time.Millisecond // time that a sound client waits for its reply
	replyTolerance     = 50 * time.Millisecond   // a reply may arrive so much later than the client's timeout
	readTimeout        = 5 * time.Second
	throttlePeriod     = 20 * time.Millisecond
	memorySampleTime   = 5 * time.Millisecond
	redialPause        = 5 * time.Millisecond
	badClientReadBytes = 64 << 10
)

// program returns the path of a chalkstand executable without the race detector, whose memory is that of the
// program in production.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "chalkstand-test")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "chalkstand")
	build := exec.Command("go", "build", "-o", file, ".")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return file, nil
})

// limitedProcess is a chalkstand command that runs as a process of its own and is killed if its memory exceeds a
// limit, as the platform does.
type limitedProcess struct {
	addr     string
	memoryMB int
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	log      bytes.Buffer  // valid once ended is closed
	peak     atomic.Int64  // highest anonymous memory of the process, in bytes
}

// startLimitedProcess starts a command that listens on addr, and waits until it accepts connections.
func startLimitedProcess(t *testing.T, addr string, memoryMB int, arguments ...string) *limitedProcess {
	t.Helper()
	file, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &limitedProcess{addr: addr, memoryMB: memoryMB, ended: make(chan struct{})}
	p.cmd = exec.CommandContext(t.Context(), file, arguments...)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // a killed process is no error of the test
		close(p.ended)
	}()
	t.Cleanup(func() { p.stop(t) })
	waitFor(t, "the process does not accept connections", func() bool { return accepts(t.Context(), addr) })
	go p.watchMemory()
	return p
}

// limitedRun is the command run with the resource limits of its configuration.
type limitedRun struct {
	*limitedProcess
	nodes []*respnode.Node
}

// startLimitedRun starts the command run with the least memory and the most descriptors, in front of fake nodes.
func startLimitedRun(t *testing.T, shards int) *limitedRun {
	t.Helper()
	discovery, err := fakediscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Stop)
	r := &limitedRun{}
	var endpoints []fakediscovery.Endpoint
	for shard := range shards {
		node, err := respnode.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Stop)
		node.SetDefault(respnode.Behavior{Delay: time.Millisecond})
		r.nodes = append(r.nodes, node)
		endpoints = append(endpoints, fakediscovery.Endpoint{
			ID: fmt.Sprintf("s%d", shard), Addr: node.Addr(), State: "Ready", Shard: shard,
		})
	}
	addr := freeTestAddress(t) // after the nodes have their ports, so that none of them gets this one
	f := fakeNodes{nodes: shards, configFile: filepath.Join(t.TempDir(), "config.json"), listen: addr}
	if err := f.writeConfig(discovery.Addr(), endpoints); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(f.configFile)
	if err != nil {
		t.Fatal(err)
	}
	limits := fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, leastMemoryMB, mostSockets)
	text = bytes.Replace(text, []byte(`"memory_mb":64,"sockets":512`), []byte(limits), 1)
	if err := os.WriteFile(f.configFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	r.limitedProcess = startLimitedProcess(t, addr, leastMemoryMB, runName, "--config", f.configFile)
	return r
}

// stop kills the process and logs its memory.
func (p *limitedProcess) stop(t *testing.T) {
	t.Helper()
	withFiles := processMemory(p.cmd.Process.Pid, "VmHWM:")
	_ = p.cmd.Process.Kill()
	<-p.ended
	t.Logf("highest memory: %.1f of %d MB, %.1f with the pages of files",
		float64(p.peak.Load())/(1<<20), p.memoryMB, float64(withFiles)/(1<<20))
	if t.Failed() {
		t.Logf("log of the process:\n%s", p.log.String())
	}
}

// watchMemory samples the memory of the process until it ends. It kills the process if the memory exceeds its
// limit, as the platform does.
func (p *limitedProcess) watchMemory() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(memorySampleTime):
		}
		memory := processMemory(p.cmd.Process.Pid, "RssAnon:") // the resident memory without the pages of files
		p.peak.Store(max(p.peak.Load(), memory))
		if memory > int64(p.memoryMB)<<20 {
			_ = p.cmd.Process.Kill()
			return
		}
	}
}

// processMemory returns a field of a process's memory in /proc, in bytes, or 0 if the process has ended.
func processMemory(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), field)
	kilobytes, err := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// throttle gives the process a share of a core, as the platform's limit on CPU time does: in each period it runs for
// that share and is stopped for the rest.
func (p *limitedProcess) throttle(ctx context.Context, cores float64) {
	running := time.Duration(cores * float64(throttlePeriod))
	for ctx.Err() == nil {
		time.Sleep(running)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails if the process has ended
		time.Sleep(throttlePeriod - running)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// checkLimits checks that the process is still running, which means that it has stayed within its limits.
func (p *limitedProcess) checkLimits(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Errorf("process: ended with %d of %d MB of memory, want it to go on", p.peak.Load()>>20, p.memoryMB)
	default:
	}
}

// dialClient opens a connection of a client.
func dialClient(addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(context.Background(), "tcp", addr)
}

// requestIDs numbers the requests of all clients.
var requestIDs atomic.Int64

func newRequestID() string { return fmt.Sprintf("%016x", requestIDs.Add(1)) }

// getCommand returns a command that reads a piece of data of a volume from a shard.
func getCommand(id string, shard int, volume int64, timeout time.Duration) string {
	return respnode.Command("OBJ.GET", "00000000000000aa", id, fmt.Sprintf(
		"c=read,t=gold,d=%d,volume=%016x,units=1,shard=%d,hosts=1", timeout.Milliseconds(), volume, shard))
}

// putCommand returns a command that writes a piece of data to a shard.
func putCommand(id string, shard int, volume int64, body string) string {
	return respnode.Command("OBJ.PUT", "00000000000000aa", id, fmt.Sprintf(
		"c=write,t=gold,d=4000,k=%s,volume=%016x,units=1,shard=%d,hosts=1", id, volume, shard), body)
}

// soundClients is a group of clients that send one request after the other, each on its own connection.
type soundClients struct {
	protocol soundProtocol
	wait     sync.WaitGroup
	mu       sync.Mutex
	served   int
	rejected int
	failed   int
	lost     int   // requests whose connection ended without a reply
	lastLoss error // how the connection of a lost request ended
	slowest  time.Duration
}

// soundProtocol encodes the requests of sound clients and reads the replies.
type soundProtocol interface {
	// request returns a new request of a client.
	request(client int64) string
	// readReply reads the reply to a request.
	readReply(r *bufio.Reader) (soundOutcome, error)
}

// soundOutcome is how a request of a sound client ended.
type soundOutcome int

const (
	outcomeServed soundOutcome = iota
	outcomeRejected
	outcomeFailed
)

// respProtocol is the platform's protocol. Its clients read from shard 1.
type respProtocol struct{}

func (respProtocol) request(client int64) string {
	return getCommand(newRequestID(), 1, client, soundTimeout)
}

func (respProtocol) readReply(r *bufio.Reader) (soundOutcome, error) {
	reply, err := respnode.ReadReply(r)
	switch {
	case strings.HasPrefix(reply, "$"):
		return outcomeServed, err
	case strings.HasPrefix(reply, "-BUSY"):
		return outcomeRejected, err
	}
	return outcomeFailed, err
}

// startSoundClients starts clients that send requests until ctx ends.
func startSoundClients(ctx context.Context, addr string, protocol soundProtocol) *soundClients {
	g := &soundClients{protocol: protocol}
	for i := range soundCount {
		g.wait.Go(func() { g.run(ctx, addr, int64(i)) })
	}
	return g
}

// soundClient is one client of a group.
type soundClient struct {
	group  *soundClients
	addr   string
	volume int64
	conn   net.Conn // nil while there is no connection
	reader *bufio.Reader
}

func (g *soundClients) run(ctx context.Context, addr string, volume int64) {
	c := &soundClient{group: g, addr: addr, volume: volume}
	for ctx.Err() == nil {
		c.request()
		time.Sleep(soundInterval)
	}
	c.close()
}

func (c *soundClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and records its reply. If a connection that was used before ends without a reply, the
// request is sent once more on a new connection, because the server may close an idle connection at any time.
func (c *soundClient) request() {
	request := c.group.protocol.request(c.volume)
	start := time.Now()
	reused := c.conn != nil
	outcome, err := c.exchange(request)
	if err != nil && reused {
		outcome, err = c.exchange(request)
	}
	if err != nil {
		err = fmt.Errorf("request after %v, reused connection %v: %w", time.Since(start), reused, err)
	}
	c.group.record(outcome, err, time.Since(start))
}

// exchange sends a request and reads its reply. It closes the connection after an error.
func (c *soundClient) exchange(request string) (soundOutcome, error) {
	if c.conn == nil {
		conn, err := dialClient(c.addr)
		if err != nil {
			return outcomeFailed, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection, where the write fails, too
	outcome := outcomeFailed
	_, err := io.WriteString(c.conn, request)
	if err == nil {
		outcome, err = c.group.protocol.readReply(c.reader)
	}
	if err != nil {
		c.close()
	}
	return outcome, err
}

func (g *soundClients) record(outcome soundOutcome, err error, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowest = max(g.slowest, took)
	switch {
	case err != nil:
		g.lost++
		g.lastLoss = err
	case outcome == outcomeServed:
		g.served++
	case outcome == outcomeRejected:
		g.rejected++
	default:
		g.failed++
	}
}

// check waits for the clients, whose context has ended. It checks that each request got its reply in time, and that
// most were served.
func (g *soundClients) check(t *testing.T) {
	t.Helper()
	g.checkReplies(t)
	if rejected := g.rejected + g.failed; rejected > g.served {
		t.Errorf("sound clients: got %d rejected or failed beside %d served, want fewer", rejected, g.served)
	}
}

// checkReplies waits for the clients, whose context has ended. It checks that each request got its reply in time, and
// that some were served.
func (g *soundClients) checkReplies(t *testing.T) {
	t.Helper()
	g.wait.Wait()
	t.Logf("sound clients: served %d, rejected %d, failed %d, lost %d, slowest %v",
		g.served, g.rejected, g.failed, g.lost, g.slowest)
	if g.served == 0 || g.lost > 0 || g.slowest > soundTimeout+replyTolerance {
		t.Errorf("sound clients: got %d served, %d lost (%v), slowest reply after %v; want each reply within %v",
			g.served, g.lost, g.lastLoss, g.slowest, soundTimeout+replyTolerance)
	}
}

// badClient is what one bad client does on a new connection. When it returns, the client opens another.
type badClient func(ctx context.Context, conn net.Conn)

// startBadClients starts clients that connect again and again until ctx ends.
func startBadClients(ctx context.Context, addr string, count int, behave badClient) *sync.WaitGroup {
	var wait sync.WaitGroup
	for range count {
		wait.Go(func() {
			for ctx.Err() == nil {
				conn, err := dialClient(addr)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					behave(ctx, conn)
					stop()
					_ = conn.Close()
				}
				time.Sleep(redialPause)
			}
		})
	}
	return &wait
}

// sendAndWait sends a text and then reads until the connection ends.
func sendAndWait(text string) badClient {
	return func(_ context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, text); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// sendSlowly sends a text in pieces with a pause after each, and then reads until the connection ends.
func sendSlowly(text string, piece int, pause time.Duration) badClient {
	return func(ctx context.Context, conn net.Conn) {
		for rest := text; len(rest) > 0 && ctx.Err() == nil; {
			n := min(piece, len(rest))
			if _, err := io.WriteString(conn, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(pause)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// sendAtFullSpeed sends the texts that next returns as fast as the server reads them. If reads is true, it also
// reads all replies.
func sendAtFullSpeed(next func() string, reads bool) badClient {
	return func(ctx context.Context, conn net.Conn) {
		if reads {
			go func() { _, _ = io.CopyBuffer(io.Discard, onlyReader{conn}, make([]byte, badClientReadBytes)) }()
		}
		for ctx.Err() == nil {
			if _, err := io.WriteString(conn, next()); err != nil {
				return
			}
		}
	}
}

// onlyReader hides the other methods of a connection, so that io.CopyBuffer uses its buffer.
type onlyReader struct{ io.Reader }
