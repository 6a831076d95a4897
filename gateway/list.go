package gateway

import (
	"encoding/base64"
	"net/http"
	"strconv"

	"chalkstand/internal/objectapi"
)

// maxListKeys is the maximum number of names in one list response, according to the specification of
// the object API.
const maxListKeys = 1000

// listLimit parses the query parameter that limits the number of names in a list. It returns
// maxListKeys if the value is larger or is not a number.
func listLimit(v string) int {
	if n, err := strconv.Atoi(v); err == nil {
		return min(n, maxListKeys)
	}
	return maxListKeys
}

// appendParams appends to q those parameters of the query in that have one of the given names and a
// value.
func appendParams(q, in objectapi.Query, names ...string) objectapi.Query {
	for _, name := range names {
		if v := in.Get(name); v != "" {
			q = append(q, objectapi.Param{Name: name, Value: v})
		}
	}
	return q
}

// listStart returns the name after which a list of objects starts. An empty name means that the list
// starts at the first object.
func (t *transaction) listStart() (string, *objectapi.Error) {
	in := t.op.Query
	if t.op.Kind != objectapi.ListObjectsV2 {
		return in.Get("marker"), nil
	}
	token := in.Get("continuation-token")
	if token == "" {
		return in.Get("start-after"), nil
	}
	b, err := base64.URLEncoding.DecodeString(token)
	if err != nil {
		return "", objectapi.NewError(objectapi.CodeInvalidArgument, "The continuation token provided is incorrect")
	}
	return string(b), nil
}

// listObjects responds with one page of the bucket's objects. It requests a page from each shard of the
// volume and merges the pages.
func (t *transaction) listObjects() {
	limit := listLimit(t.op.Query.Get("max-keys"))
	v2 := t.op.Kind == objectapi.ListObjectsV2
	after, apiErr := t.listStart()
	if apiErr != nil {
		t.respondErrorCode(apiErr)
		return
	}
	q := objectapi.Query{{Name: "encoding-type", Value: "url"}, {Name: "max-keys", Value: strconv.Itoa(limit)}}
	q = appendParams(q, t.op.Query, "prefix", "delimiter")
	afterName := "marker"
	if v2 {
		afterName = "start-after"
		q = append(q, objectapi.Param{Name: "list-type", Value: "2"})
	}
	if after != "" {
		q = append(q, objectapi.Param{Name: afterName, Value: after})
	}
	t.scatterBucket(t.volume.placement.Shards(), t.op.Kind, http.MethodGet, q, func(responses []shardResponse) {
		if !t.requireAll(responses, http.StatusOK) {
			return
		}
		t.respondInSlices(func(yield objectapi.YieldFunc) any {
			pages, err := parseShards(responses, objectapi.ParseList, yield)
			if err != nil {
				return nil
			}
			return t.listDocument(objectapi.MergePages(pages, after, limit), limit, v2)
		})
	})
}

// nameEncoder returns the function that encodes names in the encoding that the client has requested.
func (t *transaction) nameEncoder() func(string) string {
	if t.op.Query.Get("encoding-type") == "url" {
		return objectapi.EncodeName
	}
	return func(s string) string { return s }
}

// listDocument returns the response document for a page of objects. The parameter v2 selects version 2
// of the list operation.
func (t *transaction) listDocument(p objectapi.Page, limit int, v2 bool) objectapi.ListBucketResult {
	in := t.op.Query
	encode := t.nameEncoder()
	result := objectapi.ListBucketResult{
		Name:         t.op.Bucket,
		Prefix:       encode(in.Get("prefix")),
		Delimiter:    encode(in.Get("delimiter")),
		MaxKeys:      limit,
		EncodingType: in.Get("encoding-type"),
		IsTruncated:  p.Truncated && limit > 0,
	}
	for _, c := range p.Contents {
		c.Key = encode(c.Key)
		if !v2 || in.Get("fetch-owner") == "true" {
			c.Owner = &objectapi.Owner{ID: objectapi.DefaultOwner.ID, DisplayName: objectapi.DefaultOwner.DisplayName}
		}
		result.Contents = append(result.Contents, c)
	}
	for _, prefix := range p.Prefixes {
		result.CommonPrefixes = append(result.CommonPrefixes, objectapi.CommonPrefix{Prefix: encode(prefix)})
	}
	if !v2 {
		marker := encode(in.Get("marker"))
		result.Marker = &marker
		if result.IsTruncated {
			result.NextMarker = encode(p.Next)
		}
		return result
	}
	count := len(p.Contents) + len(p.Prefixes)
	result.KeyCount = &count
	result.StartAfter = encode(in.Get("start-after"))
	result.ContinuationToken = in.Get("continuation-token")
	if result.IsTruncated {
		result.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(p.Next))
	}
	return result
}

