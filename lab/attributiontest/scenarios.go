package attributiontest

import (
	"chalkstand/attribution"
	"chalkstand/fake/storagenode"
	"chalkstand/internal/attributionlog"
	"strings"
	"time"
)

// Scenario is one small trouble, and what the accounts must tell of it.
type Scenario struct {
	Name string
	What string

	tolerance float64 // 0: Tolerance

	node   func(*storagenode.Config)
	play   func(*play)
	expect func(*play, *verdict)
}

// Volumes are those of all scenarios. What one does is in its name, for people;
// nothing reads it.
var Volumes = []string{"review", "flood", "flood2", "busy", "capped"}

// verdict is what is judged.
type verdict struct {
	p        *play
	Window   attribution.Window
	Counts   attribution.Counts
	Timeline attributionlog.Timeline
}

// behind is how long a volume waited behind another.
func behind(w *attribution.Window, victim, culprit string) time.Duration {
	for _, p := range w.Pairs {
		if p.Key == (attribution.Pair{Victim: victim, Culprit: culprit}) {
			return time.Duration(p.Count)
		}
	}
	return 0
}

// part is a volume's time under one cause.
func (v *verdict) part(volume string, c attribution.Component) time.Duration {
	l, _ := v.Window.Summary(volume)
	return l.Parts[c]
}

// most wants a cause to have at least a share of a volume's time.
func (v *verdict) most(volume string, share float64, cs ...attribution.Component) {
	l, ok := v.Window.Summary(volume)
	if !ok {
		v.p.fault("%s has no account", volume)
		return
	}
	var sum time.Duration
	for _, c := range cs {
		sum += l.Parts[c]
	}
	if got := sum.Seconds() / l.Parts.Total().Seconds(); got < share {
		v.p.fault("%s: %v has %.0f %% of its time, want %.0f %%: %v", volume, cs, 100*got, 100*share, l.Parts)
	}
}

// named wants a culprit to have made a victim wait by far the longest.
func (v *verdict) named(victim, culprit string, others ...string) {
	d := behind(&v.Window, victim, culprit)
	l, _ := v.Window.Summary(victim)
	if d < l.Parts.Total()/4 {
		v.p.fault("%s waited %v behind %s, of %v", victim, d, culprit, l.Parts.Total())
	}
	for _, o := range others {
		if b := behind(&v.Window, victim, o); 3*b > d {
			v.p.fault("%s waited %v behind %s, which is merely busy, beside %v behind %s", victim, b, o, d, culprit)
		}
	}
}

