package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/internal/signals"
)

// mainEnv names an environment variable. If it is set, the test executable behaves like the
// chalkstand command.
const mainEnv = "CHALKSTAND_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		main()
		return
	}
	signals.Release()
	os.Exit(m.Run())
}

// pipeFile is a named pipe in place of a settings file. A test can wait until a process opens
// the pipe, and the process waits until the test writes the settings. When the test writes
// them, it also replaces the pipe with a regular file, which later readers find.
type pipeFile struct {
	path string
	text string
}

func newPipeFile(t *testing.T, path, text string) pipeFile {
	t.Helper()
	if err := errors.Join(os.RemoveAll(path), syscall.Mkfifo(path, 0o600)); err != nil {
		t.Fatal(err)
	}
	return pipeFile{path, text}
}

// awaitReader waits until a process has opened the file for reading. The process then waits for
// the content until the test calls the returned function.
func (p pipeFile) awaitReader(t *testing.T) (answer func()) {
	t.Helper()
	opened := make(chan *os.File, 1)
	go func() {
		w, err := os.OpenFile(p.path, os.O_WRONLY, 0)
		if err != nil {
			t.Error(err)
		}
		opened <- w
	}()
	select {
	case w := <-opened:
		return func() {
			// The regular file replaces the pipe first, so that a process that reads the settings
			// again after this time finds the file.
			file := p.path + ".file"
			if err := errors.Join(os.WriteFile(file, []byte(p.text), 0o600), os.Rename(file, p.path)); err != nil {
				t.Error(err)
			}
			if _, err := w.WriteString(p.text); err != nil {
				t.Error(err)
			}
			if err := w.Close(); err != nil {
				t.Error(err)
			}
		}
	case <-time.After(20 * time.Second):
		t.Fatal("settings file: not opened within 20s, want the process to read it")
		return nil
	}
}

// process is a chalkstand process that runs as the test executable.
type process struct {
	cmd    *exec.Cmd
	stderr bytes.Buffer
	ended  chan error // receives the result of cmd.Wait
}

// startProcess starts a chalkstand command in a new process.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.CommandContext(t.Context(), os.Args[0], args...), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), mainEnv+"=1")
	p.cmd.Stderr = &p.stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("send signal %v: %v", s, err)
	}
}

// expectEnd checks that the process ends without an error within 20 seconds.
func (p *process) expectEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("process: got exit error %v, want none; stderr:\n%s", err, p.stderr.String())
		}
	case <-time.After(20 * time.Second):
		_ = p.cmd.Process.Kill()
		t.Errorf("process: still running after 20s and killed (%v), want it to end; stderr:\n%s", <-p.ended, p.stderr.String())
	}
}

// serverSettings returns a settings text for each server command. The keys of the map are the
// names of the commands.
func serverSettings(t *testing.T) map[string]string {
	t.Helper()
	d := &testDaemon{
		listen: freeTestAddress(t),
		admin:  freeTestAddress(t),
		trace:  filepath.Join(t.TempDir(), "trace"),
	}
	discovery, err := fakediscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Stop)
	file := filepath.Join(t.TempDir(), "relay.json")
	f := fakeNodes{nodes: 1, configFile: file, listen: freeTestAddress(t)}
	if err := f.writeConfig(discovery.Addr(), nil); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return map[string]string{serveName: d.quickstartSettings(t), runName: string(text)}
}

// startServing starts a server command with a settings text and waits until it accepts
// connections. It returns the process and the path of its settings file.
func startServing(t *testing.T, command, text string) (*process, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, command, "--config", file)
	waitFor(t, "the server does not accept connections", func() bool { return accepts(t.Context(), listenAddress(text)) })
	return p, file
}

// signalGap is the time between two equal signals. Without the gap, the kernel could merge
// both signals into one.
const signalGap = 2 * time.Millisecond

// TestSignalsDuringStartUp sends signals while the process reads its settings. It checks that
// no signal is lost and that none terminates the process by its default action: SIGHUP leaves
// the process running, and SIGTERM shuts it down gracefully.
func TestSignalsDuringStartUp(t *testing.T) {
	for command, text := range serverSettings(t) {
		t.Run(command, func(t *testing.T) {
			pipe := newPipeFile(t, filepath.Join(t.TempDir(), "settings"), text)
			p := startProcess(t, command, "--config", pipe.path)
			answer := pipe.awaitReader(t)
			for range 3 {
				p.signal(t, syscall.SIGHUP)
				time.Sleep(signalGap)
			}
			p.signal(t, syscall.SIGTERM)
			answer()
			p.expectEnd(t)
			if !strings.Contains(p.stderr.String(), "graceful shutdown started") {
				t.Errorf("log after SIGTERM: got no start of a graceful shutdown, want one; stderr:\n%s", p.stderr.String())
			}
		})
	}
}

// TestStopAfterManyReloads checks that SIGTERM is not lost if it follows a series of SIGHUP
// signals that arrive during a reload.
func TestStopAfterManyReloads(t *testing.T) {
	for command, text := range serverSettings(t) {
		t.Run(command, func(t *testing.T) {
			p, file := startServing(t, command, text)
			pipe := newPipeFile(t, file, text)
			p.signal(t, syscall.SIGHUP)
			answer := pipe.awaitReader(t)
			for range 20 {
				p.signal(t, syscall.SIGHUP)
				time.Sleep(signalGap)
			}
			p.signal(t, syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
			answer()
			p.expectEnd(t)
		})
	}
}

// TestSignalsAfterShutdown checks that signals have no effect if they arrive between the end of
// the graceful shutdown and the end of the process.
func TestSignalsAfterShutdown(t *testing.T) {
	for command, text := range serverSettings(t) {
		t.Run(command, func(t *testing.T) {
			p, _ := startServing(t, command, text)
			for range 20_000 {
				if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					break // The process has ended.
				}
				time.Sleep(100 * time.Microsecond)
			}
			p.expectEnd(t)
		})
	}
}

// listenAddress returns the address in the member "listen" of a settings text, or "" if there
// is none.
func listenAddress(text string) string {
	_, rest, _ := strings.Cut(text, `"listen"`)
	var address string
	if _, err := fmt.Sscanf(strings.TrimLeft(rest, ": "), "%q", &address); err != nil {
		return ""
	}
	return address
}

// accepts reports whether a server accepts a connection at an address.
func accepts(ctx context.Context, address string) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
