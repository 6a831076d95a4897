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

// maxLogLines bounds the lines that are kept of a program's log.
const maxLogLines = 20_000

// process is the program under test.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended and its log was read
	err   error         // how it ended; after ended is closed

	mu    sync.Mutex
	lines []string
}

// startProcess starts a program. Its standard error is kept as its log.
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
	_, _ = io.Copy(io.Discard, r) // a line that was too long; the program must not block on it
}

// log returns the lines so far.
func (p *process) log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// awaitLog waits until a line of the log contains a text, and reports whether one does.
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

// signal sends a signal. A process that has ended does not get it.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// hangUp sends SIGHUP several times.
func (p *process) hangUp(count int, gap time.Duration) {
	for range count {
		p.signal(syscall.SIGHUP)
		time.Sleep(gap)
	}
}

// kill ends the process at once, if it has not ended, and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// usage is what a process holds.
type usage struct {
	Descriptors int
	MemoryMiB   float64 // resident
}

// usage reads what the process holds from the kernel.
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
		return usage{}, fmt.Errorf("statm: %q", statm)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return usage{}, err
	}
	return usage{Descriptors: len(descriptors), MemoryMiB: float64(pages*os.Getpagesize()) / (1 << 20)}, nil
}

// heldFile is a named pipe in the place of a program's configuration: it tells when the program reads it, and
// the program waits until it is given the content.
type heldFile struct {
	path string
	text []byte
}

func newHeldFile(path string, text []byte) (heldFile, error) {
	return heldFile{path, text}, syscall.Mkfifo(path, 0o600)
}

// serve waits for the reader, calls held, replaces the pipe by a file and gives the reader the content. It
// does nothing where the program ends before it reads.
func (h heldFile) serve(p *process, held func()) error {
	w, err := h.open()
	for errors.Is(err, syscall.ENXIO) && !p.hasEnded() { // nobody reads yet
		time.Sleep(time.Millisecond)
		w, err = h.open()
	}
	if errors.Is(err, syscall.ENXIO) {
		return nil
	}
	if err != nil {
		return err
	}
	held()
	if err := replaceFile(h.path, h.text); err != nil {
		return errors.Join(err, w.Close())
	}
	_, err = w.Write(h.text)
	return errors.Join(err, w.Close())
}

// open opens the pipe for writing. The error is ENXIO while nobody reads.
func (h heldFile) open() (*os.File, error) {
	return os.OpenFile(h.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
}

// replaceFile replaces a file at once, so that no reader finds a part of it.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
