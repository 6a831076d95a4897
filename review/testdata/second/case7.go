package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

func init() { cases["7"] = caseReplacedServer }

// caseReplacedServer: one of four storage servers takes requests and answers none for a second. Meanwhile the
// platform has started it anew: from then on the list has another address and start time under its id, and its old
// address no longer. The old process comes to, answers what it holds, and must get nothing new.
func caseReplacedServer(t *trial) error {
	const (
		servers   = 4
		hangAt    = 4 * time.Second
		replaceAt = 4500 * time.Millisecond
		wakeAt    = 5 * time.Second
		loadUntil = 15 * time.Second
		grace     = 250*time.Millisecond + 50*time.Millisecond // of the settings, and the slack on sockets
	)
	work := func() time.Duration { return 40 * time.Millisecond }
	d, err := newDiscovery(t)
	if err != nil {
		return err
	}
	var all []*storage
	for i := range servers {
		s, err := newStorage(t, fmt.Sprintf("s-%d(first)", i), i, 2, work)
		if err != nil {
			return err
		}
		all = append(all, s)
		d.set(entry{ID: fmt.Sprintf("s-%d", i), Addr: s.addr, Zone: "casa-room-1", Kind: "node-std", Cell: i, State: "Ready", Weight: 1})
	}
	n, err := t.startDispatcher(0, d.addr, d.whole(), casaSettings(1, servers))
	if err != nil {
		return err
	}
	t.start = time.Now()
	c := &clients{trial: t, to: n}
	for i := range servers {
		c.load(24, 0, loadUntil, func() request {
			r := request{
				class: "photo-read", plan: "standard", piece: fmt.Sprintf("%016x", 16*i+rand.IntN(8)), volume: volumeOf(i),
				cell: i, units: 2, hosts: 1, wait: 1500 * time.Millisecond,
			}
			if rand.IntN(100) < 35 {
				r.class, r.write, r.body, r.wait = "photo-write", true, fmt.Sprint(time.Now().UnixMilli()), 4*time.Second
			}
			return r
		})
	}
	old := all[0]
	var told time.Time
	if t.trouble {
		t.sleepUntil(hangAt)
		t.note("s-0(first) answers nothing from now on")
		old.setHeld(true)
		second, err := newStorage(t, "s-0(second)", 0, 2, work)
		if err != nil {
			return err
		}
		t.sleepUntil(replaceAt)
		told = d.set(entry{
			ID: "s-0", Addr: second.addr, Zone: "casa-room-1", Kind: "node-std", Cell: 0, State: "Ready", Weight: 1,
			StartedMS: float64(time.Now().UnixMilli()),
		})
		t.sleepUntil(wakeAt)
		t.note("s-0(first) answers again")
		old.setHeld(false)
	}
	c.wg.Wait()
	if n.ended() {
		return fmt.Errorf("the dispatcher has ended: %s", t.log(n.name))
	}
	if !t.trouble {
		return nil
	}
	late := old.since(told.Add(grace))
	writes := 0
	for _, a := range late {
		if strings.EqualFold(a.words[0], "OBJ.PUT") {
			writes++
		}
	}
	if len(late) > 0 {
		t.violation("drain: %d commands, %d of them writes, were sent to the process that the list no longer has; "+
			"the last %.3f s after the dispatcher was told", len(late), writes, late[len(late)-1].first.Sub(told).Seconds())
	}
	return nil
}
