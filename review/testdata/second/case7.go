package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkstand/placement"
)

func init() { cases["7"] = caseReplacedNode }

// watchedNode is a storage node of the project behind a proxy that notes what it gets.
type watchedNode struct {
	trial   *trial
	name    string
	addr    string // of the proxy
	direct  string // of the node
	process *process
	server  *http.Server // the proxy

	mu       sync.Mutex
	arrivals []time.Time
}

func (n *watchedNode) handler(to *httputil.ReverseProxy) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.trial.note("%s received %s %s", n.name, r.Method, r.URL)
		n.mu.Lock()
		n.arrivals = append(n.arrivals, time.Now())
		n.mu.Unlock()
		to.ServeHTTP(w, r)
	})
}

// since returns the number of requests that came after the given time, and the time of the last one.
func (n *watchedNode) since(at time.Time) (count int, last time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.arrivals {
		if a.After(at) {
			count++
			last = a
		}
	}
	return count, last
}

// end ends the node, and its connections with it.
func (n *watchedNode) end() {
	_ = n.process.cmd.Process.Signal(syscall.SIGTERM)
	<-n.process.done
	_ = n.server.Close()
}

func (t *trial) startWatchedNode(name string, shard int) (*watchedNode, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	n := &watchedNode{trial: t, name: name, direct: addr}
	if n.process, err = t.startProcess(name, nil, "bin/chalkstand", "node", "--listen", addr, "--id", name,
		"--shard", fmt.Sprint(shard), "--cores", "8", "--per-unit", "30ms"); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.addr = ln.Addr().String()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	n.server = &http.Server{Handler: n.handler(proxy)}
	go func() { _ = n.server.Serve(ln) }()
	return n, awaitTCP(addr)
}

// caseReplacedNode: an operator replaces the storage node of a shard. The new configuration names the new node's
// address, and the gateway gets SIGHUP under load. The old node runs on for a while. It must get nothing new.
func caseReplacedNode(t *trial) error {
	const (
		shards    = 4
		signalAt  = 4 * time.Second
		told      = 6 * time.Second         // what there is to tell counts as told so much later at the latest
		grace     = 1200 * time.Millisecond // the longest grace of the sites, the slack on sockets, and a hold-up of 0.15 s
		loadUntil = 19 * time.Second
		writers   = 24
	)
	var nodes []*watchedNode
	for i := range shards {
		n, err := t.startWatchedNode(fmt.Sprintf("node-%d", i), i)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	second, err := t.startWatchedNode("node-0-second", 0)
	if err != nil {
		return err
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(t.temp, "serve.jsonc")
	configure := func(first string) error {
		var list []string
		for i, n := range nodes {
			addr := n.addr
			if i == 0 {
				addr = first
			}
			list = append(list, fmt.Sprintf(`{"id": "n%d", "addr": "%s", "shard": %d}`, i, addr, i))
		}
		t.note("configuration: %s", strings.Join(list, ", "))
		return os.WriteFile(file, []byte(fmt.Sprintf(gatewaySettings, listen, shards, strings.Join(list, ", "))), 0o644)
	}
	if err := configure(nodes[0].addr); err != nil {
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
	c := &objectClient{trial: t, addr: listen}
	if status, text, err := c.do(http.MethodPut, "/"+bucket, ""); err != nil || status != http.StatusOK {
		return fmt.Errorf("create the bucket: %d %s %w", status, text, err)
	}
	// The operator has prepared the new node: it has the bucket.
	if status, text, err := (&objectClient{trial: t, addr: second.direct}).do(http.MethodPut, "/"+bucket, ""); err != nil ||
		status != http.StatusOK {
		return fmt.Errorf("create the bucket on the new node: %d %s %w", status, text, err)
	}
	type write struct {
		key  string
		sent time.Time
	}
	var mu sync.Mutex
	var taken []write // writes that were answered with 200
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			for k := 0; time.Since(t.start) < loadUntil; k++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(40*time.Millisecond)))
				w := write{fmt.Sprintf("line-%d/part-%d.jpg", i, k), time.Now()}
				if status, _, err := c.do(http.MethodPut, "/"+bucket+"/"+w.key, "a photo of "+w.key); err == nil && status == http.StatusOK {
					mu.Lock()
					taken = append(taken, w)
					mu.Unlock()
				}
			}
		})
	}
	var bound time.Time
	if t.trouble {
		t.sleepUntil(signalAt)
		if err := configure(second.addr); err != nil {
			return err
		}
		t.note("serve gets SIGHUP")
		if err := gateway.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		bound = time.Now().Add(told + grace)
	}
	wg.Wait()
	if gateway.ended() {
		return errors.New("the gateway has ended: " + t.log("serve"))
	}
	if !t.trouble {
		return nil
	}
	if !strings.Contains(t.log("serve"), "configuration reloaded") {
		return errors.New("the gateway has not taken the new configuration: " + t.log("serve"))
	}
	late, last := nodes[0].since(bound)
	if late == 0 {
		return nil
	}
	t.violation("drain: %d requests were sent to a node that the configuration no longer names, the last %.3f s after SIGHUP",
		late, last.Sub(bound.Add(-told-grace)).Seconds())
	// The operator ends the old node. What was taken after the bound must still be there.
	nodes[0].end()
	volume := placement.New(shards).Volume(bucket, 0)
	lost, checked := 0, 0
	for _, w := range taken {
		if !w.sent.After(bound) || volume.Shard(w.key) != 0 {
			continue
		}
		checked++
		if status, _, err := c.do(http.MethodGet, "/"+bucket+"/"+w.key, ""); err == nil && status == http.StatusNotFound {
			lost++
			t.note("%s was taken %.3f s after SIGHUP and is gone", w.key, w.sent.Sub(bound.Add(-told-grace)).Seconds())
		}
	}
	t.note("of %d writes to the shard that were taken after the bound, %d are gone with the old node", checked, lost)
	if lost > 0 {
		t.violation("lost: %d writes that were answered with 200 are gone", lost)
	}
	return nil
}
