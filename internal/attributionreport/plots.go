package attributionreport

import (
	"bytes"
	"errors"
	"fmt"
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"chalkstand/attribution"
)

// componentColors holds the color of each component in plots. Components of waiting time are mostly
// red, those of the node are blue, and those of the gateway and the client are gray or green.
var componentColors = [attribution.Components]color.RGBA{
	attribution.Gateway:            {140, 140, 140, 255},
	attribution.RequestBody:        {120, 180, 120, 255},
	attribution.QueuedUnknown:      {235, 200, 200, 255},
	attribution.QueuedBehindOthers: {200, 30, 40, 255},
	attribution.QueuedBehindOwn:    {240, 140, 90, 255},
	attribution.RateLimited:        {230, 170, 40, 255},
	attribution.SlowStart:          {120, 90, 160, 255},
	attribution.Ejected:            {170, 120, 200, 255},
	attribution.KeyOrder:           {250, 215, 120, 255},
	attribution.RetryBackoff:       {190, 150, 110, 255},
	attribution.FailedAttempts:     {90, 50, 30, 255},
	attribution.Dialing:            {90, 200, 200, 255},
	attribution.NodeQueue:          {30, 60, 140, 255},
	attribution.NodeService:        {80, 140, 220, 255},
	attribution.NodeUnknown:        {175, 205, 240, 255},
	attribution.ResponseBody:       {150, 210, 150, 255},
	attribution.SlowClient:         {60, 130, 60, 255},
	attribution.EventLoop:          {150, 30, 90, 255},
}

// lineColors holds the colors that Percentiles assigns to its lines, in this order.
var lineColors = []color.RGBA{
	{200, 30, 40, 255},
	{30, 60, 140, 255},
	{60, 130, 60, 255},
	{230, 150, 30, 255},
	{120, 90, 160, 255},
	{90, 90, 90, 255},
	{40, 170, 170, 255},
}

// point holds the data of one slot in a plot over time.
type point struct {
	at      time.Time
	width   time.Duration
	summary attribution.VolumeSummary
}

// volumePoints returns one point for each slot, with the summary of a volume. If volume is "", the
// points have the summary of all volumes.
func (d *Data) volumePoints(volume string) []point {
	var ps []point
	for _, s := range d.Slots {
		summary := s.All
		if volume != "" {
			summary, _ = s.Summary(volume)
		}
		ps = append(ps, point{at: s.From, width: s.Slot, summary: summary})
	}
	return ps
}

// Stacked plots the mean latency of a volume's requests over time, as stacked areas of the
// components. If volume is "", it plots the requests of all volumes.
func Stacked(d *Data, volume string) (*plot.Plot, error) {
	ps := d.volumePoints(volume)
	if len(ps) == 0 {
		return nil, errors.New("attribution plot over time needs at least 1 slot, got none")
	}
	var sum attribution.Breakdown
	for _, p := range ps {
		sum.Add(&p.summary.Parts)
	}
	p := plot.New()
	p.Title.Text = "Mean time of a request by cause: " + volume
	if volume == "" {
		p.Title.Text = "Mean time of a request by cause, all volumes"
	}
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.Legend.Top = true
	base := make([]float64, len(ps))
	for _, c := range componentsByTime(sum) {
		poly, err := band(ps, c, base)
		if err != nil {
			return nil, err
		}
		p.Add(poly)
		p.Legend.Add(fmt.Sprintf("%s %s", c, share(sum[c], sum.Total())), poly)
	}
	p.Add(plotter.NewGrid())
	p.X.Max += (p.X.Max - p.X.Min) * 0.45 // leaves space for the legend on the right
	return p, nil
}

// band returns the stepped area of one component in a stacked plot. base holds the height of the
// area's lower edge at each point. band adds the height of the area to base, for the next component.
func band(ps []point, c attribution.Component, base []float64) (*plotter.Polygon, error) {
	var upper, lower plotter.XYs
	for i, p := range ps {
		y := 0.0
		if p.summary.Requests > 0 {
			y = 1e3 * p.summary.Parts[c].Seconds() / float64(p.summary.Requests)
		}
		x0 := float64(p.at.UnixMilli()) / 1e3
		x1 := x0 + p.width.Seconds()
		// A step ends with its slot, or earlier where the next slot starts. Slots without requests
		// between two points therefore show as a gap.
		if i+1 < len(ps) {
			x1 = min(x1, float64(ps[i+1].at.UnixMilli())/1e3)
		}
		if n := len(lower); n > 0 && lower[n-1].X < x0 { // draws the gap with a height of 0
			x := lower[n-1].X
			upper = append(upper, plotter.XY{X: x}, plotter.XY{X: x0})
			lower = append(lower, plotter.XY{X: x}, plotter.XY{X: x0})
		}
		upper = append(upper, plotter.XY{X: x0, Y: base[i] + y}, plotter.XY{X: x1, Y: base[i] + y})
		lower = append(lower, plotter.XY{X: x0, Y: base[i]}, plotter.XY{X: x1, Y: base[i]})
		base[i] += y
	}
	slices.Reverse(lower)
	poly, err := plotter.NewPolygon(append(upper, lower...))
	if err != nil {
		return nil, err
	}
	poly.Color = componentColors[c]
	poly.Width = 0
	return poly, nil
}

// percentileShares holds the shares of requests for which Percentiles plots a value.
var percentileShares = []float64{
	0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999,
}

// Percentiles plots one line for each of the given volumes that has a distribution. A line shows the
// latency that a share of the volume's requests did not exceed. The axis of the shares uses the scale
// of shareScale, which widens towards 1. Percentiles returns a nil plot if there are no lines.
func Percentiles(w *attribution.Window, volumes []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time that a share of the requests did not pass"
	p.X.Label.Text = "share of requests"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	drawn := 0
	for _, v := range volumes {
		d, ok := w.Distribution(v)
		if !ok {
			continue
		}
		xy := percentilePoints(&d)
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		line.Color = lineColors[drawn%len(lineColors)]
		line.Width = vg.Points(2)
		p.Add(line)
		p.Legend.Add(v, line)
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	p.Legend.Top = true
	p.Legend.Left = true
	p.X.Tick.Marker = shareTicks{}
	p.Add(plotter.NewGrid())
	return p, nil
}

// percentilePoints returns the percentiles of a distribution that are above 0. The X values are shares
// on the scale of shareScale; the Y values are in ms.
func percentilePoints(d *attribution.Distribution) plotter.XYs {
	var xy plotter.XYs
	for _, s := range percentileShares {
		if t := d.Percentile(s); t > 0 {
			xy = append(xy, plotter.XY{X: shareScale(s), Y: 1e3 * t.Seconds()})
		}
	}
	return xy
}

// shareScale maps a share to a logarithmic scale, which spreads the shares near 1. It maps 0.9, 0.99
// and 0.999 to 1, 2 and 3.
func shareScale(s float64) float64 { return -math.Log10(1 - s) }

// shareTicks implements plot.Ticker for an axis on the scale of shareScale.
type shareTicks struct{}

// Ticks returns ticks at selected shares, labeled as percentages.
func (shareTicks) Ticks(_, _ float64) []plot.Tick {
	var ts []plot.Tick
	for _, s := range []float64{0, 0.5, 0.9, 0.99, 0.999} {
		ts = append(ts, plot.Tick{Value: shareScale(s), Label: fmt.Sprintf("%g %%", 100*s)})
	}
	return ts
}

// draw renders a plot as an image in the given format, such as "png".
func draw(p *plot.Plot, w, h vg.Length, format string) ([]byte, error) {
	wt, err := p.WriterTo(w, h, format)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if _, err := wt.WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
