package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"chalkstand/internal/settings"
	"chalkstand/lab/bench"
)

// The users of the overload part.
const (
	userThinkTime = 50 * time.Millisecond
	userObjective = 250 * time.Millisecond // a later response counts as late
	userWarmUp    = 3 * time.Second
)

// The measurement of the highest rate.
const (
	peakRuns  = 3
	peakConns = 256
)

// offeredLoads are the offered loads, as multiples of the highest rate.
var offeredLoads = []float64{0.5, 1, 2, 3, 5, 10}

// overloadCase is a combination of overload control and users.
type overloadCase struct {
	name            string
	queueTimeTarget time.Duration // 0: no overload control
	honorRetryAfter bool
}

func overloadCases() []overloadCase {
	target := settings.Default().Share.Overload.Target.D()
	return []overloadCase{
		{"default, users heed them", target, true},
		{"default, users do not", target, false},
		{"none", 0, false},
	}
}

// overloadGateway returns the configuration of the overload part's gateways.
func (b *shareBench) overloadGateway() shareGateway {
	return shareGateway{loops: b.loops[0], order: orderFair, weight: 1}
}

// measureOverload measures the requests answered in time, for offered loads from half of the highest rate to
// ten times as much.
func (b *shareBench) measureOverload(ctx context.Context) error {
	peak, err := b.peakRate(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n4 KiB reads by users who want responses within %v and pause for %v; "+
		"%d connections reach %.0f a second\n", userObjective, userThinkTime, peakConns, peak)
	fmt.Fprintf(b.out, "%-26s %7s %7s %9s %9s %9s %9s %7s %7s\n",
		"rejections and users", "times", "users", "in time", "rejected", "late", "failed", "cores", "of peak")
	var lines []any // name and points of each line, as plotutil takes them
	for _, c := range overloadCases() {
		var points plotter.XYs
		for _, offered := range offeredLoads {
			inTime, err := b.overload(ctx, c, offered, peak)
			if err != nil {
				return err
			}
			points = append(points, plotter.XY{X: offered, Y: inTime / peak})
		}
		lines = append(lines, c.name, points)
	}
	return b.drawOverload(lines)
}

// peakRate returns the highest of some measured rates, requests a second.
func (b *shareBench) peakRate(ctx context.Context) (peak float64, err error) {
	err = b.withGateway(ctx, b.overloadGateway(), func(server bench.Server) error {
		for range peakRuns {
			m, err := b.runLoads(ctx, newLoad(server, "peak", http.MethodGet, "/heavy/small", nil, peakConns))
			if err != nil {
				return err
			}
			peak = max(peak, m[0].PerSecond())
		}
		return nil
	})
	return peak, err
}

// overload measures one offered load, a multiple of the peak rate. It returns the rate of responses in time.
func (b *shareBench) overload(ctx context.Context, c overloadCase, offered, peak float64) (inTime float64, err error) {
	g := b.overloadGateway()
	g.queueTimeTarget = c.queueTimeTarget
	g.latencyObjective = userObjective
	err = b.withGateway(ctx, g, func(server bench.Server) error {
		users := bench.Users{
			Target:           newTarget(server, http.MethodGet, "/heavy/small", nil),
			Count:            int(peak * offered * userThinkTime.Seconds()),
			ThinkTime:        userThinkTime,
			LatencyObjective: userObjective,
			HonorRetryAfter:  c.honorRetryAfter,
		}
		rates := users.Run(ctx, userWarmUp, b.duration)
		inTime = rates.InTime
		fmt.Fprintf(b.out, "%-26s %7.1f %7d %9.0f %9.0f %9.0f %9.0f %7.2f %7.2f\n",
			c.name, offered, users.Count,
			rates.InTime, rates.Rejected, rates.Late, rates.Failed, rates.CPU, inTime/peak)
		return nil
	})
	return inTime, err
}

// drawOverload writes the plot, if one is asked for.
func (b *shareBench) drawOverload(lines []any) (err error) {
	if b.plot == "" {
		return nil
	}
	p := plot.New()
	p.X.Label.Text = "offered, times what the gateway can do"
	p.Y.Label.Text = "done in time, of what 256 connections have"
	p.Y.Min = 0
	p.Legend.Top = true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	w, err := p.WriterTo(16*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	f, err := os.Create(b.plot)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	_, err = w.WriteTo(f)
	return err
}
