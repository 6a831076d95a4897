package attributiontest

import (
	"strings"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
)

// checker holds the results that a scenario checks. Its methods record failed checks in the run.
type checker struct {
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
func (v *checker) reviewBehind(culprit string) time.Duration {
	return waitedBehind(&v.Window, reviewVolume, culprit)
}

// component returns the time that a volume's requests spent in one component.
func (v *checker) component(volume string, c attribution.Component) time.Duration {
	l, _ := v.Window.Summary(volume)
	return l.Parts[c]
}

// expectShare checks that the components together have at least the given share of a volume's time.
func (v *checker) expectShare(volume string, share float64, components ...attribution.Component) {
	l, ok := v.Window.Summary(volume)
	if !ok {
		v.failf("volume %s: got no attribution, want a summary", volume)
		return
	}
	var sum time.Duration
	for _, c := range components {
		sum += l.Parts[c]
	}
	if got := sum.Seconds() / l.Parts.Total().Seconds(); got < share {
		v.failf("volume %s: components %v have %.0f %% of its time, want at least %.0f %%: %v",
			volume, components, 100*got, 100*share, l.Parts)
	}
}

// expectCulprit checks that the review volume waited behind the culprit for at least 1/4 of its time. It
// also checks that this wait is at least 3 times as long as the wait behind each of the others.
func (v *checker) expectCulprit(culprit string, others ...string) {
	wait := v.reviewBehind(culprit)
	l, _ := v.Window.Summary(reviewVolume)
	if wait < l.Parts.Total()/4 {
		v.failf("review waited %v behind %s, want at least 1/4 of its total time of %v", wait, culprit, l.Parts.Total())
	}
	for _, other := range others {
		if b := v.reviewBehind(other); 3*b > wait {
			v.failf("review waited %v behind %s, want at most 1/3 of its wait of %v behind %s, the cause",
				b, other, wait, culprit)
		}
	}
}

// expectNote checks that a note on the attribution log contains the text.
func (v *checker) expectNote(text string) {
	if !strings.Contains(strings.Join(v.Timeline.Notes, "\n"), text) {
		v.failf("no note contains %q: got notes %v", text, v.Timeline.Notes)
	}
}

// loggedTotal returns the total time of all requests in the attribution log.
func (v *checker) loggedTotal() time.Duration {
	var sum time.Duration
	for _, s := range v.Timeline.Slots {
		sum += s.All.Parts.Total()
	}
	return sum
}
