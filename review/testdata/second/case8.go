package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = caseShutdownWithSilentNode }

// caseShutdownWithSilentNode: `serve` is told to end while a node that has uploads answers nothing, through the whole of
// the shutdown. The uploads were taken before, so their clients must get a final answer.
func caseShutdownWithSilentNode(t *trial) error {
	const (
		shards  = 8 // and one of eight nodes is silent
		size    = 100 << 10
		uploads = 6
		termAt  = 2 * time.Second
	)
	var nodes []string
	for i := range shards {
		addr, err := silentNode(t, fmt.Sprintf("node-%d", i), t.trouble && i == shards-1)
		if err != nil {
			return err
		}
		nodes = append(nodes, fmt.Sprintf(`{"id": "n%d", "addr": "%s", "shard": %d}`, i, addr, i))
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	// The classes, plans and operations of configs/quickstart.jsonc, and its limits, which are the defaults.
	text, err := os.ReadFile(filepath.Join(t.root, "configs", "quickstart.jsonc"))
	if err != nil {
		return err
	}
	settings := string(text)
	for _, change := range [][2]string{
		{`"listen": "127.0.0.1:9000"`, fmt.Sprintf(`"listen": "%s"`, listen)},
		{`"admin": "127.0.0.1:9001", // /metrics and /healthz`, ""},
		{`"shards": 4`, fmt.Sprintf(`"shards": %d`, shards)},
		{`"embedded_nodes": {"cores": 4, "queue": 256, "per_unit": "0s"}`, `"nodes": [` + strings.Join(nodes, ", ") + `]`},
		{"QUICKSTART", keyID}, {"quickstart-secret", keySecret},
	} {
		if !strings.Contains(settings, change[0]) {
			return fmt.Errorf("configs/quickstart.jsonc has no %s", change[0])
		}
		settings = strings.Replace(settings, change[0], change[1], 1)
	}
	file := filepath.Join(t.temp, "serve.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return err
	}
	gateway, err := t.startProcess("serve", nil, "bin/chalkstand", "serve", "--config", file)
	if err != nil {
		return err
	}
	if err := awaitTCP(listen); err != nil {
		return fmt.Errorf("%w: %s", err, t.log("serve"))
	}
	key := keyOn(shards, shards-1)
	t.start = time.Now()
	go func() {
		t.sleepUntil(termAt)
		t.note("serve gets SIGTERM")
		_ = gateway.cmd.Process.Signal(syscall.SIGTERM)
		<-gateway.done
		t.note("serve has ended: %v", gateway.cmd.ProcessState)
	}()
	if !t.trouble {
		t.sleepUntil(termAt - 100*time.Millisecond)
	}
	var wg sync.WaitGroup
	notWritten := make(chan error, uploads)
	for range uploads {
		wg.Go(func() {
			written, _, _, err := t.put(listen, key, size, longest)
			if written.IsZero() {
				notWritten <- fmt.Errorf("an upload: %w", err)
			} else if err != nil {
				t.violation("lost: the connection of an upload that was taken %.1f s before SIGTERM ended with no answer, %.1f s "+
					"after its last byte: %v", t.start.Add(termAt).Sub(written).Seconds(), time.Since(written).Seconds(), err)
			}
		})
	}
	wg.Wait()
	close(notWritten)
	if err := <-notWritten; err != nil {
		return err
	}
	select {
	case <-gateway.done:
	case <-time.After(10 * time.Second):
		return errors.New("serve has not ended")
	}
	return nil
}
