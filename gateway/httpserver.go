package gateway

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/payload"
	"chalkstand/internal/sigv4"
	"chalkstand/overload"
	"chalkstand/placement"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// volume is a bucket as the settings see it.
type volume struct {
	name        string
	plan        int
	rate        float64
	dispatchers int
	placement   *placement.Volume
	flow        *eventloop.Flow // its share of the lane's loop
	flowConfig  fairshare.FlowConfig
	overload    *overload.Controller // of the lane's loop, by what it has to do for this volume
}

// maxVolumes bounds a lane's memory of volumes; it is made anew when it is full.
const maxVolumes = 4096

// volumeOf finds a bucket's volume; nil when no rule of the settings fits it.
func (l *loopWorker) volumeOf(bucket string) *volume {
	if v := l.volumes[bucket]; v != nil {
		return v
	}
	s := l.gateway.cfg
	i := s.BucketRule(bucket)
	if i < 0 {
		return nil
	}
	if len(l.volumes) >= maxVolumes {
		clear(l.volumes)
	}
	v := &volume{name: strings.Clone(bucket), plan: s.Plan(i), dispatchers: s.Hosts(i), placement: l.gateway.shards.Volume(bucket, s.Buckets[i].Spread)}
	v.rate = s.Plans[v.plan].Rate
	v.flowConfig = s.Terms(i)
	v.flow = l.loop.Flow(v.name, v.flowConfig, l.gateway.usage.shared(v.name, s))
	v.overload = l.newOverloadController()
	l.volumes[v.name] = v
	return v
}

// maxObject is the largest object of one PUT, by the specification.
const maxObject = 5 << 30

