package attributionreport

import (
	"bytes"
	"chalkstand/attribution"
	"cmp"
	"fmt"
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// componentColors of the causes: waiting in reds, the node in blues, the gateway's own and
// the client's in greys and greens.
var componentColors = [attribution.Components]color.RGBA{
	attribution.Gateway: {140, 140, 140, 255}, attribution.RequestBody: {120, 180, 120, 255}, attribution.QueuedUnknown: {235, 200, 200, 255},
	attribution.QueuedBehindOthers: {200, 30, 40, 255}, attribution.QueuedBehindOwn: {240, 140, 90, 255}, attribution.RateLimited: {230, 170, 40, 255},
	attribution.SlowStart: {120, 90, 160, 255}, attribution.Ejected: {170, 120, 200, 255}, attribution.KeyOrder: {250, 215, 120, 255},
	attribution.RetryBackoff: {190, 150, 110, 255}, attribution.FailedAttempts: {90, 50, 30, 255}, attribution.Dialing: {90, 200, 200, 255},
	attribution.NodeQueue: {30, 60, 140, 255}, attribution.NodeService: {80, 140, 220, 255}, attribution.NodeUnknown: {175, 205, 240, 255},
	attribution.ResponseBody: {150, 210, 150, 255}, attribution.SlowClient: {60, 130, 60, 255}, attribution.EventLoop: {150, 30, 90, 255},
}

// point is one slot of a picture over time.
type point struct {
	at    time.Time
	width time.Duration
	summary  attribution.VolumeSummary
}

// volumePoints returns a volume's line in each slot; "" for all volumes.
func (d *Data) volumePoints(volume string) []point {
	var ps []point
	for _, s := range d.Slots {
		l := s.All
		if volume != "" {
			l, _ = s.Summary(volume)
		}
		ps = append(ps, point{s.From, s.Slot, l})
	}
	return ps
}

// Stacked draws the mean time of a request over time, stacked by cause.
func Stacked(d *Data, volume string) (*plot.Plot, error) {
	ps := d.volumePoints(volume)
	if len(ps) == 0 {
		return nil, fmt.Errorf("no slots to draw")
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
	p.X.Max += (p.X.Max - p.X.Min) * 0.45 // room for the legend
	return p, nil
}

// band is one cause's area, as steps on top of base, which it raises.
func band(ps []point, c attribution.Component, base []float64) (*plotter.Polygon, error) {
	var up, down plotter.XYs
	for i, p := range ps {
		y := 0.0
		if p.summary.Requests > 0 {
			y = 1e3 * p.summary.Parts[c].Seconds() / float64(p.summary.Requests)
		}
		x0 := float64(p.at.UnixMilli()) / 1e3
		x1 := x0 + p.width.Seconds()
		if i+1 < len(ps) { // a slot without requests in between shows as a gap
			x1 = min(x1, float64(ps[i+1].at.UnixMilli())/1e3)
		}
		if n := len(down); n > 0 && down[n-1].X < x0 { // a gap
			x := down[n-1].X
			up, down = append(up, plotter.XY{X: x}, plotter.XY{X: x0}), append(down, plotter.XY{X: x}, plotter.XY{X: x0})
		}
		up = append(up, plotter.XY{X: x0, Y: base[i] + y}, plotter.XY{X: x1, Y: base[i] + y})
		down = append(down, plotter.XY{X: x0, Y: base[i]}, plotter.XY{X: x1, Y: base[i]})
		base[i] += y
	}
	slices.Reverse(down)
	poly, err := plotter.NewPolygon(append(up, down...))
	if err != nil {
		return nil, err
	}
	poly.Color = componentColors[c]
	poly.LineStyle.Width = 0
	return poly, nil
}

// matrix is victims by culprits, in seconds.
type matrix struct {
	victims, culprits []string
	seconds              [][]float64 // by victim, then culprit
}

func (m *matrix) Dims() (int, int)   { return len(m.culprits), len(m.victims) }
func (m *matrix) X(c int) float64    { return float64(c) }
func (m *matrix) Y(r int) float64    { return float64(r) }
func (m *matrix) Z(c, r int) float64 { return m.seconds[r][c] }
func (m *matrix) max() (z float64) {
	for _, row := range m.seconds {
		z = max(z, slices.Max(row))
	}
	return z
}

// contributionMatrix collects the pairs of the volumes that have most.
func contributionMatrix(w *attribution.Window, n int) *matrix {
	weight := map[string]time.Duration{}
	for _, p := range w.Pairs {
		weight["v"+p.Key.Victim] += time.Duration(p.Count)
		weight["c"+p.Key.Culprit] += time.Duration(p.Count)
	}
	pick := func(kind byte) []string {
		var names []string
		for k := range weight {
			if k[0] == kind {
				names = append(names, k[1:])
			}
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(weight[string(kind)+b], weight[string(kind)+a]), cmp.Compare(a, b))
		})
		return names[:min(n, len(names))]
	}
	m := &matrix{victims: pick('v'), culprits: pick('c')}
	for range m.victims {
		m.seconds = append(m.seconds, make([]float64, len(m.culprits)))
	}
	for _, p := range w.Pairs {
		v, c := slices.Index(m.victims, p.Key.Victim), slices.Index(m.culprits, p.Key.Culprit)
		if v >= 0 && c >= 0 {
			m.seconds[v][c] = time.Duration(p.Count).Seconds()
		}
	}
	slices.Reverse(m.victims) // the heaviest on top
	slices.Reverse(m.seconds)
	return m
}

