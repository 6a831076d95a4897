package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["9"] = caseLateUpload }

// uploadSettings are the settings of a small deployment of `serve` with the deadlines of casa-photo-store, and a limit
// on what a bucket may write.
const uploadSettings = `{
	"name": "review", "listen": "%s", "region": "us-east-1",
	"keys": [{"id": "` + keyID + `", "secret": "` + keySecret + `", "buckets": ["*"], "write": true}],
	"shards": %d,
	"nodes": [%s],
	"classes": [
		{"name": "photo-read", "aim": "300ms", "deadline": "1500ms", "worth": 3, "effect": "safe"},
		{"name": "photo-write", "aim": "500ms", "deadline": "4s", "worth": 2, "effect": "keyed", "group": "shard", "window": "4s"},
	],
	"plans": [{"name": "basic", "rate": 1, "reserve": 0.5, "weight": 1, "price": 1, "limit": 2, "burst": 5, "slack": 0}],
	"buckets": [{"pattern": "*", "plan": "basic"}],
	"operations": [
		{"operations": ["PutObject", "UploadPart"], "class": "photo-write", "units": 4},
		{"operations": ["*"], "class": "photo-read", "units": 1},
	],
	"rules": {"usual_units": 2, "largest_units": 5},
}`

// caseLateUpload: an upload waits for its bucket's limit, and the node that gets it then answers nothing. The client
// must get a final answer in its time.
func caseLateUpload(t *trial) error {
	const (
		shards   = 8 // and one of eight nodes is silent
		deadline = 4 * time.Second
		late     = 550 * time.Millisecond // so long an answer after its time only earns nothing; 50 ms are the slack on sockets
		size     = 100 << 10              // above limits.replay, so that it is streamed
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
	file := filepath.Join(t.temp, "serve.jsonc")
	text := fmt.Sprintf(uploadSettings, listen, shards, strings.Join(nodes, ", "))
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	gateway, err := t.startProcess("serve", nil, "bin/chalkstand", "serve", "--config", file)
	if err != nil {
		return err
	}
	if err := awaitTCP(listen); err != nil {
		return fmt.Errorf("%w: %s", err, t.log("serve"))
	}
	t.start = time.Now()
	t.sleepUntil(3 * time.Second) // the limit of the bucket has filled up
	if _, status, _, err := t.put(listen, keyOn(shards, 0), size, 20*time.Second); err != nil || status != http.StatusOK {
		return fmt.Errorf("the first upload: %d %w", status, err)
	}
	written, status, answered, err := t.put(listen, keyOn(shards, shards-1), size, 20*time.Second)
	if gateway.ended() {
		return errors.New("the gateway has ended: " + t.log("serve"))
	}
	if err != nil {
		t.violation("lost: no answer: %v", err)
		return nil
	}
	if took := answered.Sub(written); took > deadline+late {
		t.violation("lost: the final answer, %d, came %.3f s after the last byte of the request, whose client waits for %v",
			status, took.Seconds(), deadline)
	}
	return nil
}
