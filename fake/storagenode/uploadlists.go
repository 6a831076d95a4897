package storagenode

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"chalkstand/internal/objectapi"
)

// listParts responds with the parts of an upload.
func (d *Dataset) listParts(o objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	u, err := d.upload(o)
	if err != nil {
		return response{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	limit, after := parseLimit(o.Query.Get("max-parts"), maxListed), 0
	if m := o.Query.Get("part-number-marker"); m != "" {
		after = parseLimit(m, objectapi.MaxPart)
	}
	res := objectapi.ListPartsResult{
		Bucket:           o.Bucket,
		Key:              o.Key,
		UploadID:         o.Query.Get("uploadId"),
		Initiator:        objectapi.TheOwner,
		Owner:            objectapi.TheOwner,
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

// openUpload is an upload in a list.
type openUpload struct {
	id string
	*upload
}

// uploadsAfter returns a bucket's uploads after the markers of a request, in order. It is called
// with mu held.
func (d *Dataset) uploadsAfter(o objectapi.Operation) []openUpload {
	prefix := o.Query.Get("prefix")
	keyMarker, idMarker := o.Query.Get("key-marker"), o.Query.Get("upload-id-marker")
	var all []openUpload
	for id, u := range d.uploads {
		after := u.key > keyMarker || u.key == keyMarker && idMarker != "" && id > idMarker
		if u.bucket == o.Bucket && strings.HasPrefix(u.key, prefix) && after {
			all = append(all, openUpload{id: id, upload: u})
		}
	}
	slices.SortFunc(all, func(a, b openUpload) int {
		return cmp.Or(strings.Compare(a.key, b.key), strings.Compare(a.id, b.id))
	})
	return all
}

// listUploads responds with the open multipart uploads of a bucket.
func (d *Dataset) listUploads(o objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[o.Bucket] == nil {
		return response{}, errNoSuchBucket()
	}
	q, encode := o.Query, nameEncoder(o)
	limit := parseLimit(q.Get("max-uploads"), maxListed)
	res := objectapi.ListMultipartUploadsResult{
		Bucket:         o.Bucket,
		KeyMarker:      encode(q.Get("key-marker")),
		UploadIDMarker: q.Get("upload-id-marker"),
		Prefix:         encode(q.Get("prefix")),
		Delimiter:      encode(q.Get("delimiter")),
		EncodingType:   q.Get("encoding-type"),
		MaxUploads:     limit,
	}
	for _, u := range d.uploadsAfter(o) {
		name, isPrefix := rollUp(u.key, q.Get("prefix"), q.Get("delimiter"))
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
			Initiator:    objectapi.TheOwner,
			Owner:        objectapi.TheOwner,
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
