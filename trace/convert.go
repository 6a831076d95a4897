package trace

import (
	"encoding/json"
	"errors"
	"time"

	"chalkstand/dispatch"
)

// The functions below convert between the types of package dispatch and the records that a
// trace stores.

// convert returns a slice with the converted elements of in. It returns nil if in is nil, so
// that a stored null remains a null.
func convert[A, B any](in []A, convertElement func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, element := range in {
		out[i] = convertElement(element)
	}
	return out
}

func encodeConfig(c *dispatch.Config) configRecord {
	return configRecord{
		DispatcherIndex: c.DispatcherIndex,
		DispatcherCount: c.DispatcherCount,
		CancelAttempts:  c.CancelAttempts,
		PollDiscovery:   c.PollDiscovery,
		ListsPushed:     c.ListsPushed,
		MaxRetryAfter:   c.MaxRetryAfter,
		MaxAttempts:     c.MaxAttempts,
		RoundTrip:       c.RoundTrip,
		Classes:         convert(c.Classes, encodeClass),
		Plans:           convert(c.Plans, encodePlan),
		MeanUnits:       c.MeanUnits,
		MaxUnits:        c.MaxUnits,
		MaxVolumes:      c.MaxVolumes,
		SlowStart: slowStartRecord{
			InitialCapacity: c.SlowStart.InitialCapacity,
			WarmUp:          c.SlowStart.WarmUp,
			OverloadFactor:  c.SlowStart.OverloadFactor,
			Window:          c.SlowStart.Window,
			InitialUnits:    c.SlowStart.InitialUnits,
		},
		RetryBudget: retryBudgetRecord{
			MinRetries: c.RetryBudget.MinRetries,
			Ratio:      c.RetryBudget.Ratio,
			Window:     c.RetryBudget.Window,
		},
		Quiescence: c.Quiescence,
	}
}

func (r *configRecord) decode() dispatch.Config {
	return dispatch.Config{
		DispatcherIndex: r.DispatcherIndex,
		DispatcherCount: r.DispatcherCount,
		CancelAttempts:  r.CancelAttempts,
		PollDiscovery:   r.PollDiscovery,
		ListsPushed:     r.ListsPushed,
		MaxRetryAfter:   r.MaxRetryAfter,
		MaxAttempts:     r.MaxAttempts,
		RoundTrip:       r.RoundTrip,
		Classes:         convert(r.Classes, classRecord.decode),
		Plans:           convert(r.Plans, planRecord.decode),
		MeanUnits:       r.MeanUnits,
		MaxUnits:        r.MaxUnits,
		MaxVolumes:      r.MaxVolumes,
		SlowStart: dispatch.SlowStart{
			InitialCapacity: r.SlowStart.InitialCapacity,
			WarmUp:          r.SlowStart.WarmUp,
			OverloadFactor:  r.SlowStart.OverloadFactor,
			Window:          r.SlowStart.Window,
			InitialUnits:    r.SlowStart.InitialUnits,
		},
		RetryBudget: dispatch.RetryBudget{
			MinRetries: r.RetryBudget.MinRetries,
			Ratio:      r.RetryBudget.Ratio,
			Window:     r.RetryBudget.Window,
		},
		Quiescence: r.Quiescence,
	}
}

func encodeClass(c dispatch.Class) classRecord {
	return classRecord{
		Name:             c.Name,
		LatencyObjective: c.LatencyObjective,
		Deadline:         c.Deadline,
		Idempotency:      int(c.Idempotency),
		DedupScope:       int(c.DedupScope),
		DedupWindow:      c.DedupWindow,
		Ordered:          c.Ordered,
	}
}

func (r classRecord) decode() dispatch.Class {
	return dispatch.Class{
		Name:             r.Name,
		LatencyObjective: r.LatencyObjective,
		Deadline:         r.Deadline,
		Idempotency:      dispatch.Idempotency(r.Idempotency),
		DedupScope:       dispatch.DedupScope(r.DedupScope),
		DedupWindow:      r.DedupWindow,
		Ordered:          r.Ordered,
	}
}

func encodePlan(p dispatch.Plan) planRecord {
	return planRecord{
		Name:      p.Name,
		Reserve:   p.Reserve,
		Weight:    p.Weight,
		RateLimit: p.RateLimit,
		Burst:     p.Burst,
		Slack:     p.Slack,
	}
}

func (r planRecord) decode() dispatch.Plan {
	return dispatch.Plan{
		Name:      r.Name,
		Reserve:   r.Reserve,
		Weight:    r.Weight,
		RateLimit: r.RateLimit,
		Burst:     r.Burst,
		Slack:     r.Slack,
	}
}

func encodeNode(n dispatch.Node) nodeRecord {
	return nodeRecord{
		ID:      string(n.ID),
		Zone:    n.Zone,
		Kind:    n.Kind,
		Shard:   int(n.Shard),
		State:   int(n.State),
		Started: n.Started,
	}
}

