// Package attributionreport shows latency accounts to people: as tables, and as one
// HTML file with pictures.
package attributionreport

import (
	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Data is what is shown: slots of a time in order, and what must be known of them.
type Data struct {
	Slots  []attributionlog.Slot
	Notes  []string
	Counts *attribution.Counts // nil: from a log, which has none
}

// maxKept bounds what sums of slots keep.
const maxKept = 1024

// Sum returns the account over all slots.
func (d *Data) Sum() attribution.Window {
	ws := make([]attribution.Window, len(d.Slots))
	for i, s := range d.Slots {
		ws[i] = s.Window
	}
	return attribution.Sum(ws, maxKept, maxKept, maxKept)
}

// span tells from when to when the slots reach.
func (d *Data) span() string {
	if len(d.Slots) == 0 {
		return "no request in that time"
	}
	first, last := d.Slots[0], d.Slots[len(d.Slots)-1]
	return fmt.Sprintf("%s to %s, slots of %v", first.From.Format("2006-01-02 15:04:05"),
		last.From.Add(last.To-last.Window.From).Format("15:04:05"), last.Slot)
}

// UnknownVolumeError is asked for a volume that has no line.
type UnknownVolumeError struct {
	Volume string
	Known  []string // some that have one
}

func (e *UnknownVolumeError) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("no request of volume %q in that time, nor of any other", e.Volume)
	}
	return fmt.Sprintf("volume %q has no line of its own in that time; the heaviest that have: %s", e.Volume, strings.Join(e.Known, ", "))
}

func findVolume(w *attribution.Window, volume string) (attribution.VolumeSummary, error) {
	if l, ok := w.Summary(volume); ok {
		return l, nil
	}
	e := &UnknownVolumeError{Volume: volume}
	for _, l := range w.Volumes[:min(5, len(w.Volumes))] {
		e.Known = append(e.Known, l.Volume)
	}
	return attribution.VolumeSummary{}, e
}

func round(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

func share(part, all time.Duration) string {
	if all <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f %%", 100*part.Seconds()/all.Seconds())
}

// componentsByTime returns a line's causes, the longest first.
func componentsByTime(s attribution.Breakdown) []attribution.Component {
	var cs []attribution.Component
	for c := range attribution.Component(attribution.Components) {
		if s[c] > 0 {
			cs = append(cs, c)
		}
	}
	slices.SortStableFunc(cs, func(a, b attribution.Component) int { return cmp.Compare(s[b], s[a]) })
	return cs
}

// volumePairs returns the pairs of a volume, as victim or as culprit, the longest first.
func volumePairs(w *attribution.Window, volume string, victim bool) []attribution.Item[attribution.Pair] {
	var out []attribution.Item[attribution.Pair]
	for _, p := range w.Pairs {
		if victim && p.Key.Victim == volume || !victim && p.Key.Culprit == volume {
			out = append(out, p)
		}
	}
	return out
}

// Top writes the heaviest volumes.
func Top(out io.Writer, d *Data, n int) {
	w := d.Sum()
	d.writeHeader(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "volume\trequests\trefused\ttime\teach\tmost of it\twaited behind")
	line := func(name string, l attribution.VolumeSummary) {
		if l.Requests == 0 {
			return
		}
		var most, blame []string
		total := l.Parts.Total()
		for _, c := range componentsByTime(l.Parts)[:min(3, len(componentsByTime(l.Parts)))] {
			most = append(most, fmt.Sprintf("%s %s", c, share(l.Parts[c], total)))
		}
		for _, p := range volumePairs(&w, l.Volume, true) {
			if len(blame) < 2 {
				blame = append(blame, fmt.Sprintf("%s %s", p.Key.Culprit, round(time.Duration(p.Count))))
			}
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", name, l.Requests, l.Outcomes[attribution.Rejected], round(total), round(total/time.Duration(l.Requests)),
			strings.Join(most, ", "), strings.Join(blame, ", "))
	}
	for _, l := range w.Volumes[:min(n, len(w.Volumes))] {
		line(l.Volume, l)
	}
	others := w.Others
	for _, l := range w.Volumes[min(n, len(w.Volumes)):] {
		others.Requests += l.Requests
		others.Parts.Add(&l.Parts)
		for i, x := range l.Outcomes {
			others.Outcomes[i] += x
		}
	}
	line("(others)", others)
	line("(all)", w.All)
	t.Flush()
	d.writeFooter(out, &w)
}

// Volume writes one volume's account.
func Volume(out io.Writer, d *Data, volume string) error {
	w := d.Sum()
	l, err := findVolume(&w, volume)
	if err != nil {
		return err
	}
	d.writeHeader(out)
	fmt.Fprintf(out, "volume %s: %d requests", volume, l.Requests)
	for o, n := range l.Outcomes {
		if n > 0 {
			fmt.Fprintf(out, ", %d %s", n, attribution.Outcome(o))
		}
	}
	total := l.Parts.Total()
	fmt.Fprintf(out, "; %s in all, %s each\n", round(total), round(total/time.Duration(max(l.Requests, 1))))
	if l.Missing > 0 {
		fmt.Fprintf(out, "up to %s more of it is among (others), from slots in which it was not among the heaviest\n", round(l.Missing))
	}
	fmt.Fprintln(out)
	dist, known := w.Distribution(volume)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "cause\ttime\tshare\teach\t50 %\t90 %\t99 %")
	row := func(name string, d time.Duration, q func(float64) time.Duration) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s", name, round(d), share(d, total), round(d/time.Duration(max(l.Requests, 1))))
		for _, p := range []float64{0.5, 0.9, 0.99} {
			if !known {
				fmt.Fprint(t, "\t-")
				continue
			}
			fmt.Fprintf(t, "\t%s", round(q(p)))
		}
		fmt.Fprintln(t)
	}
	for _, c := range componentsByTime(l.Parts) {
		row(c.String(), l.Parts[c], func(p float64) time.Duration { return dist.ComponentPercentile(c, p) })
	}
	row("(all)", total, dist.Percentile)
	t.Flush()
	if known {
		fmt.Fprintf(out, "percentiles are of %d of its requests, each at most %.0f %% off\n", dist.Whole.Count(), 100*attribution.PercentileError)
	}
	writePairs(out, &w, volume)
	d.writeFooter(out, &w)
	return nil
}

