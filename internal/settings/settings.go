// Package settings reads the gateway's settings file. The file contains JSON with comments;
// an unknown field is an error. A [ConfigError] names the file, the line and the field, and
// describes the expected value.
//
// The structs mirror the file. The JSON tags hold the published keys, and the fields are named
// after the terms that the code uses. The functions in convert.go map the settings to the
// configurations of other packages.
package settings

// Settings holds all settings of a file.
type Settings struct {
	Name            string   `json:"name"`    // name of this gateway in logs and in requests to nodes
	Listen          string   `json:"listen"`  // address of the object API
	Admin           string   `json:"admin"`   // address of the admin server, which serves metrics and health; "" disables it
	Region          string   `json:"region"`  // region that clients use in their signatures
	Domains         []string `json:"domains"` // parent domains of buckets in virtual-host style
	Loops           int      `json:"loops"`   // number of event loops; 0 means one per core
	DispatcherIndex int      `json:"me"`      // index of this gateway among the dispatchers, from 0
	DispatcherCount int      `json:"peers"`   // number of gateways that send requests to the same nodes, including this one

	Keys          []Key          `json:"keys"`
	Shards        int            `json:"shards"`
	Nodes         []Node         `json:"nodes"`
	EmbeddedNodes *EmbeddedNodes `json:"embedded_nodes"` // fake nodes inside the process; nil disables them
	Classes       []Class        `json:"classes"`
	Plans         []Plan         `json:"plans"`
	Buckets       []Bucket       `json:"buckets"`    // rules for buckets; the first rule with a matching pattern applies
	Operations    []Operation    `json:"operations"` // rules of the cost model; the first matching rule applies
	Rules         Rules          `json:"rules"`
	Limits        Limits         `json:"limits"`
	FairSharing   FairSharing    `json:"share"`    // fair queuing on event loops and node links
	Attribution   Attribution    `json:"accounts"` // attribution of latency to components and volumes
	Log           Log            `json:"log"`
	Trace         string         `json:"trace"` // file to which the dispatcher's events are recorded; "" disables recording
}

// Key is an access key that clients sign their requests with.
type Key struct {
	ID      string   `json:"id"`
	Secret  string   `json:"secret"`
	Buckets []string `json:"buckets"` // buckets that the key gives access to, as patterns of path.Match
	Write   bool     `json:"write"`   // whether the key permits operations that write
}

// Node is a storage node.
type Node struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Shard int    `json:"shard"`
	Zone  int    `json:"zone"`
	Kind  int    `json:"kind"`  // index of the hardware kind
	State string `json:"state"` // "serving" or "" for a ready node, "draining" for a draining one
}

// EmbeddedNodes configures the fake nodes that run inside the process, one per shard.
type EmbeddedNodes struct {
	Dir     string   `json:"dir"`      // directory for the objects; "" keeps them in memory
	Cores   int      `json:"cores"`    // requests that a node processes concurrently; 0 means unlimited
	Queue   int      `json:"queue"`    // requests that may wait at a node; the node rejects further ones
	PerUnit Duration `json:"per_unit"` // service time per cost unit
}

// Class configures a request class; see dispatch.Class.
type Class struct {
	Name             string   `json:"name"`
	LatencyObjective Duration `json:"aim"` // time within which a request should be answered
	Deadline         Duration `json:"deadline"`
	PriorityWeight   float64  `json:"worth"`   // value of a response within the latency objective
	Idempotency      string   `json:"effect"`  // "safe" (idempotent), "keyed" (deduplicated) or "unsafe" (not idempotent)
	DedupScope       string   `json:"group"`   // nodes that drop repeats of a keyed request: those of the same "zone" or "shard", or "all"
	DedupWindow      Duration `json:"window"`  // time for which nodes drop repeats of a keyed request
	Ordered          bool     `json:"in_turn"` // whether requests with the same key run one at a time
}

