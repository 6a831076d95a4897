package storagenode

import (
	"encoding/base64"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"chalkstand/internal/objectapi"
)

// maxPageEntries is the maximum number of entries on one page of a list.
const maxPageEntries = 1000

// parseLimit parses the requested size of a page, which is at most limit. It returns limit if s is not a number.
func parseLimit(s string, limit int) int {
	if n, err := strconv.Atoi(s); err == nil {
		return min(n, limit)
	}
	return limit
}

// nameEncoder returns the function that encodes names as the parameter encoding-type of a request requires.
func nameEncoder(op objectapi.Operation) func(string) string {
	if op.Query.Get("encoding-type") == "url" {
		return objectapi.EncodeName
	}
	return func(s string) string { return s }
}

// commonPrefix cuts a key after the first delimiter that follows the prefix. If the key has no such delimiter, it returns
// the whole key and false.
func commonPrefix(key, prefix, delimiter string) (string, bool) {
	if delimiter == "" {
		return key, false
	}
	i := strings.Index(key[len(prefix):], delimiter)
	if i < 0 {
		return key, false
	}
	return key[:len(prefix)+i+len(delimiter)], true
}

// listQuery selects the keys and common prefixes of a list page.
type listQuery struct {
	prefix    string
	delimiter string
	after     string // the page starts with the first name that is greater than this
	limit     int    // maximum number of keys and common prefixes together
}

// listPage is one page of a list of objects.
type listPage struct {
	keys     []string
	objects  []*object // the objects of keys, in the same order
	prefixes []string  // common prefixes
	last     string    // the last key or common prefix on the page
	more     bool      // the list continues after this page
}

// list returns a page of a bucket's keys and common prefixes in ascending order.
func (d *Dataset) list(bucketName string, q listQuery) (listPage, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bucketName]
	if b == nil {
		return listPage{}, errNoSuchBucket()
	}
	keys := b.sorted()
	var page listPage
	for i := sort.SearchStrings(keys, max(q.prefix, q.after)); i < len(keys); i++ {
		key := keys[i]
		if !strings.HasPrefix(key, q.prefix) {
			break
		}
		if key <= q.after && q.after != "" {
			continue
		}
		name, isPrefix := commonPrefix(key, q.prefix, q.delimiter)
		if isPrefix && (name == q.after || page.endsWithPrefix(name)) {
			continue
		}
		if len(page.keys)+len(page.prefixes) == q.limit {
			page.more = true
			break
		}
		page.last = name
		if isPrefix {
			page.prefixes = append(page.prefixes, name)
		} else {
			page.keys = append(page.keys, key)
			page.objects = append(page.objects, b.objects[key])
		}
	}
	return page, nil
}

func (p *listPage) endsWithPrefix(name string) bool {
	return len(p.prefixes) > 0 && p.prefixes[len(p.prefixes)-1] == name
}

// listStart returns the name after which the requested page of objects starts.
func listStart(op objectapi.Operation) (string, *objectapi.Error) {
	if op.Kind != objectapi.ListObjectsV2 {
		return op.Query.Get("marker"), nil
	}
	token := op.Query.Get("continuation-token")
	if token == "" {
		return op.Query.Get("start-after"), nil
	}
	b, err := base64.URLEncoding.DecodeString(token)
	if err != nil {
		return "", objectapi.NewError(objectapi.CodeInvalidArgument, "The continuation token provided is incorrect")
	}
	return string(b), nil
}

// listObjects handles both versions of ListObjects.
func (d *Dataset) listObjects(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	q, encode := op.Query, nameEncoder(op)
	after, err := listStart(op)
	if err != nil {
		return response{}, err
	}
	limit := parseLimit(q.Get("max-keys"), maxPageEntries)
	page, err := d.list(op.Bucket, listQuery{
		prefix:    q.Get("prefix"),
		delimiter: q.Get("delimiter"),
		after:     after,
		limit:     limit,
	})
	if err != nil {
		return response{}, err
	}
	res := objectapi.ListBucketResult{
		Name:         op.Bucket,
		Prefix:       encode(q.Get("prefix")),
		Delimiter:    encode(q.Get("delimiter")),
		MaxKeys:      limit,
		EncodingType: q.Get("encoding-type"),
		IsTruncated:  page.more && limit > 0,
	}
	for i, key := range page.keys {
		obj := page.objects[i]
		res.Contents = append(res.Contents, objectapi.Content{
			Key:          encode(key),
			LastModified: objectapi.FormatTime(obj.modified),
			ETag:         quoted(obj.etag),
			Size:         obj.blob.size,
			StorageClass: "STANDARD",
		})
	}
	for _, p := range page.prefixes {
		res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: encode(p)})
	}
	setContinuation(&res, op, &page, encode)
	return xmlResponse(res), nil
}

// setContinuation sets the fields of a list response that tell the client how to request the next page.
func setContinuation(
	res *objectapi.ListBucketResult, op objectapi.Operation, page *listPage, encode func(string) string,
) {
	if op.Kind == objectapi.ListObjectsV1 {
		marker := encode(op.Query.Get("marker"))
		res.Marker = &marker
		if res.IsTruncated {
			res.NextMarker = encode(page.last)
		}
		return
	}
	count := len(page.keys) + len(page.prefixes)
	res.KeyCount = &count
	res.StartAfter = encode(op.Query.Get("start-after"))
	res.ContinuationToken = op.Query.Get("continuation-token")
	if res.IsTruncated {
		res.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(page.last))
	}
}
