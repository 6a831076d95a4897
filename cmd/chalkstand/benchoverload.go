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

// The constants configure the simulated users of the overload part.
const (
	userThinkTime = 50 * time.Millisecond  // mean pause of a user before each request
	userObjective = 250 * time.Millisecond // time after which a response counts as late
	userWarmUp    = 3 * time.Second        // time that users send requests before the measurement
)

// The constants configure the measurement of the peak rate.
const (
	peakRuns  = 3   // number of measurements, of which the highest rate counts
	peakConns = 256 // number of connections
)

// offeredLoads lists the offered loads as multiples of the peak rate.
var offeredLoads = []float64{0.5, 1, 2, 3, 5, 10}

// overloadCase combines a setting of the overload control with a behavior of the users.
type overloadCase struct {
	name            string
	queueTimeTarget time.Duration // queue time target of the overload control; 0 disables it
	honorRetryAfter bool          // whether rejected users wait at least for the Retry-After of the response
}

// overloadCases returns the cases that the overload part measures.
func overloadCases() []overloadCase {
	target := settings.Default().FairSharing.Overload.Target.D()
	return []overloadCase{
		{"default, users heed them", target, true},
		{"default, users do not", target, false},
		{"none", 0, false},
	}
}

// overloadGateway returns the gateway configuration that all measurements of the overload part
// start from.
func (b *shareBench) overloadGateway() shareGateway {
	return shareGateway{loops: b.loops[0], order: orderFair, weight: 1}
}

// measureOverload measures the rate of requests that are answered in time. The offered load
// rises from half of the peak rate to ten times the peak rate.
func (b *shareBench) measureOverload(ctx context.Context) error {
	peak, err := b.peakRate(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n4 KiB reads by users who want responses within %v and pause for %v; "+
		"%d connections reach %.0f a second\n", userObjective, userThinkTime, peakConns, peak)
	fmt.Fprintf(b.out, "%-26s %7s %7s %9s %9s %9s %9s %7s %7s\n",
		"rejections and users", "times", "users", "in time", "rejected", "late", "failed", "cores", "of peak")
	var lines []any // alternating names and points, the argument format of plotutil.AddLinePoints
	for _, c := range overloadCases() {
		var points plotter.XYs
		for _, offered := range offeredLoads {
			inTime, err := b.measureOfferedLoad(ctx, c, offered, peak)
			if err != nil {
				return err
			}
			points = append(points, plotter.XY{X: offered, Y: inTime / peak})
		}
		lines = append(lines, c.name, points)
	}
	return b.drawOverload(lines)
}

// peakRate measures the request rate on peakConns connections several times and returns the
// highest rate, in requests per second.
func (b *shareBench) peakRate(ctx context.Context) (peak float64, err error) {
	err = b.withGateway(ctx, b.overloadGateway(), func(server bench.Server) error {
		for range peakRuns {
			m, err := b.runLoads(ctx, newLoad(server, "peak", http.MethodGet, "/heavy/small", nil, peakConns))
			if err != nil {
				return err
			}
			peak = max(peak, m[0].RequestsPerSecond())
		}
		return nil
	})
	return peak, err
}

// measureOfferedLoad measures one case with one offered load, which is a multiple of the peak
// rate. It returns the number of responses in time per second.
func (b *shareBench) measureOfferedLoad(ctx context.Context, c overloadCase, offered, peak float64) (inTime float64, err error) {
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

// drawOverload writes a plot of the lines to the SVG file if the plot flag is set.
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
