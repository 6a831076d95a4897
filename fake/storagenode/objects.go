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

// maxDocumentSize is the maximum size of an XML document in a request, in bytes.
const maxDocumentSize = 4 << 20

// defaultContentType is the content type of an object whose client did not set one.
const defaultContentType = "binary/octet-stream"

// storedHeaderNames lists the request headers that the node stores with an object, in addition to user metadata.
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

// checksumHeader returns the name of the header or trailer that has the checksum of a request's body. It
// returns "" if there is none.
func checksumHeader(r *http.Request) string {
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for n := range h {
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

// modificationTime returns the modification time of an object that is stored now. It is in whole seconds, because
// HTTP dates have this resolution.
func modificationTime() time.Time { return time.Now().Truncate(time.Second) }

func errIncompleteBody() *objectapi.Error {
	return objectapi.NewError(objectapi.CodeIncompleteBody, "The body ended early.")
}

// readDocument reads the XML document of a request.
func readDocument(r *http.Request) ([]byte, *objectapi.Error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentSize))
	if err != nil {
		return nil, errIncompleteBody()
	}
	return body, nil
}

// putBody handles PutObject and UploadPart: it stores the request's body as an object or as a part of an upload.
func (d *Dataset) putBody(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	name := checksumHeader(r)
	got, err := d.receive(r.Body, r.ContentLength, name)
	var fileErr *fs.PathError
	if errors.As(err, &fileErr) { // the node failed to write its own file; the client's body is valid
		return response{}, d.internalError(r.URL.Path, err)
	}
	if err != nil {
		return response{}, errIncompleteBody()
	}
	if err := got.verify(r, name); err != nil {
		return response{}, err
	}
	obj := &object{
		blob:     got.blob,
		etag:     got.md5,
		modified: modificationTime(),
		sum:      checksum{name: name, value: got.checksum},
	}
	resp := response{status: http.StatusOK, header: map[string]string{"ETag": quoted(obj.etag)}}
	if name != "" {
		resp.header[name] = got.checksum
	}
	if op.Kind == objectapi.UploadPart {
		return resp, d.putPart(op, obj)
	}
	obj.header = storedHeaders(r.Header)
	return resp, d.put(op.Bucket, op.Key, obj, writeCondition(r))
}

// verify compares a body with the checksums that its request contains. name is the name of the checksum header or
// trailer. It is empty if there is none.
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

// getObject handles GetObject and HeadObject.
func (d *Dataset) getObject(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	obj, err := d.get(op.Bucket, op.Key)
	if err != nil {
		return response{}, err
	}
	h := map[string]string{
		"ETag":          quoted(obj.etag),
		"Last-Modified": obj.modified.UTC().Format(http.TimeFormat),
		"Accept-Ranges": "bytes",
	}
	if err := readCondition(r.Header, "", obj); err != nil {
		if err.Code == objectapi.CodeNotModified {
			return response{status: http.StatusNotModified, header: h}, nil
		}
		return response{}, err
	}
	for n, v := range obj.header {
		h[n] = v
	}
	for _, p := range op.Query {
		n, ok := strings.CutPrefix(p.Name, "response-")
		if ok && slices.Contains(storedHeaderNames, http.CanonicalHeaderKey(n)) {
			h[http.CanonicalHeaderKey(n)] = p.Value
		}
	}
	resp := response{status: http.StatusOK, header: h, blob: &obj.blob, length: obj.blob.size}
	wantsChecksum := strings.EqualFold(r.Header.Get(headerChecksumMode), "ENABLED") && r.Header.Get("Range") == ""
	if wantsChecksum && obj.sum.name != "" {
		h[obj.sum.name] = obj.sum.value
	}
	if len(obj.parts) > 0 {
		h["x-amz-mp-parts-count"] = strconv.Itoa(len(obj.parts))
	}
	err = applyRange(op, r, obj, &resp)
	return resp, err
}

func (d *Dataset) deleteObject(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	return response{status: http.StatusNoContent}, d.delete(op.Bucket, op.Key, writeCondition(r))
}

func (d *Dataset) deleteObjects(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
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
		if err := d.delete(op.Bucket, x.Key, unconditional); err != nil {
			return response{}, err
		}
		if !req.Quiet {
			res.Deleted = append(res.Deleted, objectapi.Deleted{Key: x.Key})
		}
	}
	return xmlResponse(res), nil
}

// copySource returns the source object of a copy. It returns an error if a condition on the source does not hold.
func (d *Dataset) copySource(op objectapi.Operation, r *http.Request) (*object, *objectapi.Error) {
	src, err := d.get(op.SourceBucket, op.SourceKey)
	if err != nil {
		return nil, err
	}
	return src, readCondition(r.Header, "x-amz-copy-source-", src)
}

func (d *Dataset) copyObject(op objectapi.Operation, r *http.Request) (response, *objectapi.Error) {
	src, err := d.copySource(op, r)
	if err != nil {
		return response{}, err
	}
	obj := &object{
		blob:     src.blob,
		etag:     src.etag,
		modified: modificationTime(),
		header:   src.header,
		sum:      src.sum,
		parts:    src.parts,
	}
	if strings.EqualFold(r.Header.Get(headerMetadataDirective), "REPLACE") {
		obj.header = storedHeaders(r.Header)
	} else if op.SourceBucket == op.Bucket && op.SourceKey == op.Key {
		return response{}, objectapi.NewError(objectapi.CodeInvalidRequest, "This copy request is illegal because it is trying "+
			"to copy an object to itself without changing the object's metadata.")
	}
	res := objectapi.CopyObjectResult{LastModified: objectapi.FormatTime(obj.modified), ETag: quoted(obj.etag)}
	return xmlResponse(res), d.put(op.Bucket, op.Key, obj, writeCondition(r))
}
