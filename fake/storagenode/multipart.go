package storagenode

import (
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkstand/internal/objectapi"
)

// minPart is the smallest size of a part that is not the last, by the specification, in bytes.
const minPart = 5 << 20

// upload is an open multipart upload.
type upload struct {
	bucket  string
	key     string
	started time.Time
	header  map[string]string
	parts   map[int]*object
}

func errNoSuchUpload() *objectapi.Error {
	return objectapi.NewError(objectapi.CodeNoSuchUpload,
		"The specified upload does not exist. It may have been aborted or completed.")
}

// upload returns the upload that an operation names.
func (d *Dataset) upload(o objectapi.Operation) (*upload, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lookupUpload(o)
}

// removeUpload removes the upload that an operation names.
func (d *Dataset) removeUpload(o objectapi.Operation) *objectapi.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookupUpload(o); err != nil {
		return err
	}
	id := o.Query.Get("uploadId")
	delete(d.uploads, id)
	d.appendJournal(journalEntry{What: entryEndUpload, ID: id})
	return nil
}

// lookupUpload is called with mu held.
func (d *Dataset) lookupUpload(o objectapi.Operation) (*upload, *objectapi.Error) {
	if d.buckets[o.Bucket] == nil {
		return nil, errNoSuchBucket()
	}
	u := d.uploads[o.Query.Get("uploadId")]
	if u == nil || u.bucket != o.Bucket || u.key != o.Key {
		return nil, errNoSuchUpload()
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
	u := &upload{
		bucket:  o.Bucket,
		key:     o.Key,
		started: now,
		header:  storedHeaders(r.Header),
		parts:   map[int]*object{},
	}
	d.uploads[id] = u
	d.appendJournal(journalEntry{What: entryUpload, Bucket: o.Bucket, Key: o.Key, ID: id, At: now, Header: u.header})
	return xmlResponse(objectapi.InitiateMultipartUploadResult{Bucket: o.Bucket, Key: o.Key, UploadID: id}), nil
}

func (d *Dataset) abortUpload(o objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	if err := d.removeUpload(o); err != nil {
		return response{}, err
	}
	return response{status: http.StatusNoContent}, nil
}

// putPart stores a part of the upload that an operation names.
func (d *Dataset) putPart(o objectapi.Operation, part *object) *objectapi.Error {
	u, err := d.upload(o)
	if err != nil {
		return err
	}
	n, _ := strconv.Atoi(o.Query.Get("partNumber"))
	d.mu.Lock()
	defer d.mu.Unlock()
	u.parts[n] = part
	d.appendJournal(journalEntry{What: entryPart, ID: o.Query.Get("uploadId"), Part: n, Object: part.record()})
	return nil
}

// copyPart stores a range of another object as a part.
func (d *Dataset) copyPart(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	src, err := d.copySource(o, r)
	if err != nil {
		return response{}, err
	}
	modified := modificationTime()
	br := byteRange{length: src.blob.size}
	if v := r.Header.Get(headerCopySourceRange); v != "" {
		var result rangeResult
		if br, result = parseRange(v, src.blob.size); result != rangeValid {
			return response{}, objectapi.NewError(objectapi.CodeInvalidArgument,
				"The x-amz-copy-source-range value must be of the form bytes=first-last")
		}
	}
	body, openErr := src.blob.open(br.offset, br.length)
	if openErr != nil {
		return response{}, d.internalError(r.Header.Get(headerCopySource), openErr)
	}
	defer func() { _ = body.Close() }() // it was only read
	got, receiveErr := d.receive(body, br.length, "")
	if receiveErr != nil {
		return response{}, d.internalError(r.Header.Get(headerCopySource), receiveErr)
	}
	part := &object{blob: got.blob, etag: got.md5, modified: modified, header: src.header, parts: src.parts}
	res := objectapi.CopyPartResult{LastModified: objectapi.FormatTime(modified), ETag: quoted(part.etag)}
	return xmlResponse(res), d.putPart(o, part)
}

func (d *Dataset) completeUpload(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	body, err := readDocument(r)
	if err != nil {
		return response{}, err
	}
	listed, err := objectapi.ParseComplete(body)
	if err != nil {
		return response{}, err
	}
	u, err := d.upload(o)
	if err != nil {
		return response{}, err
	}
	parts, err := d.listedParts(u, listed)
	if err != nil {
		return response{}, err
	}
	ob := &object{modified: modificationTime(), header: u.header, blob: concatenate(parts), etag: multipartETag(parts)}
	for _, p := range parts {
		ob.parts = append(ob.parts, p.blob.size)
	}
	if err := d.put(o.Bucket, o.Key, ob, writeCondition(r)); err != nil {
		return response{}, err
	}
	_ = d.removeUpload(o) // a concurrent request may have removed it
	return xmlResponse(objectapi.CompleteMultipartUploadResult{
		Location: "/" + o.Bucket + "/" + o.Key,
		Bucket:   o.Bucket,
		Key:      o.Key,
		ETag:     quoted(ob.etag),
	}), nil
}

// listedParts returns the parts that a completion lists.
func (d *Dataset) listedParts(u *upload, listed []objectapi.CompletedPart) ([]*object, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var parts []*object
	for i, l := range listed {
		p := u.parts[l.PartNumber]
		if p == nil || p.etag != strings.Trim(l.ETag, `"`) {
			return nil, objectapi.NewError(objectapi.CodeInvalidPart, "One or more of the specified parts could not be found.")
		}
		if i < len(listed)-1 && p.blob.size < minPart {
			return nil, objectapi.NewError(objectapi.CodeEntityTooSmall,
				"Your proposed upload is smaller than the minimum allowed object size.")
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// multipartETag returns the entity tag of an object of several parts: the MD5 of their MD5 sums and
// their number.
func multipartETag(parts []*object) string {
	all := md5.New()
	for _, p := range parts {
		sum, _ := hex.DecodeString(p.etag)
		all.Write(sum)
	}
	return fmt.Sprintf("%x-%d", all.Sum(nil), len(parts))
}
