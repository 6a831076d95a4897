package gateway

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/sigv4"
)

// These constants are the initial capacities, in bytes, of the buffers that hold the head of a node
// request.
const (
	headCapacity    = 512
	putHeadCapacity = 768
)

// unknownSize stands for the size of an object or body whose size is not known.
const unknownSize = -1

// shard returns the shard that stores the operation's object.
func (t *transaction) shard() dispatch.Shard { return t.volume.placement.Shard(t.op.Key) }

// rangeSize returns the number of bytes that the value of a Range header requests. It returns
// unknownSize if the header is missing or invalid, or has no last byte.
func rangeSize(v []byte) int64 {
	if v == nil {
		return unknownSize
	}
	s, ok := strings.CutPrefix(string(v), "bytes=")
	firstText, lastText, dash := strings.Cut(s, "-")
	last, err := strconv.ParseInt(lastText, 10, 64)
	if !ok || !dash || err != nil || last < 0 {
		return unknownSize
	}
	if firstText == "" { // "bytes=-N" requests the last N bytes
		return last
	}
	first, err := strconv.ParseInt(firstText, 10, 64)
	if err != nil || first < 0 || first > last || last == math.MaxInt64 {
		return unknownSize
	}
	return last - first + 1
}

// newDispatchRequest returns the dispatcher's request for an operation on a shard. The volume v is nil
// if the operation has no bucket. The size, which determines the cost, may be unknownSize.
func (t *transaction) newDispatchRequest(
	kind objectapi.Kind,
	v *volume,
	shard dispatch.Shard,
	key string,
	size int64,
) dispatch.Request {
	g := t.conn.worker.gateway
	cost := g.costs.Cost(kind, size)
	class := &g.cfg.Classes[cost.Class]
	d := dispatch.Request{Class: cost.Class, Shard: shard, Units: cost.Units, Timeout: class.Deadline.D()}
	if v != nil {
		d.Plan = v.plan
		d.Volume = dispatch.VolumeID(v.name)
		d.Dispatchers = v.dispatchers
	} else {
		d.Volume = noBucketVolume
		d.Dispatchers = g.cfg.DispatcherCount
	}
	if class.Ordered && key != "" {
		d.Key = string(d.Volume) + "/" + key
	}
	return d
}

// appendNodeHead appends the request line and the gateway's own headers of a request to a node. It
// leaves out the header that names the attempt, which nodeConn.send adds. A write gets an idempotency
// key that ends with keySuffix.
func (t *transaction) appendNodeHead(
	b []byte,
	method, bucket, key string,
	q objectapi.Query,
	d dispatch.Request,
	write bool,
	keySuffix string,
) []byte {
	b = append(b, method...)
	b = append(b, " /"...)
	b = sigv4.AppendEscape(b, bucket, false)
	if key != "" {
		b = append(b, '/')
		b = sigv4.AppendEscape(b, key, true)
	}
	b = appendNodeQuery(b, q)
	b = append(b, " HTTP/1.1\r\nHost: node\r\nx-chalkstand-volume: "...)
	b = append(b, d.Volume...)
	b = append(b, "\r\nx-chalkstand-units: "...)
	b = strconv.AppendFloat(b, d.Units, 'g', 6, 64)
	b = append(b, "\r\n"...)
	if write {
		b = append(b, "x-chalkstand-key: "...)
		b = append(b, t.conn.worker.gateway.core.nonce...)
		b = append(b, t.id...)
		b = append(b, keySuffix...)
		b = append(b, "\r\n"...)
	}
	return b
}

// appendNodeQuery appends the query of a request to a node. It skips the parameters of a presigned
// URL, which are meant for the gateway.
func appendNodeQuery(b []byte, q objectapi.Query) []byte {
	separator := byte('?')
	for _, p := range q {
		if strings.HasPrefix(p.Name, "X-Amz-") || p.Name == "x-id" {
			continue
		}
		b = append(b, separator)
		b = sigv4.AppendEscape(b, p.Name, false)
		separator = '&'
		if p.Value != "" {
			b = append(b, '=')
			b = sigv4.AppendEscape(b, p.Value, false)
		}
	}
	return b
}

// forwardedHeaders lists the request headers that the gateway forwards to a node, in addition to the
// headers whose names start with x-amz-.
var forwardedHeaders = []string{
	"content-type", "content-encoding", "content-disposition", "content-language", "cache-control", "expires",
	"range", "if-match", "if-none-match", "if-modified-since", "if-unmodified-since", "if-range", "content-md5",
}

// gatewayHeaders lists the request headers whose names start with x-amz- but which the gateway
// consumes itself and does not forward.
var gatewayHeaders = []string{
	"x-amz-date", "x-amz-content-sha256", "x-amz-security-token", "x-amz-decoded-content-length", "x-amz-trailer",
	"x-amz-copy-source", "x-amz-acl",
}

// isAmzHeader reports whether a header's name starts with x-amz- and has more characters after this
// prefix.
func isAmzHeader(name []byte) bool {
	const prefix = "x-amz-"
	return len(name) > len(prefix) && http1.EqualFold(name[:len(prefix)], prefix)
}

// appendForwardedHeaders appends those of a client's request headers that the gateway forwards to a
// node.
func appendForwardedHeaders(b []byte, hs http1.Headers) []byte {
	for _, h := range hs {
		nameIs := func(name string) bool { return http1.EqualFold(h.Name, name) }
		if isAmzHeader(h.Name) {
			if slices.ContainsFunc(gatewayHeaders, nameIs) {
				continue
			}
		} else if !slices.ContainsFunc(forwardedHeaders, nameIs) {
			continue
		}
		value := h.Value
		if nameIs("content-encoding") {
			if value = withoutAWSChunked(value); len(value) == 0 {
				continue
			}
		}
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// withoutAWSChunked removes the coding aws-chunked from the value of a Content-Encoding header,
// because the gateway decodes this coding itself.
func withoutAWSChunked(v []byte) []byte {
	var codings []string
	for coding := range strings.SplitSeq(string(v), ",") {
		coding = strings.TrimSpace(coding)
		if coding != "" && !strings.EqualFold(coding, "aws-chunked") {
			codings = append(codings, coding)
		}
	}
	return []byte(strings.Join(codings, ", "))
}
