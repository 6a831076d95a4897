package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/lab/bench"
)

// The parts of the benchmark.
const (
	partShares   = "shares"
	partLatency  = "latency"
	partOverload = "overload"
	partLink     = "link"
)

// The orders in which a gateway's loops serve volumes.
const (
	orderFair    = "fair"
	orderArrival = "arrival"
)

// largeObjectBytes is the size of the objects of large requests.
const largeObjectBytes = 8 << 20

// noObjective is a latency objective so long that no request is rejected for it.
const noObjective = 30 * time.Second

// shareBench measures what weights of two volumes do for throughput and latency.
type shareBench struct {
	out      io.Writer
	dir      string // of settings
	node     *bench.Process
	duration time.Duration // of one measurement
	loops    []int         // numbers of event loops to measure
	cores    int           // of the gateway
	parts    []string
	plot     string // SVG file; empty: none
}

// shareGateway configures the gateway of one measurement.
type shareGateway struct {
	loops            int
	order            string
	weight           float64       // of heavy; light has 1
	queueTimeTarget  time.Duration // of the overload control; 0: no overload control
	latencyObjective time.Duration // 0: noObjective
}

func benchShareCommand() *cobra.Command {
	b := shareBench{}
	c := &cobra.Command{
		Use:   "share",
		Short: "Measure the shares of two volumes in throughput and loop time",
		Long: `Measure what the weights of two volumes do for their throughput and for the latency of small
reads, compared with the same gateway in order of arrival. Gateway and node are processes of their own;
the load is this process. The shares are the gateway's as long as it is the bottleneck: on a machine
with few cores, use one core (--cores). In the last part the node's link is the bottleneck.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b.out = cmd.OutOrStdout()
			return b.run(cmd.Context())
		},
	}
	f := c.Flags()
	f.DurationVar(&b.duration, "each", 3*time.Second, "duration of one measurement")
	f.IntSliceVar(&b.loops, "loops", []int{1, 4}, "numbers of event loops of the gateway")
	f.IntVar(&b.cores, "cores", 1, "cores of the gateway")
	f.StringSliceVar(&b.parts, "parts", []string{partShares, partLatency, partOverload, partLink}, "parts to measure")
	f.StringVar(&b.plot, "plot", "", "SVG file for requests in time over requests offered")
	return c
}

// run measures the parts in order.
func (b *shareBench) run(ctx context.Context) (err error) {
	if b.dir, err = os.MkdirTemp("", "chalkstand-bench"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(b.dir)) }()
	if err := b.startNode(ctx); err != nil {
		return err
	}
	defer func() { b.node.Stop() }() // the current one
	parts := []struct {
		name    string
		measure func(context.Context) error
	}{
		{partShares, b.measureShares},
		{partLatency, b.measureLatencies},
		{partOverload, b.measureOverload},
		{partLink, b.measureLink},
	}
	for _, p := range parts {
		if !slices.Contains(b.parts, p.name) {
			continue
		}
		if err := p.measure(ctx); err != nil {
			return err
		}
	}
	return nil
}

// listedObjects is how many objects a list request returns.
const listedObjects = 1000

// startNode starts a node that stores the objects that are read.
func (b *shareBench) startNode(ctx context.Context, flags ...string) error {
	args := append([]string{"node", "--queue", "8192", "--cores", "256"}, flags...)
	node, err := bench.Start(ctx, nodeCores, "", args...)
	if err != nil {
		return err
	}
	b.node = node
	objects := []struct {
		name  string
		bytes int
	}{
		{"", 0},
		{"/small", smallObjectBytes},
		{"/large", largeObjectBytes},
	}
	for _, bucket := range []string{"/heavy", "/light"} {
		for _, o := range objects {
			if err := putObject(ctx, b.node.Addr, bucket+o.name, make([]byte, o.bytes)); err != nil {
				return err
			}
		}
	}
	for i := range listedObjects {
		path := fmt.Sprintf("/light/line-7/photo-%04d", i)
		if err := putObject(ctx, b.node.Addr, path, nil); err != nil {
			return err
		}
	}
	return nil
}

// withGateway runs a gateway while f runs.
func (b *shareBench) withGateway(ctx context.Context, g shareGateway, f func(bench.Server) error) error {
	listen, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	file, err := bench.WriteShareConfig(b.dir, bench.ShareConfig{
		Listen:           listen,
		Node:             b.node.Addr,
		Order:            g.order,
		Loops:            g.loops,
		Weight:           g.weight,
		QueueTimeTarget:  g.queueTimeTarget,
		LatencyObjective: cmp.Or(g.latencyObjective, noObjective),
	})
	if err != nil {
		return err
	}
	p, err := bench.Start(ctx, b.cores, listen, "serve", "--config", file)
	if err != nil {
		return err
	}
	defer p.Stop()
	return f(bench.Server{Name: g.order, Addr: p.Addr, PID: p.PID()})
}

func newLoad(server bench.Server, name, method, path string, body []byte, conns int) *bench.Load {
	return &bench.Load{
		Name:   name,
		Conns:  conns,
		Target: newTarget(server, method, path, body),
	}
}

// runLoads runs the loads with a warm-up.
func (b *shareBench) runLoads(ctx context.Context, loads ...*bench.Load) ([]bench.Measurement, error) {
	return bench.RunTogether(ctx, loads, b.duration/4, b.duration)
}

func (b *shareBench) measureShares(ctx context.Context) error {
	fmt.Fprintf(b.out, "8 MiB reads of two volumes, MiB/s\n%-6s %-8s %-7s %-14s %9s %9s %9s\n",
		"loops", "order", "weights", "connections", "heavy", "light", "ratio")
	for _, loops := range b.loops {
		if err := b.sharesByWeight(ctx, loops); err != nil {
			return err
		}
	}
	return nil
}

// linkMiB is the bandwidth of the node's link where it is the bottleneck, MiB a second.
const linkMiB = 200

func (b *shareBench) measureLink(ctx context.Context) error {
	b.node.Stop()
	if err := b.startNode(ctx, "--link", strconv.Itoa(linkMiB), "--send-buffer", "65536"); err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n8 MiB reads from a node whose link has %d MiB/s\n", linkMiB)
	return b.sharesByWeight(ctx, b.loops[0])
}

// sharesByWeight measures the shares for each order and weight.
func (b *shareBench) sharesByWeight(ctx context.Context, loops int) error {
	for _, order := range []string{orderFair, orderArrival} {
		for _, weight := range []float64{1, 4, 16} {
			if err := b.shares(ctx, shareGateway{loops: loops, order: order, weight: weight}); err != nil {
				return err
			}
		}
	}
	return nil
}

// shares measures large reads of both volumes, on equal and on different numbers of connections.
func (b *shareBench) shares(ctx context.Context, g shareGateway) error {
	return b.withGateway(ctx, g, func(server bench.Server) error {
		for _, conns := range [][2]int{{8, 8}, {4, 64}} {
			m, err := b.runLoads(ctx,
				newLoad(server, "heavy", http.MethodGet, "/heavy/large", nil, conns[0]),
				newLoad(server, "light", http.MethodGet, "/light/large", nil, conns[1]))
			if err != nil {
				return err
			}
			heavy, light := m[0].MiBPerSecond(), m[1].MiBPerSecond()
			fmt.Fprintf(b.out, "%-6d %-8s %-7s %-14s %9.0f %9.0f %9.2f\n",
				g.loops, g.order, fmt.Sprintf("%g:1", g.weight), fmt.Sprintf("%d and %d", conns[0], conns[1]),
				heavy, light, heavy/light)
		}
		return nil
	})
}

// backgroundLoads returns the loads of the light volume beside which small reads are measured.
func backgroundLoads(server bench.Server) []*bench.Load {
	body := make([]byte, largeObjectBytes)
	return []*bench.Load{
		nil,
		newLoad(server, "64 connections of 8 MiB reads", http.MethodGet, "/light/large", nil, 64),
		newLoad(server, "256 connections of 4 KiB reads", http.MethodGet, "/light/small", nil, 256),
		newLoad(server, "8 connections of lists of 1,000", http.MethodGet, "/light?list-type=2", nil, 8),
		newLoad(server, "16 connections of 8 MiB writes", http.MethodPut, "/light/w", body, 16),
	}
}

func (b *shareBench) measureLatencies(ctx context.Context) error {
	fmt.Fprintf(b.out, "\n4 KiB reads of heavy on 2 connections, weights 4:1\n%-6s %-8s %-34s %9s %9s %9s %9s\n",
		"loops", "order", "beside light's", "a second", "median", "99 %", "others")
	for _, loops := range b.loops {
		for _, order := range []string{orderFair, orderArrival} {
			if err := b.latencies(ctx, shareGateway{loops: loops, order: order, weight: 4}); err != nil {
				return err
			}
		}
	}
	return nil
}

// latencies measures small reads of the heavy volume beside each background load.
func (b *shareBench) latencies(ctx context.Context, g shareGateway) error {
	return b.withGateway(ctx, g, func(server bench.Server) error {
		for _, background := range backgroundLoads(server) {
			loads := []*bench.Load{newLoad(server, "heavy", http.MethodGet, "/heavy/small", nil, 2)}
			name := "nothing"
			if background != nil {
				loads = append(loads, background)
				name = background.Name
			}
			m, err := b.runLoads(ctx, loads...)
			if err != nil {
				return err
			}
			others := 0.0
			if background != nil {
				others = m[1].MiBPerSecond()
			}
			fmt.Fprintf(b.out, "%-6d %-8s %-34s %9.0f %9v %9v %9.0f\n",
				g.loops, g.order, name, m[0].PerSecond(), m[0].Quantile(50), m[0].Quantile(99), others)
		}
		return nil
	})
}
