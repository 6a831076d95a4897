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

// emptyLineInterval is the time between two empty lines of a watch while nothing changes.
const emptyLineInterval = 2 * time.Second

// entry is a storage server in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`

	version int // version of the last change of the entry
}

// document is the form in which discovery gives a list or changes to it.
type document struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in of the platform's discovery. It answers calls for the whole list and
// watches.
type discovery struct {
	record   *record
	listener net.Listener

	mu      sync.Mutex
	version int
	entries []entry
	changed chan struct{} // closed at the next change
	watches int           // number of watches opened so far
	first   time.Time     // time of the first change
}

func startDiscovery(rec *record, entries []entry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{record: rec, listener: ln, version: 1, entries: entries, changed: make(chan struct{})}
	for i := range d.entries {
		d.entries[i].version = 1
	}
	go func() { _ = http.Serve(ln, d) }() // ends with the process
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// list returns the whole list. It leaves out the servers that are gone.
func (d *discovery) list() document {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc := document{Version: d.version, Full: true}
	for _, e := range d.entries {
		if e.State != "Gone" {
			doc.Servers = append(doc.Servers, e)
		}
	}
	return doc
}

// changesAfter returns the entries that changed after a version, and a channel that is closed at the
// next change.
func (d *discovery) changesAfter(version int) (document, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc := document{Version: d.version}
	for _, e := range d.entries {
		if e.version > version {
			doc.Servers = append(doc.Servers, e)
		}
	}
	return doc, d.changed
}

// set changes or adds entries as one change of the list.
func (d *discovery) set(changed ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range changed {
		e.version = d.version
		known := false
		for i := range d.entries {
			if d.entries[i].ID == e.ID {
				d.entries[i] = e
				known = true
			}
		}
		if !known {
			d.entries = append(d.entries, e)
		}
		d.record.line("discovery: version %d, %s (cell %d) is %s", d.version, e.ID, e.Cell, e.State)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	if d.first.IsZero() {
		d.first = time.Now()
	}
}

// firstChange returns the time of the first change of the list.
func (d *discovery) firstChange() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first
}

// watchCount returns how many watches were opened so far.
func (d *discovery) watchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.record.line("discovery: call %s", r.URL)
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if r.FormValue("follow") != "1" {
		_ = json.NewEncoder(w).Encode(d.list())
		return
	}
	d.mu.Lock()
	d.watches++
	d.mu.Unlock()
	d.watch(w, r)
}

// watch writes one document a line, and an empty line while nothing changes, until the call ends.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	since, err := strconv.Atoi(r.FormValue("since"))
	if err != nil {
		doc := d.list()
		since = doc.Version
		_ = json.NewEncoder(w).Encode(doc)
	}
	for out.Flush() == nil {
		doc, changed := d.changesAfter(since)
		if len(doc.Servers) > 0 {
			since = doc.Version
			if json.NewEncoder(w).Encode(doc) != nil {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-time.After(emptyLineInterval):
			_, _ = fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}
