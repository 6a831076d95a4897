package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/lab/bench"
)

// accountsBench compares a gateway with latency attribution to a gateway without it.
type accountsBench struct {
	out      io.Writer
	duration time.Duration // duration of one run
	conns    int           // number of connections
	pairs    int           // number of pairs of runs

	servers [2]bench.Server // gateway with attribution, then gateway without it
}

func benchAccountsCommand() *cobra.Command {
	var b accountsBench
	c := &cobra.Command{
		Use:   "accounts",
		Short: "Measure the cost of latency attribution, in pairs of short alternating runs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b.out = cmd.OutOrStdout()
			return b.run(cmd.Context())
		},
	}
	c.Flags().IntVar(&b.pairs, "pairs", 30, "pairs of runs")
	c.Flags().DurationVar(&b.duration, "each", time.Second, "duration of a run")
	c.Flags().IntVar(&b.conns, "conns", 32, "connections")
	return c
}

// run measures both gateways and prints their totals. It also prints the quartiles of two
// ratios between the gateways: request rate, and processor time per request.
func (b *accountsBench) run(ctx context.Context) (err error) {
	env, err := startBenchEnv(ctx, 1)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, env.close()) }()
	names := [2]string{"with accounts", "without"}
	for i, name := range names {
		p, err := env.startGateway(ctx, i == 0)
		if err != nil {
			return err
		}
		defer p.Stop()
		b.servers[i] = bench.Server{Name: name, Addr: p.Addr, PID: p.PID()}
	}
	var rateRatios, cpuRatios []float64
	var sums [2]bench.Measurement
	for n := range b.pairs {
		pair, err := b.runPair(ctx, n%2)
		if err != nil {
			return err
		}
		for i, m := range pair {
			sums[i].Requests += m.Requests
			sums[i].CPU += m.CPU
			sums[i].Elapsed += m.Elapsed
		}
		rateRatios = append(rateRatios, pair[0].RequestsPerSecond()/pair[1].RequestsPerSecond())
		cpuRatios = append(cpuRatios, cpuSecondsPerRequest(pair[0])/cpuSecondsPerRequest(pair[1]))
	}
	for i, s := range b.servers {
		fmt.Fprintf(b.out, "%-14s %8.0f a second, %v of processor time a request\n",
			s.Name, sums[i].RequestsPerSecond(), sums[i].CPUPerRequest().Round(10*time.Nanosecond))
	}
	fmt.Fprintf(b.out, "rate with / without: %s\nprocessor time with / without: %s\n",
		quartiles(rateRatios), quartiles(cpuRatios))
	return nil
}

// runPair measures both gateways once. The parameter first is the index of the gateway that is
// measured first.
func (b *accountsBench) runPair(ctx context.Context, first int) (pair [2]bench.Measurement, err error) {
	for j := range pair {
		i := (first + j) % len(pair)
		target := newTarget(b.servers[i], http.MethodGet, "/photos/small", nil)
		if pair[i], err = bench.Run(ctx, target, b.conns, b.duration); err != nil {
			return pair, fmt.Errorf("%s: %w", b.servers[i].Name, err)
		}
	}
	return pair, nil
}

func cpuSecondsPerRequest(m bench.Measurement) float64 {
	return m.CPU.Seconds() / float64(m.Requests)
}

// quartiles sorts values and returns a text with their median and quartiles.
func quartiles(values []float64) string {
	slices.Sort(values)
	n := len(values)
	return fmt.Sprintf("median %.3f, half of the pairs within %.3f to %.3f", values[n/2], values[n/4], values[n*3/4])
}
