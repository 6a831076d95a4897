package testkit

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/minio/minio-go/v7"
	miniocredentials "github.com/minio/minio-go/v7/pkg/credentials"

	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	dedupWindow     = 30 * time.Second // the nodes' deduplication window, equal to "window" in settingsFormat
)

// Site is a gateway on loopback with one or more fake storage nodes for each shard.
type Site struct {
	Gateway *gateway.Gateway
	Addr    string                 // the gateway's address, as host:port
	Data    []*storagenode.Dataset // the stored objects of each shard
	Nodes   []*storagenode.Node    // all nodes, in the order in which they were started
	Epoch   time.Time              // the nodes' logs give times as durations since Epoch

	tb testing.TB
}

// Start starts a site with one node for each shard, and stops the site at the end of the test. Before a node
// starts, Start passes the shard and the node's configuration to configureNode, which may change the
// configuration. configureNode may be nil.
func Start(
	tb testing.TB,
	s settings.Settings,
	configureNode func(shard int, c *storagenode.Config),
	opts ...gateway.Option,
) *Site {
	tb.Helper()
	g, err := gateway.New(s, append(opts, gateway.WithSeed(1))...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := g.Close(); err != nil {
			tb.Error(err)
		}
	})
	site := &Site{Gateway: g, Epoch: time.Now(), tb: tb}
	for shard := range s.Shards {
		site.Data = append(site.Data, storagenode.NewDataset(""))
		site.AddNode(fmt.Sprintf("node-%d", shard), shard, configureNode)
	}
	site.Addr = Serve(tb, g)
	return site
}

// Serve makes a gateway serve on a loopback port until the end of the test, and returns the gateway's address.
func Serve(tb testing.TB, g *gateway.Gateway) string {
	tb.Helper()
	ln, err := gateway.Listen(loopbackAnyPort)
	if err != nil {
		tb.Fatal(err)
	}
	addr := ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- g.Serve(ctx, ln) }()
	tb.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			tb.Error(err)
		}
	})
	return addr
}

// AddNode starts a node for a shard and reports the node to the gateway as a ready endpoint. Before the node
// starts, AddNode passes the shard and the node's configuration to configure, which may change the configuration.
// configure may be nil.
func (s *Site) AddNode(id string, shard int, configure func(shard int, c *storagenode.Config)) *storagenode.Node {
	s.tb.Helper()
	cfg := storagenode.Config{ID: id, Shard: shard, DedupWindow: dedupWindow, Seed: uint64(shard)}
	if configure != nil {
		configure(shard, &cfg)
	}
	n, err := storagenode.Start(loopbackAnyPort, cfg, s.Data[shard], nil, s.Epoch)
	if err != nil {
		s.tb.Fatal(err)
	}
	s.tb.Cleanup(n.Stop)
	s.Nodes = append(s.Nodes, n)
	s.SetNodeState(n, shard, dispatch.Ready)
	return n
}

// SetNodeState reports a node's new state to the gateway.
func (s *Site) SetNodeState(n *storagenode.Node, shard int, state dispatch.NodeState) {
	s.Gateway.UpdateEndpoints(dispatch.Delta, []forwarder.Node{{
		Addr: n.Addr(),
		Node: dispatch.Node{ID: dispatch.NodeID(n.ID()), Shard: dispatch.Shard(shard), State: state},
	}})
}

// Log returns the log entries of all requests that reached a node, first those of Nodes[0], then those of
// Nodes[1], and so on.
func (s *Site) Log() []storagenode.LogEntry {
	var all []storagenode.LogEntry
	for _, n := range s.Nodes {
		all = append(all, n.Log()...)
	}
	return all
}

// AWSClient returns an aws-sdk-go-v2 client of the gateway. The client has the SDK's default settings except
// for the endpoint, the region, path-style URLs and the access key.
func (s *Site) AWSClient() *s3.Client {
	return s3.New(s3.Options{
		BaseEndpoint: aws.String("http://" + s.Addr),
		Region:       "us-east-1",
		UsePathStyle: true,
		Credentials:  credentials.NewStaticCredentialsProvider(KeyID, Secret, ""),
	})
}

// MinioClient returns a minio-go client of the gateway with minio-go's default settings.
func (s *Site) MinioClient() *minio.Client {
	s.tb.Helper()
	return NewMinioClient(s.tb, s.Addr)
}

// NewMinioClient returns a minio-go client with default settings of the gateway or proxy at addr.
func NewMinioClient(tb testing.TB, addr string) *minio.Client {
	tb.Helper()
	c, err := minio.New(addr, &minio.Options{Creds: miniocredentials.NewStaticV4(KeyID, Secret, "")})
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// Dial opens a TCP connection to the gateway. The test may close the connection; otherwise it is closed at the
// end of the test.
func (s *Site) Dial() net.Conn {
	s.tb.Helper()
	return Dial(s.tb, s.Addr)
}

// Dial opens a TCP connection to addr. The test may close the connection; otherwise it is closed at the end of
// the test.
func Dial(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	var d net.Dialer
	c, err := d.DialContext(tb.Context(), "tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = c.Close() // the test may have closed the connection already
	})
	return c
}
