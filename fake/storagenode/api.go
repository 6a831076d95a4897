package storagenode

import (
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"crypto/md5"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unsafe"
)

func bytesString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// response is an answer: a document, or a part of a blob.
type response struct {
	status int
	header map[string]string
	body   []byte
	blob   *blob
	from   int64
	length int64
}

func xmlResponse(v any) response {
	return response{status: 200, header: map[string]string{"Content-Type": "application/xml"}, body: objectapi.Marshal(v)}
}

func errorResponse(err *objectapi.Error, resource string) response {
	return response{
		status: err.Status(), header: map[string]string{"Content-Type": "application/xml"},
		body: err.Document(resource, "0"),
	}
}

// parseOperation reads a request of net/http as the gateway's own parser would.
func parseOperation(r *http.Request) (objectapi.Operation, *objectapi.Error) {
	h := http1.Request{
		Method: []byte(r.Method), Target: []byte(r.RequestURI),
		Headers: http1.Headers{{Name: []byte("host"), Value: []byte(r.Host)}},
	}
	if s := r.Header.Get("x-amz-copy-source"); s != "" {
		h.Headers = append(h.Headers, http1.Header{Name: []byte("x-amz-copy-source"), Value: []byte(s)})
	}
	return objectapi.Parse(&h, nil)
}

// run does an operation on the data set.
func (d *Dataset) run(o objectapi.Operation, r *http.Request) response {
	rep, err := d.dispatch(o, r)
	if err != nil {
		return errorResponse(err, r.URL.Path)
	}
	return rep
}

func (d *Dataset) dispatch(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	switch o.Kind {
	case objectapi.ListBuckets:
		return d.listBuckets(), nil
	case objectapi.CreateBucket:
		if !d.AddBucket(o.Bucket, time.Now()) {
			return response{}, objectapi.Errorf("BucketAlreadyOwnedByYou", "The bucket is there already and is yours.")
		}
		return response{status: 200, header: map[string]string{"Location": "/" + o.Bucket}}, nil
	case objectapi.HeadBucket, objectapi.GetBucketLocation, objectapi.GetBucketVersioning:
		if d.Objects(o.Bucket) < 0 {
			return response{}, errNoSuchBucket()
		}
		switch o.Kind {
		case objectapi.GetBucketLocation:
			return xmlResponse(objectapi.LocationConstraint{}), nil
		case objectapi.GetBucketVersioning:
			return xmlResponse(objectapi.VersioningConfiguration{}), nil
		}
		return response{status: 200}, nil
	case objectapi.DeleteBucket:
		return d.deleteBucket(o.Bucket)
	case objectapi.ListObjectsV1, objectapi.ListObjectsV2:
		return d.listObjects(o)
	case objectapi.ListMultipartUploads:
		return d.listUploads(o)
	case objectapi.DeleteObjects:
		return d.deleteObjects(o, r)
	case objectapi.PutObject, objectapi.UploadPart:
		return d.putBody(o, r)
	case objectapi.GetObject, objectapi.HeadObject:
		return d.getObject(o, r)
	case objectapi.DeleteObject:
		err := d.delete(o.Bucket, o.Key, func(old *object) *objectapi.Error { return precondition(r, old) })
		return response{status: 204}, err
	case objectapi.CopyObject, objectapi.UploadPartCopy:
		return d.copyObject(o, r)
	case objectapi.CreateMultipartUpload:
		return d.createUpload(o, r)
	case objectapi.CompleteMultipartUpload:
		return d.completeUpload(o, r)
	case objectapi.AbortMultipartUpload:
		if _, err := d.upload(o, true); err != nil {
			return response{}, err
		}
		return response{status: 204}, nil
	case objectapi.ListParts:
		return d.listParts(o)
	}
	return response{}, objectapi.Errorf("NotImplemented", "Not offered.")
}

func (d *Dataset) listBuckets() response {
	d.mu.Lock()
	defer d.mu.Unlock()
	res := objectapi.ListAllMyBucketsResult{Owner: objectapi.TheOwner}
	for name, b := range d.buckets {
		res.Buckets = append(res.Buckets, objectapi.Bucket{Name: name, CreationDate: objectapi.FormatTime(b.created)})
	}
	slices.SortFunc(res.Buckets, func(a, b objectapi.Bucket) int { return strings.Compare(a.Name, b.Name) })
	return xmlResponse(res)
}

