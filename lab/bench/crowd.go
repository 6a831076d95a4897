package bench

import (
	"bufio"
	"chalkstand/internal/http1"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Crowd is many users of one target, each with a connection of their own. A user asks, and asks
// again a pause after the answer; one that comes later than Aim is of no use to them any more.
// They do not hang up on it: thousands of new connections a second would make the crowd, not
// what it presses, the slower of the two. What they want together is Users/Pause a second.
type Crowd struct {
	Target
	Users int
	Pause time.Duration // on average, exponential
	Aim   time.Duration
	Heeds bool // a user who was refused comes back when they were told to, not before
}

// CrowdFigures is what became of a crowd's requests.
type CrowdFigures struct {
	Good, Refused, Late, Broken float64 // a second
	CPU                         float64 // of the target, cores
}

type crowdCounts struct{ good, refused, late, broken atomic.Int64 }

// Press runs a crowd and counts for d, after a time to get going in which the users
// arrive.
func (c *Crowd) Press(warm, d time.Duration) CrowdFigures {
	var n crowdCounts
	var wg sync.WaitGroup
	end := time.Now().Add(warm + d)
	for i := range c.Users {
		wg.Go(func() {
			u := user{c: c, n: &n, rng: rand.New(rand.NewPCG(1, uint64(i)))}
			defer u.leave()
			time.Sleep(time.Duration(u.rng.Float64() * float64(warm) / 2))
			for time.Now().Before(end) {
				time.Sleep(min(u.once(), time.Until(end)))
			}
		})
	}
	time.Sleep(time.Until(end.Add(-d)))
	read := func() [4]int64 {
		return [4]int64{n.good.Load(), n.refused.Load(), n.late.Load(), n.broken.Load()}
	}
	from, cpu, at := read(), cpuOf(c.Peer.PID), time.Now()
	time.Sleep(time.Until(end))
	to, took := read(), time.Since(at).Seconds()
	f := CrowdFigures{CPU: (cpuOf(c.Peer.PID) - cpu).Seconds() / took}
	for i, x := range []*float64{&f.Good, &f.Refused, &f.Late, &f.Broken} {
		*x = float64(to[i]-from[i]) / took
	}
	wg.Wait()
	return f
}

// user is one of a crowd.
type user struct {
	c    *Crowd
	n    *crowdCounts
	rng  *rand.Rand
	conn net.Conn
	r    *bufio.Reader
	scan http1.Head
	resp http1.Response
}

func (u *user) leave() {
	if u.conn != nil {
		u.conn.Close()
		u.conn = nil
	}
}

// once asks once and returns for how long to pause.
func (u *user) once() time.Duration {
	pause := time.Duration(u.rng.ExpFloat64() * float64(u.c.Pause))
	at := time.Now()
	err := u.ask()
	switch {
	case err != nil:
		u.n.broken.Add(1)
	case u.resp.Status == 503:
		u.n.refused.Add(1)
		if ms, err := strconv.Atoi(string(u.resp.Headers.Get("x-chalkstand-retry-after-ms"))); err == nil && u.c.Heeds {
			pause = max(pause, time.Duration(ms)*time.Millisecond)
		}
	case u.resp.Status/100 == 2 && time.Since(at) > u.c.Aim:
		u.n.late.Add(1)
	case u.resp.Status/100 == 2:
		u.n.good.Add(1)
	default:
		u.n.broken.Add(1)
	}
	if err != nil || u.resp.Close {
		u.leave()
	}
	return pause
}

// hangUp is when even these users do.
const hangUp = 30 * time.Second

func (u *user) ask() error {
	if u.conn == nil {
		c, err := net.DialTimeout("tcp", u.c.Peer.Addr, hangUp)
		if err != nil {
			return err
		}
		u.conn, u.r = c, bufio.NewReaderSize(c, 1<<10)
	}
	u.conn.SetDeadline(time.Now().Add(hangUp))
	if _, err := u.conn.Write(u.c.Text); err != nil {
		return err
	}
	if err := readHead(u.r, u.c.Method, &u.scan, &u.resp); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, u.r, u.resp.Length)
	return err
}
