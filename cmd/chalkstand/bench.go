package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/lab/bench"
)

// proxyBench compares a gateway with a plain reverse proxy.
type proxyBench struct {
	out        io.Writer
	duration   time.Duration // duration of one measurement
	conns      int           // number of connections in the measurements of the highest rate
	rounds     int           // number of rounds, of which the median one is printed
	largeMiB   int           // size of a large body, in MiB
	smallOnly  bool          // whether large bodies are not measured
	showRounds bool          // whether each round is printed

	servers []bench.Server // servers to compare
}

func benchCommand() *cobra.Command {
	var b proxyBench
	c := &cobra.Command{
		Use:   "bench",
		Short: "Compare a gateway with a plain reverse proxy in front of the same node",
		Long: `Compare a gateway on one core with net/http/httputil's reverse proxy on one core, both in front
of the same fake node (two cores), each in a process of its own on loopback. The gateway verifies a
signature and makes every decision; the proxy only forwards. A second gateway runs without latency
attribution. Rounds alternate between the servers.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b.out = cmd.OutOrStdout()
			return b.run(cmd.Context())
		},
	}
	f := c.Flags()
	f.DurationVar(&b.duration, "each", 3*time.Second, "duration of one measurement")
	f.IntVar(&b.conns, "conns", 32, "connections for the highest rate")
	f.IntVar(&b.rounds, "rounds", 3, "number of rounds; the median one is shown")
	f.BoolVar(&b.showRounds, "show-rounds", false, "show each round")
	f.BoolVar(&b.smallOnly, "small", false, "small requests only")
	f.IntVar(&b.largeMiB, "mib", 64, "size of large bodies, MiB")
	c.AddCommand(benchProxyCommand(), benchAccountsCommand(), benchShareCommand())
	return c
}

// benchProxyCommand returns the hidden command that runs the reverse proxy in its own process.
func benchProxyCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "proxy TARGET",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var config net.ListenConfig
			ln, err := config.Listen(cmd.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), ln.Addr())
			return bench.Proxy(ln, args[0])
		},
	}
}

// run starts the node, both gateways and the proxy, and measures them.
func (b *proxyBench) run(ctx context.Context) (err error) {
	env, err := startBenchEnv(ctx, b.largeMiB)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, env.close()) }()
	gateway, err := env.startGateway(ctx, true)
	if err != nil {
		return err
	}
	defer gateway.Stop()
	withoutAttribution, err := env.startGateway(ctx, false)
	if err != nil {
		return err
	}
	defer withoutAttribution.Stop()
	proxy, err := bench.Start(ctx, 1, "", "bench", "proxy", env.node.Addr)
	if err != nil {
		return err
	}
	defer proxy.Stop()
	b.servers = []bench.Server{
		{Name: "node alone", Addr: env.node.Addr},
		{Name: "gateway", Addr: gateway.Addr, PID: gateway.PID()},
		{Name: "no accounts", Addr: withoutAttribution.Addr, PID: withoutAttribution.PID()},
		{Name: "httputil", Addr: proxy.Addr, PID: proxy.PID()},
	}
	if err := b.measureSmall(ctx); err != nil || b.smallOnly {
		return err
	}
	return b.measureLarge(ctx, gateway.PID(), proxy.PID())
}

// measureSmall measures reads and writes of small objects.
func (b *proxyBench) measureSmall(ctx context.Context) error {
	fmt.Fprintf(b.out, "%-34s %-11s %10s %9s %9s %9s %10s %7s\n",
		"", "peer", "a second", "median", "99 %", "MiB/s", "cpu/req", "not 2xx")
	concurrent := fmt.Sprintf("%d connections", b.conns)
	if err := b.measure(ctx, "GET 4 KiB, 1 connection", http.MethodGet, "/photos/small", nil, 1); err != nil {
		return err
	}
	if err := b.measure(ctx, "GET 4 KiB, "+concurrent, http.MethodGet, "/photos/small", nil, b.conns); err != nil {
		return err
	}
	body := make([]byte, smallObjectBytes)
	return b.measure(ctx, "PUT 4 KiB, "+concurrent, http.MethodPut, "/photos/w", body, b.conns)
}

// largeConns is the number of connections in the measurements of large bodies.
const largeConns = 4

// measureLarge measures reads and writes of large objects and the peak memory that they need.
func (b *proxyBench) measureLarge(ctx context.Context, gatewayPID, proxyPID int) error {
	gatewayBefore, proxyBefore := bench.PeakMemory(gatewayPID), bench.PeakMemory(proxyPID)
	what := fmt.Sprintf("%d MiB, %d connections", b.largeMiB, largeConns)
	if err := b.measure(ctx, "GET "+what, http.MethodGet, "/photos/large", nil, largeConns); err != nil {
		return err
	}
	body := make([]byte, b.largeMiB<<20)
	if err := b.measure(ctx, "PUT "+what, http.MethodPut, "/photos/w", body, largeConns); err != nil {
		return err
	}
	fmt.Fprintf(b.out,
		"\npeak memory before and after the large bodies: gateway %.1f and %.1f MiB, httputil %.1f and %.1f MiB\n",
		mib(gatewayBefore), mib(bench.PeakMemory(gatewayPID)), mib(proxyBefore), mib(bench.PeakMemory(proxyPID)))
	return nil
}

// measure measures one kind of request at all servers and prints the median round of each
// server. A round measures each server once.
func (b *proxyBench) measure(ctx context.Context, what, method, path string, body []byte, conns int) error {
	rounds := make([][]bench.Measurement, len(b.servers))
	for range b.rounds {
		for i, server := range b.servers {
			m, err := bench.Run(ctx, newTarget(server, method, path, body), conns, b.duration)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", what, server.Name, err)
			}
			rounds[i] = append(rounds[i], m)
		}
	}
	if b.showRounds {
		for i, server := range b.servers {
			for _, m := range rounds[i] {
				fmt.Fprintf(b.out, "  %s: %.0f a second, %v of cpu a request\n",
					server.Name, m.RequestsPerSecond(), m.CPUPerRequest().Round(cpuResolution))
			}
		}
	}
	for i := range b.servers {
		m := bench.Median(rounds[i])
		fmt.Fprintf(b.out, "%-34s %-11s %10.0f %9v %9v %9.0f %10v %7d\n",
			what, m.Name, m.RequestsPerSecond(), m.LatencyPercentile(50), m.LatencyPercentile(99), m.MiBPerSecond(),
			m.CPUPerRequest().Round(cpuResolution), m.Non2xx)
	}
	return nil
}

// cpuResolution is the precision with which processor time is printed.
const cpuResolution = 100 * time.Nanosecond

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }
