package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxLogLines bounds the lines of the program's log that are kept. Later lines are dropped.
const maxLogLines = 20_000

// process is the running program under test, with its log.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended and its log has been read
	err   error         // result of cmd.Wait; valid after ended is closed

	mu    sync.Mutex
	lines []string
}

// startProcess starts a program and collects its standard error as its log.
func startProcess(ctx context.Context, command, env []string) (*process, error) {
	p := &process{ended: make(chan struct{})}
	p.cmd = exec.CommandContext(ctx, command[0], command[1:]...)
	p.cmd.Env = append(os.Environ(), env...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.ended)
		p.readLog(stderr)
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) readLog(r io.Reader) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		if len(p.lines) < maxLogLines {
			p.lines = append(p.lines, scanner.Text())
		}
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, r) // the scanner stops at a too long line; the program must not block on the pipe
}

// log returns the lines that have been read so far.
func (p *process) log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// awaitLog waits until a line of the log contains the text. It returns false if the timeout passes or the process
// ends without such a line.
func (p *process) awaitLog(text string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		for _, line := range p.log() {
			if strings.Contains(line, text) {
				return true
			}
		}
		if p.hasEnded() || time.Now().After(deadline) {
			return false
		}
	}
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal. It ignores the error, which means that the process has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// sendHangups sends count SIGHUPs with a pause of gap after each.
func (p *process) sendHangups(count int, gap time.Duration) {
	for range count {
		p.signal(syscall.SIGHUP)
		time.Sleep(gap)
	}
}

// kill sends SIGKILL and waits until the process has ended and its log has been read.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// usage holds the resources that a process uses.
type usage struct {
	Descriptors int
	MemoryMiB   float64 // resident memory
}

// usage reads the resources that the process uses from /proc.
func (p *process) usage() (usage, error) {
	proc := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	descriptors, err := os.ReadDir(filepath.Join(proc, "fd"))
	if err != nil {
		return usage{}, err
	}
	statm, err := os.ReadFile(filepath.Join(proc, "statm"))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return usage{}, fmt.Errorf("/proc/PID/statm: expected 2 fields or more, got %q", statm)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return usage{}, err
	}
	return usage{Descriptors: len(descriptors), MemoryMiB: float64(pages*os.Getpagesize()) / (1 << 20)}, nil
}

// configPipe is a named pipe in place of the program's configuration file. It shows when the program opens its
// configuration, and makes the program wait until the run writes the content.
type configPipe struct {
	path string
	text []byte
}

func newConfigPipe(path string, text []byte) (configPipe, error) {
	return configPipe{path, text}, syscall.Mkfifo(path, 0o600)
}

// serve waits until the program opens the pipe, and then calls onOpen. It replaces the pipe with a regular file and
// writes the content to the program. If the program ends before it opens the pipe, serve does nothing.
func (h configPipe) serve(p *process, onOpen func()) error {
	w, err := h.open()
	for errors.Is(err, syscall.ENXIO) && !p.hasEnded() { // no process has opened the pipe for reading yet
		time.Sleep(time.Millisecond)
		w, err = h.open()
	}
	if errors.Is(err, syscall.ENXIO) {
		return nil
	}
	if err != nil {
		return err
	}
	onOpen()
	if err := replaceFile(h.path, h.text); err != nil {
		return errors.Join(err, w.Close())
	}
	_, err = w.Write(h.text)
	return errors.Join(err, w.Close())
}

// open opens the pipe for writing. It returns ENXIO while no process has the pipe open for reading.
func (h configPipe) open() (*os.File, error) {
	return os.OpenFile(h.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
}

// replaceFile replaces a file atomically, so that a reader never sees a part of the content.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
