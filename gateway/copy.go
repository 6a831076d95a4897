package gateway

import (
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"strings"
	"time"
)

// copying moves an object from one shard to another: a read whose answer's body is
// the body of a write. Each is a request of its own.
type copying struct {
	t      *transaction
	req    *http1.Request
	get    *call
	put    *call
	from   *nodeConn // the read's, while it streams
	to     *nodeConn // the write's, once it was sent
	length int64
	passed int64
	last   []byte
	given  bool // the write has its answer
}

// copyObject copies within a shard by the node itself, between shards through here.
func (t *transaction) copyObject(r *http1.Request) {
	l := t.conn.lane
	src := l.volumeOf(t.op.FromBucket)
	if src == nil {
		t.deny(objectapi.Errorf("NoSuchBucket", "No rule of this gateway's settings fits the source's bucket."))
		return
	}
	from, to := src.place.Shard(t.op.FromKey), t.shard()
	if from == to {
		req := t.price(t.op.Kind, t.vol, to, t.op.Key, -1)
		b := t.nodeHead(make([]byte, 0, 768), "PUT", t.op.Bucket, t.op.Key, t.op.Query, req, true, "")
		b = appendPassed(b, r.Headers)
		b = http1.AppendHeader(b, "x-amz-copy-source", objectapi.EncodeName(t.op.FromBucket+"/"+t.op.FromKey))
		b = http1.AppendLength(b, 0)
		t.call(&call{method: "PUT", head: b, collect: l.g.cfg.Limits.Replay, done: t.serve}, req)
		return
	}
	c := &copying{t: t, req: &http1.Request{Headers: r.Headers.Clone()}}
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
	c.get = &call{method: "GET", head: b, collect: l.g.cfg.Limits.Replay, sink: c, done: c.read}
	t.call(c.get, req)
}

// read goes on when the source's answer is there.
func (c *copying) read(r result) {
	t := c.t
	t.forgetCall(c.get)
	switch {
	case t.ended:
	case r.kind == answered && (r.resp.Status == 200 || r.resp.Status == 206):
		c.write(r.resp, append([]byte(nil), r.body...), int64(len(r.body)), false)
	case r.kind == answered && (r.resp.Status == 304 || r.resp.Status == 412):
		t.deny(objectapi.Errorf("PreconditionFailed", "At least one of the pre-conditions you specified did not hold"))
	case r.kind == streamed:
		c.from = nil
		c.flush()
	case r.kind == cut: // the write must not become whole
		c.from = nil
		if !c.given {
			t.conn.lane.drop(c.put)
			t.giveUp(false)
		}
	default:
		t.serve(r)
	}
}

// begin takes the head of a source that streams.
func (c *copying) begin(k *nodeConn, r *http1.Response) {
	c.from, c.length = k, r.Length
	if r.Chunked || r.UntilClose {
		c.length = -1
	}
	c.write(r, nil, c.length, true)
}

// write begins the request that stores the copy.
func (c *copying) write(r *http1.Response, body []byte, size int64, stream bool) {
	t := c.t
	kind := objectapi.PutObject
	if t.op.Kind == objectapi.UploadPartCopy {
		kind = objectapi.UploadPart
	}
	req := t.price(kind, t.vol, t.shard(), t.op.Key, size)
	b := t.nodeHead(make([]byte, 0, 768), "PUT", t.op.Bucket, t.op.Key, t.op.Query, req, true, "")
	if strings.EqualFold(string(c.req.Headers.Get("x-amz-metadata-directive")), "REPLACE") {
		b = appendPassed(b, c.req.Headers)
	} else if kind == objectapi.PutObject {
		b = appendMetadata(b, r.Headers)
		for _, n := range [...]string{"if-match", "if-none-match"} {
			if v := c.req.Headers.Get(n); v != nil {
				b = http1.AppendHeader(b, n, v)
			}
		}
	}
	c.put = &call{method: "PUT", body: body, collect: t.conn.lane.g.cfg.Limits.Replay, done: c.written}
	if stream {
		c.put.source = c
	}
	if size < 0 {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else {
		b = http1.AppendLength(b, size)
	}
	c.put.head = b
	t.call(c.put, req)
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

// start lets the source flow to the node that stores the copy.
func (c *copying) start(k *nodeConn) {
	c.to = k
	c.flushHeld()
	if c.from != nil {
		c.from.resume()
	} else {
		c.flush()
	}
}

func (c *copying) drained() {
	if c.from != nil {
		c.from.resume()
	}
}

// data takes a piece of the source. Before the write was sent it holds the first
// piece and stops the source; at most two reads are held so.
func (c *copying) data(p []byte) bool {
	c.passed += int64(len(p))
	if c.length >= 0 && c.passed == c.length { // the end waits for the source's own
		n := len(p) - 1
		c.send(p[:n])
		c.last = append(c.last, p[n])
		return true
	}
	c.send(p)
	return c.to != nil && c.to.call == c.put && c.to.c.Pending() == 0
}

func (c *copying) send(p []byte) {
	switch {
	case c.to == nil:
		c.last = append(c.last, p...)
	case c.to.call != c.put: // it has its answer
	case c.length < 0:
		c.to.c.Write(http1.AppendChunk(nil, p))
	case len(p) > 0:
		c.to.c.Write(p)
	}
}

func (c *copying) flushHeld() {
	p := c.last
	c.last = nil
	if c.length >= 0 && c.passed == c.length && len(p) > 0 {
		c.last = append(c.last, p[len(p)-1])
		p = p[:len(p)-1]
	}
	c.send(p)
}

// flush ends the write's body once the source has ended whole.
func (c *copying) flush() {
	if c.to == nil || c.to.call != c.put {
		return
	}
	if c.length < 0 {
		c.to.c.Write([]byte(http1.LastChunk))
	} else {
		c.to.c.Write(c.last)
	}
	c.last = nil
	c.to.sent()
}

// written answers for the copy.
func (c *copying) written(r result) {
	t := c.t
	c.given = true
	t.conn.lane.drop(c.get)
	if t.ended {
		return
	}
	if r.kind != answered || r.resp.Status != 200 {
		t.serve(r)
		return
	}
	etag := string(r.resp.Headers.Get("etag"))
	when := objectapi.FormatTime(t.conn.lane.g.wall().Truncate(time.Second))
	if t.op.Kind == objectapi.UploadPartCopy {
		t.document(200, objectapi.CopyPartResult{LastModified: when, ETag: etag})
		return
	}
	t.document(200, objectapi.CopyObjectResult{LastModified: when, ETag: etag})
}
