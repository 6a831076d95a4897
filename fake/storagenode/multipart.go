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

// minPartSize is the minimum size of each part except the last, in bytes. The specification of the object API sets it.
const minPartSize = 5 << 20

// upload is an open multipart upload.
type upload struct {
	bucket  string
	key     string
	started time.Time
	header  map[string]string
	parts   map[int]*object // keyed by part number
}

func errNoSuchUpload() *objectapi.Error {
	return objectapi.NewError(objectapi.CodeNoSuchUpload,
		"The specified upload does not exist. It may have been aborted or completed.")
}

// upload returns the upload that an operation names.
func (d *Dataset) upload(op objectapi.Operation) (*upload, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lookupUpload(op)
}

// removeUpload removes the upload that an operation names.
func (d *Dataset) removeUpload(op objectapi.Operation) *objectapi.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookupUpload(op); err != nil {
		return err
	}
	id := op.Query.Get("uploadId")
	delete(d.uploads, id)
	d.appendJournal(journalEntry{What: entryEndUpload, ID: id})
	return nil
}

// lookupUpload returns the upload that an operation names. The caller must hold mu.
func (d *Dataset) lookupUpload(op objectapi.Operation) (*upload, *objectapi.Error) {
	if d.buckets[op.Bucket] == nil {
		return nil, errNoSuchBucket()
	}
	u := d.uploads[op.Query.Get("uploadId")]
	if u == nil || u.bucket != op.Bucket || u.key != op.Key {
		return nil, errNoSuchUpload()
	}
	return u, nil
}

func (d *Dataset) createUpload(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[op.Bucket] == nil {
		return response{}, errNoSuchBucket()
	}
	d.nextID++
	now := time.Now()
	id := fmt.Sprintf("%016x%08x", now.UnixNano(), d.nextID)
	u := &upload{
		bucket:  op.Bucket,
		key:     op.Key,
		started: now,
		header:  storedHeaders(r.Header),
		parts:   map[int]*object{},
	}
	d.uploads[id] = u
	d.appendJournal(journalEntry{What: entryUpload, Bucket: op.Bucket, Key: op.Key, ID: id, At: now, Header: u.header})
	return xmlResponse(objectapi.InitiateMultipartUploadResult{Bucket: op.Bucket, Key: op.Key, UploadID: id}), nil
}

func (d *Dataset) abortUpload(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	if err := d.removeUpload(op); err != nil {
		return response{}, err
	}
	return response{status: http.StatusNoContent}, nil
}

// putPart stores a part of the upload that an operation names.
func (d *Dataset) putPart(op objectapi.Operation, part *object) *objectapi.Error {
	u, err := d.upload(op)
	if err != nil {
		return err
	}
	n, _ := strconv.Atoi(op.Query.Get("partNumber"))
	d.mu.Lock()
	defer d.mu.Unlock()
	u.parts[n] = part
	d.appendJournal(journalEntry{What: entryPart, ID: op.Query.Get("uploadId"), Part: n, Object: part.record()})
	return nil
}

// copyPart stores a range of an existing object as a part of an upload.
func (d *Dataset) copyPart(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	src, err := d.copySource(op, r)
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
	defer func() { _ = body.Close() }() // closing files that were only read loses no data
	got, receiveErr := d.receive(body, br.length, "")
	if receiveErr != nil {
		return response{}, d.internalError(r.Header.Get(headerCopySource), receiveErr)
	}
	part := &object{blob: got.blob, etag: got.md5, modified: modified, header: src.header, parts: src.parts}
	res := objectapi.CopyPartResult{LastModified: objectapi.FormatTime(modified), ETag: quoted(part.etag)}
	return xmlResponse(res), d.putPart(op, part)
}

func (d *Dataset) completeUpload(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	body, err := readDocument(r)
	if err != nil {
		return response{}, err
	}
	listed, err := objectapi.ParseComplete(body)
	if err != nil {
		return response{}, err
	}
	u, err := d.upload(op)
	if err != nil {
		return response{}, err
	}
	parts, err := d.listedParts(u, listed)
	if err != nil {
		return response{}, err
	}
	obj := &object{modified: modificationTime(), header: u.header, blob: concatenate(parts), etag: multipartETag(parts)}
	for _, p := range parts {
		obj.parts = append(obj.parts, p.blob.size)
	}
	if err := d.put(op.Bucket, op.Key, obj, writeCondition(r)); err != nil {
		return response{}, err
	}
	_ = d.removeUpload(op) // a concurrent request may have removed the upload
	return xmlResponse(objectapi.CompleteMultipartUploadResult{
		Location: "/" + op.Bucket + "/" + op.Key,
		Bucket:   op.Bucket,
		Key:      op.Key,
		ETag:     quoted(obj.etag),
	}), nil
}

// listedParts returns the parts that a CompleteMultipartUpload request lists.
func (d *Dataset) listedParts(u *upload, listed []objectapi.CompletedPart) ([]*object, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var parts []*object
	for i, l := range listed {
		p := u.parts[l.PartNumber]
		if p == nil || p.etag != strings.Trim(l.ETag, `"`) {
			return nil, objectapi.NewError(objectapi.CodeInvalidPart, "One or more of the specified parts could not be found.")
		}
		if i < len(listed)-1 && p.blob.size < minPartSize {
			return nil, objectapi.NewError(objectapi.CodeEntityTooSmall,
				"Your proposed upload is smaller than the minimum allowed object size.")
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// multipartETag returns the entity tag of a multipart object. It consists of the MD5 sum of all the
// parts' MD5 sums and the number of parts.
func multipartETag(parts []*object) string {
	all := md5.New()
	for _, p := range parts {
		sum, _ := hex.DecodeString(p.etag)
		all.Write(sum)
	}
	return fmt.Sprintf("%x-%d", all.Sum(nil), len(parts))
}
