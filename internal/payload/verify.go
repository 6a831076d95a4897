package payload

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"

	"chalkstand/internal/objectapi"
	"chalkstand/internal/sigv4"
)

// verifyChunk verifies the signature of the current aws-chunked chunk, if chunks are signed.
func (b *Body) verifyChunk() error {
	if b.chunkHash == nil {
		return nil
	}
	var sum [sha256.Size]byte
	b.chunkHash.Sum(sum[:0])
	ok := b.auth.VerifyChunk(sum, string(b.signedText))
	b.signedText = b.signedText[:0]
	if !ok {
		return objectapi.NewError(objectapi.CodeSignatureDoesNotMatch, "The signature of a chunk does not match.")
	}
	return nil
}

// verify verifies the length, the trailer and the checksums of a body whose framing has ended.
func (b *Body) verify() error {
	if b.awsChunked != nil && !b.awsChunkedEnded || b.Length >= 0 && b.Received != b.Length {
		return objectapi.NewError(objectapi.CodeIncompleteBody,
			"You did not provide the number of bytes specified by the length headers.")
	}
	if err := b.verifyTrailer(); err != nil {
		return err
	}
	return b.verifyChecksums()
}

func (b *Body) verifyTrailer() error {
	switch {
	case b.trailerName == "":
		return nil
	case b.Checksum.Name == nil:
		return objectapi.NewError(objectapi.CodeInvalidRequest,
			"The trailer did not bring the checksum that x-amz-trailer names.")
	case b.auth.Payload == sigv4.SignedChunksTrailer && !b.trailerVerified:
		return objectapi.NewError(objectapi.CodeSignatureDoesNotMatch, "The trailer is not signed.")
	}
	return nil
}

func (b *Body) verifyChecksums() error {
	if b.md5 != nil && subtle.ConstantTimeCompare(b.md5.Sum(nil), b.expectedMD5) != 1 {
		return objectapi.NewError(objectapi.CodeBadDigest,
			"The Content-MD5 you specified did not match what we received.")
	}
	if b.sha256 != nil && subtle.ConstantTimeCompare(b.sha256.Sum(nil), b.auth.PayloadHash[:]) != 1 {
		return objectapi.NewError(objectapi.CodeContentSHA256Mismatch,
			"The provided x-amz-content-sha256 header does not match what was computed.")
	}
	if b.checksum != nil && base64.StdEncoding.EncodeToString(b.checksum.Sum(nil)) != string(b.Checksum.Value) {
		return objectapi.NewError(objectapi.CodeBadDigest,
			"The checksum you specified did not match the calculated one.")
	}
	return nil
}
