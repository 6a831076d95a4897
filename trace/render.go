package trace

import (
	"fmt"
	"strconv"

	"chalkstand/dispatch"
)

// renderActions returns the text that a trace stores for each action. Replay compares these
// texts, so they must not change while Version stays the same. The texts contain the names
// that the dispatcher's package, types and fields had when the trace format was defined.
func renderActions(actions []dispatch.Action) []string {
	var out []string
	for _, a := range actions {
		out = append(out, renderAction(a))
	}
	return out
}

func renderAction(a dispatch.Action) string {
	switch a := a.(type) {
	case dispatch.SendAttempt:
		return fmt.Sprintf("choice.Attempt{ID:%d Node:%s Until:%v Held:%s}",
			uint64(a.ID), string(a.Node), a.Deadline, renderQueueTime(a.QueueTime))
	case dispatch.Reject:
		return fmt.Sprintf("choice.Refuse{ID:%d After:%v Held:%s}",
			uint64(a.ID), a.RetryAfter, renderQueueTime(a.QueueTime))
	case dispatch.Fail:
		return fmt.Sprintf("choice.Fail{ID:%d Held:%s}", uint64(a.ID), renderQueueTime(a.QueueTime))
	case dispatch.CancelAttempt:
		return fmt.Sprintf("choice.Cancel{ID:%d Attempt:%d}", uint64(a.ID), a.Attempt)
	case dispatch.SetTimer:
		return fmt.Sprintf("choice.SetTimer{At:%v Token:%s}", a.At, a.Token)
	case dispatch.Watch:
		return "choice.Watch{On:" + strconv.FormatBool(a.On) + "}"
	}
	return fmt.Sprintf("unknown action %T", a)
}

func renderQueueTime(q dispatch.QueueTime) string {
	return fmt.Sprintf("{Line:%v Limit:%v Cold:%v Suspect:%v}", q.Concurrency, q.RateLimit, q.SlowStart, q.Ejected)
}
