package gateway

import (
	"strings"

	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/payload"
)

// handle processes a request whose head has been read. If the request is invalid, not signed or not
// permitted, handle responds with an error and sends nothing to a node.
func (t *transaction) handle(r *http1.Request) {
	w := t.conn.worker
	g := w.gateway
	t.resource, _, _ = strings.Cut(string(r.Target), "?")
	if !r.None() { // a placeholder that marks the body as unread; receiveBody replaces it
		t.body = &payload.Body{}
	}
	op, err := objectapi.Parse(r, g.cfg.Domains)
	if err != nil {
		t.respondErrorCode(err)
		return
	}
	t.op = op
	auth, authErr := g.verifier.Verify(g.wallClock(), r)
	if authErr != nil {
		t.respondError(objectapi.NewError(authErr.Code, authErr.Message), authErr.Status)
		return
	}
	t.key = (*g.keys.Load())[auth.KeyID]
	if err := t.authorize(); err != nil {
		t.respondErrorCode(err)
		return
	}
	if err := checkUnsupportedHeaders(r.Headers); err != nil {
		t.respondErrorCode(err)
		return
	}
	if op.Bucket != "" && !t.enterVolume() {
		return
	}
	if !op.Kind.HasBody() {
		t.execute(r)
		return
	}
	t.receiveBody(r, auth)
}

// authorize checks whether the access key permits the operation on its bucket and, for a copy, on
// the source bucket.
func (t *transaction) authorize() *objectapi.Error {
	denied := objectapi.NewError(objectapi.CodeAccessDenied, "Access Denied")
	if t.key == nil || t.op.Kind.Writes() && !t.key.Write {
		return denied
	}
	if t.op.Bucket != "" && !t.key.mayAccess(t.op.Bucket) {
		return denied
	}
	if t.op.SourceBucket != "" && !t.key.mayAccess(t.op.SourceBucket) {
		return denied
	}
	return nil
}

// unsupportedPrefixes lists name prefixes of request headers that the gateway does not support.
var unsupportedPrefixes = [...]string{
	"x-amz-server-side-encryption", "x-amz-object-lock", "x-amz-grant-", "x-amz-copy-source-server-side",
}

// checkUnsupportedHeaders returns an error if a header requests a feature that the gateway does not
// support, such as encryption or locks. Ignoring such a header would store an object without the
// requested property.
func checkUnsupportedHeaders(hs http1.Headers) *objectapi.Error {
	for _, h := range hs {
		if !isAmzHeader(h.Name) {
			continue
		}
		name := strings.ToLower(string(h.Name))
		if isUnsupported(name, h.Value) {
			return objectapi.NewError(objectapi.CodeNotImplemented,
				"The header "+name+" asks for something that is not offered here.")
		}
		if name == "x-amz-storage-class" && string(h.Value) != "STANDARD" {
			return objectapi.NewError(objectapi.CodeInvalidStorageClass, "The storage class you specified is not valid.")
		}
	}
	return nil
}

// isUnsupported reports whether the gateway does not support a request header with this lower-case
// name and this value.
func isUnsupported(name string, value []byte) bool {
	switch name {
	case "x-amz-tagging", "x-amz-website-redirect-location", "x-amz-write-offset-bytes":
		return true
	case "x-amz-acl":
		return string(value) != "private" && string(value) != "bucket-owner-full-control"
	}
	for _, prefix := range unsupportedPrefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// enterVolume charges the connection's work to the volume of the request's bucket. If the bucket has
// no volume, or the volume's byte rate would delay the request for too long, enterVolume sends an
// error response and returns false.
func (t *transaction) enterVolume() bool {
	w := t.conn.worker
	if t.volume = w.volumeOf(t.op.Bucket); t.volume == nil {
		t.respondErrorCode(objectapi.NewError(objectapi.CodeNoSuchBucket, "No rule of this gateway's settings fits the bucket."))
		return false
	}
	t.conn.assignVolume(t.volume)
	if delay := w.rateLimitDelay(t.volume); delay > 0 {
		t.closeConn = t.closeConn || t.body != nil // the unread body makes the connection unusable
		t.respondSlowDown(delay)
		return false
	}
	return true
}

// execute starts the node requests of the operation. If the request has a body, the body has been
// buffered, or execute starts to stream it.
func (t *transaction) execute(r *http1.Request) {
	switch t.op.Kind {
	case objectapi.ListBuckets:
		t.listBuckets()
	case objectapi.CreateBucket:
		t.createBucket()
	case objectapi.DeleteBucket:
		t.deleteBucket()
	case objectapi.GetBucketLocation:
		t.getBucketLocation()
	case objectapi.HeadBucket, objectapi.GetBucketVersioning:
		t.forward(r, t.volume.placement.Shards()[0], 0)
	case objectapi.ListObjectsV1, objectapi.ListObjectsV2:
		t.listObjects()
	case objectapi.ListMultipartUploads:
		t.listMultipartUploads()
	case objectapi.DeleteObjects:
		t.deleteObjects()
	case objectapi.CopyObject, objectapi.UploadPartCopy:
		t.copyObject(r)
	case objectapi.PutObject, objectapi.UploadPart:
		t.putObject(r)
	case objectapi.GetObject:
		t.forward(r, t.shard(), rangeSize(r.Headers.Get("range")))
	default:
		t.forward(r, t.shard(), 0)
	}
}
