// Package bench measures servers under load. It compares a gateway with the reverse proxy of net/http/httputil in
// front of the same fake node, measures the shares that two volumes get of a gateway, and measures a gateway under
// overload. Each server runs as a process of its own.
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

// errClosed reports that the server closed a connection on which the load had more requests to send.
var errClosed = errors.New("the server closed a connection before the end of the load")

// Server identifies a server under test.
type Server struct {
	Name string
	Addr string
	PID  int // process ID; if 0, processor time and memory are not measured
}

// Target is an encoded request and the server that receives it.
type Target struct {
	Server Server
	Method string
	Head   []byte // request line and headers, with the empty line after them
	Body   []byte
}

// Measurement holds the results of a load on one target.
type Measurement struct {
	Name       string
	Requests   int
	Non2xx     int // number of responses with a status other than 2xx
	Elapsed    time.Duration
	Bytes      int64                   // total size of the bodies
	Latency    *hdrhistogram.Histogram // latency in microseconds
	CPU        time.Duration           // processor time that the server used during the measurement
	PeakMemory int64                   // peak resident memory of the server since its start, in bytes
}

// RequestsPerSecond returns the number of requests per second.
func (m Measurement) RequestsPerSecond() float64 { return float64(m.Requests) / m.Elapsed.Seconds() }

// MiBPerSecond returns the transfer rate of the bodies in MiB per second.
func (m Measurement) MiBPerSecond() float64 {
	return float64(m.Bytes) / (1 << 20) / m.Elapsed.Seconds()
}

// CPUPerRequest returns the server's mean processor time per request.
func (m Measurement) CPUPerRequest() time.Duration { return m.CPU / time.Duration(max(m.Requests, 1)) }

// LatencyPercentile returns a percentile of the latency.
func (m Measurement) LatencyPercentile(percent float64) time.Duration {
	return time.Duration(m.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Median returns the measurement with the median number of requests per second.
func Median(ms []Measurement) Measurement {
	sorted := slices.Clone(ms)
	slices.SortFunc(sorted, func(a, b Measurement) int { return cmp.Compare(a.RequestsPerSecond(), b.RequestsPerSecond()) })
	return sorted[len(sorted)/2]
}

// newHistogram returns a histogram of latencies from 1 µs to 1 min with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// recordLatency adds the time since start to the histogram.
func recordLatency(h *hdrhistogram.Histogram, start time.Time) {
	_ = h.RecordValue(time.Since(start).Microseconds()) // fails only above a minute, and no run takes that long
}

// closeConn closes a connection of a load. It ignores the error, because the load has already counted the results.
func closeConn(c net.Conn) { _ = c.Close() }

// Run sends the target's request repeatedly for the duration d and measures the server. It uses conns connections,
// each in a closed loop.
func Run(ctx context.Context, t Target, conns int, d time.Duration) (Measurement, error) {
	total := Measurement{Name: t.Server.Name, Latency: newHistogram()}
	cpu := cpuTime(t.Server.PID)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs error
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
			errs = errors.Join(errs, err)
		})
	}
	wg.Wait()
	total.Elapsed = time.Since(start)
	total.CPU = cpuTime(t.Server.PID) - cpu
	total.PeakMemory = PeakMemory(t.Server.PID)
	return total, errs
}

// runConn runs the closed loop of one connection until end and adds its results to m.
func runConn(ctx context.Context, t Target, end time.Time, m *Measurement) error {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", t.Server.Addr)
	if err != nil {
		return err
	}
	defer closeConn(c)
	r := bufio.NewReaderSize(c, 64<<10)
	var parser http1.HeadParser
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
		received, err := readResponse(r, t.Method, &parser, &resp)
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
