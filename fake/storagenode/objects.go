package storagenode

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chalkstand/internal/objectapi"
)

// maxDocument bounds the XML document of a request, in bytes.
const maxDocument = 4 << 20

// defaultContentType is the content type of an object that was stored without one.
const defaultContentType = "binary/octet-stream"

// storedHeaderNames are the request headers that are stored with an object, beside its metadata.
var storedHeaderNames = []string{
	"Content-Type",
	"Content-Encoding",
	"Content-Disposition",
	"Content-Language",
	"Cache-Control",
	"Expires",
}

func storedHeaders(h http.Header) map[string]string {
	m := map[string]string{}
	for _, n := range storedHeaderNames {
		if v := h.Get(n); v != "" {
			m[n] = v
		}
	}
	for n, v := range h {
		if strings.HasPrefix(strings.ToLower(n), "x-amz-meta-") {
			m[n] = strings.Join(v, ",")
		}
	}
	if m["Content-Type"] == "" {
		m["Content-Type"] = defaultContentType
	}
	return m
}

// checksumHeader returns the name of the checksum that a request has in a header or a trailer, ""
// if there is none.
func checksumHeader(r *http.Request) string {
	for _, hs := range []http.Header{r.Header, r.Trailer} {
		for n := range hs {
			n = strings.ToLower(n)
			if strings.HasPrefix(n, checksumPrefix) && n != headerChecksumMode &&
				n != "x-amz-checksum-type" && n != "x-amz-checksum-algorithm" {
				return n
			}
		}
	}
	return ""
}

func quoted(etag string) string { return `"` + etag + `"` }

// modificationTime returns the time that a new object gets, in whole seconds as HTTP dates have.
func modificationTime() time.Time { return time.Now().Truncate(time.Second) }

func errIncompleteBody() *objectapi.Error {
	return objectapi.NewError(objectapi.CodeIncompleteBody, "The body ended early.")
}

// readDocument reads the XML document of a request.
func readDocument(r *http.Request) ([]byte, *objectapi.Error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxDocument))
	if err != nil {
		return nil, errIncompleteBody()
	}
	return body, nil
}

// putBody stores a request's body as an object or a part of an upload.
func (d *Dataset) putBody(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	name := checksumHeader(r)
	got, err := d.receive(r.Body, r.ContentLength, name)
	var fileErr *fs.PathError
	if errors.As(err, &fileErr) { // the node's own files, not the client's body
		return response{}, d.internalError(r.URL.Path, err)
	}
	if err != nil {
		return response{}, errIncompleteBody()
	}
	if err := got.verify(r, name); err != nil {
		return response{}, err
	}
	ob := &object{
		blob:     got.blob,
		etag:     got.md5,
		modified: modificationTime(),
		sum:      checksum{name: name, value: got.checksum},
	}
	resp := response{status: http.StatusOK, header: map[string]string{"ETag": quoted(ob.etag)}}
	if name != "" {
		resp.header[name] = got.checksum
	}
	if o.Kind == objectapi.UploadPart {
		return resp, d.putPart(o, ob)
	}
	ob.header = storedHeaders(r.Header)
	return resp, d.put(o.Bucket, o.Key, ob, writeCondition(r))
}

// verify compares a body with the checksums that its request has.
func (b *receivedBody) verify(r *http.Request, name string) *objectapi.Error {
	if want := r.Header.Get("Content-MD5"); want != "" {
		if got, _ := hex.DecodeString(b.md5); base64.StdEncoding.EncodeToString(got) != want {
			return objectapi.NewError(objectapi.CodeBadDigest, "The Content-MD5 you specified did not match what we received.")
		}
	}
	if want := r.Header.Get(name) + r.Trailer.Get(name); name != "" && want != b.checksum {
		return objectapi.NewError(objectapi.CodeBadDigest, "The checksum you specified did not match the calculated one.")
	}
	return nil
}

// getObject responds to GetObject and HeadObject.
func (d *Dataset) getObject(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	ob, err := d.get(o.Bucket, o.Key)
	if err != nil {
		return response{}, err
	}
	h := map[string]string{
		"ETag":          quoted(ob.etag),
		"Last-Modified": ob.modified.UTC().Format(http.TimeFormat),
		"Accept-Ranges": "bytes",
	}
	if err := readCondition(r.Header, "", ob); err != nil {
		if err.Code == objectapi.CodeNotModified {
			return response{status: http.StatusNotModified, header: h}, nil
		}
		return response{}, err
	}
	for n, v := range ob.header {
		h[n] = v
	}
	for _, p := range o.Query {
		n, ok := strings.CutPrefix(p.Name, "response-")
		if ok && slices.Contains(storedHeaderNames, http.CanonicalHeaderKey(n)) {
			h[http.CanonicalHeaderKey(n)] = p.Value
		}
	}
	resp := response{status: http.StatusOK, header: h, blob: &ob.blob, length: ob.blob.size}
	wantsChecksum := strings.EqualFold(r.Header.Get(headerChecksumMode), "ENABLED") && r.Header.Get("Range") == ""
	if wantsChecksum && ob.sum.name != "" {
		h[ob.sum.name] = ob.sum.value
	}
	if len(ob.parts) > 0 {
		h["x-amz-mp-parts-count"] = strconv.Itoa(len(ob.parts))
	}
	err = applyRange(o, r, ob, &resp)
	return resp, err
}

func (d *Dataset) deleteObject(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	return response{status: http.StatusNoContent}, d.delete(o.Bucket, o.Key, writeCondition(r))
}

func (d *Dataset) deleteObjects(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	body, err := readDocument(r)
	if err != nil {
		return response{}, err
	}
	req, err := objectapi.ParseDelete(body)
	if err != nil {
		return response{}, err
	}
	var res objectapi.DeleteResult
	for _, x := range req.Objects {
		if err := d.delete(o.Bucket, x.Key, unconditional); err != nil {
			return response{}, err
		}
		if !req.Quiet {
			res.Deleted = append(res.Deleted, objectapi.Deleted{Key: x.Key})
		}
	}
	return xmlResponse(res), nil
}

// copySource returns the object that a copy reads from, if the copy's conditions hold.
func (d *Dataset) copySource(o objectapi.Operation, r *http.Request) (*object, *objectapi.Error) {
	src, err := d.get(o.SourceBucket, o.SourceKey)
	if err != nil {
		return nil, err
	}
	return src, readCondition(r.Header, "x-amz-copy-source-", src)
}

func (d *Dataset) copyObject(o objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	src, err := d.copySource(o, r)
	if err != nil {
		return response{}, err
	}
	ob := &object{
		blob:     src.blob,
		etag:     src.etag,
		modified: modificationTime(),
		header:   src.header,
		sum:      src.sum,
		parts:    src.parts,
	}
	if strings.EqualFold(r.Header.Get(headerDirective), "REPLACE") {
		ob.header = storedHeaders(r.Header)
	} else if o.SourceBucket == o.Bucket && o.SourceKey == o.Key {
		return response{}, objectapi.NewError(objectapi.CodeInvalidRequest, "This copy request is illegal because it is trying "+
			"to copy an object to itself without changing the object's metadata.")
	}
	res := objectapi.CopyObjectResult{LastModified: objectapi.FormatTime(ob.modified), ETag: quoted(ob.etag)}
	return xmlResponse(res), d.put(o.Bucket, o.Key, ob, writeCondition(r))
}
