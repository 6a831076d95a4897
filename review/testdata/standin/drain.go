package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The case "drain": a deployment whose lists are pushed replaces one of its storage servers.
const (
	drainShards   = 8
	drainAt       = 3 * time.Second  // the old server is listed as Terminating, its replacement as Ready
	goneAt        = 12 * time.Second // the old server is listed as Gone
	drainEnd      = 16 * time.Second // end of the traffic
	drainInterval = 40 * time.Millisecond
	replacedShard = 2
	graceMS       = 1000.0 // the grace in the settings

	// A change counts as told at the latest this long after discovery had it. In a deployment whose
	// lists are pushed it counts at once, so this is the longest excuse that the pages give.
	toldAtTheLatest = 6 * time.Second
	// The grace, the 50 ms that every limit is longer on sockets, and the 0.15 s that a dispatcher may
	// be held up.
	drainGrace = graceMS*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
)

// listsVariable names the environment variable that says how lists come, for a comparison by hand.
const listsVariable = "LISTS"

// playDrain replaces the server of one shard under steady traffic and checks that the old one gets
// nothing new once the grace is over.
func playDrain(rec *record, p plan, trouble bool) error {
	lists := os.Getenv(listsVariable)
	if lists == "" {
		lists = "pushed"
	}
	p.memoryMB, p.sockets = 128, 512
	p.settings = baseSettings(lists, drainShards)
	p.settings["rules"].(map[string]any)["drain_grace_ms"] = graceMS
	servers, entries, err := startServers(rec, drainShards)
	if err != nil {
		return err
	}
	replacement, err := startStorageServer(rec, "s2-new", replacedShard, 1<<10, 10*time.Millisecond)
	if err != nil {
		return err
	}
	disc, err := startDiscovery(rec, entries)
	if err != nil {
		return err
	}
	p.known = disc.list()
	disp, err := startDispatcher(rec, p, disc.addr())
	if err != nil {
		return err
	}
	defer disp.kill()

	start := time.Now()
	var clients sync.WaitGroup
	for n := 0; time.Since(start) < drainEnd; n++ {
		if trouble {
			playReplacement(rec, disc, entries[replacedShard], replacement, time.Since(start))
		}
		clients.Go(func() { askOnce(rec, disp.listen, usualRequest(n, drainShards)) })
		time.Sleep(drainInterval)
	}
	clients.Wait()
	if disp.hasEnded() {
		return fmt.Errorf("the dispatcher ended: %w", disp.err)
	}
	rec.line("discovery: %d watches were opened", disc.watchCount())
	rec.line("server %s: %d commands, server %s: %d commands", servers[replacedShard].id,
		len(servers[replacedShard].commands()), replacement.id, len(replacement.commands()))
	if len(servers[replacedShard].commands()) == 0 {
		return fmt.Errorf("server %s got nothing, so nothing can be told", servers[replacedShard].id)
	}
	if trouble {
		judgeDrain(rec, servers[replacedShard], disc.firstChange())
	}
	return rec.anyServed()
}

// startServers starts a storage server for each shard and returns them with their entries in
// discovery's list.
func startServers(rec *record, shards int) ([]*storageServer, []entry, error) {
	var servers []*storageServer
	var entries []entry
	for shard := range shards {
		s, err := startStorageServer(rec, fmt.Sprintf("s%d", shard), shard, 1<<10, 10*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		entries = append(entries, entry{
			ID: s.id, Addr: s.addr(), Zone: "dc1", Kind: "node-2c", Cell: shard, State: "Ready", Weight: 1,
		})
	}
	return servers, entries, nil
}

// playReplacement lists the replacement of a server when it is time.
func playReplacement(rec *record, disc *discovery, old entry, replacement *storageServer, at time.Duration) {
	version := disc.list().Version
	switch {
	case version == 1 && at >= drainAt:
		successor := old
		successor.ID, successor.Addr = replacement.id, replacement.addr()
		successor.Started = time.Now().UnixMilli()
		old.State = "Terminating"
		disc.set(old, successor)
	case version == 2 && at >= goneAt:
		old.State = "Gone"
		disc.set(old)
	}
}

// usualRequest returns the n-th request of the usual clients. The requests go round the shards. One
// round reads, and the next one writes.
func usualRequest(n, shards int) *request {
	r := &request{
		id: newRequestID(), class: "read", plan: "standard", shard: n % shards,
		units: 2, volume: n % 8, wait: 1500 * time.Millisecond,
	}
	if n/shards%2 == 1 {
		r.class, r.body, r.wait = "save", "body of "+r.id, 4*time.Second
	}
	return r
}

// askOnce sends one request of a usual client on a connection of its own.
func askOnce(rec *record, addr string, r *request) {
	c, err := dialDispatcher(addr)
	if err != nil {
		rec.line("client: id=%s not sent: %v", r.id, err)
		return
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(r.wait + time.Second))
	rec.line("client: sends id=%s class=%s shard=%d", r.id, r.class, r.shard)
	a, err := c.ask(r)
	if err != nil {
		rec.line("client: id=%s no answer: %v", r.id, err)
		return
	}
	rec.line("client: id=%s answer %s %.60s", r.id, a.text, a.value)
	if a.served {
		rec.noteServed()
	}
}

// judgeDrain checks that a server got nothing new after the change counts as told and the grace is
// over.
func judgeDrain(rec *record, s *storageServer, changed time.Time) {
	limit := changed.Add(toldAtTheLatest + drainGrace)
	rec.lineAt(limit, "rule: from now on server %s has to get nothing new", s.id)
	for _, c := range s.commands() {
		if c.at.After(limit) {
			rec.violation("drain: server %s got %s id=%s %.3f s after discovery told that it drains",
				s.id, c.name, c.request, c.at.Sub(changed).Seconds())
		}
	}
}
