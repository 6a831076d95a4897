package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"encoding/base64"
	"encoding/xml"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Operations that touch several shards: each shard's part is a request of its own,
// with its own answer; the client's answer says the whole.

// shardResponse is what one shard answered.
type shardResponse struct {
	shard dispatch.Shard
	nodeResult
	status   int
	document []byte
}

// scatter sends one request for each shard, a few at a time, and goes on when all have
// their answers.
func (t *transaction) scatter(shards []dispatch.Shard, ask func(i int, s dispatch.Shard) (*nodeRequest, dispatch.Request), done func([]shardResponse)) {
	parts := make([]shardResponse, len(shards))
	next, open, inside := 0, 0, false
	var more func()
	more = func() {
		if inside { // an answer that came at once: the loop below goes on
			return
		}
		inside = true
		for next < len(shards) && open < t.conn.worker.gateway.cfg.Limits.FanOut && !t.responded {
			i := next
			next, open = next+1, open+1
			k, r := ask(i, shards[i])
			k.onResult = func(res nodeResult) {
				open--
				p := &parts[i]
				p.shard, p.nodeResult = shards[i], res
				if res.kind == resultBuffered {
					p.status, p.document = res.resp.Status, append([]byte(nil), res.body...)
				}
				p.resp, p.body = nil, nil
				t.removeNodeRequest(k)
				more()
			}
			t.startNodeRequest(k, r)
		}
		inside = false
		if open == 0 && next == len(shards) && !t.responded {
			next++ // once
			done(parts)
		}
	}
	more()
}

func (t *transaction) removeNodeRequest(k *nodeRequest) {
	t.nodeRequests = slices.DeleteFunc(t.nodeRequests, func(x *nodeRequest) bool { return x == k })
}

// requireAll answers for parts that are not all answered with one of the statuses, and
// tells whether they are: part of an answer must not pass for the whole.
func (t *transaction) requireAll(parts []shardResponse, want ...int) bool {
	var after time.Duration
	worst := resultBuffered
	late := false
	for _, p := range parts {
		switch p.kind {
		case resultRejected:
			after = max(after, p.retryAfter)
			if worst == resultBuffered {
				worst = resultRejected
			}
		case resultFailed:
			worst, late = resultFailed, late || p.timedOut
		}
	}
	switch worst {
	case resultRejected:
		t.respondSlowDown(after)
		return false
	case resultFailed:
		t.respondFailure(late)
		return false
	}
	for _, p := range parts {
		if slices.Contains(want, p.status) {
			continue
		}
		if e, ok := objectapi.ParseError(p.document); ok {
			t.respondError(e, p.status)
		} else {
			t.respondFailure(false)
		}
		return false
	}
	return true
}

// newShardRequest makes a call without a body to one shard.
func (t *transaction) newShardRequest(kind objectapi.Kind, method, bucket string, q objectapi.Query, s dispatch.Shard, body []byte) (*nodeRequest, dispatch.Request) {
	r := t.price(kind, t.volume, s, "", int64(len(body)))
	b := t.nodeHead(make([]byte, 0, 512), method, bucket, "", q, r, kind.Writes(), "-"+strconv.Itoa(int(s)))
	if method == "PUT" || method == "POST" {
		b = http1.AppendLength(b, int64(len(body)))
	}
	return &nodeRequest{method: method, head: b, body: body, maxBuffered: t.conn.worker.gateway.cfg.Limits.Document}, r
}

func (t *transaction) listBuckets() {
	l := t.conn.worker
	all := l.gateway.shards.Volume("", 0).Shards()
	t.scatter(all, func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(objectapi.ListBuckets, "GET", "", nil, s, nil)
	}, func(parts []shardResponse) {
		if !t.requireAll(parts, 200) {
			return
		}
		seen := map[string]string{}
		for _, p := range parts {
			var r objectapi.ListAllMyBucketsResult
			if xml.Unmarshal(p.document, &r) != nil {
				t.respondFailure(false)
				return
			}
			for _, b := range r.Buckets {
				if when, ok := seen[b.Name]; t.key.mayAccess(b.Name) && (!ok || b.CreationDate < when) {
					seen[b.Name] = b.CreationDate
				}
			}
		}
		res := objectapi.ListAllMyBucketsResult{Owner: objectapi.TheOwner}
		for name, when := range seen {
			res.Buckets = append(res.Buckets, objectapi.Bucket{Name: name, CreationDate: when})
		}
		slices.SortFunc(res.Buckets, func(a, b objectapi.Bucket) int { return strings.Compare(a.Name, b.Name) })
		t.respondXML(200, res)
	})
}

