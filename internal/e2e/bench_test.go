package e2e

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/http1"
	kit "chalkstand/internal/testkit"
)

const (
	benchBodySize   = 4 << 10  // bytes in the object that the benchmark reads
	benchBufferSize = 64 << 10 // bytes; larger than any request or response of the benchmark
	benchWarmUp     = 100      // requests that the benchmark sends before it starts to measure
)

// BenchmarkGet reads a 4 KiB object through a gateway and one node connection. The reported allocations are
// those of the gateway for one request, because the benchmark's client and node allocate nothing for a request.
// The sub-benchmark "accounts" runs with latency attribution, "plain" without.
func BenchmarkGet(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkGet(b, false) })
	b.Run("accounts", func(b *testing.B) { benchmarkGet(b, true) })
}

func benchmarkGet(b *testing.B, attribution bool) {
	b.Helper()
	s := kit.Settings(1)
	s.Loops = 1
	s.Attribution.Enabled = attribution
	g, err := gateway.New(s, gateway.WithSeed(1))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := g.Close(); err != nil {
			b.Error(err)
		}
	})
	nodeAddr := startFixedResponseNode(b, benchResponse())
	g.UpdateEndpoints(dispatch.Snapshot, []forwarder.Node{{Addr: nodeAddr, Node: dispatch.Node{ID: "n"}}})
	c := newBenchClient(b, kit.Serve(b, g))
	for range benchWarmUp {
		if err := c.get(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := c.get(); err != nil {
			b.Fatal(err)
		}
	}
}

// benchResponse returns the node's response, which has a load report in its header and an object as its body.
func benchResponse() []byte {
	header := "HTTP/1.1 200 OK\r\n" +
		"Content-Type: image/jpeg\r\n" +
		"ETag: \"x\"\r\n" +
		"endpoint-load-metrics: TEXT cpu_utilization=0.1, named_metrics.inflight=1.0\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", benchBodySize)
	return append([]byte(header), make([]byte, benchBodySize)...)
}

// startFixedResponseNode starts a node that sends the same response to every request, and returns the node's
// address. The node allocates nothing for a request, so that a benchmark counts only the gateway's allocations.
func startFixedResponseNode(b *testing.B, response []byte) string {
	b.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveFixedResponse(c, response)
		}
	}()
	return ln.Addr().String()
}

// serveFixedResponse writes the response once for each request, until the connection ends. Requests must not
// have a body.
func serveFixedResponse(c net.Conn, response []byte) {
	defer c.Close()
	headerEnd := []byte("\r\n\r\n")
	buf := make([]byte, benchBufferSize)
	buffered := 0
	for {
		n, err := c.Read(buf[buffered:])
		if err != nil {
			return
		}
		buffered += n
		for {
			i := bytes.Index(buf[:buffered], headerEnd)
			if i < 0 {
				break
			}
			buffered = copy(buf, buf[i+len(headerEnd):buffered])
			if _, err := c.Write(response); err != nil {
				return
			}
		}
	}
}

// benchClient sends the same request repeatedly on one connection, without allocating memory for a request.
type benchClient struct {
	conn     net.Conn
	request  []byte
	buf      []byte
	parser   http1.HeadParser
	response http1.Response
}

func newBenchClient(b *testing.B, addr string) *benchClient {
	b.Helper()
	base := "http://" + addr
	url := kit.PresignURL(http.MethodGet, base+"/photos/line-7/part-1.jpg", kit.KeyID, kit.Secret, time.Now(), "3600")
	target := strings.TrimPrefix(url, base)
	return &benchClient{
		conn:    kit.Dial(b, addr),
		request: fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, addr),
		buf:     make([]byte, benchBufferSize),
	}
}

// get sends the request and reads the whole response.
func (c *benchClient) get() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	size := 0 // bytes in the whole response; 0 until the response header is complete
	for received := 0; size == 0 || received < size; {
		n, err := c.conn.Read(c.buf[received:])
		if err != nil {
			return err
		}
		received += n
		if size > 0 {
			continue
		}
		if size, err = c.responseSize(c.buf[:received]); err != nil {
			return err
		}
	}
	return nil
}

// responseSize returns the size of a response, header included, given the bytes received so far. If these bytes
// do not hold the whole header, responseSize returns 0.
func (c *benchClient) responseSize(received []byte) (int, error) {
	headerSize, _ := c.parser.ParseResponse(received, http1.DefaultLimits, http.MethodGet, &c.response)
	if headerSize <= 0 {
		return 0, nil
	}
	if c.response.Status != http.StatusOK {
		return 0, fmt.Errorf("response to GET has status %d, expected 200", c.response.Status)
	}
	return headerSize + int(c.response.Length), nil
}
