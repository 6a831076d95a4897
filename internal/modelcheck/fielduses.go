package modelcheck

// fieldUse says how a fingerprint includes a field. The zero value means that the field is not
// a duration and that the fingerprint includes its value unchanged.
type fieldUse uint8

const (
	asDuration       fieldUse = iota + 1 // a length of time, included unchanged
	relative                             // a point in time, included relative to now
	relativeIfFuture                     // a point in time, included relative to now; all past times are encoded alike
	byRank                               // a number, included as its rank among the numbers of its type
	presence                             // a point in time in a map, of which the fingerprint includes only the key
	relativeIfNear                       // a point in time, included relative to now; all times beyond the horizon are encoded alike
	ignored                              // a field that does not influence the future
)

// fieldUses lists the fields whose values a fingerprint does not include unchanged. Each field
// of type time.Duration needs an entry. The fingerprinter panics if one is missing.
var fieldUses = map[string]fieldUse{
	"modelcheck.World.scenario":      ignored,
	"modelcheck.World.cfg":           ignored,
	"modelcheck.World.now":           ignored,
	"modelcheck.World.wakeAt":        relativeIfNear,
	"modelcheck.World.coverage":      ignored,
	"modelcheck.World.firstArrival":  ignored,
	"modelcheck.World.log":           ignored,
	"modelcheck.World.unusableSince": presence,

	"modelcheck.request.deadline":       relativeIfFuture,
	"modelcheck.request.ambiguousSince": relative,
	"modelcheck.request.quiescentAt":    relativeIfFuture,

	"modelcheck.node.started":  relative,
	"modelcheck.node.nodeSpec": ignored,

	"modelcheck.request.requestSpec": ignored,
	"modelcheck.request.outcome":     ignored,

	"modelcheck.conn.id": byRank,

	"modelcheck.checker.requestTimes": relative,
	"modelcheck.checker.retryTimes":   relative,

	"upstreamhttp.Reader.Limits":   ignored,
	"upstreamhttp.Reader.Response": ignored, // the relevant part of a response follows from the fields state and scan

	"forwarder.Forwarder.cfg":         ignored,
	"forwarder.Forwarder.now":         ignored,
	"forwarder.Forwarder.lastConnID":  ignored,
	"forwarder.Forwarder.actions":     ignored,
	"forwarder.Forwarder.wakeAt":      relativeIfNear,
	"forwarder.Forwarder.sortedNodes": ignored, // the sorted nodes follow from the field nodes

	"forwarder.dispatcherTimer.at": relativeIfNear,

	"forwarder.request.class":            ignored,
	"forwarder.request.deadline":         relativeIfFuture,
	"forwarder.request.attemptStartedAt": relative,
	"forwarder.request.headersAt":        relative,
	"forwarder.request.ambiguousSince":   relative,
	"forwarder.request.attribution":      ignored, // no decision of the forwarder depends on the attribution

	"forwarder.node.occupancyHistory": ignored,

	"forwarder.ResponseInfo.HasTiming":   ignored,
	"forwarder.ResponseInfo.QueueTime":   ignored,
	"forwarder.ResponseInfo.ServiceTime": ignored,

	"forwarder.conn.id":        byRank,
	"forwarder.conn.createdAt": relative,
	"forwarder.conn.idleSince": relative,

	"timerqueue.Timer.at":    relativeIfNear,
	"timerqueue.Timer.seq":   ignored,
	"timerqueue.Timer.index": ignored,

	"timerqueue.Queue.seq": ignored,

	"forwarder.RequestAttributed.Entry": ignored,

	"forwarder.Dial.Conn": byRank,

	"forwarder.SendRequest.Conn":     byRank,
	"forwarder.SendRequest.Deadline": relativeIfFuture,

	"forwarder.CloseConn.Conn": byRank,

	"forwarder.ForwardResponse.Conn": byRank,

	"forwarder.DiscardResponse.Conn": byRank,

	"forwarder.Dial.Timeout": asDuration,

	"forwarder.Reject.RetryAfter": asDuration,

	"forwarder.SetTimer.At": relative,

	"dispatch.Node.Started": relative,

	"dispatch.Request.Timeout": ignored, // the dispatcher uses the timeout only when the request arrives

	"dispatch.request.class":            ignored,
	"dispatch.request.sequence":         byRank,
	"dispatch.request.sentAt":           relative,
	"dispatch.request.deadline":         relativeIfFuture,
	"dispatch.request.answerBy":         relativeIfFuture,
	"dispatch.request.ambiguousSince":   relative,
	"dispatch.request.queueTime":        ignored,
	"dispatch.request.blockedAtEnqueue": ignored, // only the accounting uses this field and queueTime

	"dispatch.volume.plan":             ignored,
	"dispatch.volume.tokensUpdatedAt":  relative,
	"dispatch.volume.reserveUpdatedAt": relative,
	"dispatch.volume.lastSeen":         ignored, // the dispatcher uses this time only to forget a volume after 30 s without requests

	"dispatch.node.delay":                ignored,
	"dispatch.node.delayConcurrency":     ignored,
	"dispatch.node.secondsPerUnit":       ignored, // the function nodeLatency writes these learned values separately
	"dispatch.node.completions":          ignored, // completions raise the concurrency limit only at 20 or more responses per second
	"dispatch.node.lastSentAt":           relative,
	"dispatch.node.lastUnansweredSentAt": relative,
	"dispatch.node.lastPromptSentAt":     relative,
	"dispatch.node.delayUpdatedAt":       ignored,
	"dispatch.node.ejectedUntil":         relativeIfFuture,
	"dispatch.node.releaseAt":            relativeIfFuture,
	"dispatch.node.slowStartDebtAt":      relative,
	"dispatch.node.blocked":              ignored,
	"dispatch.node.blockedAt":            ignored,
	"dispatch.node.blockedByEjection":    ignored,
	"dispatch.node.slowStartTime":        ignored,
	"dispatch.node.ejectedTime":          ignored, // only the accounting uses this field

	"dispatch.decayingSum.updatedAt": relative,

	"overload.Detector.changingSince": relative,
	"overload.Detector.lastSeen":      relative,

	"dispatch.keyQueue.quiescentAt": relativeIfFuture,

	"dispatch.Dispatcher.cfg":               ignored,
	"dispatch.Dispatcher.now":               ignored,
	"dispatch.Dispatcher.pollSilentAt":      relativeIfFuture,
	"dispatch.Dispatcher.startedAt":         relative,
	"dispatch.Dispatcher.tightestObjective": ignored,
	"dispatch.Dispatcher.shortestDeadline":  ignored,
	"dispatch.Dispatcher.wakeAt":            relativeIfNear,
	"dispatch.Dispatcher.lastSequence":      ignored,
	"dispatch.Dispatcher.budgetRequests":    relative,
	"dispatch.Dispatcher.budgetRetries":     relative,
	"dispatch.Dispatcher.actions":           ignored,
	"dispatch.Dispatcher.nodeOrder":         ignored,
	"dispatch.Dispatcher.volumeOrder":       ignored,
	"dispatch.Dispatcher.evictionCursor":    ignored, // it is used only where Config.MaxVolumes is set

	"dispatch.flow.throttledAt":   ignored,
	"dispatch.flow.throttledTime": ignored,
	"dispatch.flow.heapIndex":     ignored, // the order of the heap determines the index
}

