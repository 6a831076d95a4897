package attributiontest

import (
	"strings"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
)

// verifier holds the results of a run that a scenario verifies. Its methods record failed checks in
// the run.
type verifier struct {
	*testRun
	Window   attribution.Window
	Counts   attribution.Counts
	Timeline attributionlog.Timeline
}

// waitedBehind returns how long the victim waited behind the culprit.
func waitedBehind(w *attribution.Window, victim, culprit string) time.Duration {
	for _, p := range w.Pairs {
		if p.Key == (attribution.Pair{Victim: victim, Culprit: culprit}) {
			return time.Duration(p.Count)
		}
	}
	return 0
}

// reviewBehind returns how long the review volume waited behind the culprit.
func (v *verifier) reviewBehind(culprit string) time.Duration {
	return waitedBehind(&v.Window, reviewVolume, culprit)
}

// component returns the time that a volume's requests spent in one component.
func (v *verifier) component(volume string, c attribution.Component) time.Duration {
	summary, _ := v.Window.Summary(volume)
	return summary.Parts[c]
}

// expectShare checks that the components together have at least the given share of a volume's time.
func (v *verifier) expectShare(volume string, share float64, components ...attribution.Component) {
	summary, ok := v.Window.Summary(volume)
	if !ok {
		v.failf("volume %s: got no attribution, want a summary", volume)
		return
	}
	var sum time.Duration
	for _, c := range components {
		sum += summary.Parts[c]
	}
	if got := sum.Seconds() / summary.Parts.Total().Seconds(); got < share {
		v.failf("volume %s: components %v have %.0f %% of its time, want at least %.0f %%: %v",
			volume, components, 100*got, 100*share, summary.Parts)
	}
}

// expectCulprit checks that the review volume waited behind the culprit for at least 1/4 of its time. It
// also checks that this wait is at least 3 times as long as the wait behind each of the others.
func (v *verifier) expectCulprit(culprit string, others ...string) {
	wait := v.reviewBehind(culprit)
	summary, _ := v.Window.Summary(reviewVolume)
	if wait < summary.Parts.Total()/4 {
		v.failf("review waited %v behind %s, want at least 1/4 of its total time of %v",
			wait, culprit, summary.Parts.Total())
	}
	for _, other := range others {
		if b := v.reviewBehind(other); 3*b > wait {
			v.failf("review waited %v behind %s, want at most 1/3 of its wait of %v behind %s, the cause",
				b, other, wait, culprit)
		}
	}
}

// expectNote checks that a note on the attribution log contains the text.
func (v *verifier) expectNote(text string) {
	if !strings.Contains(strings.Join(v.Timeline.Notes, "\n"), text) {
		v.failf("no note contains %q: got notes %v", text, v.Timeline.Notes)
	}
}

// loggedTotal returns the total time of all requests in the attribution log.
func (v *verifier) loggedTotal() time.Duration {
	var sum time.Duration
	for _, s := range v.Timeline.Slots {
		sum += s.All.Parts.Total()
	}
	return sum
}
