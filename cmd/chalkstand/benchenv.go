package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"chalkstand/lab/bench"
	"chalkstand/lab/sigv4client"
)

// smallObjectBytes is the size of a small object, in bytes.
const smallObjectBytes = 4 << 10

// nodeCores is the number of cores that the node's process uses.
const nodeCores = 2

// benchEnv holds a node that stores the objects to read, and a directory for settings files.
type benchEnv struct {
	dir  string
	node *bench.Process
}

// startBenchEnv starts a node and stores a small object and an object of largeMiB on it.
func startBenchEnv(ctx context.Context, largeMiB int) (*benchEnv, error) {
	dir, err := os.MkdirTemp("", "chalkstand-bench")
	if err != nil {
		return nil, err
	}
	node, err := bench.Start(ctx, nodeCores, "", "node", "--queue", "4096")
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	env := &benchEnv{dir: dir, node: node}
	objects := []struct {
		path  string
		bytes int
	}{
		{"/photos", 0},
		{"/photos/small", smallObjectBytes},
		{"/photos/large", largeMiB << 20},
	}
	for _, o := range objects {
		if err := putObject(ctx, node.Addr, o.path, make([]byte, o.bytes)); err != nil {
			return nil, errors.Join(err, env.close())
		}
	}
	return env, nil
}

// close stops the node and removes the directory.
func (e *benchEnv) close() error {
	e.node.Stop()
	return os.RemoveAll(e.dir)
}

// startGateway starts a gateway on one core, with or without latency attribution.
func (e *benchEnv) startGateway(ctx context.Context, attribution bool) (*bench.Process, error) {
	listen, err := freeAddress(ctx)
	if err != nil {
		return nil, err
	}
	file, err := bench.WriteConfig(e.dir, listen, e.node.Addr, attribution)
	if err != nil {
		return nil, err
	}
	return bench.Start(ctx, 1, listen, "serve", "--config", file)
}

// freeAddress returns a loopback address whose port is currently free.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// putObject stores an object at a node without a gateway. If the path is only a bucket name,
// putObject creates the bucket.
func putObject(ctx context.Context, addr, path string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("PUT %s at the node: status %s, expected 200", path, resp.Status)
	}
	return nil
}

// presignedSeconds is the time in seconds for which the signature of a request is valid. It is
// longer than any benchmark.
const presignedSeconds = "86400"

// newTarget returns a signed request to a server.
func newTarget(server bench.Server, method, path string, body []byte) bench.Target {
	u := sigv4client.URL(method, "http://"+server.Addr+path, bench.KeyID, bench.Secret, time.Now(), presignedSeconds)
	var head strings.Builder
	pathAndQuery := strings.TrimPrefix(u, "http://"+server.Addr)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, pathAndQuery, server.Addr)
	if method == http.MethodPut {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	return bench.Target{
		Server: server,
		Method: method,
		Head:   []byte(head.String()),
		Body:   body,
	}
}
