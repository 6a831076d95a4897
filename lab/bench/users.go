package bench

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chalkstand/internal/http1"
)

// Users is a closed-loop load with think time. Each user has a connection of its own, sends a request, waits for
// the response, and pauses before the next request. Together the users offer Count/ThinkTime requests per second. A
// response that arrives after the latency objective counts as late. Users don't cancel late requests, because they
// would then open thousands of new connections per second, which would cost more than the overload to be measured.
type Users struct {
	Target
	Count            int
	ThinkTime        time.Duration // mean of the exponentially distributed pauses
	LatencyObjective time.Duration
	HonorRetryAfter  bool // whether a rejected user waits at least for the Retry-After of the response
}

// UserRates holds the number of requests per second for each outcome, and the processor time of the server.
type UserRates struct {
	InTime   float64
	Rejected float64
	Late     float64
	Failed   float64
	CPU      float64 // processor time of the server per second of the measurement, in cores
}

// userCounts counts the requests of all users by outcome.
type userCounts struct{ inTime, rejected, late, failed atomic.Int64 }

// read returns the counts in the order of the struct's fields.
func (c *userCounts) read() [4]int64 {
	return [4]int64{c.inTime.Load(), c.rejected.Load(), c.late.Load(), c.failed.Load()}
}

// Run runs the users. They start during the warm-up. After the warm-up, Run measures the rates for the duration d.
func (u *Users) Run(ctx context.Context, warmUp, d time.Duration) UserRates {
	var counts userCounts
	var wg sync.WaitGroup
	end := time.Now().Add(warmUp + d)
	for i := range u.Count {
		wg.Go(func() {
			simulated := user{load: u, counts: &counts, rng: rand.New(rand.NewPCG(1, uint64(i)))}
			defer simulated.disconnect()
			time.Sleep(time.Duration(simulated.rng.Float64() * float64(warmUp) / 2))
			for time.Now().Before(end) {
				time.Sleep(min(simulated.request(ctx), time.Until(end)))
			}
		})
	}
	time.Sleep(time.Until(end.Add(-d)))
	before, cpu, start := counts.read(), cpuTime(u.Server.PID), time.Now()
	time.Sleep(time.Until(end))
	after, seconds := counts.read(), time.Since(start).Seconds()
	rates := UserRates{CPU: (cpuTime(u.Server.PID) - cpu).Seconds() / seconds}
	for i, rate := range []*float64{&rates.InTime, &rates.Rejected, &rates.Late, &rates.Failed} {
		*rate = float64(after[i]-before[i]) / seconds
	}
	wg.Wait()
	return rates
}

// user is one simulated user and its connection.
type user struct {
	load   *Users
	counts *userCounts
	rng    *rand.Rand
	conn   net.Conn // nil while the user is not connected
	reader *bufio.Reader
	parser http1.HeadParser
	resp   http1.Response
}

func (u *user) disconnect() {
	if u.conn != nil {
		closeConn(u.conn)
		u.conn = nil
	}
}

// request sends one request, counts its outcome, and returns the pause before the next request.
func (u *user) request(ctx context.Context) time.Duration {
	pause := time.Duration(u.rng.ExpFloat64() * float64(u.load.ThinkTime))
	start := time.Now()
	err := u.exchange(ctx)
	switch {
	case err != nil:
		u.counts.failed.Add(1)
	case u.resp.Status == http.StatusServiceUnavailable:
		u.counts.rejected.Add(1)
		if u.load.HonorRetryAfter {
			pause = max(pause, u.retryAfter())
		}
	case u.resp.Status/100 == 2 && time.Since(start) > u.load.LatencyObjective:
		u.counts.late.Add(1)
	case u.resp.Status/100 == 2:
		u.counts.inTime.Add(1)
	default:
		u.counts.failed.Add(1)
	}
	if err != nil || u.resp.Close {
		u.disconnect()
	}
	return pause
}

// retryAfter returns the Retry-After of the last response, or 0 if the response has none.
func (u *user) retryAfter() time.Duration {
	ms, err := strconv.Atoi(string(u.resp.Headers.Get("x-chalkstand-retry-after-ms")))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// userTimeout is the time after which a user gives up on a connection attempt or a request.
const userTimeout = 30 * time.Second

// exchange sends a request and reads its response. It opens a connection first if the user has none.
func (u *user) exchange(ctx context.Context) error {
	if u.conn == nil {
		dialer := net.Dialer{Timeout: userTimeout}
		c, err := dialer.DialContext(ctx, "tcp", u.load.Server.Addr)
		if err != nil {
			return err
		}
		u.conn = c
		u.reader = bufio.NewReaderSize(c, 1<<10)
	}
	if err := u.conn.SetDeadline(time.Now().Add(userTimeout)); err != nil {
		return err
	}
	if _, err := u.conn.Write(u.load.Head); err != nil {
		return err
	}
	if err := readHead(u.reader, u.load.Method, &u.parser, &u.resp); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, u.reader, u.resp.Length)
	return err
}
