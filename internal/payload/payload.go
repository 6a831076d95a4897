// Package payload decodes and verifies the body of a request to the object API. It removes the HTTP
// framing and the aws-chunked coding inside it, and verifies the signatures and the checksums that
// the client has sent. It does no I/O and does not buffer the body.
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
	Length   int64 // length of the object's data in bytes; -1 if it is unknown until the body ends
	Received int64 // number of bytes of the object's data decoded so far

	// Checksum is the checksum that the client sent. Its name is in lower case. It is set by New, or
	// by Feed when the checksum is in the trailer.
	Checksum http1.Header

	unread          int64          // bytes not decoded yet of a body that is framed by its length
	transferChunked *http1.Chunked // decoder of the chunked transfer coding; nil if the body has a length
	awsChunked      *http1.Chunked // decoder of the aws-chunked coding; nil if the body does not use it
	awsChunkedEnded bool           // The aws-chunked coding has reached its end.
	incompleteLine  []byte         // start of an aws-chunked line whose rest is in a later transfer chunk

	auth            *sigv4.Auth // nil if the request needs no signature
	chunkHash       hash.Hash   // SHA-256 of the current aws-chunked chunk; nil if chunks are not signed
	signedText      []byte      // signature of the current chunk; after the last chunk, the trailer's lines
	trailerName     string      // name of the checksum that the trailer must hold; empty if there is none
	trailerVerified bool        // The signature of the trailer is valid.

	md5         hash.Hash // nil if the request has no Content-MD5
	expectedMD5 []byte
	sha256      hash.Hash // nil if the signature does not cover the SHA-256 of the body
	checksum    hash.Hash // nil if the client announced no checksum
}

// New returns a Body that decodes and verifies the body of the request with the head r. auth is the
// verified signature of the head, or nil for a request that needs no signature.
func New(r *http1.Request, auth *sigv4.Auth) (*Body, *objectapi.Error) {
	b := &Body{Length: r.Length, unread: r.Length, auth: auth}
	if r.Chunked {
		b.transferChunked = &http1.Chunked{}
		b.Length = -1
	}
	if err := b.parseChecksums(r.Headers); err != nil {
		return nil, err
	}
	if b.isAWSChunked() {
		if err := b.startAWSChunked(r.Headers); err != nil {
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

// isAWSChunked reports whether the body is in the aws-chunked coding.
func (b *Body) isAWSChunked() bool { return b.auth != nil && b.auth.Payload.Chunked() }

// startAWSChunked prepares the decoder of the aws-chunked coding, and sets b.Length to the decoded
// length that the headers state.
func (b *Body) startAWSChunked(headers http1.Headers) *objectapi.Error {
	b.awsChunked = &http1.Chunked{}
	value := headers.Get("x-amz-decoded-content-length")
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

// parseTrailerName parses the header x-amz-trailer, which names the checksum in the trailer.
func (b *Body) parseTrailerName(headers http1.Headers) *objectapi.Error {
	value := headers.Get("x-amz-trailer")
	if value == nil {
		return nil
	}
	name := strings.ToLower(string(value))
	hasTrailer := b.isAWSChunked() && b.auth.Payload != sigv4.SignedChunks
	if !hasTrailer || b.checksum != nil || !strings.HasPrefix(name, checksumPrefix) {
		return objectapi.NewError(objectapi.CodeInvalidRequest,
			"x-amz-trailer must name one checksum of a body with a trailer.")
	}
	b.checksum = NewChecksum(name[len(checksumPrefix):])
	if b.checksum == nil {
		return objectapi.NewError(objectapi.CodeInvalidRequest, "The checksum that x-amz-trailer names is not known.")
	}
	b.trailerName = name
	return nil
}

// parseChecksums parses the Content-MD5 header and the x-amz-checksum header, if they exist.
func (b *Body) parseChecksums(headers http1.Headers) *objectapi.Error {
	for _, h := range headers {
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
	case "type", "algorithm", "mode": // Headers with these names describe a checksum and hold none.
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

// copyHeader returns a header with a copy of value, so that it does not point into the input buffer.
func copyHeader(name string, value []byte) http1.Header {
	return http1.Header{Name: []byte(name), Value: append([]byte(nil), value...)}
}

// TrailerChecksum returns the name of the checksum that the client sends in the trailer, and whether
// the client announced one.
func (b *Body) TrailerChecksum() (name string, ok bool) { return b.trailerName, b.trailerName != "" }