// handle takes a request whose head was read. Nothing reaches a node from one that
// is not understood, not signed, or not allowed.
func (t *transaction) handle(r *http1.Request) {
	l := t.conn.worker
	g := l.gateway
	rawPath, _, _ := strings.Cut(string(r.Target), "?")
	t.resource = rawPath
	if !r.None() { // until it has come in
		t.body = &payload.Body{}
	}
	op, err := objectapi.Parse(r, g.cfg.Domains)
	if err != nil {
		t.respondErrorCode(err)
		return
	}
	t.op = op
	auth, aerr := g.verifier.Verify(g.wall(), r)
	if aerr != nil {
		t.respondError(objectapi.Errorf(aerr.Code, aerr.Message), aerr.Status)
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
	if op.Bucket != "" {
		if t.volume = l.volumeOf(op.Bucket); t.volume == nil {
			t.respondErrorCode(objectapi.Errorf("NoSuchBucket", "No rule of this gateway's settings fits the bucket."))
			return
		}
		t.conn.assignVolume(t.volume)
		if wait := l.rateLimitDelay(t.volume); wait > 0 {
			t.closeConn = t.closeConn || t.body != nil // it is not waited for
			t.respondSlowDown(wait)
			return
		}
	}
	if !op.Kind.HasBody() {
		t.execute(r)
		return
	}
	t.receiveBody(r, auth)
}

// authorize checks the rights of the key.
func (t *transaction) authorize() *objectapi.Error {
	denied := objectapi.Errorf("AccessDenied", "Access Denied")
	if t.key == nil || t.op.Kind.Writes() && !t.key.Write {
		return denied
	}
	if t.op.Bucket != "" && !t.key.mayAccess(t.op.Bucket) || t.op.FromBucket != "" && !t.key.mayAccess(t.op.FromBucket) {
		return denied
	}
	return nil
}

func (k *accessKey) mayAccess(bucket string) bool {
	return slices.ContainsFunc(k.Buckets, func(p string) bool { ok, _ := path.Match(p, bucket); return ok })
}

// checkUnsupportedHeaders refuses what would change an object's meaning if it were ignored.
func checkUnsupportedHeaders(hs http1.Headers) *objectapi.Error {
	for _, h := range hs {
		if len(h.Name) < 9 || !http1.EqualFold(h.Name[:6], "x-amz-") {
			continue
		}
		n := strings.ToLower(string(h.Name))
		switch {
		case strings.HasPrefix(n, "x-amz-server-side-encryption"), strings.HasPrefix(n, "x-amz-object-lock"), n == "x-amz-tagging",
			strings.HasPrefix(n, "x-amz-grant-"), n == "x-amz-website-redirect-location", strings.HasPrefix(n, "x-amz-copy-source-server-side"),
			n == "x-amz-acl" && string(h.Value) != "private" && string(h.Value) != "bucket-owner-full-control",
			n == "x-amz-write-offset-bytes":
			return objectapi.Errorf("NotImplemented", "The header "+n+" asks for something that is not offered here.")
		case n == "x-amz-storage-class" && string(h.Value) != "STANDARD":
			return objectapi.Errorf("InvalidStorageClass", "The storage class you specified is not valid.")
		}
	}
	return nil
}

// receiveBody gets the request's body in, or lets it stream through.
func (t *transaction) receiveBody(r *http1.Request, auth *sigv4.Auth) {
	c, lim := t.conn, t.conn.worker.gateway.cfg.Limits
	if !r.HasLength && !r.Chunked && t.op.Kind != objectapi.CreateBucket {
		t.respondErrorCode(objectapi.Errorf("MissingContentLength", "You must provide the Content-Length HTTP header."))
		return
	}
	body, err := payload.New(r, auth)
	if err != nil {
		t.closeConn = t.closeConn || !r.None()
		t.respondErrorCode(err)
		return
	}
	t.body = body
	most := int64(lim.Document)
	if t.op.Kind.Streams() {
		most = maxObject
	}
	if body.Length > most {
		t.respondErrorCode(objectapi.Errorf("EntityTooLarge", "Your proposed upload exceeds the maximum allowed size."))
		return
	}
	if t.op.Kind.Streams() && (body.Length < 0 || body.Length > int64(lim.Replay)) {
		t.execute(r)
		return
	}
	// What the request's head says must outlast the buffer that it was read from.
	req := &http1.Request{Method: []byte(t.method), Target: []byte(string(r.Target)), Headers: r.Headers.Clone()}
	t.onBody = func(t *transaction) { t.execute(req) }
	if body.Length > 0 {
		t.buffered = make([]byte, 0, body.Length)
	}
	t.sendContinue()
	c.setState(stateBufferingBody)
	t.enterComponent(attribution.RequestBody)
	if r.None() {
		c.bufferBody(nil)
	}
}

// execute starts what an operation needs of nodes.
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

// shard is that of the operation's object.
func (t *transaction) shard() dispatch.Shard { return t.volume.placement.Shard(t.op.Key) }

// rangeSize returns how many bytes a range asks for, -1 where its head does not say.
func rangeSize(v []byte) int64 {
	if v == nil {
		return -1
	}
	s, ok := strings.CutPrefix(string(v), "bytes=")
	first, last, dash := strings.Cut(s, "-")
	z, err := strconv.ParseInt(last, 10, 64)
	if !ok || !dash || err != nil || z < 0 {
		return -1
	}
	if first == "" {
		return z
	}
	a, err := strconv.ParseInt(first, 10, 64)
	if err != nil || a < 0 || a > z || z == math.MaxInt64 {
		return -1
	}
	return z - a + 1
}

// price makes the request that the dispatcher is asked about.
func (t *transaction) price(kind objectapi.Kind, v *volume, shard dispatch.Shard, key string, size int64) dispatch.Request {
	s := t.conn.worker.gateway
	p := s.costs.Of(kind, size)
	class := &s.cfg.Classes[p.Class]
	r := dispatch.Request{Class: p.Class, Shard: shard, Units: p.Units, Timeout: class.Deadline.D()}
	if v != nil {
		r.Plan, r.Volume, r.Dispatchers = v.plan, dispatch.VolumeID(v.name), v.dispatchers
	} else {
		r.Volume, r.Dispatchers = "/", s.cfg.Peers // what belongs to no bucket
	}
	if class.InTurn && key != "" {
		r.Key = string(r.Volume) + "/" + key
	}
	return r
}

// nodeHead writes the head of a request to a node, without the attempt's line.
func (t *transaction) nodeHead(b []byte, method, bucket, key string, q objectapi.Query, r dispatch.Request, writes bool, part string) []byte {
	b = append(append(b, method...), " /"...)
	b = sigv4.AppendEscape(b, bucket, false)
	if key != "" {
		b = sigv4.AppendEscape(append(b, '/'), key, true)
	}
	sep := byte('?')
	for _, p := range q {
		if strings.HasPrefix(p.Name, "X-Amz-") || p.Name == "x-id" {
			continue
		}
		b = sigv4.AppendEscape(append(b, sep), p.Name, false)
		if sep = '&'; p.Value != "" {
			b = sigv4.AppendEscape(append(b, '='), p.Value, false)
		}
	}
	b = append(b, " HTTP/1.1\r\nHost: node\r\nx-chalkstand-volume: "...)
	b = append(b, r.Volume...)
	b = append(b, "\r\nx-chalkstand-units: "...)
	b = strconv.AppendFloat(b, r.Units, 'g', 6, 64)
	b = append(b, "\r\n"...)
	if writes {
		b = append(b, "x-chalkstand-key: "...)
		b = append(b, t.conn.worker.gateway.core.nonce...)
		b = append(append(b, t.id...), part...)
		b = append(b, "\r\n"...)
	}
	return b
}

// forwardedHeaders are the request headers that go on to a node, beside those of x-amz-.
var forwardedHeaders = []string{
	"content-type", "content-encoding", "content-disposition", "content-language", "cache-control", "expires",
	"range", "if-match", "if-none-match", "if-modified-since", "if-unmodified-since", "if-range", "content-md5",
}

// gatewayHeaders are headers of x-amz- that speak to the gateway.
var gatewayHeaders = []string{
	"x-amz-date", "x-amz-content-sha256", "x-amz-security-token", "x-amz-decoded-content-length", "x-amz-trailer",
	"x-amz-copy-source", "x-amz-acl",
}

func appendForwardedHeaders(b []byte, hs http1.Headers) []byte {
	for _, h := range hs {
		is := func(n string) bool { return http1.EqualFold(h.Name, n) }
		amz := len(h.Name) > 6 && http1.EqualFold(h.Name[:6], "x-amz-")
		if amz && slices.ContainsFunc(gatewayHeaders, is) || !amz && !slices.ContainsFunc(forwardedHeaders, is) {
			continue
		}
		v := h.Value
		if is("content-encoding") {
			if v = withoutAWSChunked(v); len(v) == 0 {
				continue
			}
		}
		b = append(append(append(append(b, h.Name...), ": "...), v...), "\r\n"...)
	}
	return b
}

// withoutAWSChunked takes aws-chunked out of a list of codings: it ends here.
func withoutAWSChunked(v []byte) []byte {
	var out []string
	for c := range strings.SplitSeq(string(v), ",") {
		if c = strings.TrimSpace(c); c != "" && !strings.EqualFold(c, "aws-chunked") {
			out = append(out, c)
		}
	}
	return []byte(strings.Join(out, ", "))
}

// forward sends an operation to the node of one shard and serves its answer.
func (t *transaction) forward(r *http1.Request, shard dispatch.Shard, size int64) {
	kind := t.op.Kind
	req := t.price(kind, t.volume, shard, t.op.Key, size)
	b := make([]byte, 0, 512+len(t.buffered)/64)
	b = t.nodeHead(b, t.method, t.op.Bucket, t.op.Key, t.op.Query, req, kind.Writes(), "")
	b = appendForwardedHeaders(b, r.Headers)
	if kind.HasBody() || t.method == "POST" {
		b = http1.AppendLength(b, int64(len(t.buffered)))
	}
	k := &nodeRequest{method: t.method, head: b, body: t.buffered, maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay, sink: t, onResult: t.respondResult}
	k.readsObject = kind == objectapi.GetObject
	k.sizeUnknown = k.readsObject && size < 0
	t.startNodeRequest(k, req)
}

// putObject stores an object or a part.
func (t *transaction) putObject(r *http1.Request) {
	kind := t.op.Kind
	size := t.body.Length
	req := t.price(kind, t.volume, t.shard(), t.op.Key, size)
	b := t.nodeHead(make([]byte, 0, 768), "PUT", t.op.Bucket, t.op.Key, t.op.Query, req, true, "")
	b = appendForwardedHeaders(b, r.Headers)
	k := &nodeRequest{method: "PUT", maxBuffered: t.conn.worker.gateway.cfg.Limits.Replay, onResult: t.respondResult}
	trailer, trailing := t.body.Trailing()
	if t.bodyComplete {
		if trailing {
			b = http1.AppendHeader(b, trailer, t.body.Checksum.Value)
		}
		k.body = t.buffered
		b = http1.AppendLength(b, int64(len(t.buffered)))
	} else {
		u := &upload{transaction: t, request: k, trailer: trailer, chunked: trailing || size < 0}
		if t.upload = u; u.chunked {
			b = append(b, "Transfer-Encoding: chunked\r\n"...)
			if trailing {
				b = http1.AppendHeader(b, "Trailer", trailer)
			}
		} else {
			b = http1.AppendLength(b, size)
		}
		k.source = u
	}
	k.head = b
	t.startNodeRequest(k, req)
}

// startNodeRequest begins a request of this transaction to a node.
func (t *transaction) startNodeRequest(k *nodeRequest, r dispatch.Request) {
	if t.volume != nil {
		k.volumeRate = t.volume.rate
	}
	t.nodeRequests = append(t.nodeRequests, k)
	k.transaction, t.usedNodes = t, true
	t.openRequests++
	if t.conn.state == stateReading || t.conn.state == stateBufferingBody {
		t.conn.setState(stateWaiting)
	}
	t.conn.worker.startRequest(k, r)
}

// respondResult gives a call's result as the transaction's answer.
func (t *transaction) respondResult(r nodeResult) {
	if t.responded {
		return
	}
	switch r.kind {
	case resultBuffered:
		t.proxyResponse(r)
	case resultStreamed:
		t.streamEnded(false)
	case resultAborted:
		t.streamEnded(true)
	case resultRejected:
		t.respondSlowDown(r.retryAfter)
	case resultFailed:
		t.respondFailure(r.timedOut)
	}
}

// proxyResponse passes on a node's whole answer.
func (t *transaction) proxyResponse(r nodeResult) {
	if t.responded || t.headersSent {
		return
	}
	b := t.appendHead(r.resp.Status)
	b = appendNodeHeaders(b, r.resp.Headers)
	switch {
	case t.headOnly: // the length of what a GET would bring
		if v := r.resp.Headers.Get("content-length"); v != nil {
			b = http1.AppendHeader(b, "Content-Length", v)
		}
	case r.resp.Status != 204 && r.resp.Status != 304:
		b = http1.AppendLength(b, int64(len(r.body)))
	}
	b = append(b, "\r\n"...)
	if !t.headOnly {
		b = append(b, r.body...)
	}
	t.conn.worker.scratch = b[:0]
	t.headersSent = true
	t.conn.conn.Write(b)
	t.finish()
}

// logAccess writes a line for a request that has its answer.
func (g *Gateway) logAccess(t *transaction) {
	if !g.cfg.Log.Access {
		return
	}
	g.log.Info("request", zap.String("id", t.id), zap.Stringer("op", t.op.Kind), zap.String("bucket", t.op.Bucket), zap.String("key", t.op.Key),
		zap.Int("status", t.status), zap.Duration("took", time.Since(t.started)))
}
