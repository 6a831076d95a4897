package attributiontest

import (
	"context"
	"time"

	"chalkstand/attribution"
	"chalkstand/fake/storagenode"
)

// Scenario describes one fault with a known cause, and checks that attribution names this cause.
type Scenario struct {
	Name        string
	Description string

	tolerance     float64                   // 0 stands for Tolerance
	configureNode func(*storagenode.Config) // changes the node's configuration; may be nil
	run           func(context.Context, *testRun)
	check         func(*verifier)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		floodScenario(),
		twoFloodsScenario(),
		floodStopsScenario(),
		slowNodeScenario(),
		limitScenario(),
		lostAnswersScenario(),
		slowClientScenario(),
		lateReportsScenario(),
		restartScenario(),
		clockStepScenario(),
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

func floodScenario() Scenario {
	return Scenario{
		Name:        "flood",
		Description: "one volume floods a node that a review volume and a busy one share",
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 32, floodVolume, 0, r.done)
			r.startClients(ctx, 1, busyVolume, 30*time.Millisecond, r.done)
			r.startClients(ctx, 2, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(2 * time.Second)
		},
		check: func(v *verifier) { v.expectCulprit(floodVolume, busyVolume) },
	}
}

func twoFloodsScenario() Scenario {
	return Scenario{
		Name:        "two-floods",
		Description: "two volumes flood at once",
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 20, floodVolume, 0, r.done)
			r.startClients(ctx, 20, flood2Volume, 0, r.done)
			r.startClients(ctx, 1, busyVolume, 30*time.Millisecond, r.done)
			r.startClients(ctx, 2, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(2 * time.Second)
		},
		check: func(v *verifier) {
			first, second := v.reviewBehind(floodVolume), v.reviewBehind(flood2Volume)
			if first > 2*second || second > 2*first {
				v.failf("review waited %v and %v behind two equal floods, want at most a factor of 2 between them",
					first, second)
			}
			v.expectCulprit(floodVolume, busyVolume)
			v.expectCulprit(flood2Volume, busyVolume)
		},
	}
}

func floodStopsScenario() Scenario {
	return Scenario{
		Name:        "flood-stops",
		Description: "a flood ends; later waits are not attributed to it",
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 32, floodVolume, 0, closedAfter(1200*time.Millisecond))
			r.startClients(ctx, 2, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(3 * time.Second)
			at := r.gateway.Now()
			<-closedAfter(1500 * time.Millisecond)
			r.afterFlood = r.windowSince(at)
		},
		check: func(v *verifier) {
			v.expectCulprit(floodVolume)
			requests := v.afterFlood.All.Requests
			wait := waitedBehind(&v.afterFlood, reviewVolume, floodVolume)
			if wait > 0 || requests == 0 {
				v.failf("after the flood: got %d requests, want some; got a wait of %v behind the flood, want none",
					requests, wait)
			}
		},
	}
}

func slowNodeScenario() Scenario {
	return Scenario{
		Name:        "slow-node",
		Description: "a node slows down without a flood: the node is named, no volume",
		run: func(ctx context.Context, r *testRun) {
			r.node.Inject(storagenode.Fault{Kind: storagenode.Slow, Factor: 6, For: time.Minute})
			r.startClients(ctx, 1, reviewVolume, 5*time.Millisecond, r.done)
			r.startClients(ctx, 1, busyVolume, 40*time.Millisecond, r.done)
			<-closedAfter(2 * time.Second)
		},
		check: func(v *verifier) {
			v.expectShare(reviewVolume, 0.8, attribution.NodeService)
			total := v.Window.All.Parts.Total()
			if behind := v.Window.Behind; behind > total/20 {
				v.failf("slow node: got %v of %v attributed to waits behind volumes, want at most 1/20", behind, total)
			}
		},
	}
}

func limitScenario() Scenario {
	return Scenario{
		Name:        "limit",
		Description: "a volume exceeds its rate limit: its own limit is named",
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 6, cappedVolume, 0, r.done)
			r.startClients(ctx, 1, reviewVolume, 10*time.Millisecond, r.done)
			<-closedAfter(2500 * time.Millisecond)
		},
		check: func(v *verifier) {
			v.expectShare(cappedVolume, 0.7, attribution.RateLimited)
			if d := v.component(reviewVolume, attribution.RateLimited); d > 0 {
				v.failf("review has no rate limit: got %v attributed to a limit, want none", d)
			}
		},
	}
}

