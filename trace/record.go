package trace

import (
	"chalkstand/dispatch"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// The stored form of a trace. Its names are fixed: a trace that was recorded by any build
// with the same Version must stay readable. They are mapped to the dispatcher's types here
// and nowhere else.

// headerRecord is the first line of a trace.
type headerRecord struct {
	Version int          `json:"Version"`
	Config  configRecord `json:"Config"`
	Seed    uint64       `json:"Seed"`
}

type configRecord struct {
	Me            int           `json:"Me"`
	Peers         int           `json:"Peers"`
	Cancel        bool          `json:"Cancel"`
	AskDiscovery  bool          `json:"AskDiscovery"`
	MaxRetryAfter time.Duration `json:"MaxRetryAfter"`
	MaxAttempts   int           `json:"MaxAttempts"`
	Round         time.Duration `json:"Round"`
	Classes       []classRecord `json:"Classes"`
	Plans         []planRecord  `json:"Plans"`
	UsualUnits    float64       `json:"UsualUnits"`
	LargestUnits  float64       `json:"LargestUnits"`
	Cold          coldRecord    `json:"Cold"`
	Budget        budgetRecord  `json:"Budget"`
	Settle        time.Duration `json:"Settle"`
}

type classRecord struct {
	Name     string        `json:"Name"`
	Aim      time.Duration `json:"Aim"`
	Deadline time.Duration `json:"Deadline"`
	Worth    float64       `json:"Worth"`
	Effect   int           `json:"Effect"`
	Group    int           `json:"Group"`
	Window   time.Duration `json:"Window"`
	InTurn   bool          `json:"InTurn"`
}

type planRecord struct {
	Name    string  `json:"Name"`
	Reserve float64 `json:"Reserve"`
	Weight  float64 `json:"Weight"`
	Price   float64 `json:"Price"`
	Limit   float64 `json:"Limit"`
	Burst   float64 `json:"Burst"`
	Slack   float64 `json:"Slack"`
}

type coldRecord struct {
	From       float64       `json:"From"`
	WarmUp     time.Duration `json:"WarmUp"`
	Multiple   float64       `json:"Multiple"`
	Span       time.Duration `json:"Span"`
	YoungLimit float64       `json:"YoungLimit"`
}

type budgetRecord struct {
	Free  float64       `json:"Free"`
	Ratio float64       `json:"Ratio"`
	Span  time.Duration `json:"Span"`
}

// eventRecord is one event with the actions that answered it. Exactly one of the events is
// set.
type eventRecord struct {
	Now      time.Duration   `json:"t"`
	List     *listRecord     `json:"list,omitempty"`
	Request  *requestRecord  `json:"req,omitempty"`
	Outcome  *outcomeRecord  `json:"out,omitempty"`
	Gone     *goneRecord     `json:"gone,omitempty"`
	Measured *measuredRecord `json:"meas,omitempty"`
	Fired    *firedRecord    `json:"fired,omitempty"`
	Actions  []string        `json:"a,omitempty"`
}

type listRecord struct {
	Kind  int          `json:"Kind"`
	Nodes []nodeRecord `json:"Nodes"`
}

type nodeRecord struct {
	ID      string        `json:"ID"`
	Zone    int           `json:"Zone"`
	Kind    int           `json:"Kind"`
	Shard   int           `json:"Shard"`
	State   int           `json:"State"`
	Started time.Duration `json:"Started"`
}

type requestRecord struct {
	ID     uint64        `json:"ID"`
	Class  int           `json:"Class"`
	Plan   int           `json:"Plan"`
	Volume string        `json:"Volume"`
	Key    string        `json:"Key"`
	Shard  int           `json:"Shard"`
	Units  float64       `json:"Units"`
	Hosts  int           `json:"Hosts"`
	Left   time.Duration `json:"Left"`
}

type outcomeRecord struct {
	ID        uint64             `json:"ID"`
	Attempt   int                `json:"Attempt"`
	Node      string             `json:"Node"`
	Status    int                `json:"Status"`
	Concluded bool               `json:"Concluded"`
	Took      time.Duration      `json:"Took"`
	Use       float64            `json:"Use"`
	Elsewhere float64            `json:"Elsewhere"`
	Report    map[string]float64 `json:"Report"`
}

type goneRecord struct {
	ID uint64 `json:"ID"`
}

type measuredRecord struct {
	Volume string  `json:"Volume"`
	Node   string  `json:"Node"`
	Units  float64 `json:"Units"`
}

type firedRecord struct {
	Token string `json:"Token"`
}

// convert maps a slice, nil to nil.
func convert[A, B any](as []A, one func(A) B) []B {
	if as == nil {
		return nil
	}
	bs := make([]B, len(as))
	for i, a := range as {
		bs[i] = one(a)
	}
	return bs
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

// encodeEvent returns the record of an event and of the actions that answered it.
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

// errNoEvent reports a record that holds none of the known events.
var errNoEvent = errors.New("record without an event")

// event returns the dispatcher's event of a record.
func (r *eventRecord) event() (dispatch.Event, error) {
	switch {
	case r.List != nil:
		return dispatch.EndpointUpdate{Kind: dispatch.EndpointUpdateKind(r.List.Kind), Nodes: convert(r.List.Nodes, nodeRecord.decode)}, nil
	case r.Request != nil:
		return r.Request.decode(), nil
	case r.Outcome != nil:
		return r.Outcome.decode(), nil
	case r.Gone != nil:
		return dispatch.ClientCanceled{ID: dispatch.RequestID(r.Gone.ID)}, nil
	case r.Measured != nil:
		return dispatch.CostCorrection{Volume: dispatch.VolumeID(r.Measured.Volume), Node: dispatch.NodeID(r.Measured.Node), Units: r.Measured.Units}, nil
	case r.Fired != nil:
		return dispatch.TimerFired{Token: r.Fired.Token}, nil
	}
	return nil, errNoEvent
}

// describe renders a record's event without its actions, for messages.
func (r *eventRecord) describe() string {
	e := *r
	e.Actions = nil
	text, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// renderActions renders actions as a trace stores them. Replay compares these texts, so a
// rendering must not change while Version stays the same.
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
		return fmt.Sprintf("choice.Attempt{ID:%d Node:%s Until:%v Held:%s}", uint64(a.ID), string(a.Node), a.Deadline, renderHeld(a.QueueTime))
	case dispatch.Reject:
		return fmt.Sprintf("choice.Refuse{ID:%d After:%v Held:%s}", uint64(a.ID), a.RetryAfter, renderHeld(a.QueueTime))
	case dispatch.Fail:
		return fmt.Sprintf("choice.Fail{ID:%d Held:%s}", uint64(a.ID), renderHeld(a.QueueTime))
	case dispatch.CancelAttempt:
		return fmt.Sprintf("choice.Cancel{ID:%d Attempt:%d}", uint64(a.ID), a.Attempt)
	case dispatch.SetTimer:
		return fmt.Sprintf("choice.SetTimer{At:%v Token:%s}", a.At, a.Token)
	case dispatch.Watch:
		return "choice.Watch{On:" + strconv.FormatBool(a.On) + "}"
	}
	return fmt.Sprintf("unknown action %T", a)
}

func renderHeld(h dispatch.QueueTime) string {
	return fmt.Sprintf("{Line:%v Limit:%v Cold:%v Suspect:%v}", h.Concurrency, h.RateLimit, h.SlowStart, h.Ejected)
}
