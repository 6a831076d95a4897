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

// Initial capacities of the buffers of a node request's head, in bytes.
const (
	headCapacity    = 512
	putHeadCapacity = 768
)

// unknownSize is the size of an object or body that is not known.
const unknownSize = -1

// shard returns the shard of the operation's object.
func (t *transaction) shard() dispatch.Shard { return t.volume.placement.Shard(t.op.Key) }

// rangeSize returns how many bytes a Range header asks for, or unknownSize.
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
	if firstText == "" { // a suffix of so many bytes
		return last
	}
	first, err := strconv.ParseInt(firstText, 10, 64)
	if err != nil || first < 0 || first > last || last == math.MaxInt64 {
		return unknownSize
	}
	return last - first + 1
}

// newDispatchRequest returns the dispatcher's request for an operation of a volume, which may be nil. size
// may be unknownSize.
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
		d.Dispatchers = g.cfg.Peers
	}
	if class.InTurn && key != "" {
		d.Key = string(d.Volume) + "/" + key
	}
	return d
}

// appendNodeHead appends the head of a request to a node, without the header that names the attempt. A
// write gets an idempotency key that ends with keySuffix.
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

// appendNodeQuery appends a query without the parameters of a presigned URL.
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

// forwardedHeaders are the request headers that are forwarded to a node, in addition to those of x-amz-.
var forwardedHeaders = []string{
	"content-type", "content-encoding", "content-disposition", "content-language", "cache-control", "expires",
	"range", "if-match", "if-none-match", "if-modified-since", "if-unmodified-since", "if-range", "content-md5",
}

// gatewayHeaders are the headers of x-amz- that are for the gateway.
var gatewayHeaders = []string{
	"x-amz-date", "x-amz-content-sha256", "x-amz-security-token", "x-amz-decoded-content-length", "x-amz-trailer",
	"x-amz-copy-source", "x-amz-acl",
}

// isAmzHeader reports whether a header's name begins with x-amz-, and is longer.
func isAmzHeader(name []byte) bool {
	const prefix = "x-amz-"
	return len(name) > len(prefix) && http1.EqualFold(name[:len(prefix)], prefix)
}

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

// withoutAWSChunked removes aws-chunked, which is decoded by the gateway, from a list of codings.
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
