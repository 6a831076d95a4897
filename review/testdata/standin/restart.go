package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "restart": a planned restart while some clients write slowly.
const (
	restartShards  = 4
	slowClients    = 12
	slowPieces     = 8
	slowBodyLength = 8 << 10
	slowWriteTime  = time.Second            // time from the first byte of a command to its last
	slowStagger    = 30 * time.Millisecond  // time between the starts of two clients
	signalAt       = 400 * time.Millisecond // time from the start of the first client to the signal
	saveWait       = 4 * time.Second
	lateAnswer     = 500 * time.Millisecond // an answer that is later than this after its time is lost
	// What a dispatcher has to answer after SIGTERM: the longest deadline, 3 s at most, and 0.7 s.
	killAfter = 3700 * time.Millisecond
)

// outcome is what became of the request of a slow client.
type outcome struct {
	request  *request
	begun    time.Time // the first piece was written
	written  time.Time // the last byte was written; zero if a write failed
	answered time.Time
	answer   answer
	err      error
}

// playRestart sends SIGTERM while clients are in the middle of a command, and checks that each command
// that was written whole gets its final answer.
func playRestart(rec *record, p plan, trouble bool) error {
	p.memoryMB, p.sockets = 128, 512
	p.settings = baseSettings("on_request", restartShards)
	_, entries, err := startServers(rec, restartShards)
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
	time.Sleep(time.Second) // the first second of a dispatcher is left to its start

	outcomes := make([]outcome, slowClients)
	var clients sync.WaitGroup
	for i := range outcomes {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * slowStagger)
			outcomes[i] = writeSlowly(rec, disp.listen, i)
		})
	}
	time.Sleep(signalAt) // all clients have begun their commands by then
	signaled := time.Now()
	if trouble {
		disp.signal(syscall.SIGTERM)
	}
	clients.Wait()
	if trouble {
		time.Sleep(time.Until(signaled.Add(killAfter)))
		disp.signal(syscall.SIGKILL)
	}
	return judgeAnswers(rec, outcomes)
}

// writeSlowly sends a write in pieces and reads its answer.
func writeSlowly(rec *record, addr string, n int) (o outcome) {
	r := &request{
		id: newRequestID(), class: "save", plan: "standard", shard: n % restartShards, units: 2, volume: n,
		body: strings.Repeat("x", slowBodyLength), wait: saveWait,
	}
	o.request = r
	c, err := dialDispatcher(addr)
	if err != nil {
		o.err = err
		return o
	}
	defer c.close()
	b := r.bytes()
	size := (len(b) + slowPieces - 1) / slowPieces
	for at := 0; at < len(b); at += size {
		if at > 0 {
			time.Sleep(slowWriteTime / (slowPieces - 1))
		}
		if _, o.err = c.conn.Write(b[at:min(at+size, len(b))]); o.err != nil {
			rec.line("client: id=%s write failed after %d of %d bytes: %v", r.id, at, len(b), o.err)
			return o
		}
		if at == 0 {
			o.begun = time.Now()
			rec.line("client: begins id=%s class=save shard=%d, %d bytes", r.id, r.shard, len(b))
		}
	}
	o.written = time.Now()
	rec.line("client: id=%s written whole", r.id)
	_ = c.conn.SetReadDeadline(o.written.Add(saveWait + lateAnswer))
	o.answer, o.err = readAnswer(c.in)
	o.answered = time.Now()
	if o.err != nil {
		rec.line("client: id=%s no answer: %v", r.id, o.err)
		return o
	}
	rec.line("client: id=%s answer %s %.60s", r.id, o.answer.text, o.answer.value)
	return o
}

// judgeAnswers checks that each request that was written whole has a final answer.
func judgeAnswers(rec *record, outcomes []outcome) error {
	written := 0
	for _, o := range outcomes {
		if o.written.IsZero() {
			continue // the dispatcher has not taken it
		}
		written++
		if o.err == nil {
			continue
		}
		how := o.err.Error()
		if errors.Is(o.err, io.EOF) {
			how = "the dispatcher ended the connection"
		}
		rec.violation("lost: id=%s was begun at %s and written whole at %s, and got no answer: %s",
			o.request.id, strings.TrimSpace(rec.since(o.begun)), strings.TrimSpace(rec.since(o.written)), how)
	}
	if written == 0 {
		return fmt.Errorf("no request was written whole")
	}
	rec.line("%d requests were written whole", written)
	return nil
}
