package attributiontest

import (
	"time"

	"chalkstand/fake/storagenode"
)

// The volumes of the scenarios. A name describes the requests of the volume's clients. Only the name
// of cappedVolume matters to the gateway, whose configuration sets a rate limit for it.
const (
	reviewVolume = "review" // the victim, with few and small requests
	floodVolume  = "flood"
	flood2Volume = "flood2"
	busyVolume   = "busy"   // has some load, but causes no waits
	cappedVolume = "capped" // has a rate limit
)

// volumes lists the volumes that the node stores.
var volumes = []string{reviewVolume, floodVolume, flood2Volume, busyVolume, cappedVolume}

// Keys and sizes of the objects in the volumes.
const (
	smallKey   = "small"
	smallBytes = 1000
	largeKey   = "large" // exists only in reviewVolume
	largeBytes = 16 << 20
)

// The access key of the clients. It must match the key in siteText.
const (
	keyID  = "DRILLKEY"
	secret = "drill-secret"
)

// siteText is the configuration of the gateway.
const siteText = `{
	"name": "drill", "listen": "127.0.0.1:0", "loops": 2, "shards": 1,
	"keys": [{"id": "DRILLKEY", "secret": "drill-secret", "buckets": ["*"], "write": true}],
	"classes": [
		{"name": "read", "aim": "4s", "deadline": "8s", "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "4s", "deadline": "8s", "worth": 2,
			"effect": "keyed", "group": "shard", "window": "30s", "in_turn": true},
	],
	"plans": [
		{"name": "open", "rate": 1000, "reserve": 1000, "weight": 1, "price": 1},
		{"name": "capped", "rate": 25, "reserve": 20, "weight": 1, "price": 1, "limit": 25, "burst": 10, "slack": 8},
	],
	"buckets": [{"pattern": "capped*", "plan": "capped"}, {"pattern": "*", "plan": "open"}],
	"operations": [
		{"operations": ["GetObject"], "class": "read", "units": 1},
		{"operations": ["PutObject"], "class": "write", "units": 1},
		{"operations": ["*"], "class": "read", "units": 1},
	],
	"rules": {
		"usual_units": 1, "largest_units": 8, "settle": "20ms",
		"budget": {"free": 1000, "ratio": 1, "span": "5s"},
	},
}`

// nodeConfig returns the default configuration of the node, which a scenario may change.
func nodeConfig(seed uint64) storagenode.Config {
	return storagenode.Config{
		ID:          "node",
		Cores:       2,
		Queue:       400,
		PerUnit:     20 * time.Millisecond,
		Timing:      true,
		Seed:        seed,
		DedupWindow: 30 * time.Second,
	}
}