func lostAnswersScenario() Scenario {
	return Scenario{
		Name:        "lost-answers",
		Description: "responses are lost: retries are named",
		run: func(ctx context.Context, r *testRun) {
			r.node.Inject(storagenode.Fault{
				Kind:  storagenode.LoseResponse,
				Share: 0.15,
				For:   time.Minute,
				Hold:  150 * time.Millisecond,
			})
			r.startClients(ctx, 2, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(2500 * time.Millisecond)
		},
		check: func(v *verifier) {
			v.expectShare(reviewVolume, 0.3, attribution.FailedAttempts, attribution.RetryBackoff)
		},
	}
}

func slowClientScenario() Scenario {
	return Scenario{
		Name:        "slow-client",
		Description: "a client reads its responses slowly",
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 1, busyVolume, 20*time.Millisecond, r.done)
			for range 3 {
				r.read(ctx, reviewVolume, largeKey, 10*time.Millisecond)
			}
		},
		check: func(v *verifier) {
			v.expectShare(reviewVolume, 0.6, attribution.SlowClient, attribution.ResponseBody)
		},
	}
}

func lateReportsScenario() Scenario {
	return Scenario{
		Name:        "late-reports",
		Description: "nodes report timings after the slot was closed, and not of every request",
		configureNode: func(c *storagenode.Config) {
			c.TimingDelay = 2300 * time.Millisecond
			c.TimingLossRate = 0.3
		},
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 12, floodVolume, 0, closedAfter(1500*time.Millisecond))
			r.startClients(ctx, 2, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(5 * time.Second)
		},
		check: func(v *verifier) {
			if v.Counts.ReportedLate == 0 || v.Counts.Corrected == 0 || !v.Window.Corrected {
				v.failf("got no corrected slot, want late reports to correct some: counts %+v", v.Counts)
			}
			unknown := v.component(floodVolume, attribution.NodeUnknown)
			reported := v.component(floodVolume, attribution.NodeQueue) +
				v.component(floodVolume, attribution.NodeService)
			if reported < unknown || unknown < reported/20 {
				v.failf("nodes do not report 3 of 10 requests: got %v unknown and %v reported, "+
					"want the unknown time between 1/20 of the reported time and all of it", unknown, reported)
			}
			if v.reviewBehind(floodVolume) == 0 {
				v.failf("late reports: got no time of review behind the flood, want some")
			}
		},
	}
}

func restartScenario() Scenario {
	return Scenario{
		Name:          "restart",
		Description:   "a gateway is replaced by another, which gets late reports for requests of the first",
		configureNode: func(c *storagenode.Config) { c.TimingDelay = 300 * time.Millisecond },
		run: func(ctx context.Context, r *testRun) {
			first := closedAfter(time.Second)
			r.startClients(ctx, 4, reviewVolume, 5*time.Millisecond, first)
			<-first
			r.clients.Wait()
			r.waitIdle()
			r.closeGateway()
			if err := r.startGateway(ctx); err != nil {
				r.failf("start the second gateway: %v", err)
				return
			}
			r.startClients(ctx, 4, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(1200 * time.Millisecond)
		},
		check: func(v *verifier) {
			runs := map[string]bool{}
			for _, s := range v.Timeline.Slots {
				runs[s.Run.ID] = true
			}
			logged, attributed := v.loggedTotal(), v.attributed[reviewVolume]
			if len(runs) != 2 || logged != attributed {
				v.failf("attribution log: got %d runs, want 2; got a total time of %v, want the attributed %v",
					len(runs), logged, attributed)
			}
			v.expectNote("started anew")
			if v.Counts.Unmatched+v.Counts.ReportedLate == 0 {
				v.failf("got no late report after the restart, want some: counts %+v", v.Counts)
			}
		},
	}
}

func clockStepScenario() Scenario {
	return Scenario{
		Name:        "clock-step",
		Description: "the wall clock is set back by five minutes",
		run: func(ctx context.Context, r *testRun) {
			r.startClients(ctx, 4, reviewVolume, 5*time.Millisecond, r.done)
			<-closedAfter(700 * time.Millisecond)
			r.clockOffset.Store(int64(-5 * time.Minute))
			<-closedAfter(700 * time.Millisecond)
		},
		check: func(v *verifier) {
			v.expectNote("wall clock was set by -5m0")
			logged, attributed := v.loggedTotal(), v.attributed[reviewVolume]
			if logged != attributed {
				v.failf("attribution log: got a total time of %v, want the attributed %v", logged, attributed)
			}
		},
	}
}
