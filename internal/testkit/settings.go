// Package testkit provides helpers for tests: it starts gateways and fake storage nodes on loopback addresses,
// and sends requests to the gateways.
package testkit

import (
	"fmt"

	"chalkstand/internal/settings"
)

// KeyID and Secret form the access key with which a client may read and write every bucket of a test gateway.
const (
	KeyID  = "TESTKEY"
	Secret = "test-secret-key"
)

// Settings returns the settings of a test gateway with the given number of shards.
func Settings(shards int) settings.Settings {
	s, err := settings.Parse("testkit", fmt.Appendf(nil, settingsFormat, shards))
	if err != nil {
		panic(err) // settingsFormat is constant, so an error is a mistake in this package
	}
	return *s
}

// settingsFormat is the text of the settings, with a placeholder for the number of shards.
const settingsFormat = `{
	"name": "gw", "listen": "127.0.0.1:0", "domains": ["localhost"], "loops": 2, "shards": %d,
	"keys": [
		{"id": "TESTKEY", "secret": "test-secret-key", "buckets": ["*"], "write": true},
		{"id": "READER", "secret": "reader-secret", "buckets": ["photos*"]},
	],
	"classes": [
		{"name": "read", "aim": "2s", "deadline": "4s", "worth": 3, "effect": "safe"},
		{"name": "write", "aim": "3s", "deadline": "6s", "worth": 2, "effect": "keyed",
			"group": "shard", "window": "30s", "in_turn": true},
		{"name": "bulk", "aim": "30s", "deadline": "60s", "worth": 1, "effect": "keyed",
			"group": "shard", "window": "30s"},
	],
	"plans": [{"name": "standard", "rate": 10000, "reserve": 5000, "weight": 1, "price": 1}],
	"buckets": [
		{"pattern": "closed-*", "plan": "standard", "spread": 1},
		{"pattern": "*", "plan": "standard"},
	],
	"operations": [
		{"operations": ["GetObject"], "class": "read", "units": 1, "per_mib": 1, "assume_bytes": 65536},
		{"operations": ["HeadObject", "HeadBucket", "ListObjects", "ListObjectsV2", "ListMultipartUploads",
			"ListParts", "ListBuckets", "GetBucketLocation", "GetBucketVersioning"], "class": "read", "units": 1},
		{"operations": ["PutObject", "UploadPart"], "max_bytes": 65536, "class": "write", "units": 1},
		{"operations": ["PutObject", "UploadPart", "CopyObject", "UploadPartCopy"],
			"class": "bulk", "units": 1, "per_mib": 1},
		{"operations": ["*"], "class": "write", "units": 1},
	],
	"rules": {"usual_units": 1, "largest_units": 16, "settle": "50ms"},
}`
