package main

import (
	"fmt"
	"time"
)

func init() { cases["9"] = caseDiscoveryOutage }

// caseDiscoveryOutage: lists are pushed. Discovery is down for 8 s: watches end, calls get 503. One of four storage
// servers begins to drain just after its return. What discovery has counts as told at once.
func caseDiscoveryOutage(t *trial) error {
	const (
		servers     = 4
		dispatchers = 8
		downAt      = 4 * time.Second
		upAt        = 12 * time.Second // an outage of 8 s
		drainAt     = 12200 * time.Millisecond
		loadUntil   = 18 * time.Second
		grace       = 500*time.Millisecond + 50*time.Millisecond // of the settings, and the slack on sockets
	)
	work := func() time.Duration { return 20 * time.Millisecond }
	d, err := newDiscovery(t)
	if err != nil {
		return err
	}
	var all []*storage
	ready := func(i int) entry {
		return entry{ID: all[i].name, Addr: all[i].addr, Zone: "kochi-main", Kind: "box-2c", Cell: i, State: "Ready", Weight: 1}
	}
	for i := range servers {
		s, err := newStorage(t, fmt.Sprintf("s-%d", i), i, 2, work)
		if err != nil {
			return err
		}
		all = append(all, s)
		d.set(ready(i))
	}
	known := d.whole()
	var fleet []*dispatcher
	for i := range dispatchers {
		n, err := t.startDispatcher(i, d.addr, known, kochiSettings(dispatchers, servers))
		if err != nil {
			return err
		}
		fleet = append(fleet, n)
	}
	t.start = time.Now()
	var crowd []*clients
	for _, n := range fleet {
		c := &clients{trial: t, to: n}
		crowd = append(crowd, c)
		for i := range servers {
			c.load(10, 0, loadUntil, func() request {
				return request{
					class: "stock-read", plan: "standard", piece: "7f3a9c21e0b4d655", volume: volumeOf(i), cell: i,
					units: 2, hosts: dispatchers, wait: time.Second,
				}
			})
		}
	}
	if t.trouble {
		t.sleepUntil(downAt)
		d.setDown(true)
	}
	if t.trouble {
		t.sleepUntil(upAt)
		d.setDown(false)
	}
	t.sleepUntil(drainAt)
	draining := ready(1)
	draining.State = "Terminating"
	told := d.set(draining)
	all[1].setDraining()
	for _, c := range crowd {
		c.wg.Wait()
	}
	for _, n := range fleet {
		if n.ended() {
			return fmt.Errorf("%s has ended: %s", n.name, t.log(n.name))
		}
	}
	late := all[1].since(told.Add(grace))
	if len(late) > 0 {
		t.violation("drain: %d commands were sent to a draining storage server after the grace; the last %.3f s after it "+
			"counted as told", len(late), late[len(late)-1].first.Sub(told).Seconds())
	}
	return nil
}
