package attributionreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"chalkstand/attribution"
)

// Maximum numbers of components and of culprits in one row of Top.
const (
	topComponents = 3
	topCulprits   = 2
)

// flush writes the buffered rows of a table. It ignores write errors, because the reports also
// ignore the errors of Fprintf.
func flush(t *tabwriter.Writer) { _ = t.Flush() }

// round formats a duration. It rounds durations of at least 1 s to 1 ms, those of at least 1 ms to
// 10 µs, and shorter ones to 1 µs.
func round(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

// share formats the ratio of part to all as a percentage. It returns "-" if all is not above 0.
func share(part, all time.Duration) string {
	if all <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f %%", 100*part.Seconds()/all.Seconds())
}

// componentsByTime returns the components whose time is above 0, ordered by time with the longest
// first.
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

// volumePairs returns the pairs in which the volume is the victim, or those in which it is the
// culprit. The pairs with the longest times come first.
func volumePairs(w *attribution.Window, volume string, asVictim bool) []attribution.Item[attribution.Pair] {
	var out []attribution.Item[attribution.Pair]
	for _, p := range w.Pairs {
		if asVictim && p.Key.Victim == volume || !asVictim && p.Key.Culprit == volume {
			out = append(out, p)
		}
	}
	return out
}

// Top writes a table with one row for each of the n heaviest volumes, one row for the sum of the
// other volumes, and one row for the sum of all volumes.
func Top(out io.Writer, d *Data, n int) {
	w := d.Sum()
	d.writeHeader(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "volume\trequests\trefused\ttime\teach\tmost of it\twaited behind")
	n = min(n, len(w.Volumes))
	for i := range w.Volumes[:n] {
		writeTopRow(t, &w, w.Volumes[i].Volume, &w.Volumes[i])
	}
	others := w.Others
	for _, v := range w.Volumes[n:] {
		others.Requests += v.Requests
		others.Parts.Add(&v.Parts)
		for i, x := range v.Outcomes {
			others.Outcomes[i] += x
		}
	}
	writeTopRow(t, &w, "(others)", &others)
	writeTopRow(t, &w, "(all)", &w.All)
	flush(t)
	d.writeFooter(out, &w)
}

// writeTopRow writes one row of the table of Top. It writes no row for a summary without requests.
func writeTopRow(out io.Writer, w *attribution.Window, name string, v *attribution.VolumeSummary) {
	if v.Requests == 0 {
		return
	}
	total := v.Parts.Total()
	var components, culprits []string
	byTime := componentsByTime(v.Parts)
	for _, c := range byTime[:min(topComponents, len(byTime))] {
		components = append(components, fmt.Sprintf("%s %s", c, share(v.Parts[c], total)))
	}
	pairs := volumePairs(w, v.Volume, true)
	for _, p := range pairs[:min(topCulprits, len(pairs))] {
		culprits = append(culprits, fmt.Sprintf("%s %s", p.Key.Culprit, round(time.Duration(p.Count))))
	}
	fmt.Fprintf(out, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", name, v.Requests, v.Outcomes[attribution.Rejected],
		round(total), round(total/time.Duration(v.Requests)),
		strings.Join(components, ", "), strings.Join(culprits, ", "))
}

// Volume writes the latency attribution of one volume. It returns an *UnknownVolumeError if the
// volume has no summary of its own.
func Volume(out io.Writer, d *Data, volume string) error {
	w := d.Sum()
	v, err := findVolume(&w, volume)
	if err != nil {
		return err
	}
	d.writeHeader(out)
	fmt.Fprintf(out, "volume %s: %d requests", volume, v.Requests)
	for o, n := range v.Outcomes {
		if n > 0 {
			fmt.Fprintf(out, ", %d %s", n, attribution.Outcome(o))
		}
	}
	total := v.Parts.Total()
	fmt.Fprintf(out, "; %s in all, %s each\n", round(total), round(total/time.Duration(max(v.Requests, 1))))
	if v.Missing > 0 {
		fmt.Fprintf(out, "up to %s more of it is among (others), from slots in which it was not among the heaviest\n",
			round(v.Missing))
	}
	fmt.Fprintln(out)
	writeComponents(out, &w, &v)
	writePairs(out, &w, volume)
	d.writeFooter(out, &w)
	return nil
}

// writeComponents writes a table with a volume's time in each component. The table shows percentiles
// if the window has distributions for the volume.
func writeComponents(out io.Writer, w *attribution.Window, v *attribution.VolumeSummary) {
	distribution, known := w.Distribution(v.Volume)
	total := v.Parts.Total()
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "cause\ttime\tshare\teach\t50 %\t90 %\t99 %")
	row := func(name string, d time.Duration, percentile func(float64) time.Duration) {
		each := d / time.Duration(max(v.Requests, 1))
		fmt.Fprintf(t, "%s\t%s\t%s\t%s", name, round(d), share(d, total), round(each))
		for _, p := range []float64{0.5, 0.9, 0.99} {
			if !known {
				fmt.Fprint(t, "\t-")
				continue
			}
			fmt.Fprintf(t, "\t%s", round(percentile(p)))
		}
		fmt.Fprintln(t)
	}
	for _, c := range componentsByTime(v.Parts) {
		row(c.String(), v.Parts[c], func(p float64) time.Duration { return distribution.ComponentPercentile(c, p) })
	}
	row("(all)", total, distribution.Percentile)
	flush(t)
	if known {
		fmt.Fprintf(out, "percentiles are of %d of its requests, each at most %.0f %% off\n",
			distribution.Total.Count(), 100*attribution.PercentileError)
	}
}

