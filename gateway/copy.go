package gateway

import (
	"net/http"
	"strings"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// objectCopy copies an object from one shard to another. It uses two node requests: the response body
// of the read request is the request body of the write request.
type objectCopy struct {
	transaction *transaction
	request     *http1.Request
	read        *nodeRequest
	write       *nodeRequest
	source      *nodeConn // connection that streams the read's response; nil if none streams
	target      *nodeConn // connection of the write; nil until the write's head has been sent
	length      int64     // length of a streamed body, or unknownSize
	received    int64     // bytes of the streamed body received so far
	pending     []byte    // bytes received but not sent; includes the last byte until the read is complete
	writeDone   bool      // the write has its result
}

// copyObject copies an object. If the source and the target are on the same shard, the node copies the
// object itself. Otherwise the gateway copies it with an objectCopy.
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

// copyWithinShard sends the copy request to a node of the shard that holds both source and target.
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

// startRead starts the node request that reads the source object.
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

// onReadResult handles the result of the read. If the source is buffered, it starts the write. If the
// source was streamed, it ends the body of the write, or cancels the write of an incomplete source.
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
	case resultAborted: // the source is incomplete, so the write must not complete
		c.source = nil
		if !c.writeDone {
			t.conn.worker.cancelRequest(c.write)
			t.respondFailure(false)
		}
	default:
		t.respondResult(r)
	}
}

// onBufferedRead starts the write of a source that was read completely, or responds with the error
// that the node returned.
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

// responseHeaders starts the write of a source whose body is streamed. It implements responseSink.
func (c *objectCopy) responseHeaders(n *nodeConn, r *http1.Response) {
	c.source = n
	c.length = r.Length
	if r.Chunked || r.UntilClose {
		c.length = unknownSize
	}
	c.startWrite(r, nil, c.length, true)
}

// startWrite starts the node request that stores the copy. The parameter resp is the response of the
// read. If stream is true, the body follows as the source streams it.
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

// appendMetadata appends those headers of the read's response that describe the object itself.
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

// startBody starts to stream the body to the node that stores the copy. It implements bodySource.
func (c *objectCopy) startBody(n *nodeConn) {
	c.target = n
	c.sendPending()
	if c.source != nil {
		c.source.resumeReading()
	} else {
		c.endBody()
	}
}

// bodyDrained resumes reading the source once the kernel has accepted all bytes written to the target.
// It implements bodySource.
func (c *objectCopy) bodyDrained() {
	if c.source != nil {
		c.source.resumeReading()
	}
}

// responseData sends a part of the source to the target. Until the write's head has been sent, it keeps
// the part and stops reading the source. It implements responseSink.
func (c *objectCopy) responseData(p []byte) bool {
	c.received += int64(len(p))
	if c.complete() { // endBody sends the last byte once the read has succeeded
		n := len(p) - 1
		c.send(p[:n])
		c.pending = append(c.pending, p[n])
		return true
	}
	c.send(p)
	return c.connCarriesWrite() && c.target.conn.BufferedOutput() == 0
}

// complete reports whether the source has a known length and all of its bytes have been received.
func (c *objectCopy) complete() bool { return c.length >= 0 && c.received == c.length }

// connCarriesWrite reports whether the target connection carries the write. It is false before the write's head
// has been sent and after the write has its result.
func (c *objectCopy) connCarriesWrite() bool { return c.target != nil && c.target.request == c.write }

// send sends a part of the body to the target. If the write's head has not been sent, it keeps the part
// for sendPending. If the write already has its result, it drops the part.
func (c *objectCopy) send(p []byte) {
	switch {
	case c.target == nil:
		c.pending = append(c.pending, p...)
	case !c.connCarriesWrite():
	case c.length < 0:
		c.target.conn.Write(http1.AppendChunk(nil, p))
	case len(p) > 0:
		c.target.conn.Write(p)
	}
}

// sendPending sends the kept bytes to the target, except for the last byte of the source. The last byte
// stays in pending until endBody.
func (c *objectCopy) sendPending() {
	p := c.pending
	c.pending = nil
	if c.complete() && len(p) > 0 {
		c.pending = append(c.pending, p[len(p)-1])
		p = p[:len(p)-1]
	}
	c.send(p)
}

// endBody ends the body of the write after the source has been read completely. It sends the last chunk,
// or the last byte if the length is known.
func (c *objectCopy) endBody() {
	if !c.connCarriesWrite() {
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

// onWriteResult handles the result of the write. It cancels the read, in case it has not ended, and
// responds to the client.
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
