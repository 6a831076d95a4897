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

// The constants name the parts of the benchmark.
const (
	partShares   = "shares"
	partLatency  = "latency"
	partOverload = "overload"
	partLink     = "link"
)

// The constants are the orders in which the event loops of a gateway can serve volumes.
const (
	orderFair    = "fair"
	orderArrival = "arrival"
)

// largeObjectBytes is the size of a large object, in bytes.
const largeObjectBytes = 8 << 20

// noObjective is a latency objective that is long enough that the gateway rejects no request
// because of it.
const noObjective = 30 * time.Second

// shareBench measures how the weights of two volumes affect their throughput and latency.
type shareBench struct {
	out      io.Writer
	dir      string         // directory for settings files
	node     *bench.Process // current node
	duration time.Duration  // duration of one measurement
	loops    []int          // numbers of event loops to measure
	cores    int            // number of cores of the gateway
	parts    []string       // names of the parts to measure
	plot     string         // SVG file for the plot; if empty, no plot is written
}

// shareGateway configures the gateway of one measurement.
type shareGateway struct {
	loops            int           // number of event loops
	order            string        // order in which the event loops serve volumes
	weight           float64       // weight of the volume heavy; the volume light has weight 1
	queueTimeTarget  time.Duration // queue time target of the overload control; 0 disables it
	latencyObjective time.Duration // latency objective of all requests; 0 means noObjective
}

func benchShareCommand() *cobra.Command {
	b := shareBench{}
	c := &cobra.Command{
		Use:   "share",
		Short: "Measure the shares of two volumes in throughput and loop time",
		Long: `Measure what the weights of two volumes do for their throughput and for the latency of small
reads, compared with the same gateway in order of arrival. Gateway and node are processes of their own;
this process generates the load. The gateway determines the shares only while it is the bottleneck: on a
machine with few cores, give it one core (--cores). In the last part the node's link is the bottleneck.`,
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
	f.StringVar(&b.plot, "plot", "", "SVG file for a plot of the requests answered in time over the offered load")
	return c
}

// run starts the node and measures the selected parts.
func (b *shareBench) run(ctx context.Context) (err error) {
	if b.dir, err = os.MkdirTemp("", "chalkstand-bench"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(b.dir)) }()
	if err := b.startNode(ctx); err != nil {
		return err
	}
	defer func() { b.node.Stop() }() // The closure stops the current node, which measureLink replaces.
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

// listedObjects is the number of objects that a list request returns.
const listedObjects = 1000

// startNode starts a node with additional flags and stores the objects to read on it.
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

// withGateway starts a gateway with the configuration g, calls f and stops the gateway.
func (b *shareBench) withGateway(ctx context.Context, g shareGateway, f func(bench.Server) error) error {
	listen, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	file, err := bench.WriteFairSharingConfig(b.dir, bench.FairSharingConfig{
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

// newLoad returns a load that repeats one request to a server on a number of connections.
func newLoad(server bench.Server, name, method, path string, body []byte, conns int) *bench.Load {
	return &bench.Load{
		Name:   name,
		Conns:  conns,
		Target: newTarget(server, method, path, body),
	}
}

// runLoads runs the loads at the same time and measures them after a warm-up.
func (b *shareBench) runLoads(ctx context.Context, loads ...*bench.Load) ([]bench.Measurement, error) {
	return bench.RunTogether(ctx, loads, b.duration/4, b.duration)
}

// measureShares prints the throughput of both volumes for each number of event loops.
func (b *shareBench) measureShares(ctx context.Context) error {
	fmt.Fprintf(b.out, "8 MiB reads of two volumes, MiB/s\n%-6s %-8s %-7s %-14s %9s %9s %9s\n",
		"loops", "order", "weights", "connections", "heavy", "light", "ratio")
	for _, loops := range b.loops {
		if err := b.measureSharesByWeight(ctx, loops); err != nil {
			return err
		}
	}
	return nil
}

// linkMiB is the bandwidth of the node's link in MiB per second, in the part of the benchmark
// in which the link is the bottleneck.
const linkMiB = 200

// measureLink replaces the node with one whose link is the bottleneck, and prints the
// throughput of both volumes.
func (b *shareBench) measureLink(ctx context.Context) error {
	b.node.Stop()
	if err := b.startNode(ctx, "--link", strconv.Itoa(linkMiB), "--send-buffer", "65536"); err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n8 MiB reads from a node whose link has %d MiB/s\n", linkMiB)
	return b.measureSharesByWeight(ctx, b.loops[0])
}

// measureSharesByWeight measures the throughput of both volumes for each order and weight.
func (b *shareBench) measureSharesByWeight(ctx context.Context, loops int) error {
	for _, order := range []string{orderFair, orderArrival} {
		for _, weight := range []float64{1, 4, 16} {
			if err := b.measureLargeReads(ctx, shareGateway{loops: loops, order: order, weight: weight}); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureLargeReads measures large reads of both volumes, first with the same number of
// connections for each volume, then with different numbers.
func (b *shareBench) measureLargeReads(ctx context.Context, g shareGateway) error {
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

// backgroundLoads returns the loads on the volume light that run while small reads of the
// volume heavy are measured. The nil element stands for a measurement without such a load.
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

// measureLatencies prints the latency of small reads for each number of event loops and order.
func (b *shareBench) measureLatencies(ctx context.Context) error {
	fmt.Fprintf(b.out, "\n4 KiB reads of heavy on 2 connections, weights 4:1\n%-6s %-8s %-34s %9s %9s %9s %9s\n",
		"loops", "order", "beside light's", "a second", "median", "99 %", "others")
	for _, loops := range b.loops {
		for _, order := range []string{orderFair, orderArrival} {
			if err := b.measureSmallReads(ctx, shareGateway{loops: loops, order: order, weight: 4}); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureSmallReads measures small reads of the volume heavy with each of the background loads.
func (b *shareBench) measureSmallReads(ctx context.Context, g shareGateway) error {
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
				g.loops, g.order, name, m[0].RequestsPerSecond(), m[0].LatencyPercentile(50), m[0].LatencyPercentile(99), others)
		}
		return nil
	})
}