func (r nodeRecord) decode() dispatch.Node {
	return dispatch.Node{
		ID:      dispatch.NodeID(r.ID),
		Zone:    r.Zone,
		Kind:    r.Kind,
		Shard:   dispatch.Shard(r.Shard),
		State:   dispatch.NodeState(r.State),
		Started: r.Started,
	}
}

func encodeRequest(q *dispatch.Request) *requestRecord {
	return &requestRecord{
		ID:          uint64(q.ID),
		Class:       q.Class,
		Plan:        q.Plan,
		Volume:      string(q.Volume),
		Key:         q.Key,
		Shard:       int(q.Shard),
		Units:       q.Units,
		Dispatchers: q.Dispatchers,
		Timeout:     q.Timeout,
	}
}

func (r *requestRecord) decode() dispatch.Request {
	return dispatch.Request{
		ID:          dispatch.RequestID(r.ID),
		Class:       r.Class,
		Plan:        r.Plan,
		Volume:      dispatch.VolumeID(r.Volume),
		Key:         r.Key,
		Shard:       dispatch.Shard(r.Shard),
		Units:       r.Units,
		Dispatchers: r.Dispatchers,
		Timeout:     r.Timeout,
	}
}

func encodeAttemptCompleted(o *dispatch.AttemptCompleted) *attemptCompletedRecord {
	return &attemptCompletedRecord{
		ID:         uint64(o.ID),
		Attempt:    o.Attempt,
		Node:       string(o.Node),
		Result:     int(o.Result),
		Responded:  o.Responded,
		Latency:    o.Latency,
		QuotaUsage: o.QuotaUsage,
		PeerUnits:  o.PeerUnits,
		LoadReport: o.LoadReport,
	}
}

func (r *attemptCompletedRecord) decode() dispatch.AttemptCompleted {
	return dispatch.AttemptCompleted{
		ID:         dispatch.RequestID(r.ID),
		Attempt:    r.Attempt,
		Node:       dispatch.NodeID(r.Node),
		Result:     dispatch.AttemptResult(r.Result),
		Responded:  r.Responded,
		Latency:    r.Latency,
		QuotaUsage: r.QuotaUsage,
		PeerUnits:  r.PeerUnits,
		LoadReport: r.LoadReport,
	}
}

// encodeEvent returns the record of an event that happened at the time now and of the
// actions that the dispatcher returned for it.
func encodeEvent(now time.Duration, ev dispatch.Event, actions []dispatch.Action) eventRecord {
	r := eventRecord{Now: now, Actions: renderActions(actions)}
	switch e := ev.(type) {
	case dispatch.EndpointUpdate:
		r.EndpointUpdate = &endpointUpdateRecord{Kind: int(e.Kind), Nodes: convert(e.Nodes, encodeNode)}
	case dispatch.Request:
		r.Request = encodeRequest(&e)
	case dispatch.AttemptCompleted:
		r.AttemptCompleted = encodeAttemptCompleted(&e)
	case dispatch.ClientCanceled:
		r.ClientCanceled = &clientCanceledRecord{ID: uint64(e.ID)}
	case dispatch.CostCorrection:
		r.CostCorrection = &costCorrectionRecord{Volume: string(e.Volume), Node: string(e.Node), Units: e.Units}
	case dispatch.Shutdown:
		r.Shutdown = &shutdownRecord{}
	case dispatch.TimerFired:
		r.TimerFired = &timerFiredRecord{Token: e.Token}
	}
	return r
}

// errNoEvent is returned for a record in which no event field is set.
var errNoEvent = errors.New("record contains no known event")

// event converts the event of a record to its type in package dispatch.
func (r *eventRecord) event() (dispatch.Event, error) {
	switch {
	case r.EndpointUpdate != nil:
		return dispatch.EndpointUpdate{
			Kind:  dispatch.EndpointUpdateKind(r.EndpointUpdate.Kind),
			Nodes: convert(r.EndpointUpdate.Nodes, nodeRecord.decode),
		}, nil
	case r.Request != nil:
		return r.Request.decode(), nil
	case r.AttemptCompleted != nil:
		return r.AttemptCompleted.decode(), nil
	case r.ClientCanceled != nil:
		return dispatch.ClientCanceled{ID: dispatch.RequestID(r.ClientCanceled.ID)}, nil
	case r.CostCorrection != nil:
		return dispatch.CostCorrection{
			Volume: dispatch.VolumeID(r.CostCorrection.Volume),
			Node:   dispatch.NodeID(r.CostCorrection.Node),
			Units:  r.CostCorrection.Units,
		}, nil
	case r.Shutdown != nil:
		return dispatch.Shutdown{}, nil
	case r.TimerFired != nil:
		return dispatch.TimerFired{Token: r.TimerFired.Token}, nil
	}
	return nil, errNoEvent
}

// describe returns a record's time and event as JSON, without the actions.
func (r *eventRecord) describe() string {
	e := *r
	e.Actions = nil
	text, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
