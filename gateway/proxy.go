package gateway

import (
	"net/http"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// forward sends the operation to a node of one shard, and passes the node's response to the client.
func (t *transaction) forward(r *http1.Request, shard dispatch.Shard, size int64) {
	kind := t.op.Kind
	d := t.newDispatchRequest(kind, t.volume, shard, t.op.Key, size)
	b := make([]byte, 0, headCapacity+len(t.buffered)/64)
	b = t.appendNodeHead(b, t.method, t.op.Bucket, t.op.Key, t.op.Query, d, kind.Writes(), "")
	b = appendForwardedHeaders(b, r.Headers)
	if kind.HasBody() || t.method == http.MethodPost {
		b = http1.AppendLength(b, int64(len(t.buffered)))
	}
	reads := kind == objectapi.GetObject
	t.startNodeRequest(&nodeRequest{
		method:      t.method,
		head:        b,
		body:        t.buffered,
		maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay,
		sink:        t,
		onResult:    t.respondResult,
		readsObject: reads,
		sizeUnknown: reads && size < 0,
	}, d)
}

// putObject sends an object, or a part of a multipart upload, to a node. It streams the body unless
// the body is already buffered.
func (t *transaction) putObject(r *http1.Request) {
	size := t.body.Length
	d := t.newDispatchRequest(t.op.Kind, t.volume, t.shard(), t.op.Key, size)
	b := make([]byte, 0, putHeadCapacity)
	b = t.appendNodeHead(b, http.MethodPut, t.op.Bucket, t.op.Key, t.op.Query, d, true, "")
	b = appendForwardedHeaders(b, r.Headers)
	request := &nodeRequest{
		method:      http.MethodPut,
		maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay,
		onResult:    t.respondResult,
	}
	trailer, trailing := t.body.TrailerChecksum()
	if t.bodyComplete {
		if trailing {
			b = http1.AppendHeader(b, trailer, t.body.Checksum.Value)
		}
		request.body = t.buffered
		request.head = http1.AppendLength(b, int64(len(t.buffered)))
		t.startNodeRequest(request, d)
		return
	}
	u := &upload{transaction: t, request: request, trailer: trailer, chunked: trailing || size < 0}
	t.upload = u
	if u.chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		if trailing {
			b = http1.AppendHeader(b, "Trailer", trailer)
		}
	} else {
		b = http1.AppendLength(b, size)
	}
	request.source = u
	request.head = b
	t.startNodeRequest(request, d)
}