// Plan configures the rates and weights that apply to a volume; see dispatch.Plan. Rates are
// in cost units per second.
type Plan struct {
	Name      string  `json:"name"`
	Rate      float64 `json:"rate"`    // quota of a volume, whose usage is measured as a percentage of this rate
	Reserve   float64 `json:"reserve"` // rate that is reserved for a volume
	Weight    float64 `json:"weight"`  // weight in fair queuing
	Price     float64 `json:"price"`   // factor by which the value of the plan's requests is multiplied
	RateLimit float64 `json:"limit"`   // cost units per second that are admitted; 0 disables the limit
	Burst     float64 `json:"burst"`   // cost units that the rate limit admits at once
	Slack     float64 `json:"slack"`   // cost units by which requests may exceed the rate limit

	MiBPerSecond float64 `json:"mib_per_second"` // rate limit of a volume's bodies at all gateways together; 0 disables it
	MiBBurst     float64 `json:"mib_burst"`      // burst of that rate limit, in MiB; 0 means the amount of one second
}

// Bucket assigns a plan to all buckets that match a pattern.
type Bucket struct {
	Pattern     string `json:"pattern"` // pattern of path.Match
	Plan        string `json:"plan"`
	Dispatchers int    `json:"hosts"`  // number of dispatchers that serve a volume; 0 means all
	ShardCount  int    `json:"spread"` // number of shards that store a volume; 0 means all
}

// Operation is a rule of the cost model; see costmodel.Rule.
type Operation struct {
	Operations   []string `json:"operations"` // names of operations; "*" means all operations
	MaxBytes     int64    `json:"max_bytes"`  // size of the largest body that the rule applies to; 0 means any size
	Class        string   `json:"class"`
	Units        float64  `json:"units"`        // cost of a request without its body, in cost units
	PerMiB       float64  `json:"per_mib"`      // cost per MiB of the body, in cost units
	AssumedBytes int64    `json:"assume_bytes"` // size that is assumed for a body of unknown size
}

// Rules configures how the dispatcher schedules requests; see dispatch.Config.
type Rules struct {
	MaxAttempts   int         `json:"max_attempts"`    // maximum number of attempts for a request
	MaxRetryAfter Duration    `json:"max_retry_after"` // highest Retry-After in the response to a rejected request
	Quiescence    Duration    `json:"settle"`          // pause of a key after an attempt that may still be running
	RoundTrip     Duration    `json:"round"`           // time that the dispatcher allows for one network round trip
	MeanUnits     float64     `json:"usual_units"`     // mean cost of a request
	MaxUnits      float64     `json:"largest_units"`   // highest cost of a request
	RetryBudget   RetryBudget `json:"budget"`          // limit on retries in proportion to requests
	SlowStart     SlowStart   `json:"cold"`            // gradual increase of the load on a new node
}

// RetryBudget configures the retry budget; see dispatch.RetryBudget.
type RetryBudget struct {
	MinRetries float64  `json:"free"`  // number of retries that are always allowed in a window
	Ratio      float64  `json:"ratio"` // number of further retries that each request in the window allows
	Window     Duration `json:"span"`  // length of the window; 0 disables the retry budget
}

// SlowStart configures the slow start of a node; see dispatch.SlowStart.
type SlowStart struct {
	InitialCapacity float64  `json:"from"`        // share of its full capacity that a node has at first
	WarmUp          Duration `json:"warm_up"`     // time until a node has its full capacity
	OverloadFactor  float64  `json:"multiple"`    // highest ratio of load to current capacity that a node tolerates
	Window          Duration `json:"span"`        // length of the window over which load is compared with capacity
	InitialUnits    float64  `json:"young_limit"` // cost units per window that every starting node tolerates; 0 disables slow start
}

