package attributiontest

import (
	"strings"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
)

// verdict is what a scenario's check judges. It adds failures to the run.
type verdict struct {
	*testRun
	Window   attribution.Window
	Counts   attribution.Counts
	Timeline attributionlog.Timeline
}

// waitedBehind returns how long a volume waited behind another.
func waitedBehind(w *attribution.Window, victim, culprit string) time.Duration {
	for _, p := range w.Pairs {
		if p.Key == (attribution.Pair{Victim: victim, Culprit: culprit}) {
			return time.Duration(p.Count)
		}
	}
	return 0
}

// reviewBehind returns how long the review volume waited behind another.
func (v *verdict) reviewBehind(culprit string) time.Duration {
	return waitedBehind(&v.Window, reviewVolume, culprit)
}

// component returns a volume's time of one component.
func (v *verdict) component(volume string, c attribution.Component) time.Duration {
	l, _ := v.Window.Summary(volume)
	return l.Parts[c]
}

// expectShare expects the components to have at least a share of a volume's time.
func (v *verdict) expectShare(volume string, share float64, components ...attribution.Component) {
	l, ok := v.Window.Summary(volume)
	if !ok {
		v.failf("%s has no attribution", volume)
		return
	}
	var sum time.Duration
	for _, c := range components {
		sum += l.Parts[c]
	}
	if got := sum.Seconds() / l.Parts.Total().Seconds(); got < share {
		v.failf("%s: %v has %.0f %% of its time, want %.0f %%: %v", volume, components, 100*got, 100*share, l.Parts)
	}
}

// expectCulprit expects the review volume to have waited behind the culprit for a quarter of its time, and
// for three times as long as behind any of the others.
func (v *verdict) expectCulprit(culprit string, others ...string) {
	wait := v.reviewBehind(culprit)
	l, _ := v.Window.Summary(reviewVolume)
	if wait < l.Parts.Total()/4 {
		v.failf("review waited %v behind %s, of %v", wait, culprit, l.Parts.Total())
	}
	for _, other := range others {
		if b := v.reviewBehind(other); 3*b > wait {
			v.failf("review waited %v behind %s, which is not the cause, beside %v behind %s", b, other, wait, culprit)
		}
	}
}

// expectNote expects a note of the attribution log to contain the text.
func (v *verdict) expectNote(text string) {
	if !strings.Contains(strings.Join(v.Timeline.Notes, "\n"), text) {
		v.failf("no note on %q: %v", text, v.Timeline.Notes)
	}
}

// loggedTotal returns the time of all requests in the attribution log.
func (v *verdict) loggedTotal() time.Duration {
	var sum time.Duration
	for _, s := range v.Timeline.Slots {
		sum += s.All.Parts.Total()
	}
	return sum
}
