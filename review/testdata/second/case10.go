package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"chalkstand/dispatch"
	"chalkstand/lab/sigv4client"
	"chalkstand/placement"
)

const (
	keyID     = "REVIEW"
	keySecret = "review-secret"
	bucket    = "photos"
)

// gatewaySettings are the settings of a small deployment of `serve`, in the form of configs/quickstart.jsonc.
const gatewaySettings = `{
	"name": "review", "listen": "%s", "region": "us-east-1",
	"keys": [{"id": "` + keyID + `", "secret": "` + keySecret + `", "buckets": ["*"], "write": true}],
	"shards": %d,
	"nodes": [%s],
	"classes": [
		{"name": "read", "aim": "300ms", "deadline": "5s", "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "1s", "deadline": "10s", "worth": 2, "effect": "keyed", "group": "shard", "window": "30s", "in_turn": true},
		{"name": "list", "aim": "2s", "deadline": "10s", "worth": 1, "effect": "safe"},
	],
	"plans": [{"name": "standard", "rate": 2000, "reserve": 1000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "standard"}],
	"operations": [
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 2, "assume_bytes": 65536},
		{"operations": ["HeadObject", "HeadBucket", "GetBucketLocation", "GetBucketVersioning"], "class": "read", "units": 1},
		{"operations": ["ListObjects", "ListObjectsV2", "ListMultipartUploads", "ListParts", "ListBuckets"], "class": "list", "units": 2},
		{"operations": ["*"], "class": "write", "units": 1},
	],
	"rules": {"usual_units": 1.5, "largest_units": 64},
}`

// slowProxy passes requests on to a node. While slow is set, lists come a second late.
type slowProxy struct {
	trial *trial
	name  string
	to    *httputil.ReverseProxy
	slow  atomic.Bool
}

const listDelay = time.Second

func (p *slowProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.trial.note("%s received %s %s, x-chalkstand-key %q", p.name, r.Method, r.URL, r.Header.Get("x-chalkstand-key"))
	if p.slow.Load() && r.Method == http.MethodGet && r.URL.Query().Has("list-type") {
		time.Sleep(listDelay)
	}
	p.to.ServeHTTP(w, r)
}

// startNode starts a storage node of the project, and a proxy in front of it.
func (t *trial) startNode(shard int) (*slowProxy, string, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, "", err
	}
	name := fmt.Sprintf("node-%d", shard)
	if _, err := t.startProcess(name, nil, "bin/chalkstand", "node", "--listen", addr, "--id", name,
		"--shard", fmt.Sprint(shard)); err != nil {
		return nil, "", err
	}
	proxy := &slowProxy{
		trial: t, name: name, to: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr}),
	}
	proxy.to.ModifyResponse = func(r *http.Response) error {
		t.note("%s answered %s %s: %d", name, r.Request.Method, r.Request.URL, r.StatusCode)
		return nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(ln, proxy) }()
	return proxy, ln.Addr().String(), awaitTCP(addr)
}

func awaitTCP(addr string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			return conn.Close()
		}
	}
	return errors.New("nothing listens on " + addr)
}

// objectClient is a client of the object API.
type objectClient struct {
	trial *trial
	addr  string
}

func (c *objectClient) do(method, path, body string) (status int, text string, err error) {
	r, err := http.NewRequest(method, "http://"+c.addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	sigv4client.Request(r, keyID, keySecret, time.Now())
	c.trial.note("client sends %s %s", method, path)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	text = string(b)
	code := ""
	if _, rest, found := strings.Cut(text, "<Code>"); found {
		code, _, _ = strings.Cut(rest, "</Code>")
	}
	c.trial.note("client: %s %s answered %d %s", method, path, resp.StatusCode, code)
	return resp.StatusCode, text, err
}

// keyOn returns a key of the bucket on a shard.
func keyOn(shards int, shard dispatch.Shard) string {
	volume := placement.New(shards).Volume(bucket, 0)
	for i := 0; ; i++ {
		if key := fmt.Sprintf("line-7/part-%d.jpg", i); volume.Shard(key) == shard {
			return key
		}
	}
}

func init() { cases["10"] = caseDeletedBucket }

// caseDeletedBucket: a client deletes an empty bucket. While one node is slow to list it, another client writes an
// object there. The deletion is refused with BucketNotEmpty, so the bucket must still be there.
func caseDeletedBucket(t *trial) error {
	const shards = 8 // and one of eight nodes is slow
	var proxies []*slowProxy
	var nodes []string
	for i := range shards {
		proxy, addr, err := t.startNode(i)
		if err != nil {
			return err
		}
		proxies = append(proxies, proxy)
		nodes = append(nodes, fmt.Sprintf(`{"id": "n%d", "addr": "%s", "shard": %d}`, i, addr, i))
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(t.temp, "serve.jsonc")
	text := fmt.Sprintf(gatewaySettings, listen, shards, strings.Join(nodes, ", "))
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
	c := &objectClient{trial: t, addr: listen}
	if status, text, err := c.do(http.MethodPut, "/"+bucket, ""); err != nil || status != http.StatusOK {
		return fmt.Errorf("create the bucket: %d %s %w", status, text, err)
	}
	proxies[shards-1].slow.Store(t.trouble)
	type answer struct {
		status int
		err    error
	}
	deleted := make(chan answer, 1)
	go func() {
		status, _, err := c.do(http.MethodDelete, "/"+bucket, "")
		deleted <- answer{status, err}
	}()
	time.Sleep(300 * time.Millisecond)
	first, second := keyOn(shards, 0), keyOn(shards, 1)
	put, _, err := c.do(http.MethodPut, "/"+bucket+"/"+first, "a photo")
	if err != nil {
		return err
	}
	deletion := <-deleted
	if deletion.err != nil {
		return deletion.err
	}
	proxies[shards-1].slow.Store(false)
	if gateway.ended() {
		return errors.New("the gateway has ended: " + t.log("serve"))
	}
	if put != http.StatusOK || deletion.status == http.StatusNoContent {
		t.note("the bucket was deleted, or the object was not taken: nothing to check")
		return nil
	}
	// The object was taken and the deletion was not. The bucket must serve as before.
	if status, text, err := c.do(http.MethodGet, "/"+bucket+"?list-type=2", ""); err != nil {
		return err
	} else if status != http.StatusOK || !strings.Contains(text, first) {
		t.violation("the deletion was refused with %d, and the bucket's list does not hold the object that was taken: %d",
			deletion.status, status)
	}
	if status, _, err := c.do(http.MethodPut, "/"+bucket+"/"+second, "a photo"); err != nil {
		return err
	} else if status != http.StatusOK {
		t.violation("the deletion was refused with %d, and a write to the bucket is answered with %d", deletion.status, status)
	}
	return nil
}