// listMultipartUploads responds with the merged lists of multipart uploads of all shards of the volume.
func (t *transaction) listMultipartUploads() {
	limit := listLimit(t.op.Query.Get("max-uploads"))
	q := objectapi.Query{
		{Name: "uploads"},
		{Name: "encoding-type", Value: "url"},
		{Name: "max-uploads", Value: strconv.Itoa(limit)},
	}
	q = appendParams(q, t.op.Query, "prefix", "delimiter", "key-marker", "upload-id-marker")
	shards := t.volume.placement.Shards()
	t.scatterBucket(shards, objectapi.ListMultipartUploads, http.MethodGet, q, func(responses []shardResponse) {
		if !t.requireAll(responses, http.StatusOK) {
			return
		}
		t.respondInSlices(func(yield objectapi.YieldFunc) any {
			lists, err := parseShards(responses, objectapi.ParseUploads, yield)
			if err != nil {
				return nil
			}
			return t.uploadsDocument(lists, limit)
		})
	})
}

// uploadsDocument returns the response document for the merged multipart uploads of several shards.
func (t *transaction) uploadsDocument(
	lists []objectapi.ListMultipartUploadsResult,
	limit int,
) objectapi.ListMultipartUploadsResult {
	in := t.op.Query
	encode := t.nameEncoder()
	uploads, prefixes, truncated := objectapi.MergeUploads(lists, limit)
	result := objectapi.ListMultipartUploadsResult{
		Bucket:         t.op.Bucket,
		KeyMarker:      encode(in.Get("key-marker")),
		UploadIDMarker: in.Get("upload-id-marker"),
		Prefix:         encode(in.Get("prefix")),
		Delimiter:      encode(in.Get("delimiter")),
		EncodingType:   in.Get("encoding-type"),
		MaxUploads:     limit,
		IsTruncated:    truncated && limit > 0,
	}
	for _, u := range uploads {
		if result.IsTruncated {
			result.NextKeyMarker = encode(u.Key)
			result.NextUploadIDMarker = u.UploadID
		}
		u.Key = encode(u.Key)
		result.Upload = append(result.Upload, u)
	}
	for _, p := range prefixes {
		prefix := encode(p)
		result.CommonPrefixes = append(result.CommonPrefixes, objectapi.CommonPrefix{Prefix: prefix})
		if result.IsTruncated && prefix > result.NextKeyMarker {
			result.NextKeyMarker = prefix
			result.NextUploadIDMarker = ""
		}
	}
	return result
}

// parseShards parses the response document of each shard. The parse function calls yield every few
// kilobytes, so that other work on the loop can run.
func parseShards[T any](
	responses []shardResponse,
	parse func([]byte, objectapi.YieldFunc) (T, error),
	yield objectapi.YieldFunc,
) ([]T, error) {
	all := make([]T, len(responses))
	for i, r := range responses {
		var err error
		if all[i], err = parse(r.document, yield); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// respondInSlices responds with a document that may take long to build. The work runs in time slices
// that are charged to the transaction's volume, so other work on the loop waits for one slice at most.
// The function build returns nil if a shard's document is malformed.
func (t *transaction) respondInSlices(build func(objectapi.YieldFunc) any) {
	w := t.conn.worker
	w.loop.RunInSlices(w.chargedVolume(t).flow, func(yield func() bool) {
		shouldContinue := func() bool { return !t.responded && yield() && !t.responded }
		v := build(shouldContinue)
		if t.responded {
			return
		}
		if v == nil {
			t.respondFailure(false)
			return
		}
		if doc, ok := objectapi.MarshalWithYield(v, shouldContinue); ok {
			t.respond(http.StatusOK, []byte(xmlHeader), doc)
		}
	})
}
