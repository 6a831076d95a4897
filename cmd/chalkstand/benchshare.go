package main

import (
	"bytes"
	"chalkstand/lab/bench"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// shareBench measures what weights do for bytes and turns.
type shareBench struct {
	out    io.Writer
	dir    string
	node   *bench.Process
	each   time.Duration
	loops  []int
	cores  int
	parts  []string
	target time.Duration // of waits under overload
	aim    time.Duration // of requests; 0: so long that none is refused
	plot   string
}

func benchShareCommand() *cobra.Command {
	b := shareBench{}
	c := &cobra.Command{
		Use: "share", Short: "Measure the shares of volumes in bytes and in turns of the loops",
		Long: `Measure what the weights of two volumes do for the bytes that they get and for the latency of small
reads, beside the same gateway with turns in order of arrival. Gateway and node are processes of their own;
the load is this process. Shares are those of the gateway as long as it is what is scarce: on a machine
with few cores, one core (--cores). A last part has a node whose link is scarce.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b.out = cmd.OutOrStdout()
			return b.run()
		},
	}
	c.Flags().DurationVar(&b.each, "each", 3*time.Second, "length of one measurement")
	c.Flags().IntSliceVar(&b.loops, "loops", []int{1, 4}, "event loops of the gateway")
	c.Flags().IntVar(&b.cores, "cores", 1, "cores of the gateway")
	c.Flags().StringSliceVar(&b.parts, "parts", []string{"shares", "latency", "overload", "link"}, "what to measure")
	c.Flags().StringVar(&b.plot, "plot", "", "SVG file for what was done in time by what was offered")
	return c
}

func (b *shareBench) run() error {
	var err error
	if b.dir, err = os.MkdirTemp("", "chalkstand-bench"); err != nil {
		return err
	}
	defer os.RemoveAll(b.dir)
	if err := b.startNode(); err != nil {
		return err
	}
	defer func() { b.node.Stop() }()
	if err := b.afore(); err != nil {
		return err
	}
	if slices.Contains(b.parts, "overload") {
		if err := b.overload(); err != nil {
			return err
		}
	}
	if !slices.Contains(b.parts, "link") {
		return nil
	}
	b.node.Stop()
	if err := b.startNode("--link", "200", "--send-buffer", "65536"); err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n8 MiB reads before a node whose link takes 200 MiB/s\n")
	return b.allShares(b.loops[0])
}

// afore measures before a node that is not scarce.
func (b *shareBench) afore() error {
	if slices.Contains(b.parts, "shares") {
		fmt.Fprintf(b.out, "8 MiB reads of two volumes, MiB/s\n%-6s %-8s %-7s %-14s %9s %9s %9s\n", "loops", "order", "weights", "connections", "heavy", "light", "ratio")
		for _, loops := range b.loops {
			if err := b.allShares(loops); err != nil {
				return err
			}
		}
	}
	if !slices.Contains(b.parts, "latency") {
		return nil
	}
	fmt.Fprintf(b.out, "\n4 KiB reads of heavy on 2 connections, weights 4:1\n%-6s %-8s %-34s %9s %9s %9s %9s\n", "loops", "order", "beside light's", "a second", "median", "99 %", "others")
	for _, loops := range b.loops {
		for _, order := range []string{"fair", "arrival"} {
			if err := b.latency(loops, order); err != nil {
				return err
			}
		}
	}
	return nil
}

// startNode starts a node that has the objects that are read.
func (b *shareBench) startNode(more ...string) (err error) {
	if b.node, err = bench.Start(2, "", append([]string{"node", "--queue", "8192", "--cores", "256"}, more...)...); err != nil {
		return err
	}
	for _, path := range []string{"/heavy", "/light"} {
		for _, x := range []struct {
			name string
			size int
		}{{"", 0}, {"/small", 4 << 10}, {"/large", 8 << 20}} {
			if err := put(b.node.Addr, path+x.name, make([]byte, x.size)); err != nil {
				return err
			}
		}
	}
	for i := range 1000 {
		if err := put(b.node.Addr, fmt.Sprintf("/light/line-7/photo-%04d", i), nil); err != nil {
			return err
		}
	}
	return nil
}

func (b *shareBench) allShares(loops int) error {
	for _, order := range []string{"fair", "arrival"} {
		for _, weight := range []float64{1, 4, 16} {
			if err := b.shares(loops, order, weight); err != nil {
				return err
			}
		}
	}
	return nil
}

// with runs a gateway for the time of f.
func (b *shareBench) with(loops int, order string, weight float64, f func(bench.Peer) error) error {
	listen, err := freePort()
	if err != nil {
		return err
	}
	file, err := bench.WriteShareConfig(b.dir, bench.ShareConfig{Listen: listen, Node: b.node.Addr, Order: order, Loops: loops, Weight: weight, Target: b.target, Aim: cmp.Or(b.aim, 30*time.Second)})
	if err != nil {
		return err
	}
	p, err := bench.Start(b.cores, listen, "serve", "--config", file)
	if err != nil {
		return err
	}
	defer p.Stop()
	return f(bench.Peer{Name: order, Addr: p.Addr, PID: p.PID()})
}

func load(p bench.Peer, name, method, path string, body []byte, conns int) *bench.Load {
	return &bench.Load{Name: name, Conns: conns, Target: bench.Target{Peer: p, Method: method, Text: presigned(p.Addr, method, path, len(body)), Body: body}}
}

func (b *shareBench) shares(loops int, order string, weight float64) error {
	return b.with(loops, order, weight, func(p bench.Peer) error {
		for _, n := range [][2]int{{8, 8}, {4, 64}} {
			f, err := bench.Together([]*bench.Load{load(p, "heavy", "GET", "/heavy/large", nil, n[0]), load(p, "light", "GET", "/light/large", nil, n[1])}, b.each/4, b.each)
			if err != nil {
				return err
			}
			rate := func(i int) float64 { return float64(f[i].Bytes) / (1 << 20) / f[i].Took.Seconds() }
			fmt.Fprintf(b.out, "%-6d %-8s %-7s %-14s %9.0f %9.0f %9.2f\n", loops, order, fmt.Sprintf("%g:1", weight), fmt.Sprintf("%d and %d", n[0], n[1]), rate(0), rate(1), rate(0)/rate(1))
		}
		return nil
	})
}

// floods are what the light volume does beside small reads.
func floods(p bench.Peer) []*bench.Load {
	return []*bench.Load{
		nil,
		load(p, "64 connections of 8 MiB reads", "GET", "/light/large", nil, 64),
		load(p, "256 connections of 4 KiB reads", "GET", "/light/small", nil, 256),
		load(p, "8 connections of lists of 1,000", "GET", "/light?list-type=2", nil, 8),
		load(p, "16 connections of 8 MiB writes", "PUT", "/light/w", make([]byte, 8<<20), 16),
	}
}

func (b *shareBench) latency(loops int, order string) error {
	return b.with(loops, order, 4, func(p bench.Peer) error {
		for _, flood := range floods(p) {
			loads, name, others := []*bench.Load{load(p, "heavy", "GET", "/heavy/small", nil, 2)}, "nothing", 0.0
			if flood != nil {
				loads, name = append(loads, flood), flood.Name
			}
			f, err := bench.Together(loads, b.each/4, b.each)
			if err != nil {
				return err
			}
			if flood != nil {
				others = float64(f[1].Bytes) / (1 << 20) / f[1].Took.Seconds()
			}
			q := func(p float64) time.Duration {
				return time.Duration(f[0].Latency.ValueAtQuantile(p)) * time.Microsecond
			}
			fmt.Fprintf(b.out, "%-6d %-8s %-34s %9.0f %9v %9v %9.0f\n", loops, order, name, f[0].PerSecond(), q(50), q(99), others)
		}
		return nil
	})
}

// put stores an object straight at a node.
func put(addr, path string, body []byte) error {
	r, err := http.NewRequest("PUT", "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("PUT %s at the node: %s", path, resp.Status)
	}
	return nil
}
