package sigv4

import (
	"crypto/sha256"
	"encoding/hex"
)

// Payload is how a request's body is covered by its signature.
type Payload int

// The forms of x-amz-content-sha256.
const (
	UnsignedPayload       Payload = iota // not covered
	SignedPayload                        // the SHA-256 of the body
	SignedChunks                         // aws-chunked, each chunk signed
	SignedChunksTrailer                  // aws-chunked, each chunk and the trailer signed
	UnsignedChunksTrailer                // aws-chunked without signatures, with a trailer
)

// Values of x-amz-content-sha256 that are no hash.
const (
	unsignedPayload       = "UNSIGNED-PAYLOAD"
	signedChunks          = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"
	signedChunksTrailer   = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER"
	unsignedChunksTrailer = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
)

// Chunked reports whether the body is in the aws-chunked coding.
func (p Payload) Chunked() bool { return p >= SignedChunks }

// parsePayload reads a value of x-amz-content-sha256.
func (a *Auth) parsePayload(value string) *Error {
	switch value {
	case unsignedPayload:
		a.Payload = UnsignedPayload
	case signedChunks:
		a.Payload = SignedChunks
	case signedChunksTrailer:
		a.Payload = SignedChunksTrailer
	case unsignedChunksTrailer:
		a.Payload = UnsignedChunksTrailer
	default:
		a.Payload = SignedPayload
		return a.parsePayloadHash(value)
	}
	return nil
}

func (a *Auth) parsePayloadHash(value string) *Error {
	if len(value) == hex.EncodedLen(sha256.Size) {
		if _, err := hex.Decode(a.PayloadHash[:], []byte(value)); err == nil {
			return nil
		}
	}
	return invalid(codeInvalidArgument, "x-amz-content-sha256 must be a SHA-256 or a known form.")
}

// emptyHash is the SHA-256 of the empty string.
const emptyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// VerifyChunk reports whether the signature of the next chunk, whose data has the given
// SHA-256, is valid. Chunks are verified in order.
func (a *Auth) VerifyChunk(sum [sha256.Size]byte, signature string) bool {
	a.signature = a.sign(algorithm+"-PAYLOAD", a.signature, emptyHash, hex.EncodeToString(sum[:]))
	return equal(a.signature, signature)
}

// VerifyTrailer reports whether the signature over the trailer's lines "name:value\n" is
// valid. It is called after the last chunk.
func (a *Auth) VerifyTrailer(lines []byte, signature string) bool {
	sum := sha256.Sum256(lines)
	want := a.sign(algorithm+"-TRAILER", a.signature, hex.EncodeToString(sum[:]))
	return equal(want, signature)
}
