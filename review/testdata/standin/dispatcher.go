package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Times that the platform allows a dispatcher.
const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 6 * time.Second
)

// plan is how a case starts a dispatcher.
type plan struct {
	root     string // root of the repository
	temp     string // private folder of the case
	memoryMB int
	sockets  int
	settings map[string]any
	known    document
}

// dispatcher is a process that the run command of the deploy file has started.
type dispatcher struct {
	record  *record
	command *exec.Cmd
	listen  string
	log     *os.File
	ended   chan struct{} // closed when the process has ended
	err     error         // how the process ended; valid once ended is closed
}

// runLine matches the run command in the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startDispatcher starts a dispatcher and waits until it answers PING.
func startDispatcher(rec *record, p plan, discoveryAddr string) (*dispatcher, error) {
	deploy, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(p.temp, "config.json")
	text, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": listen, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": p.memoryMB, "sockets": p.sockets},
		"known":    p.known,
		"settings": p.settings,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	d := &dispatcher{record: rec, listen: listen, ended: make(chan struct{})}
	if d.log, err = os.Create(filepath.Join(p.temp, "dispatcher.log")); err != nil {
		return nil, err
	}
	d.command = exec.Command("/bin/sh", "-c", string(run[1]))
	d.command.Dir = p.root
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.Env = append(os.Environ(), "RELAY_NAME=n1", "RELAY_LISTEN="+listen,
		"RELAY_DISCOVERY="+discoveryAddr, "RELAY_CONFIG="+config, "TMPDIR="+p.temp)
	// The process ends with this program, also if this program is killed.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		d.err = d.command.Wait()
		close(d.ended)
	}()
	d.endWithSignal()
	if err := d.awaitReady(); err != nil {
		d.kill()
		return nil, err
	}
	rec.line("platform: dispatcher is ready at %s", listen)
	return d, nil
}

// endWithSignal makes a signal to this program end the dispatcher before the program itself.
func (d *dispatcher) endWithSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		d.kill()
		os.Exit(exitNotRun)
	}()
}

// freeAddr returns a free address on loopback.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// awaitReady waits until the dispatcher answers PING.
func (d *dispatcher) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-d.ended:
			return fmt.Errorf("the dispatcher ended before it was ready: %w", d.err)
		default:
		}
		if ping(d.listen) {
			return nil
		}
	}
	return errors.New("the dispatcher was not ready in time")
}

func ping(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(command("PING")); err != nil {
		return false
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

func (d *dispatcher) signal(s syscall.Signal) {
	d.record.line("platform: signal %v", s)
	_ = d.command.Process.Signal(s)
}

// hasEnded reports whether the process has ended.
func (d *dispatcher) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits for its end.
func (d *dispatcher) kill() {
	_ = d.command.Process.Kill()
	<-d.ended
	_ = d.log.Close()
}

// memory returns the memory of the process without the pages of files, in bytes.
func (d *dispatcher) memory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kib << 10, err
		}
	}
	return 0, errors.New("no RssAnon in the status of the process")
}