func (d *Dataset) deleteBucket(name string) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[name]
	if b == nil {
		return response{}, errNoSuchBucket()
	}
	if len(b.objects) > 0 {
		return response{}, objectapi.Errorf("BucketNotEmpty", "The bucket you tried to delete is not empty.")
	}
	delete(d.buckets, name)
	d.appendJournal(journalEntry{What: "unbucket", Bucket: name})
	return response{status: 204}, nil
}

func parseLimit(s string, most int) int {
	if n, err := strconv.Atoi(s); err == nil {
		return min(n, most)
	}
	return most
}

// nameEncoder returns how names are written under the request's encoding-type.
func nameEncoder(o objectapi.Operation) func(string) string {
	if o.Query.Get("encoding-type") == "url" {
		return objectapi.EncodeName
	}
	return func(s string) string { return s }
}

func (d *Dataset) listObjects(o objectapi.Operation) (response, *objectapi.Error) {
	q, enc := o.Query, nameEncoder(o)
	after := q.Get("marker")
	if o.Kind == objectapi.ListObjectsV2 {
		after = q.Get("start-after")
		if t := q.Get("continuation-token"); t != "" {
			b, err := base64.URLEncoding.DecodeString(t)
			if err != nil {
				return response{}, objectapi.Errorf("InvalidArgument", "The continuation token provided is incorrect")
			}
			after = string(b)
		}
	}
	most := parseLimit(q.Get("max-keys"), 1000)
	l, err := d.list(o.Bucket, q.Get("prefix"), q.Get("delimiter"), after, most)
	if err != nil {
		return response{}, err
	}
	res := objectapi.ListBucketResult{
		Name: o.Bucket, Prefix: enc(q.Get("prefix")), Delimiter: enc(q.Get("delimiter")),
		MaxKeys: most, EncodingType: q.Get("encoding-type"), IsTruncated: l.more && most > 0,
	}
	for i, k := range l.keys {
		b := l.objects[i]
		res.Contents = append(res.Contents, objectapi.Content{
			Key: enc(k), LastModified: objectapi.FormatTime(b.modified),
			ETag: `"` + b.etag + `"`, Size: b.blob.size, StorageClass: "STANDARD",
		})
	}
	for _, p := range l.prefixes {
		res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: enc(p)})
	}
	if o.Kind == objectapi.ListObjectsV1 {
		m := enc(q.Get("marker"))
		if res.Marker = &m; res.IsTruncated {
			res.NextMarker = enc(l.next)
		}
	} else {
		n := len(l.keys) + len(l.prefixes)
		res.KeyCount, res.StartAfter, res.ContinuationToken = &n, enc(q.Get("start-after")), q.Get("continuation-token")
		if res.IsTruncated {
			res.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(l.next))
		}
	}
	return xmlResponse(res), nil
}

func (d *Dataset) deleteObjects(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	body, rerr := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if rerr != nil {
		return response{}, objectapi.Errorf("IncompleteBody", "The body ended early.")
	}
	req, err := objectapi.ParseDelete(body)
	if err != nil {
		return response{}, err
	}
	var res objectapi.DeleteResult
	for _, x := range req.Objects {
		if err := d.delete(o.Bucket, x.Key, func(*object) *objectapi.Error { return nil }); err != nil {
			return response{}, err
		}
		if !req.Quiet {
			res.Deleted = append(res.Deleted, objectapi.Deleted{Key: x.Key})
		}
	}
	return xmlResponse(res), nil
}

// storedHeaderNames are the headers that are stored with an object.
var storedHeaderNames = []string{"Content-Type", "Content-Encoding", "Content-Disposition", "Content-Language", "Cache-Control", "Expires"}

func storedHeaders(h http.Header) map[string]string {
	m := map[string]string{}
	for _, n := range storedHeaderNames {
		if v := h.Get(n); v != "" {
			m[n] = v
		}
	}
	for n, v := range h {
		if strings.HasPrefix(strings.ToLower(n), "x-amz-meta-") {
			m[n] = strings.Join(v, ",")
		}
	}
	if m["Content-Type"] == "" {
		m["Content-Type"] = "binary/octet-stream"
	}
	return m
}

