package storagenode

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// condition decides whether a write may replace an object, nil if there is none.
type condition func(old *object) *objectapi.Error

func unconditional(*object) *objectapi.Error { return nil }

func errPreconditionFailed() *objectapi.Error {
	return objectapi.NewError(objectapi.CodePreconditionFailed, "At least one of the pre-conditions you specified did not hold")
}

// writeCondition returns the condition of If-Match and If-None-Match of a write.
func writeCondition(r *http.Request) condition {
	return func(old *object) *objectapi.Error {
		if m := r.Header.Get("If-Match"); m != "" {
			if old == nil {
				return errNoSuchKey()
			}
			if !matchesETag(m, old.etag) {
				return errPreconditionFailed()
			}
		}
		if m := r.Header.Get("If-None-Match"); m != "" && old != nil && matchesETag(m, old.etag) {
			return errPreconditionFailed()
		}
		return nil
	}
}

// matchesETag reports whether a list as in If-Match contains an entity tag.
func matchesETag(list, etag string) bool {
	for t := range strings.SplitSeq(list, ",") {
		t = strings.Trim(strings.TrimPrefix(strings.TrimSpace(t), "W/"), `"`)
		if t == "*" || t == etag {
			return true
		}
	}
	return false
}

// readCondition checks the conditions of a read in the order of RFC 9110. prefix is the one of the
// headers' names: empty, or that of a copy's source.
func readCondition(h http.Header, prefix string, o *object) *objectapi.Error {
	since := func(name string) (time.Time, bool) {
		t, err := http.ParseTime(h.Get(prefix + name))
		return t, err == nil
	}
	if m := h.Get(prefix + "If-Match"); m != "" {
		if !matchesETag(m, o.etag) {
			return errPreconditionFailed()
		}
	} else if t, ok := since("If-Unmodified-Since"); ok && o.modified.After(t) {
		return errPreconditionFailed()
	}
	notModified := objectapi.NewError(objectapi.CodeNotModified, "")
	if prefix != "" {
		notModified = errPreconditionFailed()
	}
	if m := h.Get(prefix + "If-None-Match"); m != "" {
		if matchesETag(m, o.etag) {
			return notModified
		}
	} else if t, ok := since("If-Modified-Since"); ok && !o.modified.After(t) {
		return notModified
	}
	return nil
}

// byteRange is length bytes from offset on.
type byteRange struct{ offset, length int64 }

// rangeResult is how a range header is to be handled.
type rangeResult int

const (
	rangeIgnored       rangeResult = iota // other units, several ranges, malformed
	rangeValid                            // the range is sent
	rangeUnsatisfiable                    // nothing of the object is in the range
)

// applyRange narrows a response to the range or part that a request asks for.
func applyRange(o objectapi.Operation, r *http.Request, ob *object, resp *response) *objectapi.Error {
	size := ob.blob.size
	var br byteRange
	result := rangeIgnored
	if p := o.Query.Get("partNumber"); p != "" {
		var ok bool
		if br, ok = ob.partRange(p); !ok {
			return objectapi.NewError(objectapi.CodeInvalidRange, "The requested partnumber is not satisfiable")
		}
		result = rangeValid
	} else if v := r.Header.Get("Range"); v != "" && rangeApplies(r, ob) {
		br, result = parseRange(v, size)
	}
	switch result {
	case rangeUnsatisfiable:
		return objectapi.NewError(objectapi.CodeInvalidRange, "The requested range is not satisfiable")
	case rangeValid:
		resp.status = http.StatusPartialContent
		resp.offset = br.offset
		resp.length = br.length
		resp.header["Content-Range"] = fmt.Sprintf("bytes %d-%d/%d", br.offset, br.offset+br.length-1, size)
	}
	return nil
}

// partRange returns the range of a part by its number, and false if there is no such part.
func (o *object) partRange(number string) (byteRange, bool) {
	parts := o.parts
	if len(parts) == 0 {
		parts = []int64{o.blob.size}
	}
	i, err := strconv.Atoi(number)
	if err != nil || i < 1 || i > len(parts) {
		return byteRange{}, false
	}
	br := byteRange{length: parts[i-1]}
	for _, size := range parts[:i-1] {
		br.offset += size
	}
	return br, true
}

// rangeApplies reports whether the condition If-Range holds.
func rangeApplies(r *http.Request, ob *object) bool {
	v := r.Header.Get("If-Range")
	if v == "" {
		return true
	}
	if t, err := http.ParseTime(v); err == nil {
		return ob.modified.Equal(t)
	}
	return strings.Trim(v, `"`) == ob.etag
}

// parseRange parses a header with one byte range of an object of a size.
func parseRange(v string, size int64) (byteRange, rangeResult) {
	spec, found := strings.CutPrefix(v, "bytes=")
	first, last, dash := strings.Cut(strings.TrimSpace(spec), "-")
	if !found || !dash || strings.Contains(spec, ",") {
		return byteRange{}, rangeIgnored
	}
	a, aOK := http1.ParseLength([]byte(first))
	z, zOK := http1.ParseLength([]byte(last))
	switch {
	case first == "" && zOK: // suffix
		if z == 0 || size == 0 {
			return byteRange{}, rangeUnsatisfiable
		}
		z = min(z, size)
		return byteRange{offset: size - z, length: z}, rangeValid
	case !aOK || last != "" && !zOK || zOK && z < a:
		return byteRange{}, rangeIgnored
	case a >= size:
		return byteRange{}, rangeUnsatisfiable
	case last == "":
		z = size - 1
	}
	return byteRange{offset: a, length: min(z, size-1) - a + 1}, rangeValid
}
