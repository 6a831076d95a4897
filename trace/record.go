package trace

import "time"

// The types below define the JSON lines of a trace. Their JSON names must not change: every
// build with the same Version must be able to read a stored trace. The functions in
// convert.go map these types to the types of package dispatch, which use other names.

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

// eventRecord is a line of a trace after the header. It holds one event and the actions that
// the dispatcher returned for it. Exactly one of the pointer fields is set.
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
