package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one request of a client.
type request struct {
	class  string
	plan   string
	write  bool
	piece  string
	id     string
	volume string
	cell   int
	units  int
	hosts  int
	wait   time.Duration
	body   string
}

func (r *request) text() string {
	words := []string{"OBJ.GET", r.piece, r.id, ""}
	list := fmt.Sprintf("c=%s,t=%s,d=%d", r.class, r.plan, r.wait.Milliseconds())
	if r.write {
		words[0] = "OBJ.PUT"
		list += fmt.Sprintf(",k=%016x", rand.Uint64())
		words = append(words, r.body)
	}
	words[3] = list + fmt.Sprintf(",volume=%s,units=%d,shard=%d,hosts=%d", r.volume, r.units, r.cell, r.hosts)
	return command(words...)
}

// clients are the clients of one dispatcher. They keep their connections and open more when every one is busy.
type clients struct {
	trial *trial
	to    *dispatcher
	// retries makes each client send a refused request once more, under a new id, after the time that the refusal names.
	retries bool

	mu   sync.Mutex
	idle []*clientConn
	wg   sync.WaitGroup
}

// send sends a request and returns its answer. A request whose connection the dispatcher closed unread goes once
// more, on a new connection.
func (c *clients) send(r request) (reply, error) {
	r.id = fmt.Sprintf("%016x", rand.Uint64())
	c.mu.Lock()
	var conn *clientConn
	if n := len(c.idle); n > 0 {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	c.mu.Unlock()
	begun := time.Now()
	c.trial.noteAt(begun, "client of %s sends %s class %s piece %s cell %d d=%d", c.to.name, r.id, r.class, r.piece, r.cell,
		r.wait.Milliseconds())
	text := r.text()
	var answer reply
	var err error
	if conn != nil {
		answer, err = conn.call(text, r.wait+time.Second)
	}
	if conn == nil || err != nil && time.Since(begun) < r.wait {
		if conn != nil {
			conn.close()
		}
		if conn, err = dialClient(c.to.listen); err != nil {
			return reply{}, err
		}
		answer, err = conn.call(text, r.wait+time.Second)
	}
	if err != nil {
		conn.close()
		c.trial.note("client of %s: %s: %v", c.to.name, r.id, err)
		return answer, err
	}
	shown := answer.text
	if answer.served {
		shown = "value " + strings.SplitN(answer.value, "/", 2)[0]
	}
	c.trial.note("client of %s: %s answered after %d ms: %s", c.to.name, r.id, time.Since(begun).Milliseconds(), shown)
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return answer, nil
}

// load sends requests at a mean rate, at random times, between the given times since the start of the trial.
func (c *clients) load(rate float64, from, until time.Duration, next func() request) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		end := c.trial.start.Add(until)
		c.trial.sleepUntil(from)
		for {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			if time.Now().After(end) {
				return
			}
			r := next()
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				answer, err := c.send(r)
				if rest, busy := strings.CutPrefix(answer.text, "-BUSY"); err == nil && busy && c.retries {
					ms, _ := strconv.Atoi(strings.TrimSpace(rest))
					time.Sleep(time.Duration(ms) * time.Millisecond)
					_, _ = c.send(r)
				}
			}()
		}
	}()
}