// Limits holds the limits of queues, buffers, connections and waiting times. Sizes are in
// bytes.
type Limits struct {
	Line            int      `json:"line"`             // size of a line in the head of a request or response
	Headers         int      `json:"headers"`          // number of header fields in a head
	Head            int      `json:"head"`             // size of a head: its first line and all header fields
	Replay          int      `json:"replay"`           // size of the largest body that is buffered so that an attempt can be repeated
	Document        int      `json:"document"`         // size of the largest XML document in a request or a list response
	Memory          int      `json:"memory"`           // total size of the buffers of all connections and of buffered bodies
	Pipelined       int      `json:"pipelined"`        // size of the pipelined requests that are read in advance from a connection
	FanOut          int      `json:"fan_out"`          // number of concurrent requests of one scatter-gather operation
	Conns           int      `json:"conns"`            // number of client connections
	Requests        int      `json:"calls"`            // number of queued and in-flight requests
	ConnsPerNode    int      `json:"conns_per_node"`   // number of connections to a node
	Streams         int      `json:"streams_per_node"` // number of bodies that stream from or to a node outside the concurrency limit
	NodeIdle        Duration `json:"node_idle"`        // idle timeout of a node connection
	NodeAge         Duration `json:"node_age"`         // maximum age of a node connection
	Connect         Duration `json:"connect"`          // dial timeout
	ResponseMargin  Duration `json:"margin"`           // time before a request's deadline that is reserved for returning the response
	ClientHead      Duration `json:"client_head"`      // read timeout of a request head, measured from its first byte
	ClientIdle      Duration `json:"client_idle"`      // idle timeout of a client connection
	ClientBody      Duration `json:"client_body"`      // timeout while no byte of a request or response body is transferred
	ClockSkew       Duration `json:"skew"`             // largest accepted difference between the clocks of a client and the gateway
	ShutdownTimeout Duration `json:"drain_wait"`       // timeout for open requests in a graceful shutdown
}

// FairSharing configures how volumes share the gateway's event loops and node links, in proportion
// to the weights of their plans.
type FairSharing struct {
	Order            string   `json:"order"`     // "fair", or "arrival" for first come, first served, which serves as a comparison
	Quantum          int      `json:"quantum"`   // maximum number of bytes that are read in one time slice
	PollInterval     Duration `json:"slice"`     // time for which an event loop runs time slices before it polls for new events
	Window           Duration `json:"window"`    // maximum loop time by which a flow can lag behind the others
	ByteTime         float64  `json:"byte_time"` // minimum cost of a byte, in nanoseconds of loop time
	InProgressWeight float64  `json:"finishing"` // weight of requests in progress within a flow; new requests have weight 1
	Flows            int      `json:"flows"`     // maximum number of volumes that have their own flow on a loop and at a node
	NewConnsWeight   float64  `json:"newcomers"` // total weight of all connections whose volume is not known yet
	Depth            int      `json:"depth"`     // number of responses that stream from a node at the same time, per event loop
	WaitersPerGrant  int      `json:"crowd"`     // one more response may stream for each group of this many waiting responses
	GrantBytes       int      `json:"draw"`      // number of bytes of a response after which its grant ends
	GrantTimeout     Duration `json:"lease"`     // time after which a grant ends even if its bytes are not used up
	ReceiveBuffer    int      `json:"receive"`   // size of the receive buffer of a node connection, in bytes
	MaxDelay         Duration `json:"max_wait"`  // longest delay of a body by mib_per_second; a request with a longer delay is rejected
	Overload         Overload `json:"overload"`
}

// Overload configures overload control, which rejects requests of an overloaded volume as soon
// as their head has been read.
type Overload struct {
	Target        Duration `json:"target"`   // longest queue time that is accepted for an overloaded volume; 0 disables overload control
	Interval      Duration `json:"interval"` // a volume is overloaded after all its queue times have reached the target for this long
	RetryAfter    Duration `json:"back"`     // Retry-After of the first rejections
	MaxRetryAfter Duration `json:"max_back"` // highest Retry-After, which is used while most requests are rejected
}

// Attribution configures latency attribution and limits its memory.
type Attribution struct {
	Enabled       bool   `json:"on"`            // whether latency attribution is enabled
	Volumes       int    `json:"volumes"`       // volumes with their own entry in a time slot; the others share an entry
	Pairs         int    `json:"pairs"`         // pairs with their own entry in a time slot: a volume and one that it waited behind
	Distributions int    `json:"distributions"` // number of volumes with percentiles in a time slot
	LateReports   int    `json:"late"`          // attempts of completed requests that are kept for late timing reports
	Batches       int    `json:"batches"`       // batches of 128 spans that can wait for the aggregator
	Log           string `json:"log"`           // path of the attribution log; "" disables it
	LogBytes      int64  `json:"log_bytes"`     // maximum size of a log file, in bytes
	LogFiles      int    `json:"log_files"`     // number of log files that are kept, including the current one
}

// Log configures the log of the gateway process.
type Log struct {
	Level  string `json:"level"`  // lowest level that is logged: "debug", "info", "warn" or "error"
	Access bool   `json:"access"` // whether each request is logged
}