// checksumHeader names the checksum that a request brings, in a header or a trailer.
func checksumHeader(r *http.Request) string {
	for _, hs := range []http.Header{r.Header, r.Trailer} {
		for n := range hs {
			n = strings.ToLower(n)
			if strings.HasPrefix(n, "x-amz-checksum-") && n != "x-amz-checksum-mode" && n != "x-amz-checksum-type" &&
				n != "x-amz-checksum-algorithm" {
				return n
			}
		}
	}
	return ""
}

func (d *Dataset) putBody(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	name := checksumHeader(r)
	b, sum, value, rerr := d.receive(r.Body, r.ContentLength, name)
	if rerr != nil {
		return response{}, objectapi.Errorf("IncompleteBody", "The body ended early.")
	}
	if want := r.Header.Get("Content-MD5"); want != "" {
		if got, _ := hex.DecodeString(sum); base64.StdEncoding.EncodeToString(got) != want {
			return response{}, objectapi.Errorf("BadDigest", "The Content-MD5 you specified did not match what we received.")
		}
	}
	if want := r.Header.Get(name) + r.Trailer.Get(name); name != "" && want != value {
		return response{}, objectapi.Errorf("BadDigest", "The checksum you specified did not match the calculated one.")
	}
	ob := &object{blob: b, etag: sum, modified: time.Now().Truncate(time.Second), sum: checksum{name, value}}
	rep := response{status: 200, header: map[string]string{"ETag": `"` + sum + `"`}}
	if name != "" {
		rep.header[name] = value
	}
	if o.Kind == objectapi.UploadPart {
		return rep, d.putPart(o, ob)
	}
	ob.header = storedHeaders(r.Header)
	return rep, d.put(o.Bucket, o.Key, ob, func(old *object) *objectapi.Error { return precondition(r, old) })
}

func (d *Dataset) putPart(o objectapi.Operation, ob *object) *objectapi.Error {
	u, err := d.upload(o, false)
	if err != nil {
		return err
	}
	n, _ := strconv.Atoi(o.Query.Get("partNumber"))
	d.mu.Lock()
	u.parts[n] = ob
	d.appendJournal(journalEntry{What: "part", ID: o.Query.Get("uploadId"), Part: n, Object: ob.record()})
	d.mu.Unlock()
	return nil
}

func etagIn(list, etag string) bool {
	for t := range strings.SplitSeq(list, ",") {
		t = strings.Trim(strings.TrimPrefix(strings.TrimSpace(t), "W/"), `"`)
		if t == "*" || t == etag {
			return true
		}
	}
	return false
}

// precondition checks If-Match and If-None-Match of a write.
func precondition(r *http.Request, old *object) *objectapi.Error {
	failed := objectapi.Errorf("PreconditionFailed", "At least one of the pre-conditions you specified did not hold")
	if m := r.Header.Get("If-Match"); m != "" {
		if old == nil {
			return objectapi.Errorf("NoSuchKey", "The specified key does not exist.")
		}
		if !etagIn(m, old.etag) {
			return failed
		}
	}
	if m := r.Header.Get("If-None-Match"); m != "" && old != nil && etagIn(m, old.etag) {
		return failed
	}
	return nil
}

// readCondition checks the conditions of a read in the order of RFC 9110; prefix
// is empty, or that of a copy's source.
func readCondition(h http.Header, prefix string, o *object) *objectapi.Error {
	failed := objectapi.Errorf("PreconditionFailed", "At least one of the pre-conditions you specified did not hold")
	since := func(name string) (time.Time, bool) {
		t, err := http.ParseTime(h.Get(prefix + name))
		return t, err == nil
	}
	if m := h.Get(prefix + "If-Match"); m != "" {
		if !etagIn(m, o.etag) {
			return failed
		}
	} else if t, ok := since("If-Unmodified-Since"); ok && o.modified.After(t) {
		return failed
	}
	notModified := objectapi.Errorf("NotModified", "")
	if prefix != "" {
		notModified = failed
	}
	if m := h.Get(prefix + "If-None-Match"); m != "" {
		if etagIn(m, o.etag) {
			return notModified
		}
	} else if t, ok := since("If-Modified-Since"); ok && !o.modified.After(t) {
		return notModified
	}
	return nil
}