// heapOrders maps each heap type to the fields that order its entries. A fingerprint includes
// the entries in this order, because their order in the slice does not influence the future.
var heapOrders = map[string][]string{
	"timerqueue.timerHeap": {"at", "seq"}, "dispatch.flowHeap": {"startTag"},
}

// irrelevantFields returns the fields that do not influence the future under a world's settings.
func irrelevantFields(w *World) map[string]bool {
	irrelevant := map[string]bool{}
	ignore := func(names ...string) {
		for _, n := range names {
			irrelevant[n] = true
		}
	}
	c := &w.cfg.Dispatch
	slowStart, limits, reserve := c.SlowStart.InitialUnits > 0, false, false
	for _, p := range c.Plans {
		limits = limits || p.RateLimit > 0
		reserve = reserve || p.Reserve > 0
	}
	if !slowStart {
		ignore("dispatch.node.slowStartDebt", "dispatch.node.slowStartDebtAt", "dispatch.node.shardThroughput", "dispatch.Dispatcher.throughputByShard")
	}
	if !limits {
		ignore("dispatch.volume.tokens", "dispatch.volume.tokensUpdatedAt")
	}
	if !slowStart && !limits {
		ignore("dispatch.Dispatcher.startedAt")
	}
	if !reserve {
		ignore("dispatch.volume.reserveUpdatedAt")
	}
	// All requests belong to one volume, so the dispatcher has nothing to order by these tags.
	ignore(
		"dispatch.node.virtualTime",
		"dispatch.request.arrivalVirtualTime",
		"dispatch.flow.lastStartTag",
		"dispatch.flow.lastCost",
		"dispatch.flow.lastFinishTag",
		"dispatch.flow.minStartTag",
		"dispatch.flow.startTag",
	)
	if c.RetryBudget.Ratio == 0 {
		ignore("dispatch.Dispatcher.budgetRequests", "modelcheck.checker.requestTimes")
	}
	if w.cfg.IdleTimeout > horizon && w.cfg.MaxConnAge > horizon {
		ignore("forwarder.conn.createdAt", "forwarder.conn.idleSince")
	}
	return irrelevant
}
