package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// process is a program of the project that the trial has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// startProcess starts a program from the root of the repository. Its output goes to a file in the temporary folder.
func (t *trial) startProcess(name string, env []string, program string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(t.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Dir = t.root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	if err := t.register(p); err != nil {
		return nil, err
	}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	t.note("started %s: %v", name, cmd.Args)
	return p, nil
}

// register starts a process, unless the trial is ending, so that stopProcesses misses none.
func (t *trial) register(p *process) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ending {
		return errors.New("the trial is ending")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	t.processes = append(t.processes, p)
	return nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopProcesses kills the processes of the trial that still run.
func (t *trial) stopProcesses() {
	t.mu.Lock()
	t.ending = true
	processes := slices.Clone(t.processes)
	t.mu.Unlock()
	for _, p := range processes {
		if !p.ended() {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		<-p.done
	}
}

// log returns what the process has written.
func (t *trial) log(name string) string {
	text, _ := os.ReadFile(filepath.Join(t.temp, name+".log"))
	return string(text)
}

// deployCommand returns a command of the deploy file.
func (t *trial) deployCommand(name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(t.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line %s", name)
	}
	return string(match[1]), nil
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// dispatcher is a process of `run`.
type dispatcher struct {
	*process
	listen string
}

// startTries is the number of addresses that are tried for a dispatcher, as another process may take one meanwhile.
const startTries = 5

// startDispatcher starts a dispatcher with the command of the deploy file and waits until it answers PING.
func (t *trial) startDispatcher(index int, discovery string, known any, settings map[string]any) (*dispatcher, error) {
	for try := 1; ; try++ {
		listen, err := freeAddr()
		if err != nil {
			return nil, err
		}
		d, err := t.startDispatcherAt(listen, index, discovery, known, settings)
		if err == nil || try == startTries || !strings.Contains(err.Error(), "address already in use") {
			return d, err
		}
		t.note("another process took %s meanwhile", listen)
	}
}

// startDispatcherAt starts a dispatcher at an address, which is that of its predecessor after a restart.
func (t *trial) startDispatcherAt(
	listen string, index int, discovery string, known any, settings map[string]any,
) (*dispatcher, error) {
	command, err := t.deployCommand("run")
	if err != nil {
		return nil, err
	}
	own := map[string]any{}
	for name, value := range settings {
		own[name] = value
	}
	own["me"] = index
	name := fmt.Sprintf("n%d", index)
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": discovery,
		"seed":     fmt.Sprintf("%016x", time.Now().UnixNano()+int64(index)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known":    known,
		"settings": own,
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(t.temp, name+".json")
	if err := os.WriteFile(file, config, 0o644); err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp(t.temp, name)
	if err != nil {
		return nil, err
	}
	p, err := t.startProcess(name, []string{
		"RELAY_CONFIG=" + file, "RELAY_NAME=" + name, "RELAY_LISTEN=" + listen,
		"RELAY_DISCOVERY=" + discovery, "TMPDIR=" + temp,
	}, "/bin/sh", "-c", command)
	if err != nil {
		return nil, err
	}
	d := &dispatcher{process: p, listen: listen}
	return d, t.awaitReady(d)
}

const readyTimeout = 30 * time.Second

func (t *trial) awaitReady(d *dispatcher) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if d.ended() {
			return errors.New(d.name + " has ended: " + t.log(d.name))
		}
		c, err := dialClient(d.listen)
		if err != nil {
			continue
		}
		reply, err := c.call(command("PING"), time.Second)
		c.close()
		if err == nil && reply.text == "+PONG" {
			if time.Sleep(50 * time.Millisecond); !d.ended() { // otherwise another process has answered
				return nil
			}
		}
	}
	return errors.New(d.name + " is not ready")
}