// Contributions writes whom a volume waited behind, and who waited behind it.
func Contributions(out io.Writer, d *Data, volume string) error {
	w := d.Sum()
	if _, err := findVolume(&w, volume); err != nil && len(volumePairs(&w, volume, false)) == 0 {
		return err
	}
	d.writeHeader(out)
	fmt.Fprintf(out, "volume %s\n", volume)
	writePairs(out, &w, volume)
	d.writeFooter(out, &w)
	return nil
}

func writePairs(out io.Writer, w *attribution.Window, volume string) {
	for _, x := range []struct {
		title  string
		victim bool
	}{{"it waited behind", true}, {"behind it waited", false}} {
		ps := volumePairs(w, volume, x.victim)
		fmt.Fprintf(out, "\n%s\n", x.title)
		if len(ps) == 0 {
			fmt.Fprintln(out, "  nobody that is known")
			continue
		}
		t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		for _, p := range ps {
			other := p.Key.Culprit
			if !x.victim {
				other = p.Key.Victim
			}
			fmt.Fprintf(t, "  %s\t%s", other, round(time.Duration(p.Count)))
			if p.Error > 0 {
				fmt.Fprintf(t, "\tat most %s of it is not its own", round(time.Duration(p.Error)))
			}
			fmt.Fprintln(t)
		}
		t.Flush()
	}
}

func (d *Data) writeHeader(out io.Writer) {
	fmt.Fprintf(out, "%s\n", d.span())
	for _, n := range d.Notes {
		fmt.Fprintf(out, "note: %s\n", n)
	}
	fmt.Fprintln(out)
}

func (d *Data) writeFooter(out io.Writer, w *attribution.Window) {
	fmt.Fprintln(out)
	if w.PairError > 0 {
		fmt.Fprintf(out, "no pair that is not named has more than %s\n", round(w.PairError))
	}
	if w.Corrected {
		fmt.Fprintln(out, "late reports have corrected slots that were closed")
	}
	if c := d.Counts; c != nil {
		fmt.Fprintf(out, "since its start: %d requests; of %d attempts the node had not told how its time divides, of %d it has since, %d of these in closed slots\n",
			c.Entered, c.Unreported, c.ReportedLate, c.Corrected)
		if c.Unplaced+c.Lost+c.Overdue > 0 {
			fmt.Fprintf(out, "%d reports of requests that are not known, %d accounts thrown away for lack of room, %d came after their slot was closed\n", c.Unplaced, c.Lost, c.Overdue)
		}
	}
}

// Summary is what is told as JSON.
type Summary struct {
	Notes   []string            `json:"notes,omitempty"`
	Counts  *attribution.Counts `json:"counts,omitempty"`
	From    time.Time           `json:"from"`
	To      time.Time           `json:"to"`
	Window  attribution.Window  `json:"window"`
	Volumes []string            `json:"asked,omitempty"`
}

// JSON returns what the tables show: the whole sum, or only what concerns the
// volumes asked for.
func JSON(d *Data, volumes []string) Summary {
	a := Summary{Notes: d.Notes, Counts: d.Counts, Window: d.Sum(), Volumes: volumes}
	if n := len(d.Slots); n > 0 {
		last := d.Slots[n-1]
		a.From, a.To = d.Slots[0].From, last.From.Add(last.To-last.Window.From)
	}
	if len(volumes) == 0 {
		return a
	}
	asked := func(v string) bool { return slices.Contains(volumes, v) }
	w := &a.Window
	w.Volumes = slices.DeleteFunc(w.Volumes, func(l attribution.VolumeSummary) bool { return !asked(l.Volume) })
	w.Pairs = slices.DeleteFunc(w.Pairs, func(p attribution.Item[attribution.Pair]) bool { return !asked(p.Key.Victim) && !asked(p.Key.Culprit) })
	w.Distributions = slices.DeleteFunc(w.Distributions, func(x attribution.Distribution) bool { return !asked(x.Volume) })
	return a
}
