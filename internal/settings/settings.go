// Package settings reads the gateway's settings file: JSON with comments, strict in its
// fields. A [ConfigError] names file, line and field and says what is expected.
//
// The structs mirror the file and keep its published keys. Where a key differs from the
// term that the code uses, the field's comment names the term; convert.go maps the
// settings to the configurations of the packages that they are for.
package settings

// Settings is the whole file.
type Settings struct {
	Name    string   `json:"name"`    // of this gateway, in logs and towards nodes
	Listen  string   `json:"listen"`  // address of the object API
	Admin   string   `json:"admin"`   // address of metrics and health; "" for none
	Region  string   `json:"region"`  // region that clients sign for
	Domains []string `json:"domains"` // parent domains of virtual-host style buckets
	Loops   int      `json:"loops"`   // event loops; 0: one for each core
	Me      int      `json:"me"`      // dispatcher index
	Peers   int      `json:"peers"`   // dispatcher count: gateways that send to the same nodes

	Keys       []Key       `json:"keys"`
	Shards     int         `json:"shards"`
	Nodes      []Node      `json:"nodes"`
	Embedded   *Embedded   `json:"embedded_nodes"` // fake nodes inside the process; nil for none
	Classes    []Class     `json:"classes"`
	Plans      []Plan      `json:"plans"`
	Buckets    []Bucket    `json:"buckets"`    // the first pattern that matches decides
	Operations []Operation `json:"operations"` // cost model; the first rule that matches decides
	Rules      Rules       `json:"rules"`
	Limits     Limits      `json:"limits"`
	Share      Share       `json:"share"`    // fair sharing
	Accounts   Accounts    `json:"accounts"` // latency attribution
	Log        Log         `json:"log"`
	Trace      string      `json:"trace"` // file that records the dispatcher's events; "" for none
}

// Key is an access key.
type Key struct {
	ID      string   `json:"id"`
	Secret  string   `json:"secret"`
	Buckets []string `json:"buckets"` // patterns of path.Match
	Write   bool     `json:"write"`   // whether the key permits operations that write
}

// Node is a storage node.
type Node struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Shard int    `json:"shard"`
	Zone  int    `json:"zone"`
	Kind  int    `json:"kind"`  // hardware kind
	State string `json:"state"` // "" or "serving" (ready), "draining"
}

// Embedded configures fake nodes that run inside the process, one for each shard.
type Embedded struct {
	Dir     string   `json:"dir"` // directory of the objects' data; "" keeps them in memory
	Cores   int      `json:"cores"`
	Queue   int      `json:"queue"`
	PerUnit Duration `json:"per_unit"` // service time of a cost unit
}

// Class is a class of requests; see dispatch.Class.
type Class struct {
	Name     string   `json:"name"`
	Aim      Duration `json:"aim"` // latency objective
	Deadline Duration `json:"deadline"`
	Worth    float64  `json:"worth"`   // priority weight
	Effect   string   `json:"effect"`  // idempotency: safe, keyed (deduplicated) or unsafe
	Group    string   `json:"group"`   // deduplication scope: all, zone or shard
	Window   Duration `json:"window"`  // deduplication window
	InTurn   bool     `json:"in_turn"` // ordered: requests of one key run one at a time
}

// Plan is what a volume is entitled to; see dispatch.Plan. Rates are in units a second.
type Plan struct {
	Name    string  `json:"name"`
	Rate    float64 `json:"rate"`    // rate that the use of a volume is measured against
	Reserve float64 `json:"reserve"` // reserved rate
	Weight  float64 `json:"weight"`  // of fair queuing
	Price   float64 `json:"price"`   // value factor of the plan's requests
	Limit   float64 `json:"limit"`   // rate limit; 0: none
	Burst   float64 `json:"burst"`   // units that the limit lets through at once
	Slack   float64 `json:"slack"`   // units by which the limit may be overdrawn

	MiBPerSecond float64 `json:"mib_per_second"` // rate limit of bodies, a volume over all gateways; 0: none
	MiBBurst     float64 `json:"mib_burst"`      // burst of bodies; 0: what one second may carry
}

// Bucket maps buckets to a plan.
type Bucket struct {
	Pattern string `json:"pattern"` // of path.Match
	Plan    string `json:"plan"`
	Hosts   int    `json:"hosts"`  // dispatchers of a volume; 0: all
	Spread  int    `json:"spread"` // shards of a volume; 0: all
}

// Operation is a rule of the cost model; see costmodel.Rule.
type Operation struct {
	Operations []string `json:"operations"` // names, or "*" for all
	MaxBytes   int64    `json:"max_bytes"`  // largest body that the rule applies to; 0: any
	Class      string   `json:"class"`
	Units      float64  `json:"units"`        // cost of a request
	PerMiB     float64  `json:"per_mib"`      // cost of a MiB of its body, in units
	Assume     int64    `json:"assume_bytes"` // size assumed where it is not known
}

// Rules configures the dispatcher's decisions over requests and nodes; see dispatch.Config.
type Rules struct {
	MaxAttempts   int      `json:"max_attempts"` // for one request
	MaxRetryAfter Duration `json:"max_retry_after"`
	Settle        Duration `json:"settle"`        // quiescence of a key after an ambiguous attempt
	Round         Duration `json:"round"`         // round-trip allowance
	UsualUnits    float64  `json:"usual_units"`   // mean cost of a request
	LargestUnits  float64  `json:"largest_units"` // highest cost of a request
	Budget        Budget   `json:"budget"`        // retry budget
	Cold          Cold     `json:"cold"`          // slow start
}

