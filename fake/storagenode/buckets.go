package storagenode

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"chalkstand/internal/objectapi"
)

func errNoSuchBucket() *objectapi.Error {
	return objectapi.NewError(objectapi.CodeNoSuchBucket, "The specified bucket does not exist.")
}

func (d *Dataset) listBuckets(objectapi.Operation, *http.Request) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	res := objectapi.ListAllMyBucketsResult{Owner: objectapi.DefaultOwner}
	for name, b := range d.buckets {
		res.Buckets = append(res.Buckets, objectapi.Bucket{Name: name, CreationDate: objectapi.FormatTime(b.created)})
	}
	slices.SortFunc(res.Buckets, func(a, b objectapi.Bucket) int { return strings.Compare(a.Name, b.Name) })
	return xmlResponse(res), nil
}

func (d *Dataset) createBucket(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	if !d.AddBucket(op.Bucket, time.Now()) {
		return response{}, objectapi.NewError(objectapi.CodeBucketAlreadyOwnedByYou, "The bucket is there already and is yours.")
	}
	return response{status: http.StatusOK, header: map[string]string{"Location": "/" + op.Bucket}}, nil
}

func (d *Dataset) headBucket(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	if d.Objects(op.Bucket) < 0 {
		return response{}, errNoSuchBucket()
	}
	return response{status: http.StatusOK}, nil
}

func (d *Dataset) bucketLocation(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	if d.Objects(op.Bucket) < 0 {
		return response{}, errNoSuchBucket()
	}
	return xmlResponse(objectapi.LocationConstraint{}), nil
}

func (d *Dataset) bucketVersioning(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	if d.Objects(op.Bucket) < 0 {
		return response{}, errNoSuchBucket()
	}
	return xmlResponse(objectapi.VersioningConfiguration{}), nil
}

func (d *Dataset) deleteBucket(op objectapi.Operation, _ *http.Request) (response, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[op.Bucket]
	if b == nil {
		return response{}, errNoSuchBucket()
	}
	if len(b.objects) > 0 {
		return response{}, objectapi.NewError(objectapi.CodeBucketNotEmpty, "The bucket you tried to delete is not empty.")
	}
	delete(d.buckets, op.Bucket)
	d.appendJournal(journalEntry{What: entryDeleteBucket, Bucket: op.Bucket})
	return response{status: http.StatusNoContent}, nil
}

// Objects returns the number of objects in a bucket, or -1 if the bucket does not exist.
func (d *Dataset) Objects(bucket string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.buckets[bucket]; b != nil {
		return len(b.objects)
	}
	return -1
}

// AddBucket creates a bucket. It returns false if the bucket already exists.
func (d *Dataset) AddBucket(name string, created time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[name] != nil {
		return false
	}
	d.buckets[name] = newBucket(created)
	d.appendJournal(journalEntry{What: entryBucket, Bucket: name, At: created})
	return true
}
