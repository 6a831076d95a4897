package faultinjection

import (
	"bufio"
	"bytes"
	"chalkstand/lab/invariants"
	"chalkstand/lab/sigv4client"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// wish is what a client wants done.
type wish struct {
	tag    string
	method string
	path   string
	rng    string // a range
	body   []byte
	class  int
	key    string
	leave  time.Duration // goes away after this; 0: stays
	check  func(status int, body []byte) string
}

// pool keeps connections to one gateway's life.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*wire
}

type wire struct {
	c  net.Conn
	r  *bufio.Reader
	of *invariants.Request // whose answer came last
}

const maxIdle = 64

// take returns a connection, an unused one where that is quiet.
func (p *pool) take(late func(*invariants.Request)) (*wire, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		w.c.SetReadDeadline(time.Now().Add(time.Microsecond))
		_, err := w.r.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.c.SetReadDeadline(time.Time{})
			return w, nil
		}
		if err == nil && w.of != nil { // a word that nobody asked for
			late(w.of)
		}
		w.c.Close()
	}
	c, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &wire{c: c, r: bufio.NewReader(c)}, nil
}

func (p *pool) give(w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		w.c.Close()
		return
	}
	p.idle = append(p.idle, w)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.idle {
		w.c.Close()
	}
	p.idle = nil
}

const keyID, secret = "BADDAY", "bad-day-secret"

// request writes a signed request.
func (w wish) request(addr string) ([]byte, error) {
	r, err := http.NewRequest(w.method, "http://"+addr+w.path, bytes.NewReader(w.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("x-amz-meta-tag", w.tag)
	if w.rng != "" {
		r.Header.Set("Range", w.rng)
	}
	sigv4client.Request(r, keyID, secret, time.Now())
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// ask sends a wish once and logs what came of it. It returns the time to come back
// after a refusal.
func (w wish) ask(p *pool, log *invariants.Request, since func() time.Duration, patience time.Duration, late func(*invariants.Request)) (again time.Duration) {
	defer func() { log.Ended = since() }()
	text, err := w.request(p.addr)
	if err != nil {
		log.Wrong = err.Error()
		return 0
	}
	c, err := p.take(late)
	if err != nil {
		log.Left = true // never taken: nobody listened
		return 0
	}
	log.Sent = since()
	wait := patience
	if w.leave > 0 {
		wait = min(wait, w.leave)
	}
	c.c.SetDeadline(time.Now().Add(wait))
	if _, err := c.c.Write(text); err != nil {
		log.Left = errors.Is(err, os.ErrDeadlineExceeded) && w.leave > 0
		if !log.Left { // an early answer may be there all the same
			return w.read(c, p, log)
		}
		c.c.Close()
		return 0
	}
	return w.read(c, p, log)
}

func (w wish) read(c *wire, p *pool, log *invariants.Request) time.Duration {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: w.method})
	if err != nil {
		log.Left = errors.Is(err, os.ErrDeadlineExceeded) && w.leave > 0
		c.c.Close()
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	log.Answers, log.Status = 1, resp.StatusCode
	if err != nil {
		log.Cut = true
		log.Left = errors.Is(err, os.ErrDeadlineExceeded)
		c.c.Close()
		return 0
	}
	ms, _ := strconv.Atoi(resp.Header.Get("x-chalkstand-retry-after-ms"))
	log.After = resp.Header.Get("Retry-After") != ""
	if w.check != nil {
		log.Wrong = w.check(resp.StatusCode, body)
	}
	if c.r.Buffered() > 0 {
		log.Answers++
		c.c.Close()
		return 0
	}
	c.c.SetDeadline(time.Time{})
	c.of = log
	if resp.Close {
		c.c.Close()
	} else {
		p.give(c)
	}
	if resp.StatusCode == 503 {
		return time.Duration(max(ms, 1)) * time.Millisecond
	}
	return 0
}

// content makes an object's bytes out of the tag of the write that made it.
func content(tag string, n int) []byte {
	b := make([]byte, 0, n+len(tag)+1)
	b = append(append(b, tag...), '\n')
	for i := 0; len(b) < n; i++ {
		b = strconv.AppendInt(append(b, tag[i%len(tag)]), int64(i*7919%1000), 10)
	}
	return b[:max(n, len(tag)+1)]
}

// wholeContent tells what is wrong with an object that must be one write's.
func wholeContent(status int, body []byte) string {
	if status != 200 {
		return ""
	}
	tag, _, ok := bytes.Cut(body, []byte("\n"))
	if !ok || !bytes.Equal(body, content(string(tag), len(body))) {
		return fmt.Sprintf("%d bytes that no write has made", len(body))
	}
	return ""
}
