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
		Me:            c.DispatcherIndex,
		Peers:         c.DispatcherCount,
		Cancel:        c.CancelAttempts,
		AskDiscovery:  c.PollDiscovery,
		MaxRetryAfter: c.MaxRetryAfter,
		MaxAttempts:   c.MaxAttempts,
		Round:         c.RoundTrip,
		Classes:       convert(c.Classes, encodeClass),
		Plans:         convert(c.Plans, encodePlan),
		UsualUnits:    c.MeanUnits,
		LargestUnits:  c.MaxUnits,
		Cold: coldRecord{
			From:       c.SlowStart.InitialCapacity,
			WarmUp:     c.SlowStart.WarmUp,
			Multiple:   c.SlowStart.OverloadFactor,
			Span:       c.SlowStart.Window,
			YoungLimit: c.SlowStart.InitialUnits,
		},
		Budget: budgetRecord{Free: c.RetryBudget.MinRetries, Ratio: c.RetryBudget.Ratio, Span: c.RetryBudget.Window},
		Settle: c.Quiescence,
	}
}

func (r *configRecord) decode() dispatch.Config {
	return dispatch.Config{
		DispatcherIndex: r.Me,
		DispatcherCount: r.Peers,
		CancelAttempts:  r.Cancel,
		PollDiscovery:   r.AskDiscovery,
		MaxRetryAfter:   r.MaxRetryAfter,
		MaxAttempts:     r.MaxAttempts,
		RoundTrip:       r.Round,
		Classes:         convert(r.Classes, classRecord.decode),
		Plans:           convert(r.Plans, planRecord.decode),
		MeanUnits:       r.UsualUnits,
		MaxUnits:        r.LargestUnits,
		SlowStart: dispatch.SlowStart{
			InitialCapacity: r.Cold.From,
			WarmUp:          r.Cold.WarmUp,
			OverloadFactor:  r.Cold.Multiple,
			Window:          r.Cold.Span,
			InitialUnits:    r.Cold.YoungLimit,
		},
		RetryBudget: dispatch.RetryBudget{MinRetries: r.Budget.Free, Ratio: r.Budget.Ratio, Window: r.Budget.Span},
		Quiescence:  r.Settle,
	}
}

func encodeClass(c dispatch.Class) classRecord {
	return classRecord{
		Name:     c.Name,
		Aim:      c.LatencyObjective,
		Deadline: c.Deadline,
		Worth:    c.PriorityWeight,
		Effect:   int(c.Idempotency),
		Group:    int(c.DedupScope),
		Window:   c.DedupWindow,
		InTurn:   c.Ordered,
	}
}

func (r classRecord) decode() dispatch.Class {
	return dispatch.Class{
		Name:             r.Name,
		LatencyObjective: r.Aim,
		Deadline:         r.Deadline,
		PriorityWeight:   r.Worth,
		Idempotency:      dispatch.Idempotency(r.Effect),
		DedupScope:       dispatch.DedupScope(r.Group),
		DedupWindow:      r.Window,
		Ordered:          r.InTurn,
	}
}

func encodePlan(p dispatch.Plan) planRecord {
	return planRecord{
		Name:    p.Name,
		Reserve: p.Reserve,
		Weight:  p.Weight,
		Price:   p.Price,
		Limit:   p.RateLimit,
		Burst:   p.Burst,
		Slack:   p.Slack,
	}
}

func (r planRecord) decode() dispatch.Plan {
	return dispatch.Plan{
		Name:      r.Name,
		Reserve:   r.Reserve,
		Weight:    r.Weight,
		Price:     r.Price,
		RateLimit: r.Limit,
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
		ID:     uint64(q.ID),
		Class:  q.Class,
		Plan:   q.Plan,
		Volume: string(q.Volume),
		Key:    q.Key,
		Shard:  int(q.Shard),
		Units:  q.Units,
		Hosts:  q.Dispatchers,
		Left:   q.Timeout,
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
		Dispatchers: r.Hosts,
		Timeout:     r.Left,
	}
}

func encodeOutcome(o *dispatch.AttemptCompleted) *outcomeRecord {
	return &outcomeRecord{
		ID:        uint64(o.ID),
		Attempt:   o.Attempt,
		Node:      string(o.Node),
		Status:    int(o.Result),
		Concluded: o.Responded,
		Took:      o.Latency,
		Use:       o.QuotaUsage,
		Elsewhere: o.PeerUnits,
		Report:    o.LoadReport,
	}
}

func (r *outcomeRecord) decode() dispatch.AttemptCompleted {
	return dispatch.AttemptCompleted{
		ID:         dispatch.RequestID(r.ID),
		Attempt:    r.Attempt,
		Node:       dispatch.NodeID(r.Node),
		Result:     dispatch.AttemptResult(r.Status),
		Responded:  r.Concluded,
		Latency:    r.Took,
		QuotaUsage: r.Use,
		PeerUnits:  r.Elsewhere,
		LoadReport: r.Report,
	}
}

// encodeEvent returns the record of an event that happened at the time now and of the
// actions that the dispatcher returned for it.
func encodeEvent(now time.Duration, ev dispatch.Event, actions []dispatch.Action) eventRecord {
	r := eventRecord{Now: now, Actions: renderActions(actions)}
	switch e := ev.(type) {
	case dispatch.EndpointUpdate:
		r.List = &listRecord{Kind: int(e.Kind), Nodes: convert(e.Nodes, encodeNode)}
	case dispatch.Request:
		r.Request = encodeRequest(&e)
	case dispatch.AttemptCompleted:
		r.Outcome = encodeOutcome(&e)
	case dispatch.ClientCanceled:
		r.Gone = &goneRecord{ID: uint64(e.ID)}
	case dispatch.CostCorrection:
		r.Measured = &measuredRecord{Volume: string(e.Volume), Node: string(e.Node), Units: e.Units}
	case dispatch.TimerFired:
		r.Fired = &firedRecord{Token: e.Token}
	}
	return r
}

// errNoEvent is returned for a record in which no event field is set.
var errNoEvent = errors.New("record contains no known event")

// event converts the event of a record to its type in package dispatch.
func (r *eventRecord) event() (dispatch.Event, error) {
	switch {
	case r.List != nil:
		return dispatch.EndpointUpdate{
			Kind:  dispatch.EndpointUpdateKind(r.List.Kind),
			Nodes: convert(r.List.Nodes, nodeRecord.decode),
		}, nil
	case r.Request != nil:
		return r.Request.decode(), nil
	case r.Outcome != nil:
		return r.Outcome.decode(), nil
	case r.Gone != nil:
		return dispatch.ClientCanceled{ID: dispatch.RequestID(r.Gone.ID)}, nil
	case r.Measured != nil:
		return dispatch.CostCorrection{
			Volume: dispatch.VolumeID(r.Measured.Volume),
			Node:   dispatch.NodeID(r.Measured.Node),
			Units:  r.Measured.Units,
		}, nil
	case r.Fired != nil:
		return dispatch.TimerFired{Token: r.Fired.Token}, nil
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