// Matrix draws who waited behind whom; nil where nobody did.
func Matrix(w *attribution.Window, n int) (*plot.Plot, error) {
	m := contributionMatrix(w, n)
	if len(m.victims) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Seconds that a volume (row) waited behind another (column)"
	p.X.Label.Text, p.Y.Label.Text = "culprit", "victim"
	pal := moreland.ExtendedBlackBody().Palette(256)
	cols := pal.Colors()
	slices.Reverse(cols) // dark is much
	h := plotter.NewHeatMap(m, fixedPalette(cols[:220]))
	h.Min, h.Max = 0, math.Max(m.max(), 1e-9)
	p.Add(h)
	var labels plotter.XYLabels
	for r := range m.victims {
		for c := range m.culprits {
			if s := m.seconds[r][c]; s > 0 {
				labels.XYs = append(labels.XYs, plotter.XY{X: float64(c), Y: float64(r)})
				labels.Labels = append(labels.Labels, round(time.Duration(s*float64(time.Second))))
			}
		}
	}
	if len(labels.XYs) > 0 {
		l, err := plotter.NewLabels(labels)
		if err != nil {
			return nil, err
		}
		for i := range l.TextStyle {
			l.TextStyle[i].XAlign, l.TextStyle[i].YAlign = -0.5, -0.5
			if m.seconds[int(labels.XYs[i].Y)][int(labels.XYs[i].X)] > h.Max/2 {
				l.TextStyle[i].Color = color.White
			}
		}
		p.Add(l)
	}
	p.X.Tick.Marker, p.Y.Tick.Marker = nameTicks(m.culprits), nameTicks(m.victims)
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = -0.5, float64(len(m.culprits))-0.5, -0.5, float64(len(m.victims))-0.5
	return p, nil
}

type fixedPalette []color.Color

// Colors implements palette.Palette.
func (f fixedPalette) Colors() []color.Color { return f }

type nameTicks []string

// Ticks implements plot.Ticker.
func (n nameTicks) Ticks(_, _ float64) []plot.Tick {
	var ts []plot.Tick
	for i, s := range n {
		if len(s) > 16 {
			s = s[:15] + "…"
		}
		ts = append(ts, plot.Tick{Value: float64(i), Label: s})
	}
	return ts
}

// Percentiles draws the distribution of a volume's times: the time that a share of
// the requests did not pass, on a scale that widens towards the last ones.
func Percentiles(w *attribution.Window, volumes []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time that a share of the requests did not pass"
	p.X.Label.Text, p.Y.Label.Text = "share of requests", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	shares := []float64{0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999}
	drawn := 0
	for _, v := range volumes {
		d, ok := w.Distribution(v)
		if !ok {
			continue
		}
		var xy plotter.XYs
		for _, s := range shares {
			if t := d.Percentile(s); t > 0 {
				xy = append(xy, plotter.XY{X: logScale(s), Y: 1e3 * t.Seconds()})
			}
		}
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = lineColors[drawn%len(lineColors)], vg.Points(2)
		p.Add(l)
		p.Legend.Add(v, l)
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Tick.Marker = shareTicks{}
	p.Add(plotter.NewGrid())
	return p, nil
}

var lineColors = []color.RGBA{{200, 30, 40, 255}, {30, 60, 140, 255}, {60, 130, 60, 255}, {230, 150, 30, 255}, {120, 90, 160, 255}, {90, 90, 90, 255}, {40, 170, 170, 255}}

// logScale spreads the shares near 1: 0.9, 0.99 and 0.999 lie at 1, 2 and 3.
func logScale(s float64) float64 { return -math.Log10(1 - s) }

type shareTicks struct{}

// Ticks implements plot.Ticker.
func (shareTicks) Ticks(_, _ float64) []plot.Tick {
	var ts []plot.Tick
	for _, s := range []float64{0, 0.5, 0.9, 0.99, 0.999} {
		ts = append(ts, plot.Tick{Value: logScale(s), Label: fmt.Sprintf("%g %%", 100*s)})
	}
	return ts
}

// draw renders a picture: "svg" or "png".
func draw(p *plot.Plot, w, h vg.Length, form string) ([]byte, error) {
	wt, err := p.WriterTo(w, h, form)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if _, err := wt.WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
