package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The case "memory": one client sends hundreds of commands at once, again and again, behind a request
// that waits for a silent storage server.
const (
	memoryShards    = 8
	silentShard     = 0
	silentAt        = 2 * time.Second // the server takes requests and answers none from then on
	badClientAt     = 2500 * time.Millisecond
	memoryEnd       = 10 * time.Second
	memoryInterval  = 40 * time.Millisecond // between two requests of usual clients
	memoryMB        = 64
	sampleInterval  = 10 * time.Millisecond
	notedMemoryStep = 8 << 20 // memory is written to the record after each change by so much
	commandsAtOnce  = 500
	maxBursts       = 20000 // bounds what the bad client sends: 10 million commands, 140 MB
)

// playMemory lets one client send commands at full speed and checks that the dispatcher stays within
// its memory.
func playMemory(rec *record, p plan, trouble bool) error {
	p.memoryMB, p.sockets = memoryMB, 512
	p.settings = baseSettings("on_request", memoryShards)
	servers, entries, err := startServers(rec, memoryShards)
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
	stop := make(chan struct{})
	clients.Go(func() {
		ticker := time.NewTicker(memoryInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				clients.Go(func() { askOnce(rec, disp.listen, usualRequest(n, memoryShards)) })
			}
		}
	})
	var badClient error // why the bad client could not play its part; valid once badClientDone is closed
	badClientDone := make(chan struct{})
	if trouble {
		time.AfterFunc(silentAt, func() {
			rec.line("server %s: answers none from now on", servers[silentShard].id)
			servers[silentShard].setSilent(true)
		})
		time.AfterFunc(badClientAt, func() {
			badClient = sendAtFullSpeed(rec, disp.listen)
			close(badClientDone)
		})
	}
	err = watchMemory(rec, disp, start.Add(memoryEnd))
	close(stop)
	clients.Wait()
	if trouble {
		<-badClientDone
		err = errors.Join(err, badClient)
	}
	return errors.Join(err, rec.anyServed())
}

// watchMemory plays the part of the platform that kills a dispatcher which is over its memory limit.
func watchMemory(rec *record, disp *dispatcher, until time.Time) error {
	noted, peak := 0, 0
	for ; time.Now().Before(until); time.Sleep(sampleInterval) {
		memory, err := disp.memory()
		if err != nil { // a process that has ended has no memory to read
			select {
			case <-disp.ended:
				rec.violation("crash: the dispatcher ended by itself: %v", disp.err)
				return nil
			case <-time.After(stopTimeout):
				return err
			}
		}
		peak = max(peak, memory)
		if memory > noted+notedMemoryStep || memory < noted-notedMemoryStep {
			noted = memory
			rec.line("platform: the dispatcher has %d MB of %d MB", memory>>20, memoryMB)
		}
		if memory > memoryMB<<20 {
			rec.violation("crash: the dispatcher has %d MB, its limit is %d MB, so it is killed", memory>>20, memoryMB)
			disp.signal(syscall.SIGKILL)
			<-disp.ended
			return nil
		}
	}
	rec.line("platform: the dispatcher had %d MB at most", peak>>20)
	return nil
}

// sendAtFullSpeed sends a write for the silent server and then hundreds of commands at once, again and
// again. It reads whatever comes. It returns an error if it could not send the write.
func sendAtFullSpeed(rec *record, addr string) error {
	c, err := dialDispatcher(addr)
	if err != nil {
		return fmt.Errorf("the bad client cannot connect: %w", err)
	}
	defer c.close()
	r := &request{
		id: newRequestID(), class: "save", plan: "standard", shard: silentShard, units: 2, body: "body",
		wait: 4 * time.Second,
	}
	rec.line("bad client: sends id=%s class=save shard=%d, then %d times PING at once, again and again",
		r.id, r.shard, commandsAtOnce)
	go func() {
		a, err := readAnswer(c.in)
		rec.line("bad client: first answer %s (%v)", a.text, err)
		buffer := make([]byte, 64<<10)
		for err == nil {
			_, err = c.in.Read(buffer)
		}
	}()
	if _, err := c.conn.Write(r.bytes()); err != nil {
		return fmt.Errorf("the bad client cannot write: %w", err)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(r.wait))
	burst := bytes.Repeat(command("PING"), commandsAtOnce)
	sent := 0
	for ; sent < maxBursts && err == nil; sent++ {
		_, err = c.conn.Write(burst)
	}
	rec.line("bad client: has sent %s commands behind its request", fmt.Sprint(sent*commandsAtOnce))
	return nil
}