func (d *Dataset) getObject(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	ob, err := d.get(o.Bucket, o.Key)
	if err != nil {
		return response{}, err
	}
	h := map[string]string{
		"ETag": `"` + ob.etag + `"`, "Last-Modified": ob.modified.UTC().Format(http.TimeFormat),
		"Accept-Ranges": "bytes",
	}
	if err := readCondition(r.Header, "", ob); err != nil {
		if err.Code == "NotModified" {
			return response{status: 304, header: h}, nil
		}
		return response{}, err
	}
	for n, v := range ob.header {
		h[n] = v
	}
	for _, p := range o.Query {
		if n, ok := strings.CutPrefix(p.Name, "response-"); ok && slices.Contains(storedHeaderNames, http.CanonicalHeaderKey(n)) {
			h[http.CanonicalHeaderKey(n)] = p.Value
		}
	}
	rep := response{status: 200, header: h, blob: &ob.blob, length: ob.blob.size}
	if strings.EqualFold(r.Header.Get("x-amz-checksum-mode"), "ENABLED") && ob.sum.name != "" && r.Header.Get("Range") == "" {
		h[ob.sum.name] = ob.sum.value
	}
	if len(ob.parts) > 0 {
		h["x-amz-mp-parts-count"] = strconv.Itoa(len(ob.parts))
	}
	return rep, applyRange(o, r, ob, &rep, h)
}

// applyRange narrows an answer to the range or part asked for.
func applyRange(o objectapi.Operation, r *http.Request, ob *object, rep *response, h map[string]string) *objectapi.Error {
	size := ob.blob.size
	from, n, ok, bad := int64(0), size, false, false
	if p := o.Query.Get("partNumber"); p != "" {
		i, err := strconv.Atoi(p)
		parts := ob.parts
		if len(parts) == 0 {
			parts = []int64{size}
		}
		if err != nil || i < 1 || i > len(parts) {
			return objectapi.Errorf("InvalidRange", "The requested partnumber is not satisfiable")
		}
		for _, s := range parts[:i-1] {
			from += s
		}
		n, ok = parts[i-1], true
	} else if v := r.Header.Get("Range"); v != "" && rangeApplies(r, ob) {
		from, n, ok, bad = parseRange(v, size)
	}
	if bad {
		return objectapi.Errorf("InvalidRange", "The requested range is not satisfiable")
	}
	if ok {
		rep.status, rep.from, rep.length = 206, from, n
		h["Content-Range"] = fmt.Sprintf("bytes %d-%d/%d", from, from+n-1, size)
	}
	return nil
}

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

// parseRange reads one byte range. ok is false for what is to be ignored: other
// units, several ranges, malformed ones.
func parseRange(v string, size int64) (from, n int64, ok, unsatisfiable bool) {
	spec, found := strings.CutPrefix(v, "bytes=")
	first, last, dash := strings.Cut(strings.TrimSpace(spec), "-")
	if !found || !dash || strings.Contains(spec, ",") {
		return 0, size, false, false
	}
	a, aok := http1.ParseLength([]byte(first))
	z, zok := http1.ParseLength([]byte(last))
	switch {
	case first == "" && zok: // suffix
		if z == 0 || size == 0 {
			return 0, 0, false, true
		}
		z = min(z, size)
		return size - z, z, true, false
	case !aok || last != "" && !zok || zok && z < a:
		return 0, size, false, false
	case a >= size:
		return 0, 0, false, true
	case last == "":
		z = size - 1
	}
	return a, min(z, size-1) - a + 1, true, false
}