func (t *transaction) createBucket() {
	t.scatter(t.volume.placement.Shards(), func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(objectapi.CreateBucket, "PUT", t.op.Bucket, nil, s, nil)
	}, func(parts []shardResponse) {
		if !t.requireAll(parts, 200, 409) {
			return
		}
		if !slices.ContainsFunc(parts, func(p shardResponse) bool { return p.status == 200 }) {
			t.respondErrorCode(objectapi.Errorf("BucketAlreadyOwnedByYou", "Your previous request to create the named bucket succeeded and you already own it."))
			return
		}
		t.respond(200, http1.AppendHeader([]byte(nil), "Location", "/"+t.op.Bucket), nil)
	})
}

// deleteBucket looks at all shards before it touches one. An object that is
// written meanwhile keeps its shard's part; the others are made again then.
func (t *transaction) deleteBucket() {
	shards := t.volume.placement.Shards()
	look := objectapi.Query{{Name: "list-type", Value: "2"}, {Name: "max-keys", Value: "1"}}
	notEmpty := objectapi.Errorf("BucketNotEmpty", "The bucket you tried to delete is not empty.")
	remake := func(gone []dispatch.Shard) {
		t.scatter(gone, func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
			return t.newShardRequest(objectapi.CreateBucket, "PUT", t.op.Bucket, nil, s, nil)
		}, func([]shardResponse) { t.respondErrorCode(notEmpty) })
	}
	remove := func() {
		t.scatter(shards, func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
			return t.newShardRequest(objectapi.DeleteBucket, "DELETE", t.op.Bucket, nil, s, nil)
		}, func(parts []shardResponse) {
			var gone []dispatch.Shard
			for _, p := range parts {
				if p.status == 204 {
					gone = append(gone, p.shard)
				}
			}
			if len(gone) < len(parts) && slices.ContainsFunc(parts, func(p shardResponse) bool { return p.status == 409 }) {
				remake(gone)
				return
			}
			if t.requireAll(parts, 204, 404) {
				t.respond(204, nil, nil)
			}
		})
	}
	t.scatter(shards, func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(objectapi.ListObjectsV2, "GET", t.op.Bucket, look, s, nil)
	}, func(parts []shardResponse) {
		if !slices.ContainsFunc(parts, func(p shardResponse) bool { return p.status == 200 }) && !t.requireAll(parts, 200) {
			return
		}
		if !t.requireAll(parts, 200, 404) {
			return
		}
		for _, p := range parts {
			if page, err := objectapi.ParseList(p.document, nil); p.status == 200 && (err != nil || len(page.Contents) > 0) {
				t.respondErrorCode(notEmpty)
				return
			}
		}
		remove()
	})
}

func (t *transaction) getBucketLocation() {
	first := t.volume.placement.Shards()[:1]
	t.scatter(first, func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(objectapi.GetBucketLocation, "GET", t.op.Bucket, objectapi.Query{{Name: "location"}}, s, nil)
	}, func(parts []shardResponse) {
		if !t.requireAll(parts, 200) {
			return
		}
		var doc objectapi.LocationConstraint
		if r := t.conn.worker.gateway.cfg.Region; r != "us-east-1" { // the specification has that one empty
			doc.Location = r
		}
		t.respondXML(200, doc)
	})
}

