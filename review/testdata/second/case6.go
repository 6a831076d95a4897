package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkstand/lab/sigv4client"
)

func init() { cases["6"] = caseSecondCopy }

// copyingNode is a stand-in for a storage node of `serve`. Each object holds its own name. Some answers are followed by
// a second copy, if nothing else waits on the connection by then.
type copyingNode struct {
	trial  *trial
	name   string
	share  float64 // share of the answers that are followed by a second copy
	copies atomic.Int64
}

const (
	nodeWork = 2 * time.Millisecond
	copyLate = 4 * time.Millisecond // the longest time between an answer and its second copy
)

func (n *copyingNode) start() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return ln.Addr().String(), nil
}

// contentOf returns the content of an object.
func contentOf(path string) string { return "content of " + path }

func (n *copyingNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(nodeWork)
		body := contentOf(r.URL.Path)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nETag: \"%x\"\r\nContent-Length: %d\r\n\r\n%s",
			len(body), len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if rand.Float64() >= n.share {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(time.Duration(rand.Int64N(int64(copyLate)))))
		_, err = in.Peek(1)
		_ = conn.SetReadDeadline(time.Time{})
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			n.copies.Add(1)
			n.trial.note("%s sends a second copy of the answer to %s for %s", n.name, r.Header.Get("x-chalkstand-request"), r.URL.Path)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}

// caseSecondCopy: storage nodes answer well, and send a second copy after some answers. No client may get the content
// of an object that it has not asked for.
func caseSecondCopy(t *trial) error {
	const (
		shards  = 4
		readers = 12
		length  = 30 * time.Second
	)
	var nodes []string
	var all []*copyingNode
	for i := range shards {
		n := &copyingNode{trial: t, name: fmt.Sprintf("node-%d", i)}
		if t.trouble {
			n.share = 0.05
		}
		addr, err := n.start()
		if err != nil {
			return err
		}
		all = append(all, n)
		nodes = append(nodes, fmt.Sprintf(`{"id": "n%d", "addr": "%s", "shard": %d}`, i, addr, i))
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(t.temp, "serve.jsonc")
	text := fmt.Sprintf(gatewaySettings, listen, shards, strings.Join(nodes, ", "))
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	gateway, err := t.startProcess("serve", nil, "bin/chalkstand", "serve", "--config", file)
	if err != nil {
		return err
	}
	if err := awaitTCP(listen); err != nil {
		return fmt.Errorf("%w: %s", err, t.log("serve"))
	}
	t.start = time.Now()
	var wg sync.WaitGroup
	var served, others, foreign atomic.Int64
	for range readers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for time.Since(t.start) < length {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(4*time.Millisecond)))
				path := fmt.Sprintf("/%s/line-%d/part-%d.jpg", bucket, rand.IntN(10), rand.IntN(1000))
				r, err := http.NewRequest(http.MethodGet, "http://"+listen+path, nil)
				if err != nil {
					return
				}
				sigv4client.Request(r, keyID, keySecret, time.Now())
				resp, err := client.Do(r)
				if err != nil {
					others.Add(1)
					continue
				}
				b, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				switch {
				case err != nil || resp.StatusCode != http.StatusOK:
					others.Add(1)
				case string(b) != contentOf(path):
					foreign.Add(1)
					t.violation("a client asked for %s and got status 200 with %q", path, b)
				default:
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if gateway.ended() {
		return errors.New("the gateway has ended: " + t.log("serve"))
	}
	copies := int64(0)
	for _, n := range all {
		copies += n.copies.Load()
	}
	t.note("%d second copies; %d answers with the right content, %d with another object's, %d of other kinds",
		copies, served.Load(), foreign.Load(), others.Load())
	return nil
}
