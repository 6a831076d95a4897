package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"chalkstand/internal/http1"
)

// Load is one of several loads that run at the same time. It sends its target's request repeatedly on Conns
// connections.
type Load struct {
	Target
	Name  string
	Conns int

	bodyBytes atomic.Int64 // bytes of bodies sent or received so far, including unfinished bodies
	requests  atomic.Int64
	non2xx    atomic.Int64
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
}

// RunTogether runs loads at the same time. After the warm-up it measures for the duration d. It counts the
// transferred bytes of all bodies, including unfinished ones. It records the latency of the requests that begin and
// end during the measurement.
func RunTogether(ctx context.Context, loads []*Load, warmUp, d time.Duration) ([]Measurement, error) {
	var wg sync.WaitGroup
	var errs error
	var mu sync.Mutex
	start := time.Now().Add(warmUp)
	end := start.Add(d)
	for _, l := range loads {
		l.latency = newHistogram()
		for range l.Conns {
			wg.Go(func() {
				if err := l.runConn(ctx, start, end); err != nil {
					mu.Lock()
					errs = errors.Join(errs, fmt.Errorf("%s: %w", l.Name, err))
					mu.Unlock()
				}
			})
		}
	}
	measurements := measureTraffic(loads, start, end)
	wg.Wait()
	for i, l := range loads {
		m := &measurements[i]
		m.Requests = int(l.requests.Load())
		m.Non2xx = int(l.non2xx.Load())
		m.Latency = l.latency
	}
	return measurements, errs
}

// measureTraffic waits for start and end, and returns the bytes and the processor time of each load between them.
func measureTraffic(loads []*Load, start, end time.Time) []Measurement {
	time.Sleep(time.Until(start))
	bytesBefore := make([]int64, len(loads))
	cpuBefore := make([]time.Duration, len(loads))
	for i, l := range loads {
		bytesBefore[i] = l.bodyBytes.Load()
		cpuBefore[i] = cpuTime(l.Server.PID)
	}
	time.Sleep(time.Until(end))
	elapsed := time.Since(start)
	var measurements []Measurement
	for i, l := range loads {
		measurements = append(measurements, Measurement{
			Name:    l.Name,
			Elapsed: elapsed,
			Bytes:   l.bodyBytes.Load() - bytesBefore[i],
			CPU:     cpuTime(l.Server.PID) - cpuBefore[i],
		})
	}
	return measurements
}

// rejectedPause is the pause after a response with a status other than 2xx.
const rejectedPause = 10 * time.Millisecond

// runConn runs the closed loop of one connection until end, and then abandons the request in progress.
func (l *Load) runConn(ctx context.Context, start, end time.Time) error {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", l.Server.Addr)
	if err != nil {
		return err
	}
	defer closeConn(c)
	if err := c.SetDeadline(end); err != nil {
		return err
	}
	h := newHistogram()
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
	var parser http1.HeadParser
	var resp http1.Response
	for time.Now().Before(end) {
		sent := time.Now()
		err := l.exchange(c, r, raw, &parser, &resp)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			return err
		}
		if resp.Status/100 != 2 {
			l.non2xx.Add(1)
			time.Sleep(rejectedPause)
		} else if sent.After(start) {
			l.requests.Add(1)
			recordLatency(h, sent)
		}
		if resp.Close {
			return errClosed
		}
	}
	return nil
}

// exchange sends one request and reads its response.
func (l *Load) exchange(
	c net.Conn, r *bufio.Reader, raw syscall.RawConn, parser *http1.HeadParser, resp *http1.Response,
) error {
	if _, err := c.Write(l.Head); err != nil {
		return err
	}
	if err := l.upload(c); err != nil {
		return err
	}
	return l.receive(r, raw, parser, resp)
}

// uploadChunk is how many bytes of a body upload writes and counts at a time.
const uploadChunk = 64 << 10

// upload sends the body of the request and counts its bytes.
func (l *Load) upload(c net.Conn) error {
	for b := l.Body; len(b) > 0; {
		n, err := c.Write(b[:min(len(b), uploadChunk)])
		l.bodyBytes.Add(int64(n))
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// receive reads the head of a response, then counts and discards the body.
func (l *Load) receive(r *bufio.Reader, raw syscall.RawConn, parser *http1.HeadParser, resp *http1.Response) error {
	if err := readHead(r, l.Method, parser, resp); err != nil {
		return err
	}
	buffered, err := r.Discard(int(min(resp.Length, int64(r.Buffered()))))
	if err != nil {
		return err
	}
	l.countDownload(buffered)
	return l.discard(raw, resp.Length-int64(buffered))
}

// countDownload counts n bytes of a response body. It ignores the responses to uploads, whose measured bytes are
// those of the request.
func (l *Load) countDownload(n int) {
	if l.Method == http.MethodGet {
		l.bodyBytes.Add(int64(n))
	}
}

// discardBuffer is the buffer that all receive calls for discarded bytes share. The kernel writes nothing to it.
var discardBuffer [1 << 20]byte

// discard makes the kernel drop the given number of received bytes without copying them. This keeps the processor
// time of the load below that of the server under test.
func (l *Load) discard(raw syscall.RawConn, remaining int64) error {
	for remaining > 0 {
		var n int
		var err error
		receive := func(fd uintptr) bool {
			buffer := discardBuffer[:min(remaining, int64(len(discardBuffer)))]
			n, _, err = unix.Recvfrom(int(fd), buffer, unix.MSG_TRUNC|unix.MSG_DONTWAIT)
			return !errors.Is(err, unix.EAGAIN)
		}
		if readErr := raw.Read(receive); readErr != nil {
			return readErr
		}
		if err != nil {
			return os.NewSyscallError("recv", err)
		}
		if n == 0 {
			return io.ErrUnexpectedEOF
		}
		remaining -= int64(n)
		l.countDownload(n)
	}
	return nil
}
