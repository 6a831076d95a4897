// Command second plays the cases of the second independent review. Its arguments are the number of a case
// and the file for its record. It starts the project's programs as processes, plays the platform, the clients and the storage
// servers itself, writes to the record what was sent, answered and run, and exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// trial is one run of a case.
type trial struct {
	trouble bool
	root    string // root of the repository
	temp    string // private temporary folder
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	broken    []string
	ending    bool // no further process is started
}

// note writes a line with the time since the start of the trial to the record.
func (t *trial) note(format string, args ...any) {
	t.noteAt(time.Now(), format, args...)
}

func (t *trial) noteAt(at time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%9.3f %s\n", at.Sub(t.start).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (t *trial) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.note("BROKEN %s", text)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, text)
}

// sleepUntil waits until the given time since the start of the trial.
func (t *trial) sleepUntil(at time.Duration) { time.Sleep(time.Until(t.start.Add(at))) }

// cases holds the cases by number. Each file of a case adds its own.
var cases = map[string]func(*trial) error{}

// longest is the time after which a trial that has not ended is given up. A script may run for 120 s.
const longest = 110 * time.Second

// play runs a case until it ends, takes too long, or a signal ends the trial.
func (t *trial) play(run func(*trial) error) error {
	ended := make(chan error, 1)
	go func() { ended <- run(t) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case err := <-ended:
		return err
	case s := <-signals:
		return fmt.Errorf("ended by %v", s)
	case <-time.After(longest):
		return errors.New("the trial takes too long")
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", root: root, start: time.Now()}
	if t.temp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(t.temp) }()
	if t.record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = t.record.Close() }()
	t.note("case %s, trouble %v", os.Args[1], t.trouble)
	err = t.play(cases[os.Args[1]])
	t.stopProcesses()
	switch {
	case err != nil:
		t.note("NOT RUN %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(t.broken) > 0:
		t.note("RESULT broken, %d times", len(t.broken))
		fmt.Println("broken:", t.broken[0])
		return exitBroken
	}
	t.note("RESULT held")
	fmt.Println("held")
	return exitHeld
}
