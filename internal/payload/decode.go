package payload

import (
	"hash"
	"strings"

	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/sigv4"
)

// signatureLength is the number of hexadecimal digits in a signature.
const signatureLength = 64

// Feed decodes received bytes of the body and passes the object's data to sink in pieces. It returns
// the number of bytes that it consumed, and whether the body is complete. The caller must pass the
// remaining bytes again, followed by those received later.
//
// A body is verified only when Feed has returned done without an error. Until then the caller must
// not store the last byte of the data. Feed returns an *http1.Error if the body's framing is invalid,
// and an *objectapi.Error if its content is invalid.
func (b *Body) Feed(in []byte, sink func([]byte)) (used int, done bool, err error) {
	for {
		piece, n, last, err := b.unframe(in[used:])
		if err != nil {
			return used, false, err
		}
		used += n
		if len(piece) > 0 {
			unconsumed, err := b.decode(piece, sink)
			if err != nil {
				return used, false, err
			}
			used -= unconsumed
			if unconsumed > 0 && last { // The body ends in an incomplete line, so that verify returns an error.
				return used, false, b.verify()
			}
			if unconsumed > 0 {
				b.unread += int64(unconsumed)
				return used, false, nil
			}
		}
		if last {
			return used, true, b.verify()
		}
		if n == 0 {
			return used, false, nil
		}
	}
}

// unframe removes the HTTP framing from the bytes in. It returns the next piece of the body's
// content and the number of bytes that it consumed. last is true if the body's framing ends there.
func (b *Body) unframe(in []byte) (piece []byte, used int, last bool, err error) {
	if b.transferChunked == nil {
		n := int(min(int64(len(in)), b.unread))
		b.unread -= int64(n)
		return in[:n], n, b.unread == 0, nil
	}
	step, data, n, chunkErr := b.transferChunked.Next(in)
	if chunkErr != nil {
		return nil, 0, false, chunkErr
	}
	return data, n, step == http1.Done, nil
}

// decode removes the aws-chunked coding, if the body has one, and passes the data to sink. It
// returns the number of bytes at the end of the piece that belong to an incomplete line and must be
// passed again. If the body also uses the chunked transfer coding, decode keeps these bytes in
// b.incompleteLine and returns 0.
func (b *Body) decode(piece []byte, sink func([]byte)) (unconsumed int, err error) {
	if b.awsChunked == nil {
		return 0, b.write(piece, sink)
	}
	if len(b.incompleteLine) > 0 {
		piece = append(b.incompleteLine, piece...)
		b.incompleteLine = nil
	}
	for len(piece) > 0 {
		if b.awsChunkedEnded {
			return 0, objectapi.NewError(objectapi.CodeIncompleteBody, "Bytes follow the end of the aws-chunked body.")
		}
		step, data, n, chunkErr := b.awsChunked.Next(piece)
		if chunkErr != nil {
			return 0, objectapi.NewError(objectapi.CodeInvalidRequest,
				"The aws-chunked body is malformed: "+chunkErr.Reason)
		}
		if err := b.handleStep(step, data, sink); err != nil {
			return 0, err
		}
		if n == 0 && step == http1.More {
			if b.transferChunked == nil {
				return len(piece), nil
			}
			b.incompleteLine = append([]byte(nil), piece...)
			return 0, nil
		}
		piece = piece[n:]
	}
	return 0, nil
}

// handleStep handles one decoded step of the aws-chunked coding.
func (b *Body) handleStep(s http1.Step, data []byte, sink func([]byte)) error {
	switch s {
	case http1.ChunkStart:
		return b.startChunk()
	case http1.Data:
		if b.chunkHash != nil {
			b.chunkHash.Write(data)
		}
		return b.write(data, sink)
	case http1.ChunkEnd:
		return b.verifyChunk()
	case http1.Trailer:
		return b.handleTrailer(b.awsChunked.Line)
	case http1.Done:
		b.awsChunkedEnded = true
	}
	return nil
}

// startChunk reads the signature of the chunk that begins. It verifies the last chunk at once,
// because the last chunk is empty and no ChunkEnd step follows it.
func (b *Body) startChunk() error {
	if b.chunkHash == nil {
		return nil
	}
	b.chunkHash.Reset()
	signature, ok := strings.CutPrefix(string(b.awsChunked.Ext), "chunk-signature=")
	if !ok || len(signature) != signatureLength {
		return objectapi.NewError(objectapi.CodeSignatureDoesNotMatch, "A chunk has no signature.")
	}
	b.signedText = append(b.signedText[:0], signature...)
	if b.awsChunked.Size == 0 {
		return b.verifyChunk()
	}
	return nil
}

// handleTrailer handles one line of the trailer, which is the checksum or the trailer's signature.
func (b *Body) handleTrailer(h http1.Header) error {
	switch name := strings.ToLower(string(h.Name)); name {
	case "x-amz-trailer-signature":
		isSigned := b.auth.Payload == sigv4.SignedChunksTrailer
		if !isSigned || !b.auth.VerifyTrailer(b.signedText, string(h.Value)) {
			return objectapi.NewError(objectapi.CodeSignatureDoesNotMatch,
				"The signature of the trailer does not match.")
		}
		b.trailerVerified = true
	case b.trailerName:
		if b.Checksum.Name != nil {
			return objectapi.NewError(objectapi.CodeInvalidRequest, "The trailer gives its checksum twice.")
		}
		b.Checksum = copyHeader(name, h.Value)
		b.signedText = append(b.signedText, name...)
		b.signedText = append(b.signedText, ':')
		b.signedText = append(b.signedText, h.Value...)
		b.signedText = append(b.signedText, '\n')
	default:
		return objectapi.NewError(objectapi.CodeInvalidRequest,
			"The trailer holds a line that x-amz-trailer does not name.")
	}
	return nil
}

// write adds p, a piece of the object's data, to the hashes and passes it to sink.
func (b *Body) write(p []byte, sink func([]byte)) error {
	b.Received += int64(len(p))
	if b.Length >= 0 && b.Received > b.Length {
		return objectapi.NewError(objectapi.CodeIncompleteBody, "The body is longer than it says.")
	}
	for _, h := range [...]hash.Hash{b.md5, b.sha256, b.checksum} {
		if h != nil {
			h.Write(p)
		}
	}
	sink(p)
	return nil
}
