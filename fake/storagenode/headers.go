package storagenode

import (
	"net/http"
	"strings"
)

// Request headers that a gateway sets.
const (
	headerVolume         = "x-chalkstand-volume"
	headerUnits          = "x-chalkstand-units"   // cost of the request in cost units
	headerRequest        = "x-chalkstand-request" // gateway name, request number and attempt number, separated by "/"
	headerIdempotencyKey = "x-chalkstand-key"     // idempotency key of a keyed write
)

// Request headers of the object API.
const (
	headerTag               = "x-amz-meta-tag" // tag by which a test client identifies its request in the log
	headerCopySource        = "x-amz-copy-source"
	headerCopySourceRange   = "x-amz-copy-source-range"
	headerChecksumMode      = "x-amz-checksum-mode"
	headerMetadataDirective = "x-amz-metadata-directive"
)

// gatewayOf returns the name of the gateway that sent a request, or "" if the request does not name one.
func gatewayOf(h http.Header) string {
	gateway, _, _ := strings.Cut(h.Get(headerRequest), "/")
	return gateway
}
