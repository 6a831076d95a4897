package sigv4

import (
	"crypto/sha256"
	"encoding/hex"
)

// Payload tells how a request's signature covers the body.
type Payload int

// The forms of payload that the header x-amz-content-sha256 can announce.
const (
	UnsignedPayload       Payload = iota // The signature does not cover the body.
	SignedPayload                        // The signature covers the SHA-256 of the body.
	SignedChunks                         // The body is in aws-chunked coding, and each chunk is signed.
	SignedChunksTrailer                  // The body is in aws-chunked coding, and each chunk and the trailer are signed.
	UnsignedChunksTrailer                // The body is in aws-chunked coding with an unsigned trailer and unsigned chunks.
)

// Values of the header x-amz-content-sha256 that are not a hash.
const (
	unsignedPayload       = "UNSIGNED-PAYLOAD"
	signedChunks          = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"
	signedChunksTrailer   = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER"
	unsignedChunksTrailer = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
)

// Chunked reports whether the body is in the aws-chunked coding.
func (p Payload) Chunked() bool { return p >= SignedChunks }

// parsePayload parses the value of the header x-amz-content-sha256 into a.Payload and, if the value
// is a hash, into a.PayloadHash.
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
	return badRequest(codeInvalidArgument, "x-amz-content-sha256 must be a SHA-256 or a known form.")
}

// emptyHash is the SHA-256 of the empty string.
const emptyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// VerifyChunk reports whether the signature of the next chunk is valid. sum is the SHA-256 of the
// chunk's data. The caller must verify the chunks in order, because the signature of each chunk
// covers that of the previous one.
func (a *Auth) VerifyChunk(sum [sha256.Size]byte, signature string) bool {
	a.signature = a.sign(algorithm+"-PAYLOAD", a.signature, emptyHash, hex.EncodeToString(sum[:]))
	return equal(a.signature, signature)
}

// VerifyTrailer reports whether the signature of the trailer is valid. lines holds the trailer's
// lines in the form "name:value\n". The caller must verify all chunks before it calls VerifyTrailer.
func (a *Auth) VerifyTrailer(lines []byte, signature string) bool {
	sum := sha256.Sum256(lines)
	want := a.sign(algorithm+"-TRAILER", a.signature, hex.EncodeToString(sum[:]))
	return equal(want, signature)
}
