package gateway

import (
	"net/http"
	"strings"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// objectCopy copies an object from one shard to another: the response of a read is the body of a write.
// Each is a node request of its own.
type objectCopy struct {
	transaction *transaction
	request     *http1.Request
	read        *nodeRequest
	write       *nodeRequest
	source      *nodeConn // of the read, while it streams
	target      *nodeConn // of the write, once it has been sent
	length      int64     // of a streamed body, or unknownSize
	received    int64     // bytes of it
	pending     []byte    // received and not sent; the last byte until the source is complete
	writeDone   bool
}

// copyObject copies an object. Within a shard the node does it.
func (t *transaction) copyObject(r *http1.Request) {
	source := t.conn.worker.volumeOf(t.op.SourceBucket)
	if source == nil {
		t.respondErrorCode(objectapi.NewError(objectapi.CodeNoSuchBucket,
			"No rule of this gateway's settings fits the source's bucket."))
		return
	}
	from, to := source.placement.Shard(t.op.SourceKey), t.shard()
	if from == to {
		t.copyWithinShard(r, to)
		return
	}
	c := &objectCopy{transaction: t, request: &http1.Request{Headers: r.Headers.Clone()}}
	c.startRead(source, from)
}

func (t *transaction) copyWithinShard(r *http1.Request, shard dispatch.Shard) {
	d := t.newDispatchRequest(t.op.Kind, t.volume, shard, t.op.Key, unknownSize)
	b := make([]byte, 0, putHeadCapacity)
	b = t.appendNodeHead(b, http.MethodPut, t.op.Bucket, t.op.Key, t.op.Query, d, true, "")
	b = appendForwardedHeaders(b, r.Headers)
	b = http1.AppendHeader(b, "x-amz-copy-source", objectapi.EncodeName(t.op.SourceBucket+"/"+t.op.SourceKey))
	b = http1.AppendLength(b, 0)
	t.startNodeRequest(&nodeRequest{
		method:      http.MethodPut,
		head:        b,
		maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay,
		onResult:    t.respondResult,
	}, d)
}

// startRead starts the request that reads the source.
func (c *objectCopy) startRead(source *volume, shard dispatch.Shard) {
	t := c.transaction
	headers := c.request.Headers
	byteRange := headers.Get("x-amz-copy-source-range")
	d := t.newDispatchRequest(objectapi.GetObject, source, shard, t.op.SourceKey, rangeSize(byteRange))
	b := make([]byte, 0, headCapacity)
	b = t.appendNodeHead(b, http.MethodGet, t.op.SourceBucket, t.op.SourceKey, nil, d, false, "")
	for _, n := range [...]string{"if-match", "if-none-match", "if-modified-since", "if-unmodified-since"} {
		if v := headers.Get("x-amz-copy-source-" + n); v != nil {
			b = http1.AppendHeader(b, n, v)
		}
	}
	if byteRange != nil && t.op.Kind == objectapi.UploadPartCopy {
		b = http1.AppendHeader(b, "range", byteRange)
	}
	c.read = &nodeRequest{
		method:      http.MethodGet,
		head:        b,
		maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay,
		sink:        c,
		onResult:    c.onReadResult,
	}
	t.startNodeRequest(c.read, d)
}

// onReadResult starts the write of a buffered source, or ends that of a streamed one.
func (c *objectCopy) onReadResult(r nodeResult) {
	t := c.transaction
	t.removeNodeRequest(c.read)
	if t.responded {
		return
	}
	switch r.kind {
	case resultBuffered:
		c.onBufferedRead(r)
	case resultStreamed:
		c.source = nil
		c.endBody()
	case resultAborted: // the write must not complete
		c.source = nil
		if !c.writeDone {
			t.conn.worker.cancelRequest(c.write)
			t.respondFailure(false)
		}
	default:
		t.respondResult(r)
	}
}

func (c *objectCopy) onBufferedRead(r nodeResult) {
	t := c.transaction
	switch r.resp.Status {
	case http.StatusOK, http.StatusPartialContent:
		c.startWrite(r.resp, append([]byte(nil), r.body...), int64(len(r.body)), false)
	case http.StatusNotModified, http.StatusPreconditionFailed:
		t.respondErrorCode(objectapi.NewError(objectapi.CodePreconditionFailed,
			"At least one of the pre-conditions you specified did not hold"))
	default:
		t.respondResult(r)
	}
}

// responseHeaders starts the write of a streamed source. It implements responseSink.
func (c *objectCopy) responseHeaders(n *nodeConn, r *http1.Response) {
	c.source = n
	c.length = r.Length
	if r.Chunked || r.UntilClose {
		c.length = unknownSize
	}
	c.startWrite(r, nil, c.length, true)
}

// startWrite starts the request that stores the copy. resp is the read's response.
func (c *objectCopy) startWrite(resp *http1.Response, body []byte, size int64, stream bool) {
	t := c.transaction
	kind := objectapi.PutObject
	if t.op.Kind == objectapi.UploadPartCopy {
		kind = objectapi.UploadPart
	}
	d := t.newDispatchRequest(kind, t.volume, t.shard(), t.op.Key, size)
	b := make([]byte, 0, putHeadCapacity)
	b = t.appendNodeHead(b, http.MethodPut, t.op.Bucket, t.op.Key, t.op.Query, d, true, "")
	if strings.EqualFold(string(c.request.Headers.Get("x-amz-metadata-directive")), "REPLACE") {
		b = appendForwardedHeaders(b, c.request.Headers)
	} else if kind == objectapi.PutObject {
		b = appendMetadata(b, resp.Headers)
		for _, n := range [...]string{"if-match", "if-none-match"} {
			if v := c.request.Headers.Get(n); v != nil {
				b = http1.AppendHeader(b, n, v)
			}
		}
	}
	if size < 0 {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else {
		b = http1.AppendLength(b, size)
	}
	c.write = &nodeRequest{
		method:      http.MethodPut,
		head:        b,
		body:        body,
		maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay,
		onResult:    c.onWriteResult,
	}
	if stream {
		c.write.source = c
	}
	t.startNodeRequest(c.write, d)
}

// appendMetadata appends the headers of a response that describe the object itself.
func appendMetadata(b []byte, hs http1.Headers) []byte {
	for _, h := range hs {
		name := strings.ToLower(string(h.Name))
		switch name {
		case "content-type", "content-encoding", "content-disposition", "content-language", "cache-control", "expires":
		default:
			if !strings.HasPrefix(name, "x-amz-meta-") {
				continue
			}
		}
		b = http1.AppendHeader(b, name, h.Value)
	}
	return b
}

// startBody starts to stream to the node that stores the copy. It implements bodySource.
func (c *objectCopy) startBody(n *nodeConn) {
	c.target = n
	c.sendPending()
	if c.source != nil {
		c.source.resumeReading()
	} else {
		c.endBody()
	}
}

// bodyDrained continues after the target has read what was sent. It implements bodySource.
func (c *objectCopy) bodyDrained() {
	if c.source != nil {
		c.source.resumeReading()
	}
}

// responseData sends a part of the source to the target. Before the write has been sent it keeps the
// part and stops the source. It implements responseSink.
func (c *objectCopy) responseData(p []byte) bool {
	c.received += int64(len(p))
	if c.complete() { // the last byte is sent once the source is complete
		n := len(p) - 1
		c.send(p[:n])
		c.pending = append(c.pending, p[n])
		return true
	}
	c.send(p)
	return c.attached() && c.target.conn.Pending() == 0
}

// complete reports whether all bytes of a source of known length have been received.
func (c *objectCopy) complete() bool { return c.length >= 0 && c.received == c.length }

// attached reports whether the target still carries the write.
func (c *objectCopy) attached() bool { return c.target != nil && c.target.request == c.write }

// send sends a part of the body; it keeps the part if the write has not been sent, and drops it if the
// write has its result.
func (c *objectCopy) send(p []byte) {
	switch {
	case c.target == nil:
		c.pending = append(c.pending, p...)
	case !c.attached():
	case c.length < 0:
		c.target.conn.Write(http1.AppendChunk(nil, p))
	case len(p) > 0:
		c.target.conn.Write(p)
	}
}

// sendPending sends what was kept, without the last byte of the source.
func (c *objectCopy) sendPending() {
	p := c.pending
	c.pending = nil
	if c.complete() && len(p) > 0 {
		c.pending = append(c.pending, p[len(p)-1])
		p = p[:len(p)-1]
	}
	c.send(p)
}

// endBody ends the write's body after the source has ended complete.
func (c *objectCopy) endBody() {
	if !c.attached() {
		return
	}
	if c.length < 0 {
		c.target.conn.Write([]byte(http1.LastChunk))
	} else {
		c.target.conn.Write(c.pending)
	}
	c.pending = nil
	c.target.bodySent()
}

// onWriteResult responds to the client.
func (c *objectCopy) onWriteResult(r nodeResult) {
	t := c.transaction
	c.writeDone = true
	t.conn.worker.cancelRequest(c.read)
	if t.responded {
		return
	}
	if r.kind != resultBuffered || r.resp.Status != http.StatusOK {
		t.respondResult(r)
		return
	}
	etag := string(r.resp.Headers.Get("etag"))
	modified := objectapi.FormatTime(t.conn.worker.gateway.wallClock().Truncate(time.Second))
	if t.op.Kind == objectapi.UploadPartCopy {
		t.respondXML(objectapi.CopyPartResult{LastModified: modified, ETag: etag})
		return
	}
	t.respondXML(objectapi.CopyObjectResult{LastModified: modified, ETag: etag})
}
