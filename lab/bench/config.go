package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The access key that the gateways' settings contain.
const (
	KeyID  = "BENCHKEY"
	Secret = "bench-secret"
)

const configText = `{
	"name": "bench", "listen": %q, "loops": 1, "shards": 1,
	"keys": [{"id": "BENCHKEY", "secret": "bench-secret", "buckets": ["*"], "write": true}],
	"nodes": [{"id": "node", "addr": %q, "shard": 0}],
	"classes": [
		{"name": "read", "aim": "500ms", "deadline": "5s", "worth": 1, "effect": "safe"},
		{"name": "write", "aim": "30s", "deadline": "60s", "worth": 1,
			"effect": "keyed", "group": "shard", "window": "10s"},
	],
	"plans": [{"name": "p", "rate": 100000, "reserve": 100000, "weight": 1, "price": 1}],
	"buckets": [{"pattern": "*", "plan": "p"}],
	"operations": [
		{"operations": ["PutObject", "UploadPart"], "class": "write", "units": 1, "per_mib": 1},
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 1, "assume_bytes": 4096},
		{"operations": ["*"], "class": "read", "units": 1},
	],
	"accounts": {"on": %v}, "log": {"level": "error"},
}`

// WriteConfig writes the settings of a gateway with one node to a file in dir and returns the file's name. The
// parameter attribution turns latency attribution on or off.
func WriteConfig(dir, listen, node string, attribution bool) (string, error) {
	name := filepath.Join(dir, fmt.Sprintf("bench-%v.jsonc", attribution))
	text := fmt.Sprintf(configText, listen, node, attribution)
	return name, os.WriteFile(name, []byte(text), 0o600)
}

// FairSharingConfig configures a gateway that has a plan for the bucket heavy and a plan for the bucket light.
type FairSharingConfig struct {
	Listen string
	Node   string
	Order  string  // the scheduling order: "fair" or "arrival"
	Loops  int     // number of event loops
	Weight float64 // weight of the plan for heavy; the plan for light has weight 1

	QueueTimeTarget  time.Duration // target of the overload control; 0 turns the overload control off
	LatencyObjective time.Duration // latency objective of the requests; their deadline is twice as long
}

const shareConfigText = `{
	"name": "bench", "listen": %q, "loops": %d, "shards": 1,
	"keys": [{"id": "BENCHKEY", "secret": "bench-secret", "buckets": ["*"], "write": true}],
	"nodes": [{"id": "node", "addr": %q, "shard": 0}],
	"classes": [
		{"name": "read", "aim": "%v", "deadline": "%v", "worth": 1, "effect": "safe"},
		{"name": "write", "aim": "%v", "deadline": "%v", "worth": 1,
			"effect": "keyed", "group": "shard", "window": "10s"},
	],
	"plans": [
		{"name": "heavy", "rate": 100000, "reserve": 0, "weight": %g, "price": 1},
		{"name": "light", "rate": 100000, "reserve": 0, "weight": 1, "price": 1},
	],
	"buckets": [{"pattern": "heavy", "plan": "heavy"}, {"pattern": "*", "plan": "light"}],
	"operations": [
		{"operations": ["PutObject", "UploadPart"], "class": "write", "units": 1, "per_mib": 1},
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 1, "assume_bytes": 4096},
		{"operations": ["*"], "class": "read", "units": 1},
	],
	"limits": {"conns_per_node": 2048, "streams_per_node": 1024, "conns": 16384},
	"share": {"order": %q, "overload": {"target": "%v"}}, "log": {"level": "error"},
}`

// WriteFairSharingConfig writes the settings of c to a file in dir and returns the file's name.
func WriteFairSharingConfig(dir string, c FairSharingConfig) (string, error) {
	name := filepath.Join(dir, fmt.Sprintf("share-%s-%d-%g.jsonc", c.Order, c.Loops, c.Weight))
	deadline := 2 * c.LatencyObjective
	text := fmt.Sprintf(shareConfigText, c.Listen, c.Loops, c.Node,
		c.LatencyObjective, deadline, c.LatencyObjective, deadline,
		c.Weight, c.Order, c.QueueTimeTarget)
	return name, os.WriteFile(name, []byte(text), 0o600)
}
