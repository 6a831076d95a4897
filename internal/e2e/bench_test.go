package e2e

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/http1"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// plainNode answers every request head with the same bytes and allocates nothing
// for it, so that what a benchmark counts is the gateway's.
func plainNode(b *testing.B, answer []byte) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
			go func() {
				defer c.Close()
				buf := make([]byte, 64<<10)
				have := 0
				for {
					n, err := c.Read(buf[have:])
					if err != nil {
						return
					}
					have += n
					for {
						i := bytes.Index(buf[:have], []byte("\r\n\r\n"))
						if i < 0 {
							break
						}
						have = copy(buf, buf[i+4:have])
						if _, err := c.Write(answer); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkGet passes 4 KiB reads through a gateway: signature, every decision, one
// node connection. Its allocations are the gateway's for one request.
func BenchmarkGet(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkGet(b, false) })
	b.Run("accounts", func(b *testing.B) { benchmarkGet(b, true) })
}

func benchmarkGet(b *testing.B, accounts bool) {
	s := kit.Settings(1)
	s.Loops, s.Accounts.On = 1, accounts
	g, err := gateway.New(s, gateway.WithSeed(1))
	if err != nil {
		b.Fatal(err)
	}
	defer g.Close()
	answer := append([]byte("HTTP/1.1 200 OK\r\nContent-Type: image/jpeg\r\nETag: \"x\"\r\nendpoint-load-metrics: TEXT cpu_utilization=0.1, named_metrics.inflight=1.0\r\nContent-Length: 4096\r\n\r\n"),
		make([]byte, 4096)...)
	addr := plainNode(b, answer)
	g.UpdateEndpoints(dispatch.Snapshot, []forwarder.Node{{Addr: addr, Node: dispatch.Node{ID: "n"}}})
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	at := ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.Serve(ctx, ln)
	url := kit.PresignURL("GET", "http://"+at+"/photos/line-7/part-1.jpg", kit.KeyID, kit.Secret, time.Now(), "3600")
	text := []byte(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", url[len("http://"+at):], at))
	c, err := net.Dial("tcp", at)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 64<<10)
	var scan http1.Head
	var resp http1.Response
	round := func() {
		c.Write(text)
		have, need := 0, 1
		for have < need {
			n, err := c.Read(buf[have:])
			if err != nil {
				b.Fatal(err)
			}
			have += n
			if need == 1 {
				if k, _ := scan.ParseResponse(buf[:have], http1.DefaultLimits, "GET", &resp); k > 0 {
					if need = k + int(resp.Length); resp.Status != 200 {
						b.Fatalf("%d", resp.Status)
					}
				}
			}
		}
	}
	for range 100 {
		round()
	}
	b.ReportAllocs()
	for b.Loop() {
		round()
	}
}
