package mutation

// These constants name the source files of the dispatcher that the mutants change.
const (
	dispatchAttempts  = "dispatch/attempts.go"
	dispatchEndpoints = "dispatch/endpoints.go"
	dispatchOrdering  = "dispatch/ordering.go"
	dispatchRequest   = "dispatch/request.go"
	dispatchRetry     = "dispatch/retry.go"
)

// dispatchMutants lists the mutants of the dispatcher.
var dispatchMutants = []Mutant{
	{
		Name:              "a request is sent to a draining node",
		File:              dispatchAttempts,
		From:              "d.now >= r.deadline || !n.listed || n.State != Ready {",
		To:                "d.now >= r.deadline || !n.listed {",
		EquivalentBecause: "the requests queued at a draining node were moved in the same event",
	},
	{
		Name: "no bound on attempts",
		File: dispatchRetry,
		From: "d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts",
		To:   "false",
	},
	{
		Name: "a non-idempotent request is retried",
		File: dispatchRetry,
		From: "\tcase NonIdempotent:\n\t\treturn false",
		To:   "\tcase NonIdempotent:\n\t\treturn true",
	},
	{
		Name: "the dedup window is ignored",
		File: dispatchRetry,
		From: "return inScope && d.now-r.ambiguousSince < r.class.DedupWindow",
		To:   "return inScope",
	},
	{
		Name: "no retry budget",
		File: dispatchRetry,
		From: "\treturn float64(len(d.budgetRetries)+retries) <= allowed",
		To:   "\t_ = allowed\n\treturn true",
	},
	{
		Name: "a rejection after an ambiguous attempt",
		File: dispatchRequest,
		From: "\treturn !r.ambiguous && !r.outstanding || r.class.Idempotency == Idempotent ||",
		To:   "\treturn true || r.class.Idempotency == Idempotent ||",
	},
	{
		Name: "a key without quiescence",
		File: dispatchOrdering,
		From: "\tq.quiescentAt = max(q.quiescentAt, d.now+d.cfg.Quiescence)",
		To:   "\tq.quiescentAt = max(q.quiescentAt, d.now)",
	},
	{
		Name:              "the next request of a key starts before the last attempt has ended",
		File:              dispatchOrdering,
		From:              "q.requests[0].state == completed && !q.requests[0].outstanding {",
		To:                "q.requests[0].state == completed {",
		EquivalentBecause: "the forwarder reports the end of an attempt in the same event as that of its request; the guard matters where attempts outlast requests, as in the simulator",
	},
	{
		Name:              "a key queue does not advance",
		File:              dispatchOrdering,
		From:              "\t\td.place(q.requests[0])\n\tdefault:",
		To:                "\tdefault:",
		EquivalentBecause: "no invariant is violated: the next request is rejected when its time ends; the dispatcher's TestOrderByKey finds it",
	},
	{
		Name:              "a retry skips the checks",
		File:              dispatchRetry,
		From:              "\tif n := r.node; n.listed && n.State == Ready && d.mayRetry(r, n) {",
		To:                "\tif n := r.node; n.listed && n.State == Ready {",
		EquivalentBecause: "the guard on sending holds it back; the request is rejected when its time ends, not at once",
	},
	{
		Name:              "requests stay queued at a draining node",
		File:              dispatchEndpoints,
		From:              "\t\tif n.State != Ready {\n\t\t\td.requeueFrom(n)\n\t\t}",
		To:                "",
		EquivalentBecause: "no invariant is violated: nothing is sent to the node, and its queued requests are rejected when their time ends; the dispatcher's TestNodeThatIsNotReadyGetsNoRequests finds it",
	},
	{
		Name: "no rejection in the queue of a key",
		File: dispatchRequest,
		From: "\tif r.state == queuedByKey {",
		To:   "\tif false {",
	},
}
