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

// condition returns an error if a write must not replace the old object. old is nil if there is no object yet.
type condition func(old *object) *objectapi.Error

func unconditional(*object) *objectapi.Error { return nil }

func errPreconditionFailed() *objectapi.Error {
	return objectapi.NewError(objectapi.CodePreconditionFailed, "At least one of the pre-conditions you specified did not hold")
}

// writeCondition returns the condition that the headers If-Match and If-None-Match of a write express.
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

// matchesETag reports whether a list of entity tags contains etag or "*". The list has the format of
// the header If-Match.
func matchesETag(list, etag string) bool {
	for t := range strings.SplitSeq(list, ",") {
		t = strings.Trim(strings.TrimPrefix(strings.TrimSpace(t), "W/"), `"`)
		if t == "*" || t == etag {
			return true
		}
	}
	return false
}

// readCondition checks the conditional headers of a read in the order that RFC 9110 requires, and returns an error
// for the first condition that does not hold. prefix is the prefix of the headers' names: it is empty for a read, and
// "x-amz-copy-source-" for the source of a copy.
func readCondition(h http.Header, prefix string, obj *object) *objectapi.Error {
	headerTime := func(name string) (time.Time, bool) {
		t, err := http.ParseTime(h.Get(prefix + name))
		return t, err == nil
	}
	if m := h.Get(prefix + "If-Match"); m != "" {
		if !matchesETag(m, obj.etag) {
			return errPreconditionFailed()
		}
	} else if t, ok := headerTime("If-Unmodified-Since"); ok && obj.modified.After(t) {
		return errPreconditionFailed()
	}
	notModified := objectapi.NewError(objectapi.CodeNotModified, "")
	if prefix != "" {
		notModified = errPreconditionFailed()
	}
	if m := h.Get(prefix + "If-None-Match"); m != "" {
		if matchesETag(m, obj.etag) {
			return notModified
		}
	} else if t, ok := headerTime("If-Modified-Since"); ok && !obj.modified.After(t) {
		return notModified
	}
	return nil
}

// byteRange is a range of an object's bytes.
type byteRange struct{ offset, length int64 }

// rangeResult says how the node handles a Range header.
type rangeResult int

const (
	rangeIgnored       rangeResult = iota // the header has another unit, several ranges or invalid syntax
	rangeValid                            // the node sends the range
	rangeUnsatisfiable                    // the range contains no byte of the object
)

// applyRange limits a response to the byte range or part that its request selects.
func applyRange(op objectapi.Operation, r *http.Request, obj *object, resp *response) *objectapi.Error {
	size := obj.blob.size
	var br byteRange
	result := rangeIgnored
	if p := op.Query.Get("partNumber"); p != "" {
		var ok bool
		if br, ok = obj.partRange(p); !ok {
			return objectapi.NewError(objectapi.CodeInvalidRange, "The requested partnumber is not satisfiable")
		}
		result = rangeValid
	} else if v := r.Header.Get("Range"); v != "" && rangeApplies(r, obj) {
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

// partRange returns the byte range of the part with the given number. It returns false if the part does not exist.
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

// rangeApplies reports whether the condition in the If-Range header holds. A missing header counts as true.
func rangeApplies(r *http.Request, obj *object) bool {
	v := r.Header.Get("If-Range")
	if v == "" {
		return true
	}
	if t, err := http.ParseTime(v); err == nil {
		return obj.modified.Equal(t)
	}
	return strings.Trim(v, `"`) == obj.etag
}

// parseRange parses a Range header with one byte range, for an object of the given size in bytes.
func parseRange(v string, size int64) (byteRange, rangeResult) {
	spec, found := strings.CutPrefix(v, "bytes=")
	first, last, dash := strings.Cut(strings.TrimSpace(spec), "-")
	if !found || !dash || strings.Contains(spec, ",") {
		return byteRange{}, rangeIgnored
	}
	start, startOK := http1.ParseLength([]byte(first))
	end, endOK := http1.ParseLength([]byte(last))
	switch {
	case first == "" && endOK: // bytes=-N requests the last N bytes
		if end == 0 || size == 0 {
			return byteRange{}, rangeUnsatisfiable
		}
		end = min(end, size)
		return byteRange{offset: size - end, length: end}, rangeValid
	case !startOK || last != "" && !endOK || endOK && end < start:
		return byteRange{}, rangeIgnored
	case start >= size:
		return byteRange{}, rangeUnsatisfiable
	case last == "":
		end = size - 1
	}
	return byteRange{offset: start, length: min(end, size-1) - start + 1}, rangeValid
}