// Contributions writes which volumes a volume waited behind, and which volumes waited behind it. It
// returns an *UnknownVolumeError if the volume has no summary and no volume waited behind it.
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

// writePairs writes two tables: the pairs in which the volume is the victim, and those in which it is
// the culprit.
func writePairs(out io.Writer, w *attribution.Window, volume string) {
	for _, x := range []struct {
		title    string
		asVictim bool
	}{{"it waited behind", true}, {"behind it waited", false}} {
		ps := volumePairs(w, volume, x.asVictim)
		fmt.Fprintf(out, "\n%s\n", x.title)
		if len(ps) == 0 {
			fmt.Fprintln(out, "  nobody that is known")
			continue
		}
		t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		for _, p := range ps {
			other := p.Key.Culprit
			if !x.asVictim {
				other = p.Key.Victim
			}
			fmt.Fprintf(t, "  %s\t%s", other, round(time.Duration(p.Count)))
			if p.Error > 0 {
				fmt.Fprintf(t, "\tat most %s of it is not its own", round(time.Duration(p.Error)))
			}
			fmt.Fprintln(t)
		}
		flush(t)
	}
}

// writeHeader writes the time that the slots cover, followed by the notes.
func (d *Data) writeHeader(out io.Writer) {
	fmt.Fprintf(out, "%s\n", d.span())
	for _, n := range d.Notes {
		fmt.Fprintf(out, "note: %s\n", n)
	}
	fmt.Fprintln(out)
}

// writeFooter writes the error bound of the pairs, whether late reports have corrected slots, and the
// counts of the collector.
func (d *Data) writeFooter(out io.Writer, w *attribution.Window) {
	fmt.Fprintln(out)
	if w.PairError > 0 {
		fmt.Fprintf(out, "no pair that is not named has more than %s\n", round(w.PairError))
	}
	if w.Corrected {
		fmt.Fprintln(out, "late reports have corrected slots that were closed")
	}
	if c := d.Counts; c != nil {
		fmt.Fprintf(out, "since its start: %d requests; of %d attempts the node had not told how its time divides, "+
			"of %d it has since, %d of these in closed slots\n",
			c.Entered, c.Unreported, c.ReportedLate, c.Corrected)
		if c.Unmatched+c.Lost+c.Overdue > 0 {
			fmt.Fprintf(out, "%d reports of requests that are not known, %d accounts thrown away for lack of room, "+
				"%d came after their slot was closed\n", c.Unmatched, c.Lost, c.Overdue)
		}
	}
}
