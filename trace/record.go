package trace

import "time"

// The types below define the JSON lines of a trace. Their JSON names must not change: every
// build with the same Version must be able to read a stored trace. The Go fields are named
// after those of package dispatch, and the functions in convert.go map one to the other.

// headerRecord is the first line of a trace.
type headerRecord struct {
	Version int          `json:"Version"`
	Config  configRecord `json:"Config"`
	Seed    uint64       `json:"Seed"`
}

type configRecord struct {
	DispatcherIndex int               `json:"Me"`
	DispatcherCount int               `json:"Peers"`
	CancelAttempts  bool              `json:"Cancel"`
	PollDiscovery   bool              `json:"AskDiscovery"`
	ListsPushed     bool              `json:"ListsPushed,omitempty"`
	MaxRetryAfter   time.Duration     `json:"MaxRetryAfter"`
	MaxAttempts     int               `json:"MaxAttempts"`
	RoundTrip       time.Duration     `json:"Round"`
	Classes         []classRecord     `json:"Classes"`
	Plans           []planRecord      `json:"Plans"`
	MeanUnits       float64           `json:"UsualUnits"`
	MaxUnits        float64           `json:"LargestUnits"`
	MaxVolumes      int               `json:"MaxVolumes,omitempty"`
	SlowStart       slowStartRecord   `json:"Cold"`
	RetryBudget     retryBudgetRecord `json:"Budget"`
	Quiescence      time.Duration     `json:"Settle"`
}

type classRecord struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`
	Deadline         time.Duration `json:"Deadline"`
	Worth            float64       `json:"Worth,omitempty"` // written by earlier builds; nothing uses it
	Idempotency      int           `json:"Effect"`
	DedupScope       int           `json:"Group"`
	DedupWindow      time.Duration `json:"Window"`
	Ordered          bool          `json:"InTurn"`
}

type planRecord struct {
	Name      string  `json:"Name"`
	Reserve   float64 `json:"Reserve"`
	Weight    float64 `json:"Weight"`
	Price     float64 `json:"Price,omitempty"` // written by earlier builds; nothing uses it
	RateLimit float64 `json:"Limit"`
	Burst     float64 `json:"Burst"`
	Slack     float64 `json:"Slack"`
}

type slowStartRecord struct {
	InitialCapacity float64       `json:"From"`
	WarmUp          time.Duration `json:"WarmUp"`
	OverloadFactor  float64       `json:"Multiple"`
	Window          time.Duration `json:"Span"`
	InitialUnits    float64       `json:"YoungLimit"`
}

type retryBudgetRecord struct {
	MinRetries float64       `json:"Free"`
	Ratio      float64       `json:"Ratio"`
	Window     time.Duration `json:"Span"`
}

// eventRecord is a line of a trace after the header. It holds one event and the actions that
// the dispatcher returned for it. Exactly one of the pointer fields is set.
type eventRecord struct {
	Now              time.Duration           `json:"t"`
	EndpointUpdate   *endpointUpdateRecord   `json:"list,omitempty"`
	Request          *requestRecord          `json:"req,omitempty"`
	AttemptCompleted *attemptCompletedRecord `json:"out,omitempty"`
	ClientCanceled   *clientCanceledRecord   `json:"gone,omitempty"`
	CostCorrection   *costCorrectionRecord   `json:"meas,omitempty"`
	Shutdown         *shutdownRecord         `json:"shutdown,omitempty"`
	TimerFired       *timerFiredRecord       `json:"fired,omitempty"`
	Actions          []string                `json:"a,omitempty"`
}

type endpointUpdateRecord struct {
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
	ID          uint64        `json:"ID"`
	Class       int           `json:"Class"`
	Plan        int           `json:"Plan"`
	Volume      string        `json:"Volume"`
	Key         string        `json:"Key"`
	Shard       int           `json:"Shard"`
	Units       float64       `json:"Units"`
	Dispatchers int           `json:"Hosts"`
	Timeout     time.Duration `json:"Left"`
}

type attemptCompletedRecord struct {
	ID         uint64             `json:"ID"`
	Attempt    int                `json:"Attempt"`
	Node       string             `json:"Node"`
	Result     int                `json:"Status"`
	Responded  bool               `json:"Concluded"`
	Latency    time.Duration      `json:"Took"`
	QuotaUsage float64            `json:"Use"`
	PeerUnits  float64            `json:"Elsewhere"`
	LoadReport map[string]float64 `json:"Report"`
}

type clientCanceledRecord struct {
	ID uint64 `json:"ID"`
}

type costCorrectionRecord struct {
	Volume string  `json:"Volume"`
	Node   string  `json:"Node"`
	Units  float64 `json:"Units"`
}

type shutdownRecord struct{}

type timerFiredRecord struct {
	Token string `json:"Token"`
}
