// Package payload decodes and verifies the body of a request to the object API: HTTP's
// framing, the aws-chunked coding inside it, its signatures, and the checksums that the client
// has given. It does no I/O and buffers no body.
package payload

import (
	"crypto/md5"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"strings"

	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/sigv4"
)

// Body decodes and verifies the body of one request.
type Body struct {
	Length   int64        // of the object's data, in bytes; -1 if it is known at the end only
	Received int64        // bytes of the object's data so far
	Checksum http1.Header // the client's checksum, its name in lower case; one of a trailer is set at the end

	unread int64          // bytes still to come of a body that is framed by its length
	outer  *http1.Chunked // chunked transfer coding; nil: framed by its length
	inner  *http1.Chunked // aws-chunked coding; nil: none
	ended  bool           // inner has ended
	carry  []byte         // an incomplete line of inner, kept from the last chunk of outer

	auth           *sigv4.Auth // nil: no signature is verified
	chunkHash      hash.Hash   // of the current chunk; nil: chunks are not signed
	signedText     []byte      // the current chunk's signature; after the last chunk, the trailer's lines
	trailer        string      // name of the checksum that the trailer is to bring; "": none
	trailerChecked bool        // the trailer's signature has been verified

	md5         hash.Hash // nil: no Content-MD5 was given
	expectedMD5 []byte
	sha256      hash.Hash // nil: the signature does not cover the body's SHA-256
	checksum    hash.Hash // nil: no checksum was given
}

// New returns the Body of a request according to its head. auth is nil for a request that
// needs no signature.
func New(r *http1.Request, auth *sigv4.Auth) (*Body, *objectapi.Error) {
	b := &Body{Length: r.Length, unread: r.Length, auth: auth}
	if r.Chunked {
		b.outer = &http1.Chunked{}
		b.Length = -1
	}
	if err := b.parseChecksums(r.Headers); err != nil {
		return nil, err
	}
	if b.isChunked() {
		if err := b.startChunked(r.Headers); err != nil {
			return nil, err
		}
	}
	if err := b.parseTrailerName(r.Headers); err != nil {
		return nil, err
	}
	if auth != nil && auth.Payload == sigv4.SignedPayload {
		b.sha256 = sha256.New()
	}
	return b, nil
}

// isChunked reports whether the body is in the aws-chunked coding.
func (b *Body) isChunked() bool { return b.auth != nil && b.auth.Payload.Chunked() }

// startChunked prepares the aws-chunked coding.
func (b *Body) startChunked(hs http1.Headers) *objectapi.Error {
	b.inner = &http1.Chunked{}
	value := hs.Get("x-amz-decoded-content-length")
	if value == nil {
		return objectapi.NewError(objectapi.CodeMissingContentLength,
			"You must provide the x-amz-decoded-content-length HTTP header.")
	}
	length, ok := http1.ParseLength(value)
	if !ok {
		return objectapi.NewError(objectapi.CodeInvalidArgument, "x-amz-decoded-content-length is not a number.")
	}
	b.Length = length
	if b.auth.Payload != sigv4.UnsignedChunksTrailer {
		b.chunkHash = sha256.New()
	}
	return nil
}

// parseTrailerName reads which checksum the trailer will bring.
func (b *Body) parseTrailerName(hs http1.Headers) *objectapi.Error {
	value := hs.Get("x-amz-trailer")
	if value == nil {
		return nil
	}
	name := strings.ToLower(string(value))
	hasTrailer := b.isChunked() && b.auth.Payload != sigv4.SignedChunks
	if !hasTrailer || b.checksum != nil || !strings.HasPrefix(name, checksumPrefix) {
		return objectapi.NewError(objectapi.CodeInvalidRequest,
			"x-amz-trailer must name one checksum of a body with a trailer.")
	}
	b.checksum = NewChecksum(name[len(checksumPrefix):])
	if b.checksum == nil {
		return objectapi.NewError(objectapi.CodeInvalidRequest, "The checksum that x-amz-trailer names is not known.")
	}
	b.trailer = name
	return nil
}

// parseChecksums reads Content-MD5 and the checksum header.
func (b *Body) parseChecksums(hs http1.Headers) *objectapi.Error {
	for _, h := range hs {
		var err *objectapi.Error
		switch {
		case http1.EqualFold(h.Name, "content-md5"):
			err = b.parseMD5(h)
		case isChecksumHeader(h.Name):
			err = b.parseChecksum(h)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func isChecksumHeader(name []byte) bool {
	n := len(checksumPrefix)
	return len(name) > n && http1.EqualFold(name[:n], checksumPrefix)
}

func (b *Body) parseMD5(h http1.Header) *objectapi.Error {
	sum, err := base64.StdEncoding.DecodeString(string(h.Value))
	if err != nil || len(sum) != md5.Size {
		return objectapi.NewError(objectapi.CodeInvalidDigest, "The Content-MD5 you specified was invalid.")
	}
	b.expectedMD5 = sum
	b.md5 = md5.New()
	return nil
}

func (b *Body) parseChecksum(h http1.Header) *objectapi.Error {
	name := strings.ToLower(string(h.Name))
	algorithm := name[len(checksumPrefix):]
	switch algorithm {
	case "type", "algorithm", "mode": // these describe a checksum
		return nil
	}
	if b.checksum != nil {
		return objectapi.NewError(objectapi.CodeInvalidRequest, "Expecting a single x-amz-checksum- header.")
	}
	b.checksum = NewChecksum(algorithm)
	if b.checksum == nil {
		return objectapi.NewError(objectapi.CodeInvalidRequest, "The checksum "+name+" is not known.")
	}
	sum, err := base64.StdEncoding.DecodeString(string(h.Value))
	if err != nil || len(sum) != b.checksum.Size() {
		return objectapi.NewError(objectapi.CodeInvalidRequest, "Value for "+name+" header is invalid.")
	}
	b.Checksum = copyHeader(name, h.Value)
	return nil
}

// copyHeader returns a header that does not refer to the input buffer.
func copyHeader(name string, value []byte) http1.Header {
	return http1.Header{Name: []byte(name), Value: append([]byte(nil), value...)}
}

// TrailerChecksum returns the name of the checksum that follows the data in a trailer, and
// whether there is one.
func (b *Body) TrailerChecksum() (name string, ok bool) { return b.trailer, b.trailer != "" }
