package gateway

import (
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"strings"
	"time"
)

// objectCopy moves an object from one shard to another: a read whose answer's body is
// the body of a write. Each is a request of its own.
type objectCopy struct {
	transaction *transaction
	request     *http1.Request
	read        *nodeRequest
	write       *nodeRequest
	source      *nodeConn // the read's, while it streams
	target      *nodeConn // the write's, once it was sent
	length      int64
	received    int64
	pending     []byte
	writeDone   bool // the write has its answer
}

// copyObject copies within a shard by the node itself, between shards through here.
func (t *transaction) copyObject(r *http1.Request) {
	l := t.conn.worker
	src := l.volumeOf(t.op.FromBucket)
	if src == nil {
		t.respondErrorCode(objectapi.Errorf("NoSuchBucket", "No rule of this gateway's settings fits the source's bucket."))
		return
	}
	from, to := src.placement.Shard(t.op.FromKey), t.shard()
	if from == to {
		req := t.price(t.op.Kind, t.volume, to, t.op.Key, -1)
		b := t.nodeHead(make([]byte, 0, 768), "PUT", t.op.Bucket, t.op.Key, t.op.Query, req, true, "")
		b = appendForwardedHeaders(b, r.Headers)
		b = http1.AppendHeader(b, "x-amz-copy-source", objectapi.EncodeName(t.op.FromBucket+"/"+t.op.FromKey))
		b = http1.AppendLength(b, 0)
		t.startNodeRequest(&nodeRequest{method: "PUT", head: b, maxBuffered: l.gateway.cfg.Limits.Replay, onResult: t.respondResult}, req)
		return
	}
	c := &objectCopy{transaction: t, request: &http1.Request{Headers: r.Headers.Clone()}}
	req := t.price(objectapi.GetObject, src, from, t.op.FromKey, rangeSize(r.Headers.Get("x-amz-copy-source-range")))
	b := t.nodeHead(make([]byte, 0, 512), "GET", t.op.FromBucket, t.op.FromKey, nil, req, false, "")
	for _, n := range [...]string{"if-match", "if-none-match", "if-modified-since", "if-unmodified-since"} {
		if v := r.Headers.Get("x-amz-copy-source-" + n); v != nil {
			b = http1.AppendHeader(b, n, v)
		}
	}
	if v := r.Headers.Get("x-amz-copy-source-range"); v != nil && t.op.Kind == objectapi.UploadPartCopy {
		b = http1.AppendHeader(b, "range", v)
	}
	c.read = &nodeRequest{method: "GET", head: b, maxBuffered: l.gateway.cfg.Limits.Replay, sink: c, onResult: c.onReadResult}
	t.startNodeRequest(c.read, req)
}

// onReadResult goes on when the source's answer is there.
func (c *objectCopy) onReadResult(r nodeResult) {
	t := c.transaction
	t.removeNodeRequest(c.read)
	switch {
	case t.responded:
	case r.kind == resultBuffered && (r.resp.Status == 200 || r.resp.Status == 206):
		c.startWrite(r.resp, append([]byte(nil), r.body...), int64(len(r.body)), false)
	case r.kind == resultBuffered && (r.resp.Status == 304 || r.resp.Status == 412):
		t.respondErrorCode(objectapi.Errorf("PreconditionFailed", "At least one of the pre-conditions you specified did not hold"))
	case r.kind == resultStreamed:
		c.source = nil
		c.endBody()
	case r.kind == resultAborted: // the write must not become whole
		c.source = nil
		if !c.writeDone {
			t.conn.worker.cancelRequest(c.write)
			t.respondFailure(false)
		}
	default:
		t.respondResult(r)
	}
}

// responseHeaders takes the head of a source that streams.
func (c *objectCopy) responseHeaders(k *nodeConn, r *http1.Response) {
	c.source, c.length = k, r.Length
	if r.Chunked || r.UntilClose {
		c.length = -1
	}
	c.startWrite(r, nil, c.length, true)
}