// listObjects asks all shards of the volume for their first names and merges them.
func (t *transaction) listObjects() {
	in := t.op.Query
	most := maxKeys(in.Get("max-keys"))
	v2 := t.op.Kind == objectapi.ListObjectsV2
	after := in.Get("marker")
	if v2 {
		after = in.Get("start-after")
		if tok := in.Get("continuation-token"); tok != "" {
			b, err := base64.URLEncoding.DecodeString(tok)
			if err != nil {
				t.respondErrorCode(objectapi.Errorf("InvalidArgument", "The continuation token provided is incorrect"))
				return
			}
			after = string(b)
		}
	}
	q := objectapi.Query{{Name: "encoding-type", Value: "url"}, {Name: "max-keys", Value: strconv.Itoa(most)}}
	for _, n := range [...]string{"prefix", "delimiter"} {
		if v := in.Get(n); v != "" {
			q = append(q, objectapi.Param{Name: n, Value: v})
		}
	}
	if v2 {
		q = append(q, objectapi.Param{Name: "list-type", Value: "2"})
	}
	if name := map[bool]string{false: "marker", true: "start-after"}[v2]; after != "" {
		q = append(q, objectapi.Param{Name: name, Value: after})
	}
	t.scatter(t.volume.placement.Shards(), func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(t.op.Kind, "GET", t.op.Bucket, q, s, nil)
	}, func(parts []shardResponse) {
		if !t.requireAll(parts, 200) {
			return
		}
		t.respondInSlices(func(pause objectapi.Pause) any {
			pages, err := parseShards(parts, objectapi.ParseList, pause)
			if err != nil {
				return nil
			}
			return t.listDocument(objectapi.Merge(pages, after, most), most, v2)
		})
	})
}

func maxKeys(v string) int {
	if n, err := strconv.Atoi(v); err == nil {
		return min(n, 1000)
	}
	return 1000
}

func (t *transaction) encoder() func(string) string {
	if t.op.Query.Get("encoding-type") == "url" {
		return objectapi.EncodeName
	}
	return func(s string) string { return s }
}

func (t *transaction) listDocument(p objectapi.Page, most int, v2 bool) objectapi.ListBucketResult {
	in, enc := t.op.Query, t.encoder()
	res := objectapi.ListBucketResult{
		Name: t.op.Bucket, Prefix: enc(in.Get("prefix")), Delimiter: enc(in.Get("delimiter")),
		MaxKeys: most, EncodingType: in.Get("encoding-type"), IsTruncated: p.Truncated && most > 0,
	}
	for _, c := range p.Contents {
		c.Key = enc(c.Key)
		if !v2 || in.Get("fetch-owner") == "true" {
			c.Owner = &objectapi.Owner{ID: objectapi.TheOwner.ID, DisplayName: objectapi.TheOwner.DisplayName}
		}
		res.Contents = append(res.Contents, c)
	}
	for _, c := range p.Prefixes {
		res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: enc(c)})
	}
	if !v2 {
		m := enc(in.Get("marker"))
		if res.Marker = &m; res.IsTruncated {
			res.NextMarker = enc(p.Next)
		}
		return res
	}
	n := len(p.Contents) + len(p.Prefixes)
	res.KeyCount, res.StartAfter, res.ContinuationToken = &n, enc(in.Get("start-after")), in.Get("continuation-token")
	if res.IsTruncated {
		res.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(p.Next))
	}
	return res
}

func (t *transaction) listMultipartUploads() {
	in := t.op.Query
	most := maxKeys(in.Get("max-uploads"))
	q := objectapi.Query{{Name: "uploads"}, {Name: "encoding-type", Value: "url"}, {Name: "max-uploads", Value: strconv.Itoa(most)}}
	for _, n := range [...]string{"prefix", "delimiter", "key-marker", "upload-id-marker"} {
		if v := in.Get(n); v != "" {
			q = append(q, objectapi.Param{Name: n, Value: v})
		}
	}
	t.scatter(t.volume.placement.Shards(), func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		return t.newShardRequest(objectapi.ListMultipartUploads, "GET", t.op.Bucket, q, s, nil)
	}, func(parts []shardResponse) {
		if !t.requireAll(parts, 200) {
			return
		}
		t.respondInSlices(func(pause objectapi.Pause) any {
			lists, err := parseShards(parts, objectapi.ParseUploads, pause)
			if err != nil {
				return nil
			}
			return t.uploadsDocument(lists, most)
		})
	})
}

