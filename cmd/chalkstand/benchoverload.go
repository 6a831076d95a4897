package main

import (
	"chalkstand/internal/settings"
	"chalkstand/lab/bench"
	"fmt"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Users of the overload part: each asks again a pause after the last answer, and has no use for
// one that comes later than the aim.
const (
	userPause = 50 * time.Millisecond
	userAim   = 250 * time.Millisecond
	crowdWarm = 3 * time.Second
)

var offered = []float64{0.5, 1, 2, 3, 5, 10}

// overload measures what is done in time of what is offered, from less than the gateway
// can do to ten times as much.
func (b *shareBench) overload() error {
	var peak float64
	err := b.with(b.loops[0], "fair", 1, func(p bench.Peer) error {
		for range 3 {
			f, err := bench.Together([]*bench.Load{load(p, "peak", "GET", "/heavy/small", nil, 256)}, b.each/4, b.each)
			if err != nil {
				return err
			}
			peak = max(peak, f[0].PerSecond())
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n4 KiB reads by crowds of users, to be answered within %v, %v between an answer and the next; 256 connections can have %.0f a second\n", userAim, userPause, peak)
	fmt.Fprintf(b.out, "%-26s %7s %7s %9s %9s %9s %9s %7s %7s\n", "refusals and users", "times", "users", "in time", "refused", "late", "broken", "cores", "of peak")
	var lines []any
	for _, x := range []struct {
		name   string
		target time.Duration
		heeds  bool
	}{{"default, users heed them", settings.Default().Share.Overload.Target.D(), true}, {"default, users do not", settings.Default().Share.Overload.Target.D(), false}, {"none", 0, false}} {
		var points plotter.XYs
		for _, times := range offered {
			users := int(peak * times * userPause.Seconds())
			good, err := b.crowd(x.name, x.target, x.heeds, users, times, peak)
			if err != nil {
				return err
			}
			points = append(points, plotter.XY{X: times, Y: good / peak})
		}
		lines = append(lines, x.name, points)
	}
	return b.draw(lines)
}

func (b *shareBench) crowd(name string, target time.Duration, heeds bool, users int, times, peak float64) (good float64, err error) {
	b.target, b.aim = target, userAim
	defer func() { b.target, b.aim = 0, 0 }()
	err = b.with(b.loops[0], "fair", 1, func(p bench.Peer) error {
		c := bench.Crowd{Target: load(p, "", "GET", "/heavy/small", nil, 0).Target, Users: users, Pause: userPause, Aim: userAim, Heeds: heeds}
		f := c.Press(crowdWarm, b.each)
		good = f.Good
		fmt.Fprintf(b.out, "%-26s %7.1f %7d %9.0f %9.0f %9.0f %9.0f %7.2f %7.2f\n", name, times, users, f.Good, f.Refused, f.Late, f.Broken, f.CPU, good/peak)
		return nil
	})
	return good, err
}

func (b *shareBench) draw(lines []any) error {
	if b.plot == "" {
		return nil
	}
	p := plot.New()
	p.X.Label.Text = "offered, times what the gateway can do"
	p.Y.Label.Text = "done in time, of what 256 connections have"
	p.Y.Min, p.Legend.Top = 0, true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	f, err := os.Create(b.plot)
	if err != nil {
		return err
	}
	defer f.Close()
	w, err := p.WriterTo(16*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	if _, err := w.WriteTo(f); err != nil {
		return err
	}
	return f.Close()
}
