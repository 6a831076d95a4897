package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It also collects the
// violations of the case's rule.
type record struct {
	mu         sync.Mutex
	file       *os.File
	out        *bufio.Writer
	start      time.Time
	violations int
	served     int // requests of usual clients that were served
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// since returns the time since the start of the case in seconds, in the form of the record's lines.
func (r *record) since(at time.Time) string { return fmt.Sprintf("%8.3f", at.Sub(r.start).Seconds()) }

// line writes a line with the time since the start of the case.
func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%s  %s\n", r.since(at), fmt.Sprintf(format, args...))
}

// violation writes a line that reports a broken rule, and prints the first of them.
func (r *record) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	if r.violations == 1 {
		fmt.Println("rule broken:", text)
	}
}

// broken returns the number of violations so far.
func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// noteServed counts a request of a usual client that was served.
func (r *record) noteServed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
}

// anyServed returns an error if no request of a usual client was served. A rule that held without
// traffic shows nothing.
func (r *record) anyServed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.served == 0 {
		return errNoTraffic
	}
	return nil
}

// errNoTraffic is the error for a case in which no request was served.
var errNoTraffic = errors.New("no request of a usual client was served")

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