// startWrite begins the request that stores the copy.
func (c *objectCopy) startWrite(r *http1.Response, body []byte, size int64, stream bool) {
	t := c.transaction
	kind := objectapi.PutObject
	if t.op.Kind == objectapi.UploadPartCopy {
		kind = objectapi.UploadPart
	}
	req := t.price(kind, t.volume, t.shard(), t.op.Key, size)
	b := t.nodeHead(make([]byte, 0, 768), "PUT", t.op.Bucket, t.op.Key, t.op.Query, req, true, "")
	if strings.EqualFold(string(c.request.Headers.Get("x-amz-metadata-directive")), "REPLACE") {
		b = appendForwardedHeaders(b, c.request.Headers)
	} else if kind == objectapi.PutObject {
		b = appendMetadata(b, r.Headers)
		for _, n := range [...]string{"if-match", "if-none-match"} {
			if v := c.request.Headers.Get(n); v != nil {
				b = http1.AppendHeader(b, n, v)
			}
		}
	}
	c.write = &nodeRequest{method: "PUT", body: body, maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay, onResult: c.onWriteResult}
	if stream {
		c.write.source = c
	}
	if size < 0 {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else {
		b = http1.AppendLength(b, size)
	}
	c.write.head = b
	t.startNodeRequest(c.write, req)
}

// appendMetadata passes on what a source's answer says of the object itself.
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

// startBody lets the source flow to the node that stores the copy.
func (c *objectCopy) startBody(k *nodeConn) {
	c.target = k
	c.sendPending()
	if c.source != nil {
		c.source.resumeReading()
	} else {
		c.endBody()
	}
}

func (c *objectCopy) bodyDrained() {
	if c.source != nil {
		c.source.resumeReading()
	}
}

// responseData takes a piece of the source. Before the write was sent it holds the first
// piece and stops the source; at most two reads are held so.
func (c *objectCopy) responseData(p []byte) bool {
	c.received += int64(len(p))
	if c.length >= 0 && c.received == c.length { // the end waits for the source's own
		n := len(p) - 1
		c.send(p[:n])
		c.pending = append(c.pending, p[n])
		return true
	}
	c.send(p)
	return c.target != nil && c.target.request == c.write && c.target.conn.Pending() == 0
}

func (c *objectCopy) send(p []byte) {
	switch {
	case c.target == nil:
		c.pending = append(c.pending, p...)
	case c.target.request != c.write: // it has its answer
	case c.length < 0:
		c.target.conn.Write(http1.AppendChunk(nil, p))
	case len(p) > 0:
		c.target.conn.Write(p)
	}
}

func (c *objectCopy) sendPending() {
	p := c.pending
	c.pending = nil
	if c.length >= 0 && c.received == c.length && len(p) > 0 {
		c.pending = append(c.pending, p[len(p)-1])
		p = p[:len(p)-1]
	}
	c.send(p)
}

// endBody ends the write's body once the source has ended whole.
func (c *objectCopy) endBody() {
	if c.target == nil || c.target.request != c.write {
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

// onWriteResult answers for the copy.
func (c *objectCopy) onWriteResult(r nodeResult) {
	t := c.transaction
	c.writeDone = true
	t.conn.worker.cancelRequest(c.read)
	if t.responded {
		return
	}
	if r.kind != resultBuffered || r.resp.Status != 200 {
		t.respondResult(r)
		return
	}
	etag := string(r.resp.Headers.Get("etag"))
	when := objectapi.FormatTime(t.conn.worker.gateway.wall().Truncate(time.Second))
	if t.op.Kind == objectapi.UploadPartCopy {
		t.respondXML(200, objectapi.CopyPartResult{LastModified: when, ETag: etag})
		return
	}
	t.respondXML(200, objectapi.CopyObjectResult{LastModified: when, ETag: etag})
}
