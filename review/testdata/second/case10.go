package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

func init() { cases["10"] = caseSteppedClock }

// caseSteppedClock: a storage server dies and comes back cold. The wall clock of its machine was stepped back by an
// hour before it started again, so the list names a start that is an hour old. All dispatchers together must not push
// it over.
func caseSteppedClock(t *trial) error {
	const (
		servers     = 4
		dispatchers = 30
		crashAt     = 8 * time.Second
		returnAt    = 11 * time.Second
		toldAt      = 11200 * time.Millisecond
		loadUntil   = 20 * time.Second
		step        = time.Hour
		cores       = 2
		fullWork    = 47 * time.Millisecond // of a mean request, on a warm core
		coldFrom    = 0.10
		warmUp      = 18 * time.Second
		factor      = 2.5
		window      = time.Second
		youngUnits  = 13.0
		units       = 2
		usual       = 27.0 // requests a second for each server: 0.63 of its full capacity
		surge       = 26.0 // requests a second more for the server that returns: 0.61 of its full capacity
		surgeFrom   = 9 * time.Second
	)
	d, err := newDiscovery(t)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var returned time.Time // when the server came back; zero before
	capacity := func(at time.Time) float64 {
		mu.Lock()
		defer mu.Unlock()
		if returned.IsZero() {
			return 1
		}
		return min(1, coldFrom+(1-coldFrom)*max(0, at.Sub(returned).Seconds())/warmUp.Seconds())
	}
	var all []*storage
	for i := range servers {
		work := func() time.Duration { return fullWork }
		if i == 0 {
			work = func() time.Duration { return time.Duration(float64(fullWork) / capacity(time.Now())) }
		}
		s, err := newStorage(t, fmt.Sprintf("s-%d", i), i, cores, work)
		if err != nil {
			return err
		}
		all = append(all, s)
		d.set(entry{ID: s.name, Addr: s.addr, Zone: "casa-room-1", Kind: "node-std", Cell: i, State: "Ready", Weight: 1})
	}
	settings := casaSettings(dispatchers, servers)
	settings["rules"].(map[string]any)["cold_from"] = coldFrom
	settings["family_info"].(map[string]any)["young_limit"] = youngUnits
	known := d.whole()
	started := make(chan error, dispatchers)
	fleet := make([]*dispatcher, dispatchers)
	for i := range dispatchers {
		go func() {
			var err error
			fleet[i], err = t.startDispatcher(i, d.addr, known, settings)
			started <- err
		}()
	}
	for range dispatchers {
		if err := <-started; err != nil {
			return err
		}
	}
	t.start = time.Now()
	var crowd []*clients
	for _, n := range fleet {
		c := &clients{trial: t, to: n, retries: true}
		crowd = append(crowd, c)
		for i := range servers {
			next := func() request {
				return request{
					class: "photo-read", plan: "standard", piece: "7f3a9c21e0b4d655", volume: volumeOf(i), cell: i,
					units: units, hosts: dispatchers, wait: 1500 * time.Millisecond,
				}
			}
			c.load(usual/dispatchers, 0, loadUntil, next)
			if i == 0 {
				c.load(surge/dispatchers, surgeFrom, loadUntil, next)
			}
		}
	}
	// The fall: more than N + 2 x root of N + 2 requests within the window (N + 3 x root of N + 3 for an N under 30).
	cold := all[0]
	allowed := func(at time.Time) float64 {
		n := factor * capacity(at) * cores / fullWork.Seconds() * window.Seconds()
		n = max(n, youngUnits/units)
		if n < 30 {
			return n + 3*math.Sqrt(n) + 3
		}
		return n + 2*math.Sqrt(n) + 2
	}
	gone := entry{ID: cold.name, Addr: cold.addr, Zone: "casa-room-1", Kind: "node-std", Cell: 0, State: "Gone", Weight: 1}
	t.sleepUntil(crashAt)
	t.note("s-0 dies")
	cold.crash()
	d.set(gone)
	t.sleepUntil(returnAt)
	if err := cold.listen(); err != nil {
		return err
	}
	mu.Lock()
	returned = time.Now()
	mu.Unlock()
	wall := time.Now()
	if t.trouble {
		wall = wall.Add(-step)
	}
	t.note("s-0 is back, cold; by its machine's clock it started at %d", wall.UnixMilli())
	t.sleepUntil(toldAt)
	back := gone
	back.State, back.StartedMS = "Ready", float64(wall.UnixMilli())
	told := d.set(back)
	for _, c := range crowd {
		c.wg.Wait()
	}
	for _, n := range fleet {
		if n.ended() {
			return fmt.Errorf("%s has ended: %s", n.name, t.log(n.name))
		}
	}
	arrivals := cold.since(returned)
	most, limit, over := 0, 0.0, 0
	for i := range arrivals {
		from, count := i, 0
		for ; from >= 0 && arrivals[i].at.Sub(arrivals[from].at) < window; from-- {
			if arrivals[from].at.After(told) {
				count++
			}
		}
		if count > most {
			most, limit = count, allowed(arrivals[i].at)
		}
		if bound := allowed(arrivals[i].at); float64(count) > bound {
			over++
			if over == 1 {
				t.violation("failback: %d requests reached the cold server within 1 s, %.2f s after its return, where it falls "+
					"over at more than %.1f; all came from dispatchers that had been told of its start",
					count, arrivals[i].at.Sub(returned).Seconds(), bound)
			}
		}
	}
	t.note("most requests within 1 s: %d, with a bound of %.1f then; above the bound at %d of %d arrivals", most, limit, over,
		len(arrivals))
	return nil
}
