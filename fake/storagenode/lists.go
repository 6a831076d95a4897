package storagenode

import (
	"encoding/base64"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"chalkstand/internal/objectapi"
)

// maxListed is the most entries of a page of a list.
const maxListed = 1000

// parseLimit parses the size of a page; without a number it is limit.
func parseLimit(s string, limit int) int {
	if n, err := strconv.Atoi(s); err == nil {
		return min(n, limit)
	}
	return limit
}

// nameEncoder returns how names are written under a request's encoding-type.
func nameEncoder(o objectapi.Operation) func(string) string {
	if o.Query.Get("encoding-type") == "url" {
		return objectapi.EncodeName
	}
	return func(s string) string { return s }
}

// rollUp cuts a key behind the first delimiter after the prefix, and reports whether there is one.
func rollUp(key, prefix, delimiter string) (string, bool) {
	if delimiter == "" {
		return key, false
	}
	i := strings.Index(key[len(prefix):], delimiter)
	if i < 0 {
		return key, false
	}
	return key[:len(prefix)+i+len(delimiter)], true
}

// listQuery selects the names of a list.
type listQuery struct {
	prefix    string
	delimiter string
	after     string // names up to this are left out
	limit     int    // of keys and prefixes together
}

// listPage is a page of a list.
type listPage struct {
	keys     []string
	objects  []*object // by keys
	prefixes []string
	last     string // the last name in it
	more     bool   // names follow
}

// list returns a page of a bucket's names, in order.
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
		name, isPrefix := rollUp(key, q.prefix, q.delimiter)
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

// listStart returns the name after which a list of objects starts.
func listStart(o objectapi.Operation) (string, *objectapi.Error) {
	if o.Kind != objectapi.ListObjectsV2 {
		return o.Query.Get("marker"), nil
	}
	token := o.Query.Get("continuation-token")
	if token == "" {
		return o.Query.Get("start-after"), nil
	}
	b, err := base64.URLEncoding.DecodeString(token)
	if err != nil {
		return "", objectapi.NewError(objectapi.CodeInvalidArgument, "The continuation token provided is incorrect")
	}
	return string(b), nil
}

// listObjects responds to both versions of ListObjects.
func (d *Dataset) listObjects(o objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	q, encode := o.Query, nameEncoder(o)
	after, err := listStart(o)
	if err != nil {
		return response{}, err
	}
	limit := parseLimit(q.Get("max-keys"), maxListed)
	page, err := d.list(o.Bucket, listQuery{
		prefix:    q.Get("prefix"),
		delimiter: q.Get("delimiter"),
		after:     after,
		limit:     limit,
	})
	if err != nil {
		return response{}, err
	}
	res := objectapi.ListBucketResult{
		Name:         o.Bucket,
		Prefix:       encode(q.Get("prefix")),
		Delimiter:    encode(q.Get("delimiter")),
		MaxKeys:      limit,
		EncodingType: q.Get("encoding-type"),
		IsTruncated:  page.more && limit > 0,
	}
	for i, key := range page.keys {
		ob := page.objects[i]
		res.Contents = append(res.Contents, objectapi.Content{
			Key:          encode(key),
			LastModified: objectapi.FormatTime(ob.modified),
			ETag:         quoted(ob.etag),
			Size:         ob.blob.size,
			StorageClass: "STANDARD",
		})
	}
	for _, p := range page.prefixes {
		res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: encode(p)})
	}
	setContinuation(&res, o, &page, encode)
	return xmlResponse(res), nil
}

// setContinuation sets how the next page of a list of objects is requested.
func setContinuation(
	res *objectapi.ListBucketResult, o objectapi.Operation, page *listPage, encode func(string) string,
) {
	if o.Kind == objectapi.ListObjectsV1 {
		marker := encode(o.Query.Get("marker"))
		res.Marker = &marker
		if res.IsTruncated {
			res.NextMarker = encode(page.last)
		}
		return
	}
	count := len(page.keys) + len(page.prefixes)
	res.KeyCount = &count
	res.StartAfter = encode(o.Query.Get("start-after"))
	res.ContinuationToken = o.Query.Get("continuation-token")
	if res.IsTruncated {
		res.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(page.last))
	}
}
