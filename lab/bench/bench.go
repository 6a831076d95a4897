// Package bench measures servers under load: a gateway beside net/http/httputil's reverse proxy on the
// same fake node, the shares of two volumes, and a gateway under overload. Each server is a process of
// its own.
package bench

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chalkstand/internal/http1"
)

// errClosed is returned when a server closes a connection that the load still needs.
var errClosed = errors.New("the connection was closed")

// Server is a server under test.
type Server struct {
	Name string
	Addr string
	PID  int // 0: processor time and memory are not measured
}

// Target is a request to one server, encoded.
type Target struct {
	Server Server
	Method string
	Head   []byte
	Body   []byte
}

// Measurement is the result of a load on one target.
type Measurement struct {
	Name       string
	Requests   int
	Non2xx     int // responses with another status than 2xx
	Elapsed    time.Duration
	Bytes      int64                   // of bodies
	Latency    *hdrhistogram.Histogram // microseconds
	CPU        time.Duration           // processor time of the server
	PeakMemory int64                   // of the server since its start, bytes
}

// PerSecond returns requests a second.
func (m Measurement) PerSecond() float64 { return float64(m.Requests) / m.Elapsed.Seconds() }

// MiBPerSecond returns MiB of bodies a second.
func (m Measurement) MiBPerSecond() float64 {
	return float64(m.Bytes) / (1 << 20) / m.Elapsed.Seconds()
}

// CPUPerRequest returns the server's processor time for each request.
func (m Measurement) CPUPerRequest() time.Duration { return m.CPU / time.Duration(max(m.Requests, 1)) }

// Quantile returns a percentile of the latency.
func (m Measurement) Quantile(percent float64) time.Duration {
	return time.Duration(m.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Median returns the measurement with the median rate.
func Median(ms []Measurement) Measurement {
	sorted := slices.Clone(ms)
	slices.SortFunc(sorted, func(a, b Measurement) int { return cmp.Compare(a.PerSecond(), b.PerSecond()) })
	return sorted[len(sorted)/2]
}

// newHistogram returns a histogram of latencies from 1 µs to 1 min with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// recordLatency adds the time since start.
func recordLatency(h *hdrhistogram.Histogram, start time.Time) {
	_ = h.RecordValue(time.Since(start).Microseconds()) // fails above a minute, longer than any run
}

// closeConn closes a load's connection. An error is of no interest: everything was counted before.
func closeConn(c net.Conn) { _ = c.Close() }

// Run sends a target's request repeatedly on a number of connections, in closed loops.
func Run(ctx context.Context, t Target, conns int, d time.Duration) (Measurement, error) {
	total := Measurement{Name: t.Server.Name, Latency: newHistogram()}
	cpu := cpuTime(t.Server.PID)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	start := time.Now()
	end := start.Add(d)
	for range conns {
		wg.Go(func() {
			m := Measurement{Latency: newHistogram()}
			err := runConn(ctx, t, end, &m)
			mu.Lock()
			defer mu.Unlock()
			total.Latency.Merge(m.Latency)
			total.Requests += m.Requests
			total.Non2xx += m.Non2xx
			total.Bytes += m.Bytes
			failed = errors.Join(failed, err)
		})
	}
	wg.Wait()
	total.Elapsed = time.Since(start)
	total.CPU = cpuTime(t.Server.PID) - cpu
	total.PeakMemory = PeakMemory(t.Server.PID)
	return total, failed
}

// runConn is the closed loop of one connection.
func runConn(ctx context.Context, t Target, end time.Time, m *Measurement) error {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", t.Server.Addr)
	if err != nil {
		return err
	}
	defer closeConn(c)
	r := bufio.NewReaderSize(c, 64<<10)
	var scan http1.Head
	var resp http1.Response
	for {
		start := time.Now()
		if !start.Before(end) {
			return nil
		}
		if _, err := c.Write(t.Head); err != nil {
			return err
		}
		if len(t.Body) > 0 {
			if _, err := c.Write(t.Body); err != nil {
				return err
			}
		}
		received, err := readResponse(r, t.Method, &scan, &resp)
		if err != nil {
			return err
		}
		recordLatency(m.Latency, start)
		m.Requests++
		m.Bytes += received + int64(len(t.Body))
		if resp.Status/100 != 2 {
			m.Non2xx++
		}
		if resp.Close {
			return errClosed
		}
	}
}