func (d *Dataset) copyObject(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	src, err := d.get(o.FromBucket, o.FromKey)
	if err != nil {
		return response{}, err
	}
	if err := readCondition(r.Header, "x-amz-copy-source-", src); err != nil {
		return response{}, err
	}
	ob := &object{blob: src.blob, etag: src.etag, modified: time.Now().Truncate(time.Second), header: src.header, sum: src.sum, parts: src.parts}
	when := objectapi.FormatTime(ob.modified)
	if o.Kind == objectapi.UploadPartCopy {
		from, n := int64(0), src.blob.size
		if v := r.Header.Get("x-amz-copy-source-range"); v != "" {
			var ok bool
			if from, n, ok, _ = parseRange(v, src.blob.size); !ok {
				return response{}, objectapi.Errorf("InvalidArgument", "The x-amz-copy-source-range value must be of the form bytes=first-last")
			}
		}
		rd, oerr := src.blob.open(from, n)
		if oerr != nil {
			return response{}, objectapi.Errorf("InternalError", oerr.Error())
		}
		defer rd.Close()
		b, sum, _, rerr := d.receive(rd, n, "")
		if rerr != nil {
			return response{}, objectapi.Errorf("InternalError", rerr.Error())
		}
		ob.blob, ob.etag, ob.sum = b, sum, checksum{}
		return xmlResponse(objectapi.CopyPartResult{LastModified: when, ETag: `"` + sum + `"`}), d.putPart(o, ob)
	}
	if strings.EqualFold(r.Header.Get("x-amz-metadata-directive"), "REPLACE") {
		ob.header = storedHeaders(r.Header)
	} else if o.FromBucket == o.Bucket && o.FromKey == o.Key {
		return response{}, objectapi.Errorf("InvalidRequest", "This copy request is illegal because it is trying to copy an object to itself without changing the object's metadata.")
	}
	return xmlResponse(objectapi.CopyObjectResult{LastModified: when, ETag: `"` + ob.etag + `"`}),
		d.put(o.Bucket, o.Key, ob, func(old *object) *objectapi.Error { return precondition(r, old) })
}

func errNoSuchUpload() *objectapi.Error {
	return objectapi.Errorf("NoSuchUpload", "The specified upload does not exist. It may have been aborted or completed.")
}

// upload finds an upload of the operation's object; take removes it.
func (d *Dataset) upload(o objectapi.Operation, take bool) (*upload, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[o.Bucket] == nil {
		return nil, errNoSuchBucket()
	}
	id := o.Query.Get("uploadId")
	u := d.uploads[id]
	if u == nil || u.bucket != o.Bucket || u.key != o.Key {
		return nil, errNoSuchUpload()
	}
	if take {
		delete(d.uploads, id)
		d.appendJournal(journalEntry{What: "end", ID: id})
	}
	return u, nil
}

func (d *Dataset) createUpload(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[o.Bucket] == nil {
		return response{}, errNoSuchBucket()
	}
	d.nextID++
	now := time.Now()
	id := fmt.Sprintf("%016x%08x", now.UnixNano(), d.nextID)
	d.uploads[id] = &upload{bucket: o.Bucket, key: o.Key, started: now, header: storedHeaders(r.Header), parts: map[int]*object{}}
	d.appendJournal(journalEntry{What: "upload", Bucket: o.Bucket, Key: o.Key, ID: id, At: now, Header: d.uploads[id].header})
	return xmlResponse(objectapi.InitiateMultipartUploadResult{Bucket: o.Bucket, Key: o.Key, UploadId: id}), nil
}

// minPart is the least size of a part that is not the last, by the specification.
const minPart = 5 << 20

func (d *Dataset) completeUpload(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	body, rerr := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if rerr != nil {
		return response{}, objectapi.Errorf("IncompleteBody", "The body ended early.")
	}
	want, err := objectapi.ParseComplete(body)
	if err != nil {
		return response{}, err
	}
	u, err := d.upload(o, false)
	if err != nil {
		return response{}, err
	}
	d.mu.Lock()
	var parts []*object
	all := md5.New()
	ob := &object{modified: time.Now().Truncate(time.Second), header: u.header}
	for i, w := range want {
		p := u.parts[w.PartNumber]
		if p == nil || p.etag != strings.Trim(w.ETag, `"`) {
			err = objectapi.Errorf("InvalidPart", "One or more of the specified parts could not be found.")
		} else if i < len(want)-1 && p.blob.size < minPart {
			err = objectapi.Errorf("EntityTooSmall", "Your proposed upload is smaller than the minimum allowed object size.")
		}
		if err != nil {
			d.mu.Unlock()
			return response{}, err
		}
		sum, _ := hex.DecodeString(p.etag)
		all.Write(sum)
		parts = append(parts, p)
		ob.parts = append(ob.parts, p.blob.size)
	}
	d.mu.Unlock()
	ob.blob = concatenate(parts)
	ob.etag = fmt.Sprintf("%x-%d", all.Sum(nil), len(parts))
	if err := d.put(o.Bucket, o.Key, ob, func(old *object) *objectapi.Error { return precondition(r, old) }); err != nil {
		return response{}, err
	}
	d.upload(o, true)
	return xmlResponse(objectapi.CompleteMultipartUploadResult{
		Location: "/" + o.Bucket + "/" + o.Key, Bucket: o.Bucket, Key: o.Key,
		ETag: `"` + ob.etag + `"`,
	}), nil
}

