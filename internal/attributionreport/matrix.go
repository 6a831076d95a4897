package attributionreport

import (
	"cmp"
	"image/color"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"

	"chalkstand/attribution"
)

// matrix holds how many seconds each victim waited behind each culprit. It implements
// plotter.GridXYZ with one row for each victim and one column for each culprit.
type matrix struct {
	victims, culprits []string
	seconds           [][]float64 // indexed by victim, then by culprit
}

// Dims returns the numbers of columns and rows.
func (m *matrix) Dims() (int, int) { return len(m.culprits), len(m.victims) }

// X returns the horizontal coordinate of the culprit in column c.
func (m *matrix) X(c int) float64 { return float64(c) }

// Y returns the vertical coordinate of the victim in row r.
func (m *matrix) Y(r int) float64 { return float64(r) }

// Z returns how many seconds the victim in row r waited behind the culprit in column c.
func (m *matrix) Z(c, r int) float64 { return m.seconds[r][c] }

// max returns the largest value in the matrix.
func (m *matrix) max() (z float64) {
	for _, row := range m.seconds {
		z = max(z, slices.Max(row))
	}
	return z
}

// contributionMatrix returns a matrix with the n victims that waited longest, and with the n culprits
// that other volumes waited behind longest.
func contributionMatrix(w *attribution.Window, n int) *matrix {
	waited := map[string]time.Duration{}
	caused := map[string]time.Duration{}
	for _, p := range w.Pairs {
		waited[p.Key.Victim] += time.Duration(p.Count)
		caused[p.Key.Culprit] += time.Duration(p.Count)
	}
	m := &matrix{victims: heaviestNames(waited, n), culprits: heaviestNames(caused, n)}
	for range m.victims {
		m.seconds = append(m.seconds, make([]float64, len(m.culprits)))
	}
	for _, p := range w.Pairs {
		v, c := slices.Index(m.victims, p.Key.Victim), slices.Index(m.culprits, p.Key.Culprit)
		if v >= 0 && c >= 0 {
			m.seconds[v][c] = time.Duration(p.Count).Seconds()
		}
	}
	slices.Reverse(m.victims) // puts the victim that waited longest in the top row
	slices.Reverse(m.seconds)
	return m
}

// heaviestNames returns up to n names, ordered by time with the largest first.
func heaviestNames(times map[string]time.Duration, n int) []string {
	names := slices.SortedFunc(maps.Keys(times), func(a, b string) int {
		return cmp.Or(cmp.Compare(times[b], times[a]), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

// Matrix plots how long victims waited behind culprits, with at most n victims and n culprits. It
// returns a nil plot if no volume waited behind another.
func Matrix(w *attribution.Window, n int) (*plot.Plot, error) {
	m := contributionMatrix(w, n)
	if len(m.victims) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Seconds that a volume (row) waited behind another (column)"
	p.X.Label.Text = "culprit"
	p.Y.Label.Text = "victim"
	colors := moreland.ExtendedBlackBody().Palette(256).Colors()
	slices.Reverse(colors) // larger values get darker colors
	heat := plotter.NewHeatMap(m, fixedPalette(colors[:220]))
	heat.Min = 0
	heat.Max = math.Max(m.max(), 1e-9)
	p.Add(heat)
	labels, err := m.labels(heat.Max / 2)
	if err != nil {
		return nil, err
	}
	if labels != nil {
		p.Add(labels)
	}
	p.X.Tick.Marker = nameTicks(m.culprits)
	p.Y.Tick.Marker = nameTicks(m.victims)
	p.X.Min = -0.5
	p.X.Max = float64(len(m.culprits)) - 0.5
	p.Y.Min = -0.5
	p.Y.Max = float64(len(m.victims)) - 0.5
	return p, nil
}

// labels returns labels with the time in each cell that is not 0. Labels are white in cells with more
// than dark seconds. It returns nil if all cells are 0.
func (m *matrix) labels(dark float64) (*plotter.Labels, error) {
	var cells plotter.XYLabels
	for r := range m.victims {
		for c := range m.culprits {
			if s := m.seconds[r][c]; s > 0 {
				cells.XYs = append(cells.XYs, plotter.XY{X: float64(c), Y: float64(r)})
				cells.Labels = append(cells.Labels, round(time.Duration(s*float64(time.Second))))
			}
		}
	}
	if len(cells.XYs) == 0 {
		return nil, nil
	}
	labels, err := plotter.NewLabels(cells)
	if err != nil {
		return nil, err
	}
	for i := range labels.TextStyle {
		style := &labels.TextStyle[i]
		style.XAlign = -0.5
		style.YAlign = -0.5
		if m.seconds[int(cells.XYs[i].Y)][int(cells.XYs[i].X)] > dark {
			style.Color = color.White
		}
	}
	return labels, nil
}

// fixedPalette implements palette.Palette with a fixed list of colors.
type fixedPalette []color.Color

// Colors returns the colors of the palette.
func (f fixedPalette) Colors() []color.Color { return f }

// maxTickLength is the maximum length of a name on an axis, in bytes. Longer names are truncated.
const maxTickLength = 16

// nameTicks implements plot.Ticker with one name at each of the coordinates 0, 1, 2 and so on.
type nameTicks []string

// Ticks returns a tick for each name.
func (n nameTicks) Ticks(_, _ float64) []plot.Tick {
	var ts []plot.Tick
	for i, s := range n {
		if len(s) > maxTickLength {
			s = s[:maxTickLength-1] + "…"
		}
		ts = append(ts, plot.Tick{Value: float64(i), Label: s})
	}
	return ts
}
