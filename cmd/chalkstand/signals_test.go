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

// mainEnv makes the test program run the command line as chalkstand does.
const mainEnv = "CHALKSTAND_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		main()
		return
	}
	signals.Release()
	os.Exit(m.Run())
}

// pipeFile is a named pipe in the place of a settings file: it tells when the file is being read, and the reader
// waits until the test gives it the content. Later readers find a file with the content.
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

// awaitReader waits until the file is open for reading. The reader waits until answer is called.
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
		t.Fatal("the settings are not read")
		return nil
	}
}

// process is a chalkstand process.
type process struct {
	cmd    *exec.Cmd
	stderr bytes.Buffer
	ended  chan error
}

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
		t.Errorf("%v: %v", s, err)
	}
}

// expectEnd checks that the process ends without an error.
func (p *process) expectEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("ended with %v\n%s", err, p.stderr.String())
		}
	case <-time.After(20 * time.Second):
		_ = p.cmd.Process.Kill()
		t.Errorf("did not end: %v\n%s", <-p.ended, p.stderr.String())
	}
}

// serverSettings returns the settings of each server command, by its name.
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

// startServing starts a server command and waits until it serves. It returns the process and its settings file.
func startServing(t *testing.T, command, text string) (*process, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, command, "--config", file)
	waitFor(t, "it does not serve", func() bool { return accepts(t.Context(), listenAddress(text)) })
	return p, file
}

// signalGap keeps two signals of one kind apart, which the kernel would deliver as one.
const signalGap = 2 * time.Millisecond

// A signal that comes while the settings are read is not lost and does not end the process by its default
// action: SIGHUP leaves it running, SIGTERM shuts it down gracefully.
func TestSignalsDuringStartUp(t *testing.T) {
	for command, text := range serverSettings(t) {
		t.Run(command, func(t *testing.T) {
			settings := newPipeFile(t, filepath.Join(t.TempDir(), "settings"), text)
			p := startProcess(t, command, "--config", settings.path)
			answer := settings.awaitReader(t)
			for range 3 {
				p.signal(t, syscall.SIGHUP)
				time.Sleep(signalGap)
			}
			p.signal(t, syscall.SIGTERM)
			answer()
			p.expectEnd(t)
			if !strings.Contains(p.stderr.String(), "graceful shutdown started") {
				t.Errorf("no graceful shutdown\n%s", p.stderr.String())
			}
		})
	}
}

// SIGTERM is not lost behind a series of SIGHUP that come while a reload is under way.
func TestStopBehindASeriesOfReloads(t *testing.T) {
	for command, text := range serverSettings(t) {
		t.Run(command, func(t *testing.T) {
			p, file := startServing(t, command, text)
			settings := newPipeFile(t, file, text)
			p.signal(t, syscall.SIGHUP)
			answer := settings.awaitReader(t)
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

// Signals that come between the end of a graceful shutdown and that of the process have no effect either.
func TestSignalsBehindTheShutdown(t *testing.T) {
	for command, text := range serverSettings(t) {
		t.Run(command, func(t *testing.T) {
			p, _ := startServing(t, command, text)
			for range 20_000 {
				if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					break // it has ended
				}
				time.Sleep(100 * time.Microsecond)
			}
			p.expectEnd(t)
		})
	}
}

// listenAddress returns the address of the member "listen".
func listenAddress(settings string) string {
	_, rest, _ := strings.Cut(settings, `"listen"`)
	var address string
	if _, err := fmt.Sscanf(strings.TrimLeft(rest, ": "), "%q", &address); err != nil {
		return ""
	}
	return address
}

// accepts reports whether a connection to an address is accepted.
func accepts(ctx context.Context, address string) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