func (d *Dataset) listParts(o objectapi.Operation) (response, *objectapi.Error) {
	u, err := d.upload(o, false)
	if err != nil {
		return response{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	most, after := parseLimit(o.Query.Get("max-parts"), 1000), 0
	if m := o.Query.Get("part-number-marker"); m != "" {
		after = parseLimit(m, objectapi.MaxPart)
	}
	res := objectapi.ListPartsResult{
		Bucket: o.Bucket, Key: o.Key, UploadId: o.Query.Get("uploadId"), Initiator: objectapi.TheOwner,
		Owner: objectapi.TheOwner, StorageClass: "STANDARD", PartNumberMarker: after, MaxParts: most,
	}
	var ns []int
	for n := range u.parts {
		if n > after {
			ns = append(ns, n)
		}
	}
	slices.Sort(ns)
	if len(ns) > most {
		ns, res.IsTruncated = ns[:most], true
	}
	for _, n := range ns {
		p := u.parts[n]
		res.Part = append(res.Part, objectapi.Part{
			PartNumber: n, LastModified: objectapi.FormatTime(p.modified),
			ETag: `"` + p.etag + `"`, Size: p.blob.size,
		})
		res.NextPartNumberMarker = n
	}
	return xmlResponse(res), nil
}

func (d *Dataset) listUploads(o objectapi.Operation) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[o.Bucket] == nil {
		return response{}, errNoSuchBucket()
	}
	q, enc := o.Query, nameEncoder(o)
	most := parseLimit(q.Get("max-uploads"), 1000)
	res := objectapi.ListMultipartUploadsResult{
		Bucket: o.Bucket, KeyMarker: enc(q.Get("key-marker")), UploadIdMarker: q.Get("upload-id-marker"),
		Prefix: enc(q.Get("prefix")), Delimiter: enc(q.Get("delimiter")), EncodingType: q.Get("encoding-type"), MaxUploads: most,
	}
	type entry struct {
		id string
		u  *upload
	}
	var all []entry
	km, im := q.Get("key-marker"), q.Get("upload-id-marker")
	for id, u := range d.uploads {
		if u.bucket == o.Bucket && strings.HasPrefix(u.key, q.Get("prefix")) && (u.key > km || u.key == km && im != "" && id > im) {
			all = append(all, entry{id, u})
		}
	}
	slices.SortFunc(all, func(a, b entry) int {
		if c := strings.Compare(a.u.key, b.u.key); c != 0 {
			return c
		}
		return strings.Compare(a.id, b.id)
	})
	for _, e := range all {
		name, group := rollUp(e.u.key, q.Get("prefix"), q.Get("delimiter"))
		if n := len(res.CommonPrefixes); group && (n > 0 && res.CommonPrefixes[n-1].Prefix == enc(name) || name == km) {
			continue
		}
		if len(res.Upload)+len(res.CommonPrefixes) == most {
			res.IsTruncated = true
			break
		}
		res.NextKeyMarker, res.NextUploadIdMarker = enc(name), e.id
		if group {
			res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: enc(name)})
			res.NextUploadIdMarker = ""
			continue
		}
		res.Upload = append(res.Upload, objectapi.Upload{
			Key: enc(e.u.key), UploadId: e.id, Initiator: objectapi.TheOwner, Owner: objectapi.TheOwner,
			StorageClass: "STANDARD", Initiated: objectapi.FormatTime(e.u.started),
		})
	}
	if !res.IsTruncated {
		res.NextKeyMarker, res.NextUploadIdMarker = "", ""
	}
	return xmlResponse(res), nil
}
