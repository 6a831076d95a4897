package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a storage server in discovery's list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS float64 `json:"started_ms"`
}

// list is a document of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the platform's discovery. A call with follow=1 is a watch: it begins with the
// changes after the version that it names, or with the whole list, and an empty line comes every 2 s.
type discovery struct {
	trial *trial
	addr  string

	mu      sync.Mutex
	version int
	entries map[string]entry
	changed map[string]int // version of the last change of each entry
	wake    chan struct{}  // closed and replaced at each change
	calls   int
}

const heartbeat = 2 * time.Second

func newDiscovery(t *trial) (*discovery, error) {
	d := &discovery{
		trial: t, version: 41, entries: map[string]entry{}, changed: map[string]int{}, wake: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, d) }()
	return d, nil
}

// set changes entries and returns the time of the change.
func (d *discovery) set(entries ...entry) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		d.entries[e.ID] = e
		d.changed[e.ID] = d.version
		d.trial.note("discovery version %d: %s %s %s started_ms=%.0f", d.version, e.ID, e.Addr, e.State, e.StartedMS)
	}
	d.notify()
	return time.Now()
}

func (d *discovery) notify() {
	close(d.wake)
	d.wake = make(chan struct{})
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.after(-1)
}

// after returns the changes after a version, or the whole list for a version below 0.
func (d *discovery) after(since int) list {
	l := list{Version: d.version, Full: since < 0, Servers: []entry{}}
	for i := 0; i < 1000; i++ {
		id := fmt.Sprintf("s-%d", i)
		e, ok := d.entries[id]
		if ok && d.changed[id] > since && (e.State != "Gone" || since >= 0) {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.FormValue("since"))
	if err != nil {
		since = -1
	}
	d.mu.Lock()
	d.calls++
	call := d.calls
	d.mu.Unlock()
	d.trial.note("discovery call %d: %s", call, r.URL)
	if r.FormValue("follow") == "" {
		_ = json.NewEncoder(w).Encode(d.whole())
		return
	}
	d.watch(w, r, since, call)
}

func (d *discovery) watch(w http.ResponseWriter, r *http.Request, since, call int) {
	flusher := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	first := true
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		d.mu.Lock()
		wake, news := d.wake, d.after(since)
		d.mu.Unlock()
		if first || len(news.Servers) > 0 {
			if json.NewEncoder(w).Encode(news) != nil || flusher.Flush() != nil {
				return
			}
			d.trial.note("discovery call %d: told version %d", call, news.Version)
			first = false
			since = news.Version
		}
		select {
		case <-wake:
		case <-beat.C:
			if _, err := fmt.Fprintln(w); err != nil || flusher.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