func (p *play) during(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{
			Name: "flood", What: "one volume floods a node that a review volume and a busy one share",
			play: func(p *play) {
				p.clients(32, "flood", 0, p.over)
				p.clients(1, "busy", 30*time.Millisecond, p.over)
				p.clients(2, "review", 5*time.Millisecond, p.over)
				<-p.during(2 * time.Second)
			},
			expect: func(p *play, v *verdict) { v.named("review", "flood", "busy") },
		},
		{
			Name: "two-floods", What: "two volumes flood at once",
			play: func(p *play) {
				p.clients(20, "flood", 0, p.over)
				p.clients(20, "flood2", 0, p.over)
				p.clients(1, "busy", 30*time.Millisecond, p.over)
				p.clients(2, "review", 5*time.Millisecond, p.over)
				<-p.during(2 * time.Second)
			},
			expect: func(p *play, v *verdict) {
				a, b := behind(&v.Window, "review", "flood"), behind(&v.Window, "review", "flood2")
				if a > 2*b || b > 2*a {
					p.fault("two like floods: review waited %v and %v behind them", a, b)
				}
				v.named("review", "flood", "busy")
				v.named("review", "flood2", "busy")
			},
		},
		{
			Name: "flood-stops", What: "a flood ends; what comes after it is not put down to it",
			play: func(p *play) {
				p.clients(32, "flood", 0, p.during(1200*time.Millisecond))
				p.clients(2, "review", 5*time.Millisecond, p.over)
				<-p.during(3 * time.Second)
				at := p.g.Now()
				<-p.during(1500 * time.Millisecond)
				p.afterFlood = p.since(at)
			},
			expect: func(p *play, v *verdict) {
				v.named("review", "flood")
				late := p.afterFlood
				if b := behind(&late, "review", "flood"); b > 0 || late.All.Requests == 0 {
					p.fault("after the flood: %d requests, %v behind it", late.All.Requests, b)
				}
			},
		},
		{
			Name: "slow-node", What: "a node slows with no flood: the node is named, no volume",
			play: func(p *play) {
				p.node.Inject(storagenode.Fault{Kind: storagenode.Slow, Factor: 6, For: time.Minute})
				p.clients(1, "review", 5*time.Millisecond, p.over)
				p.clients(1, "busy", 40*time.Millisecond, p.over)
				<-p.during(2 * time.Second)
			},
			expect: func(p *play, v *verdict) {
				v.most("review", 0.8, attribution.NodeService)
				if b := v.Window.Behind; b > v.Window.All.Parts.Total()/20 {
					p.fault("%v of %v behind volumes, where only the node was slow", b, v.Window.All.Parts.Total())
				}
			},
		},
		{
			Name: "limit", What: "a volume asks for more than its limit: it is named itself",
			play: func(p *play) {
				p.clients(6, "capped", 0, p.over)
				p.clients(1, "review", 10*time.Millisecond, p.over)
				<-p.during(2500 * time.Millisecond)
			},
			expect: func(p *play, v *verdict) {
				v.most("capped", 0.7, attribution.RateLimited)
				if d := v.part("review", attribution.RateLimited); d > 0 {
					p.fault("review has no limit, and %v under it", d)
				}
			},
		},
		{
			Name: "lost-answers", What: "answers are lost: further attempts are named",
			play: func(p *play) {
				p.node.Inject(storagenode.Fault{Kind: storagenode.LoseResponse, Share: 0.15, For: time.Minute, Hold: 150 * time.Millisecond})
				p.clients(2, "review", 5*time.Millisecond, p.over)
				<-p.during(2500 * time.Millisecond)
			},
			expect: func(p *play, v *verdict) { v.most("review", 0.3, attribution.FailedAttempts, attribution.RetryBackoff) },
		},
		{
			Name: "slow-client", What: "a client takes its answers in small bites",
			play: func(p *play) {
				p.clients(1, "busy", 20*time.Millisecond, p.over)
				for range 3 {
					p.request("GET", "review", large, 10*time.Millisecond)
				}
			},
			expect: func(p *play, v *verdict) { v.most("review", 0.6, attribution.SlowClient, attribution.ResponseBody) },
		},
		{
			Name: "late-reports", What: "nodes tell late, after the slot was closed, and not of every request",
			node: func(c *storagenode.Config) { c.TimingDelay, c.TimingLossRate = 2300*time.Millisecond, 0.3 },
			play: func(p *play) {
				p.clients(12, "flood", 0, p.during(1500*time.Millisecond))
				p.clients(2, "review", 5*time.Millisecond, p.over)
				<-p.during(5 * time.Second)
			},
			expect: func(p *play, v *verdict) {
				if v.Counts.ReportedLate == 0 || v.Counts.Corrected == 0 || !v.Window.Corrected {
					p.fault("no slot was corrected: %+v", v.Counts)
				}
				unknown, told := v.part("flood", attribution.NodeUnknown), v.part("flood", attribution.NodeQueue)+v.part("flood", attribution.NodeService)
				if told < unknown || unknown < told/20 {
					p.fault("of three in ten nothing is told; %v is unknown beside %v told", unknown, told)
				}
				if behind(&v.Window, "review", "flood") == 0 {
					p.fault("late reports name nobody")
				}
			},
		},
		{
			Name: "restart", What: "the gateway ends and another takes its place; late reports of the first find nobody",
			node: func(c *storagenode.Config) { c.TimingDelay = 300 * time.Millisecond },
			play: func(p *play) {
				first := p.during(time.Second)
				p.clients(4, "review", 5*time.Millisecond, first)
				<-first
				p.work.Wait()
				p.quiet()
				p.end()
				if err := p.start(); err != nil {
					p.fault("%v", err)
					return
				}
				p.clients(4, "review", 5*time.Millisecond, p.over)
				<-p.during(1200 * time.Millisecond)
			},
			expect: func(p *play, v *verdict) {
				runs := map[string]bool{}
				var sum time.Duration
				for _, s := range v.Timeline.Slots {
					runs[s.Run.ID] = true
					sum += s.All.Parts.Total()
				}
				if len(runs) != 2 || sum != p.told["review"] {
					p.fault("the log has %d lives and %v, accounts told %v", len(runs), sum, p.told["review"])
				}
				if !strings.Contains(strings.Join(v.Timeline.Notes, "\n"), "started anew") {
					p.fault("the restart is not told: %v", v.Timeline.Notes)
				}
				if v.Counts.Unplaced+v.Counts.ReportedLate == 0 {
					p.fault("no late report came: %+v", v.Counts)
				}
			},
		},
		{
			Name: "clock-step", What: "the wall clock is set back by five minutes",
			play: func(p *play) {
				p.clients(4, "review", 5*time.Millisecond, p.over)
				<-p.during(700 * time.Millisecond)
				p.step.Store(int64(-5 * time.Minute))
				<-p.during(700 * time.Millisecond)
			},
			expect: func(p *play, v *verdict) {
				if !strings.Contains(strings.Join(v.Timeline.Notes, "\n"), "wall clock was set by -5m0") {
					p.fault("the step is not told: %v", v.Timeline.Notes)
				}
				var sum time.Duration
				for _, s := range v.Timeline.Slots {
					sum += s.All.Parts.Total()
				}
				if sum != p.told["review"] {
					p.fault("the log has %v, accounts told %v", sum, p.told["review"])
				}
			},
		},
	}
}

// Names returns the names of all scenarios.
func Names() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}