// uploadsDocument makes one list of those of several shards.
func (t *transaction) uploadsDocument(lists []objectapi.ListMultipartUploadsResult, most int) objectapi.ListMultipartUploadsResult {
	in, enc := t.op.Query, t.encoder()
	ups, prefixes, more := objectapi.MergeUploads(lists, most)
	res := objectapi.ListMultipartUploadsResult{
		Bucket: t.op.Bucket, KeyMarker: enc(in.Get("key-marker")), UploadIdMarker: in.Get("upload-id-marker"),
		Prefix: enc(in.Get("prefix")), Delimiter: enc(in.Get("delimiter")), EncodingType: in.Get("encoding-type"), MaxUploads: most,
		IsTruncated: more && most > 0,
	}
	for _, u := range ups {
		if res.IsTruncated {
			res.NextKeyMarker, res.NextUploadIdMarker = enc(u.Key), u.UploadId
		}
		u.Key = enc(u.Key)
		res.Upload = append(res.Upload, u)
	}
	for _, p := range prefixes {
		res.CommonPrefixes = append(res.CommonPrefixes, objectapi.CommonPrefix{Prefix: enc(p)})
		if res.IsTruncated && enc(p) > res.NextKeyMarker {
			res.NextKeyMarker, res.NextUploadIdMarker = enc(p), ""
		}
	}
	return res
}

// parseShards reads the document of each part, with pauses.
func parseShards[T any](parts []shardResponse, parse func([]byte, objectapi.Pause) (T, error), pause objectapi.Pause) ([]T, error) {
	all := make([]T, len(parts))
	for i, p := range parts {
		var err error
		if all[i], err = parse(p.document, pause); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// respondInSlices makes a document out of work that may be long, and gives it as the answer: in slices that
// count for the transaction's volume, so that nobody waits for more than one of them. work
// returns nil where a node's part is no answer.
func (t *transaction) respondInSlices(work func(objectapi.Pause) any) {
	l := t.conn.worker
	l.loop.RunInSlices(l.chargedVolume(t).flow, func(pause func() bool) {
		alive := func() bool { return !t.responded && pause() && !t.responded }
		v := work(alive)
		if t.responded {
			return
		}
		if v == nil {
			t.respondFailure(false)
			return
		}
		if doc, ok := objectapi.MarshalAtLength(v, alive); ok {
			t.respond(200, []byte("Content-Type: application/xml\r\n"), doc)
		}
	})
}

// deleteObjects sends each shard its keys. A shard that cannot be had makes errors
// of its keys, not of the whole.
func (t *transaction) deleteObjects() {
	req, err := objectapi.ParseDelete(t.buffered)
	if err != nil {
		t.respondErrorCode(err)
		return
	}
	byShard := map[dispatch.Shard][]objectapi.ObjectIdentifier{}
	var shards []dispatch.Shard
	for _, o := range req.Objects {
		s := t.volume.placement.Shard(o.Key)
		if byShard[s] == nil {
			shards = append(shards, s)
		}
		byShard[s] = append(byShard[s], o)
	}
	t.scatter(shards, func(_ int, s dispatch.Shard) (*nodeRequest, dispatch.Request) {
		doc := objectapi.Marshal(objectapi.DeleteRequest{Objects: byShard[s]})
		return t.newShardRequest(objectapi.DeleteObjects, "POST", t.op.Bucket, objectapi.Query{{Name: "delete"}}, s, doc)
	}, func(parts []shardResponse) {
		var res objectapi.DeleteResult
		for _, p := range parts {
			e := objectapi.Errorf("InternalError", "We encountered an internal error; whether the object was deleted is not known.")
			switch {
			case p.kind == resultRejected:
				e = objectapi.Errorf("SlowDown", "Please reduce your request rate.")
			case p.kind == resultBuffered && p.status == 200:
				var r objectapi.DeleteResult
				if xml.Unmarshal(p.document, &r) == nil {
					res.Deleted, res.Error = append(res.Deleted, r.Deleted...), append(res.Error, r.Error...)
					continue
				}
			case p.kind == resultBuffered:
				if pe, ok := objectapi.ParseError(p.document); ok {
					e = pe
				}
			}
			if e.Code == "NoSuchBucket" {
				t.respondErrorCode(e)
				return
			}
			for _, o := range byShard[p.shard] {
				res.Error = append(res.Error, objectapi.DeleteError{Key: o.Key, Code: e.Code, Message: e.Message})
			}
		}
		if req.Quiet {
			res.Deleted = nil
		}
		t.respondXML(200, res)
	})
}
