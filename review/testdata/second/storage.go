package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// arrival is an object command that has come whole to a storage server.
type arrival struct {
	words []string
	first time.Time // when its first byte was there
	at    time.Time // when its last byte was there
}

func (a *arrival) id() string { return a.words[2] }

// storage is a stand-in for a storage server. It keeps the last value of each piece that it was told to write.
type storage struct {
	trial *trial
	name  string
	cell  int
	cores chan struct{} // one entry for each command that is being worked on
	queue int           // commands that may wait for a core
	work  func() time.Duration

	mu       sync.Mutex
	ln       net.Listener
	addr     string
	conns    map[net.Conn]bool
	waiting  int
	inflight int
	values   map[string]string
	arrivals []arrival
}

func newStorage(t *trial, name string, cell, cores int, work func() time.Duration) (*storage, error) {
	s := &storage{
		trial: t, name: name, cell: cell, cores: make(chan struct{}, cores), queue: 100, work: work,
		conns: map[net.Conn]bool{}, values: map[string]string{},
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	s.addr = addr
	return s, s.listen()
}

// listen makes the server reachable, at the same address after a restart.
func (s *storage) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// crash ends the server as the death of its process would: its connections are reset, new ones are refused.
func (s *storage) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ln.Close()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.conns = map[net.Conn]bool{}
}

func (s *storage) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 1<<16)
	for {
		words, first, err := readCommand(in)
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(s.handle(words, first))); err != nil {
			return
		}
	}
}

// handle runs a command, or turns it away, and returns the reply.
func (s *storage) handle(words []string, first time.Time) string {
	if words[0] != "OBJ.GET" && words[0] != "OBJ.PUT" || len(words) < 4 {
		return "-SYNTAX\r\n"
	}
	f := fields(words)
	a := arrival{words: words, first: first, at: time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	wrongCell := f["shard"] != "-1" && f["shard"] != strconv.Itoa(s.cell)
	refused := wrongCell || s.waiting >= s.queue
	if !refused {
		s.waiting++
		s.inflight++
	}
	s.mu.Unlock()
	s.trial.noteAt(first, "%s received %s %s piece %s d=%s", s.name, words[0], a.id(), words[1], f["d"])
	if refused {
		return "-BUSY\r\n"
	}
	s.cores <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	time.Sleep(s.work())
	<-s.cores
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if words[0] == "OBJ.PUT" {
		s.values[words[1]] = words[4]
	}
	s.trial.noteAt(time.Now(), "%s ran %s %s piece %s", s.name, words[0], a.id(), words[1])
	value := bulk(s.name + "/" + words[1] + "/" + words[2] + "/" + s.values[words[1]])
	return "*3\r\n" + value + "$-1\r\n" + bulk(fmt.Sprintf("inflight=%d", s.inflight))
}

// since returns the commands whose first byte came after the given time.
func (s *storage) since(at time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var later []arrival
	for _, a := range s.arrivals {
		if a.first.After(at) {
			later = append(later, a)
		}
	}
	return later
}
