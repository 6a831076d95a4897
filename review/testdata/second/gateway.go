package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"chalkstand/dispatch"
	"chalkstand/lab/sigv4client"
	"chalkstand/placement"
	"fmt"
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
