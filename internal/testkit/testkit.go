// Package testkit starts gateways with stand-in nodes on loopback for tests.
package testkit

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/minio/minio-go/v7"
	miniocreds "github.com/minio/minio-go/v7/pkg/credentials"
)

// The keys of the test settings.
const (
	KeyID  = "TESTKEY"
	Secret = "test-secret-key"
)

// Settings returns settings of one gateway over so many shards.
func Settings(shards int) settings.Settings {
	s, err := settings.Parse("testkit", []byte(fmt.Sprintf(text, shards)))
	if err != nil {
		panic(err)
	}
	return *s
}

const text = `{
	"name": "gw", "listen": "127.0.0.1:0", "domains": ["localhost"], "loops": 2, "shards": %d,
	"keys": [
		{"id": "TESTKEY", "secret": "test-secret-key", "buckets": ["*"], "write": true},
		{"id": "READER", "secret": "reader-secret", "buckets": ["photos*"]},
	],
	"classes": [
		{"name": "read", "aim": "2s", "deadline": "4s", "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "3s", "deadline": "6s", "worth": 2, "effect": "keyed", "group": "shard", "window": "30s", "in_turn": true},
		{"name": "bulk", "aim": "30s", "deadline": "60s", "worth": 1, "effect": "keyed", "group": "shard", "window": "30s"},
	],
	"plans": [{"name": "standard", "rate": 10000, "reserve": 5000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "closed-*", "plan": "standard", "spread": 1}, {"pattern": "*", "plan": "standard"}],
	"operations": [
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 1, "assume_bytes": 65536},
		{"operations": ["HeadObject", "HeadBucket", "ListObjects", "ListObjectsV2", "ListMultipartUploads", "ListParts", "ListBuckets",
			"GetBucketLocation", "GetBucketVersioning"], "class": "read", "units": 1},
		{"operations": ["PutObject", "UploadPart"], "max_bytes": 65536, "class": "write", "units": 1},
		{"operations": ["PutObject", "UploadPart", "CopyObject", "UploadPartCopy"], "class": "bulk", "units": 1, "per_mib": 1},
		{"operations": ["*"], "class": "write", "units": 1},
	],
	"rules": {"usual_units": 1, "largest_units": 16, "settle": "50ms"},
}`

// Site is a gateway with a stand-in node for each shard.
type Site struct {
	T        testing.TB
	G        *gateway.Gateway
	Addr     string
	Settings settings.Settings
	Data     []*storagenode.Dataset
	Nodes    []*storagenode.Node
	Epoch    time.Time
}

// Start runs a site; the test's end stops it. node, if it is there, changes what
// the nodes are like.
func Start(t testing.TB, s settings.Settings, node func(i int, c *storagenode.Config), opts ...gateway.Option) *Site {
	t.Helper()
	g, err := gateway.New(s, append(opts, gateway.WithSeed(1))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.Close() })
	e := &Site{T: t, G: g, Settings: s, Epoch: time.Now()}
	for i := range s.Shards {
		e.Data = append(e.Data, storagenode.NewDataset(""))
		e.AddNode(fmt.Sprintf("node-%d", i), i, node)
	}
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.Addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go g.Serve(ctx, ln)
	return e
}

// AddNode starts a node for a shard and lists it.
func (e *Site) AddNode(id string, shard int, change func(int, *storagenode.Config)) *storagenode.Node {
	e.T.Helper()
	cfg := storagenode.Config{ID: id, Shard: shard, DedupWindow: 30 * time.Second, Seed: uint64(shard)}
	if change != nil {
		change(shard, &cfg)
	}
	n, err := storagenode.Start("127.0.0.1:0", cfg, e.Data[shard], nil, e.Epoch)
	if err != nil {
		e.T.Fatal(err)
	}
	e.T.Cleanup(n.Stop)
	e.Nodes = append(e.Nodes, n)
	e.List(n, shard, dispatch.Ready)
	return n
}

// List tells the gateway of a node's state.
func (e *Site) List(n *storagenode.Node, shard int, s dispatch.NodeState) {
	e.G.UpdateEndpoints(dispatch.Delta, []forwarder.Node{{Addr: n.Addr(), Node: dispatch.Node{ID: dispatch.NodeID(n.ID()), Shard: dispatch.Shard(shard), State: s}}})
}

// Log returns what reached all nodes.
func (e *Site) Log() []storagenode.LogEntry {
	var all []storagenode.LogEntry
	for _, n := range e.Nodes {
		all = append(all, n.Log()...)
	}
	return all
}

// AWS returns an unmodified aws-sdk-go-v2 client with its default settings.
func (e *Site) AWS() *s3.Client {
	return s3.New(s3.Options{
		BaseEndpoint: aws.String("http://" + e.Addr), Region: "us-east-1", UsePathStyle: true,
		Credentials: credentials.NewStaticCredentialsProvider(KeyID, Secret, ""),
	})
}

// Minio returns an unmodified minio-go client with its default settings.
func (e *Site) Minio() *minio.Client {
	c, err := minio.New(e.Addr, &minio.Options{Creds: miniocreds.NewStaticV4(KeyID, Secret, "")})
	if err != nil {
		e.T.Fatal(err)
	}
	return c
}

// Bytes returns n bytes that depend on the seed.
func Bytes(seed uint64, n int) []byte {
	b := make([]byte, n)
	c := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	c.Read(b)
	return b
}

// Same fails the test when two byte strings differ.
func Same(t testing.TB, what string, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Fatalf("%s: %d bytes differ from %d wanted", what, len(got), len(want))
	}
}

// ReadAll reads a body to its end and fails the test when it cannot.
func ReadAll(t testing.TB, r io.ReadCloser) []byte {
	t.Helper()
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Must fails the test on an error.
func Must[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// WithSigned sends a request signed with the test key and an unsigned payload.
func (e *Site) Signed(method, path string, header http.Header, body io.Reader) *http.Response {
	e.T.Helper()
	req, err := http.NewRequest(method, "http://"+e.Addr+path, body)
	if err != nil {
		e.T.Fatal(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	SignRequest(req, KeyID, Secret, time.Now())
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		e.T.Fatal(err)
	}
	return resp
}