// Budget is the retry budget; see dispatch.RetryBudget.
type Budget struct {
	Free  float64  `json:"free"`  // retries that are always allowed in the window
	Ratio float64  `json:"ratio"` // further retries allowed for each request in the window
	Span  Duration `json:"span"`  // window; 0: no budget
}

// Cold configures the slow start of a node; see dispatch.SlowStart.
type Cold struct {
	From       float64  `json:"from"`        // initial capacity: share of its full capacity that a node starts with
	WarmUp     Duration `json:"warm_up"`     // time to full capacity
	Multiple   float64  `json:"multiple"`    // overload factor: multiple of its present capacity that a node tolerates
	Span       Duration `json:"span"`        // window over which load is compared with capacity
	YoungLimit float64  `json:"young_limit"` // units in a window that every starting node tolerates; 0: no slow start
}

// Limits bounds what the gateway queues, buffers and waits for. Sizes are in bytes.
type Limits struct {
	Line         int      `json:"line"`      // of a head
	Headers      int      `json:"headers"`   // header fields of a head
	Head         int      `json:"head"`      // request line and header fields together
	Replay       int      `json:"replay"`    // largest body that is buffered and can be replayed
	Document     int      `json:"document"`  // largest request or list document
	Pipelined    int      `json:"pipelined"` // pipelined requests received ahead on a connection
	FanOut       int      `json:"fan_out"`   // concurrent requests of one scatter-gather operation
	Conns        int      `json:"conns"`     // client connections
	Calls        int      `json:"calls"`     // requests queued and in flight
	ConnsPerNode int      `json:"conns_per_node"`
	Streams      int      `json:"streams_per_node"` // bodies that stream outside the concurrency limit
	NodeIdle     Duration `json:"node_idle"`        // idle timeout of a node connection
	NodeAge      Duration `json:"node_age"`         // maximum age of a node connection
	Connect      Duration `json:"connect"`          // dial timeout
	Margin       Duration `json:"margin"`           // kept before a deadline for the response's way
	ClientHead   Duration `json:"client_head"`      // read timeout of a head, from its first byte
	ClientIdle   Duration `json:"client_idle"`      // idle timeout of a client connection
	ClientBody   Duration `json:"client_body"`      // timeout without a byte of a body, either way
	Skew         Duration `json:"skew"`             // clock skew accepted of a client
	DrainWait    Duration `json:"drain_wait"`       // graceful shutdown timeout of open requests
}

// Share configures the fair sharing of the gateway's event loops and node links among
// volumes, by the weights of their plans.
type Share struct {
	Order     string   `json:"order"`     // "fair", or "arrival": first come, first served, for comparison
	Quantum   int      `json:"quantum"`   // bytes read in one time slice at most
	Slice     Duration `json:"slice"`     // time slices run so long before new events are polled
	Window    Duration `json:"window"`    // loop time by which a flow can lag behind
	ByteTime  float64  `json:"byte_time"` // lowest cost of a byte, in nanoseconds
	Finishing float64  `json:"finishing"` // weight of work in progress within a flow; new requests have 1
	Flows     int      `json:"flows"`     // volumes with a flow of their own on a loop and at a node
	Newcomers float64  `json:"newcomers"` // weight of all connections without a volume yet
	Depth     int      `json:"depth"`     // responses that stream from a node at a time, on each loop
	Crowd     int      `json:"crowd"`     // waiting responses for each one more that may stream
	Draw      int      `json:"draw"`      // bytes of a response after which its grant ends
	Lease     Duration `json:"lease"`     // time after which a grant ends at the latest
	Receive   int      `json:"receive"`   // receive buffer of a node connection, in bytes
	MaxWait   Duration `json:"max_wait"`  // longest pause of a body for mib_per_second before it is rejected
	Overload  Overload `json:"overload"`
}

// Overload configures overload control: when requests are rejected as soon as
// their head has been read.
type Overload struct {
	Target   Duration `json:"target"`   // queue time accepted of an overloaded volume; 0: nothing is rejected
	Interval Duration `json:"interval"` // of longer queue times only, after which a volume is overloaded
	Back     Duration `json:"back"`     // Retry-After of a rejection, at first
	MaxBack  Duration `json:"max_back"` // highest Retry-After, when most requests are rejected
}

// Accounts bounds latency attribution.
type Accounts struct {
	On            bool   `json:"on"`
	Volumes       int    `json:"volumes"`       // with an entry of their own in a time slot; the others are summed
	Pairs         int    `json:"pairs"`         // of a volume and one that it waited behind, in a time slot
	Distributions int    `json:"distributions"` // volumes with percentiles, in a time slot
	Late          int    `json:"late"`          // completed requests that a late report can still change
	Batches       int    `json:"batches"`       // of 128 spans, on their way to the aggregator
	Log           string `json:"log"`           // path of the attribution log; "" for none
	LogBytes      int64  `json:"log_bytes"`     // size of one log file
	LogFiles      int    `json:"log_files"`     // log files that are kept, the current one included
}

// Log configures the program's log.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Access bool   `json:"access"` // whether each request is logged
}
