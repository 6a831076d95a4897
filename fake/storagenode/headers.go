package storagenode

import (
	"net/http"
	"strings"
)

// Request headers that a gateway sets.
const (
	headerVolume  = "x-chalkstand-volume"
	headerUnits   = "x-chalkstand-units"   // cost
	headerRequest = "x-chalkstand-request" // gateway/number/attempt
	headerKey     = "x-chalkstand-key"     // of a keyed write
)

// Request headers of the object API.
const (
	headerTag             = "x-amz-meta-tag" // a test client's own name for its request
	headerCopySource      = "x-amz-copy-source"
	headerCopySourceRange = "x-amz-copy-source-range"
	headerChecksumMode    = "x-amz-checksum-mode"
	headerDirective       = "x-amz-metadata-directive"
)

func gatewayOf(h http.Header) string {
	gateway, _, _ := strings.Cut(h.Get(headerRequest), "/")
	return gateway
}
