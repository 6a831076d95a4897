package storagenode

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"chalkstand/internal/objectapi"
)

// listParts handles ListParts: it responds with the parts of an upload.
func (d *Dataset) listParts(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	u, err := d.upload(op)
	if err != nil {
		return response{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	limit, after := parseLimit(op.Query.Get("max-parts"), maxPageEntries), 0
	if m := op.Query.Get("part-number-marker"); m != "" {
		after = parseLimit(m, objectapi.MaxPart)
	}
	res := objectapi.ListPartsResult{
		Bucket:           op.Bucket,
		Key:              op.Key,
		UploadID:         op.Query.Get("uploadId"),
		Initiator:        objectapi.DefaultOwner,
		Owner:            objectapi.DefaultOwner,
		StorageClass:     "STANDARD",
		PartNumberMarker: after,
		MaxParts:         limit,
	}
	var numbers []int
	for n := range u.parts {
		if n > after {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	if len(numbers) > limit {
		numbers = numbers[:limit]
		res.IsTruncated = true
	}
	for _, n := range numbers {
		p := u.parts[n]
		res.Part = append(res.Part, objectapi.Part{
			PartNumber:   n,
			LastModified: objectapi.FormatTime(p.modified),
			ETag:         quoted(p.etag),
			Size:         p.blob.size,
		})
		res.NextPartNumberMarker = n
	}
	return xmlResponse(res), nil
}

// openUpload is an open upload with its ID.
type openUpload struct {
	id string
	*upload
}

// uploadsAfter returns the open uploads of a bucket that follow the markers of a request, sorted by key
// and upload ID. The caller must hold mu.
func (d *Dataset) uploadsAfter(op objectapi.Operation) []openUpload {
	prefix := op.Query.Get("prefix")
	keyMarker, idMarker := op.Query.Get("key-marker"), op.Query.Get("upload-id-marker")
	var all []openUpload
	for id, u := range d.uploads {
		after := u.key > keyMarker || u.key == keyMarker && idMarker != "" && id > idMarker
		if u.bucket == op.Bucket && strings.HasPrefix(u.key, prefix) && after {
			all = append(all, openUpload{id: id, upload: u})
		}
	}
	slices.SortFunc(all, func(a, b openUpload) int {
		return cmp.Or(strings.Compare(a.key, b.key), strings.Compare(a.id, b.id))
	})
	return all
}

// listUploads handles ListMultipartUploads: it responds with the open multipart uploads of a bucket.
func (d *Dataset) listUploads(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[op.Bucket] == nil {
		return response{}, errNoSuchBucket()
	}
	q, encode := op.Query, nameEncoder(op)
	limit := parseLimit(q.Get("max-uploads"), maxPageEntries)
	res := objectapi.ListMultipartUploadsResult{
		Bucket:         op.Bucket,
		KeyMarker:      encode(q.Get("key-marker")),
		UploadIDMarker: q.Get("upload-id-marker"),
		Prefix:         encode(q.Get("prefix")),
		Delimiter:      encode(q.Get("delimiter")),
		EncodingType:   q.Get("encoding-type"),
		MaxUploads:     limit,
	}
	for _, u := range d.uploadsAfter(op) {
		name, isPrefix := commonPrefix(u.key, q.Get("prefix"), q.Get("delimiter"))
		if isPrefix && (endsWithPrefix(res.CommonPrefixes, encode(name)) || name == q.Get("key-marker")) {
			continue
		}
		if len(res.Upload)+len(res.CommonPrefixes) == limit {
			res.IsTruncated = true
			break
		}
		res.NextKeyMarker = encode(name)
		if isPrefix {
			res.NextUploadIDMarker = ""
			res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: encode(name)})
			continue
		}
		res.NextUploadIDMarker = u.id
		res.Upload = append(res.Upload, objectapi.Upload{
			Key:          encode(u.key),
			UploadID:     u.id,
			Initiator:    objectapi.DefaultOwner,
			Owner:        objectapi.DefaultOwner,
			StorageClass: "STANDARD",
			Initiated:    objectapi.FormatTime(u.started),
		})
	}
	if !res.IsTruncated {
		res.NextKeyMarker = ""
		res.NextUploadIDMarker = ""
	}
	return xmlResponse(res), nil
}

func endsWithPrefix(prefixes []objectapi.CommonPrefix, name string) bool {
	return len(prefixes) > 0 && prefixes[len(prefixes)-1].Prefix == name
}
