package modelcheck

import (
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// Scenarios returns the scenarios that Search can visit exhaustively. Stored replays contain the
// scenario names, so the names must not change.
func Scenarios() []Scenario {
	return []Scenario{
		drainScenario(),
		leaveScenario(),
		turnScenario(),
		windowScenario(),
		streamScenario(),
		uploadScenario(),
		renewScenario(),
		silentScenario(),
		bodyScenario(),
		triesScenario(),
		thriftScenario(),
		lossyScenario(),
		crashScenario(),
		doubtScenario(),
		loopsScenario(),
		shutdownScenario(),
		limitsScenario(),
		threeScenario(),
		lostScenario(),
		twoScenario(),
	}
}

// nodeAndSuccessor returns a listed node "a" and an unlisted node "b" that may replace it.
func nodeAndSuccessor() []nodeSpec {
	return []nodeSpec{{id: "a", initial: true}, {id: "b"}}
}

func idempotentAndKeyed() []requestSpec {
	return []requestSpec{{class: idempotentClass}, {class: keyedClass}}
}

func twoIdempotent() []requestSpec {
	return []requestSpec{{class: idempotentClass}, {class: idempotentClass}}
}

func idempotentKeyedAndOrdered() []requestSpec {
	return []requestSpec{{class: idempotentClass}, {class: keyedClass}, {class: orderedClass, key: "k"}}
}

func drainScenario() Scenario {
	return Scenario{
		Name:          "drain",
		Description:   "a node drains, its successor is listed, then it is removed, while two requests run",
		requests:      idempotentAndKeyed(),
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{drains: 1, adds: 1, removes: 1, resets: 1},
		arrivalWindow: 20 * ms,
	}
}

func leaveScenario() Scenario {
	return Scenario{
		Name:          "leave",
		Description:   "clients cancel at any time, also while a retry waits",
		requests:      idempotentAndKeyed(),
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{cancels: 2, resets: 1, errors: 1, failedDials: 1},
		arrivalWindow: 60 * ms,
	}
}

func turnScenario() Scenario {
	return Scenario{
		Name:          "turn",
		Description:   "two writes of one key, across a reset, a lost response and a client that cancels",
		requests:      []requestSpec{{class: orderedClass, key: "k"}, {class: orderedClass, key: "k"}},
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{cancels: 1, resets: 1, drains: 1, adds: 1},
		arrivalWindow: 60 * ms,
	}
}

func windowScenario() Scenario {
	return Scenario{
		Name:        "window",
		Description: "a deduplicated write whose response is lost; its window ends between decision and send",
		requests:    []requestSpec{{class: keyedClass}},
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{resets: 2, failedDials: 2, adds: 1, drains: 1, errors: 1},
		configure: func(c *forwarder.Config) {
			c.Dispatch.Classes[keyedClass].DedupWindow = 40 * ms
		},
	}
}

func streamScenario() Scenario {
	return Scenario{
		Name:          "stream",
		Description:   "bodies that are streamed, in both directions, and break off",
		requests:      []requestSpec{{class: idempotentClass, streamed: true}, {class: keyedClass, notReplayable: true}},
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{cancels: 1, resets: 1, streams: 2, bodyStreams: 1, rejects: 1},
		arrivalWindow: 20 * ms,
	}
}

func uploadScenario() Scenario {
	return Scenario{
		Name:        "upload",
		Description: "uploads of one key that are streamed and break off",
		requests: []requestSpec{
			{class: orderedClass, key: "k", notReplayable: true},
			{class: orderedClass, key: "k"},
		},
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{cancels: 1, resets: 1, bodyStreams: 2},
		arrivalWindow: 20 * ms,
	}
}

func renewScenario() Scenario {
	return Scenario{
		Name:          "renew",
		Description:   "a node is listed as a new process; connections reach their age and idle time",
		requests:      twoIdempotent(),
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{nodeRestarts: 1, drains: 1, resets: 1, closes: 1},
		arrivalWindow: 100 * ms,
		configure: func(c *forwarder.Config) {
			c.IdleTimeout = 60 * ms
			c.MaxConnAge = 100 * ms
		},
	}
}

func silentScenario() Scenario {
	return Scenario{
		Name:          "silent",
		Description:   "responses that do not come, so that attempts are canceled early",
		requests:      []requestSpec{{class: idempotentClass}, {class: idempotentClass}, {class: idempotentClass}},
		nodes:         nodeAndSuccessor()[:1],
		arrivalWindow: 500 * ms,
	}
}

func bodyScenario() Scenario {
	return Scenario{
		Name:        "body",
		Description: "one upload whose node reads the body and may never respond",
		requests:    []requestSpec{{class: keyedClass, notReplayable: true}},
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{bodyStreams: 1, cancels: 1, resets: 1, rejects: 1, drains: 1},
	}
}

func triesScenario() Scenario {
	return Scenario{
		Name:        "tries",
		Description: "one request whose attempts break off, with a budget for more retries than it may have",
		requests:    []requestSpec{{class: idempotentClass}},
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{resets: 4, errors: 2, failedDials: 1},
		configure:   func(c *forwarder.Config) { c.Dispatch.RetryBudget.MinRetries = 8 },
	}
}

func thriftScenario() Scenario {
	return Scenario{
		Name:        "thrift",
		Description: "the same with a budget for one retry",
		requests:    []requestSpec{{class: idempotentClass}},
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{resets: 3, errors: 1},
		configure:   func(c *forwarder.Config) { c.Dispatch.RetryBudget.MinRetries = 1 },
	}
}

func lossyScenario() Scenario {
	return Scenario{
		Name:        "lossy",
		Description: "a node that is known to lose responses, so that attempts end early and are made again",
		requests: []requestSpec{
			{class: idempotentClass},
			{class: idempotentClass},
			{class: idempotentClass},
			{class: idempotentClass},
			{class: keyedClass},
		},
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{drains: 1, resets: 1},
		arrivalWindow: 20 * ms,
		prepare:       learnLostResponse,
	}
}

func crashScenario() Scenario {
	return Scenario{
		Name:          "crash",
		Description:   "the gateway restarts with a stale endpoint list, while a node drains",
		requests:      idempotentAndKeyed(),
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{gatewayRestarts: 1, drains: 1, adds: 1},
		arrivalWindow: 60 * ms,
	}
}

func doubtScenario() Scenario {
	return Scenario{
		Name:          "doubt",
		Description:   "invalid responses, bytes after a response, nodes that close idle connections",
		requests:      twoIdempotent(),
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{invalids: 1, closes: 1, rejects: 1, resets: 1},
		arrivalWindow: 20 * ms,
	}
}

func loopsScenario() Scenario {
	return Scenario{
		Name:          "loops",
		Description:   "two event loops that share one connection to a node",
		requests:      []requestSpec{{class: idempotentClass}, {class: keyedClass, loop: 1}},
		nodes:         nodeAndSuccessor(),
		limits:        moveCounts{cancels: 1, resets: 1, drains: 1, adds: 1},
		arrivalWindow: 60 * ms,
		configure: func(c *forwarder.Config) {
			c.MaxConnsPerNode = 1
			c.MaxStreamsPerNode = 0
		},
	}
}

func shutdownScenario() Scenario {
	return Scenario{
		Name:        "shutdown",
		Description: "the gateway shuts down while requests wait, are in flight and stream in both directions",
		requests: []requestSpec{
			{class: idempotentClass, streamed: true},
			{class: keyedClass, notReplayable: true},
		},
		nodes:         nodeAndSuccessor()[:1],
		limits:        moveCounts{shutdowns: 1, streams: 1, bodyStreams: 1},
		arrivalWindow: 20 * ms,
	}
}

func limitsScenario() Scenario {
	return Scenario{
		Name:        "limits",
		Description: "few connections, a small budget, two shards",
		requests:    []requestSpec{{class: idempotentClass}, {class: idempotentClass, shard: 1}, {class: unsafeClass}},
		nodes:       []nodeSpec{{id: "a", initial: true}, {id: "c", shard: 1, initial: true}},
		limits:      moveCounts{resets: 2, errors: 1, failedDials: 1},
		configure: func(c *forwarder.Config) {
			c.MaxConnsPerNode = 1
			c.MaxStreamsPerNode = 0
			c.Dispatch.RetryBudget = dispatch.RetryBudget{MinRetries: 1, Ratio: 0, Window: 5 * time.Second}
		},
	}
}

func threeScenario() Scenario {
	return Scenario{
		Name:        "three",
		Description: "two nodes and three requests: one idempotent, one deduplicated, one ordered",
		requests:    idempotentKeyedAndOrdered(),
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{drains: 1, adds: 1},
	}
}

func lostScenario() Scenario {
	return Scenario{
		Name:        "lost",
		Description: "the same three requests, while a connection breaks and a node drains",
		requests:    idempotentKeyedAndOrdered(),
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{drains: 1, resets: 1},
	}
}

func twoScenario() Scenario {
	return Scenario{
		Name:        "two",
		Description: "two nodes and two requests",
		requests:    []requestSpec{{class: idempotentClass}, {class: orderedClass, key: "k"}},
		nodes:       nodeAndSuccessor(),
		limits:      moveCounts{drains: 1, adds: 1, resets: 1},
	}
}

// learnLostResponse gives the dispatcher a history with a node that works but loses responses.
// The response to the first request takes 5 ms, the response to the second never arrives, and
// the response to the third takes 5 ms again.
func learnLostResponse(w *World) {
	complete := func(r *request) {
		w.startRequest(r)
		for _, c := range w.sortedConns() {
			if !c.open {
				w.apply(Move{Kind: CompleteDial, Target: uint32(c.id)})
			}
		}
		w.now += 5 * ms
		w.apply(Move{Kind: RespondOK, Target: uint32(r.conn.id)})
	}
	complete(w.requests[0])
	w.startRequest(w.requests[1])
	w.advanceUntil(w.requests[1].finished)
	w.now += 3 * time.Second
	complete(w.requests[2])
	w.now = (w.now/timeGrid + 1) * timeGrid
	w.firstArrival = 0
}
