package main

import (
	"chalkstand/lab/bench"
	"chalkstand/lab/sigv4client"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

func benchCommand() *cobra.Command {
	var each time.Duration
	var conns, rounds, big int
	var small, showRounds bool
	c := &cobra.Command{
		Use: "bench", Short: "Measure a gateway beside a plain reverse proxy on the same node",
		Long: `Measure a gateway on one core beside net/http/httputil's reverse proxy on one core, both
before the same stand-in node (two cores), each in a process of its own on loopback. The gateway
checks a signature and makes every decision; the proxy passes on. A second gateway keeps no latency
accounts. Rounds alternate between the peers.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runBench(cmd.OutOrStdout(), each, conns, rounds, big, small, showRounds)
		},
	}
	c.Flags().DurationVar(&each, "each", 3*time.Second, "length of one measurement")
	c.Flags().IntVar(&conns, "conns", 32, "connections for the highest rate")
	c.Flags().IntVar(&rounds, "rounds", 3, "rounds; the median one is shown")
	c.Flags().BoolVar(&showRounds, "show-rounds", false, "show each round")
	c.Flags().BoolVar(&small, "small", false, "small requests only")
	c.Flags().IntVar(&big, "mib", 64, "size of large bodies, MiB")
	c.AddCommand(&cobra.Command{
		Use: "proxy TARGET", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), ln.Addr())
			return bench.Proxy(ln, args[0])
		},
	})
	var pairs int
	acc := &cobra.Command{
		Use: "accounts", Short: "Measure what latency accounts cost, in pairs of short runs that alternate", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return benchAccounts(cmd.OutOrStdout(), each, conns, pairs)
		},
	}
	acc.Flags().IntVar(&pairs, "pairs", 30, "pairs of runs")
	acc.Flags().DurationVar(&each, "each", time.Second, "length of a run")
	acc.Flags().IntVar(&conns, "conns", 32, "connections")
	c.AddCommand(acc, benchShareCommand())
	return c
}

// benchAccounts runs a gateway with accounts and one without in turn, in an order
// that changes with each pair, and tells the median ratio of their rates and of the
// processor time of a request.
func benchAccounts(out io.Writer, each time.Duration, conns, pairs int) error {
	dir, node, stop, err := startSeeded(1)
	if err != nil {
		return err
	}
	defer stop()
	var peers [2]bench.Peer
	for i, on := range []bool{true, false} {
		p, err := startGateway(dir, node.Addr, on)
		if err != nil {
			return err
		}
		defer p.Stop()
		peers[i] = bench.Peer{Name: []string{"with accounts", "without"}[i], Addr: p.Addr, PID: p.PID()}
	}
	var rates, cpus []float64
	var sum [2]bench.Figures
	for n := range pairs {
		var f [2]bench.Figures
		for j := range 2 {
			i := (j + n) % 2
			p := peers[i]
			t := bench.Target{Peer: p, Method: "GET", Text: presigned(p.Addr, "GET", "/photos/small", 0)}
			if f[i], err = bench.Run(t, conns, each); err != nil {
				return fmt.Errorf("%s: %w", p.Name, err)
			}
			sum[i].Requests += f[i].Requests
			sum[i].CPU += f[i].CPU
			sum[i].Took += f[i].Took
		}
		rates = append(rates, f[0].PerSecond()/f[1].PerSecond())
		cpus = append(cpus, f[0].CPU.Seconds()/float64(f[0].Requests)/(f[1].CPU.Seconds()/float64(f[1].Requests)))
	}
	slices.Sort(rates)
	slices.Sort(cpus)
	for i, p := range peers {
		fmt.Fprintf(out, "%-14s %8.0f a second, %v of processor time a request\n", p.Name, sum[i].PerSecond(), (sum[i].CPU / time.Duration(max(sum[i].Requests, 1))).Round(10*time.Nanosecond))
	}
	q := func(xs []float64) string {
		return fmt.Sprintf("median %.3f, half of the pairs within %.3f to %.3f", xs[len(xs)/2], xs[len(xs)/4], xs[len(xs)*3/4])
	}
	fmt.Fprintf(out, "rate with / without: %s\nprocessor time with / without: %s\n", q(rates), q(cpus))
	return nil
}

// startSeeded makes a directory for settings and starts a node with the objects that are
// read; stop ends both.
func startSeeded(big int) (dir string, node *bench.Process, stop func(), err error) {
	if dir, err = os.MkdirTemp("", "chalkstand-bench"); err != nil {
		return "", nil, nil, err
	}
	if node, err = bench.Start(2, "", "node", "--queue", "4096"); err != nil {
		os.RemoveAll(dir)
		return "", nil, nil, err
	}
	stop = func() {
		node.Stop()
		os.RemoveAll(dir)
	}
	if err = seed(node.Addr, big); err != nil {
		stop()
		return "", nil, nil, err
	}
	return dir, node, stop, nil
}

// startGateway runs a gateway on one core before a node, with or without accounts.
func startGateway(dir, node string, accounts bool) (*bench.Process, error) {
	listen, err := freePort()
	if err != nil {
		return nil, err
	}
	file, err := bench.WriteConfig(dir, listen, node, accounts)
	if err != nil {
		return nil, err
	}
	return bench.Start(1, listen, "serve", "--config", file)
}

// freePort finds a port that nobody listens on.
func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func runBench(out io.Writer, each time.Duration, conns, rounds, big int, small, showRounds bool) error {
	dir, node, stop, err := startSeeded(big)
	if err != nil {
		return err
	}
	defer stop()
	gw, err := startGateway(dir, node.Addr, true)
	if err != nil {
		return err
	}
	defer gw.Stop()
	bare, err := startGateway(dir, node.Addr, false)
	if err != nil {
		return err
	}
	defer bare.Stop()
	proxy, err := bench.Start(1, "", "bench", "proxy", node.Addr)
	if err != nil {
		return err
	}
	defer proxy.Stop()
	peers := []bench.Peer{{Name: "node alone", Addr: node.Addr}, {Name: "gateway", Addr: gw.Addr, PID: gw.PID()}, {Name: "no accounts", Addr: bare.Addr, PID: bare.PID()}, {Name: "httputil", Addr: proxy.Addr, PID: proxy.PID()}}
	target := func(p bench.Peer, method, path string, body []byte) bench.Target {
		return bench.Target{Peer: p, Method: method, Text: presigned(p.Addr, method, path, len(body)), Body: body}
	}
	fmt.Fprintf(out, "%-34s %-11s %10s %9s %9s %9s %10s %7s\n", "", "peer", "a second", "median", "99 %", "MiB/s", "cpu/req", "not 2xx")
	show := func(what string, method, path string, body []byte, conns int, peers []bench.Peer) error {
		all := make([][]bench.Figures, len(peers))
		for range rounds {
			for i, p := range peers {
				f, err := bench.Run(target(p, method, path, body), conns, each)
				if err != nil {
					return fmt.Errorf("%s, %s: %w", what, p.Name, err)
				}
				all[i] = append(all[i], f)
			}
		}
		if showRounds {
			for i, p := range peers {
				for _, f := range all[i] {
					fmt.Fprintf(out, "  %s: %.0f a second, %v of cpu a request\n", p.Name, f.PerSecond(), (f.CPU / time.Duration(max(f.Requests, 1))).Round(time.Microsecond/10))
				}
			}
		}
		for i := range peers {
			f := bench.Median(all[i])
			q := func(p float64) time.Duration { return time.Duration(f.Latency.ValueAtQuantile(p)) * time.Microsecond }
			fmt.Fprintf(out, "%-34s %-11s %10.0f %9v %9v %9.0f %10v %7d\n", what, f.Name, f.PerSecond(), q(50), q(99), float64(f.Bytes)/(1<<20)/f.Took.Seconds(),
				(f.CPU / time.Duration(max(f.Requests, 1))).Round(time.Microsecond/10), f.Other)
		}
		return nil
	}
	if err := show("GET 4 KiB, 1 connection", "GET", "/photos/small", nil, 1, peers); err != nil {
		return err
	}
	if err := show("GET 4 KiB, "+strconv.Itoa(conns)+" connections", "GET", "/photos/small", nil, conns, peers); err != nil {
		return err
	}
	if err := show("PUT 4 KiB, "+strconv.Itoa(conns)+" connections", "PUT", "/photos/w", make([]byte, 4096), conns, peers); err != nil {
		return err
	}
	if small {
		return nil
	}
	before := [2]int64{bench.Peak(gw.PID()), bench.Peak(proxy.PID())}
	large := fmt.Sprintf("%d MiB, 4 connections", big)
	if err := show("GET "+large, "GET", "/photos/large", nil, 4, peers); err != nil {
		return err
	}
	if err := show("PUT "+large, "PUT", "/photos/w", make([]byte, big<<20), 4, peers); err != nil {
		return err
	}
	fmt.Fprintf(out, "\npeak memory before and after the large bodies: gateway %.1f and %.1f MiB, httputil %.1f and %.1f MiB\n",
		mib(before[0]), mib(bench.Peak(gw.PID())), mib(before[1]), mib(bench.Peak(proxy.PID())))
	return nil
}

func mib(n int64) float64 { return float64(n) / (1 << 20) }

// seed stores the objects that are read, straight at the node.
func seed(addr string, big int) error {
	for _, x := range []struct {
		path string
		body []byte
	}{{"/photos", nil}, {"/photos/small", make([]byte, 4096)}, {"/photos/large", make([]byte, big<<20)}} {
		if err := put(addr, x.path, x.body); err != nil {
			return err
		}
	}
	return nil
}

// presigned writes the head of a request that holds for as long as a run takes.
func presigned(addr, method, path string, length int) []byte {
	u := sigv4client.URL(method, "http://"+addr+path, bench.KeyID, bench.Secret, time.Now(), "86400")
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, strings.TrimPrefix(u, "http://"+addr), addr)
	if method == "PUT" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	return []byte(b.String() + "\r\n")
}
