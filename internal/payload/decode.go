package payload

import (
	"hash"
	"strings"

	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/sigv4"
)

// signatureLength is the length of a signature in hexadecimal digits.
const signatureLength = 64

// Feed decodes bytes as they were received and passes the object's data to sink, piece by
// piece. It returns how many bytes were used, and whether the body is complete. Only a
// complete body without an error has been verified; until then its last byte must not be
// stored. An *http1.Error means that the framing is invalid, an *objectapi.Error that the
// content is.
func (b *Body) Feed(in []byte, sink func([]byte)) (used int, done bool, err error) {
	for {
		piece, n, last, err := b.unframe(in[used:])
		if err != nil {
			return used, false, err
		}
		used += n
		if len(piece) > 0 {
			kept, err := b.decode(piece, sink)
			if err != nil {
				return used, false, err
			}
			used -= kept
			if kept > 0 && last { // the rest of the line will not come
				return used, false, b.verify()
			}
			if kept > 0 {
				b.unread += int64(kept)
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

// unframe removes HTTP's framing. last is true at the end of the body.
func (b *Body) unframe(in []byte) (piece []byte, used int, last bool, err error) {
	if b.outer == nil {
		n := int(min(int64(len(in)), b.unread))
		b.unread -= int64(n)
		return in[:n], n, b.unread == 0, nil
	}
	step, data, n, chunkErr := b.outer.Next(in)
	if chunkErr != nil {
		return nil, 0, false, chunkErr
	}
	return data, n, step == http1.Done, nil
}

// decode removes the aws-chunked coding, if there is one. It returns how many bytes at the end
// of the piece belong to an incomplete line and have to be passed again. Within the
// chunked transfer coding they are kept in carry instead.
func (b *Body) decode(piece []byte, sink func([]byte)) (kept int, err error) {
	if b.inner == nil {
		return 0, b.write(piece, sink)
	}
	if len(b.carry) > 0 {
		piece = append(b.carry, piece...)
		b.carry = nil
	}
	for len(piece) > 0 {
		if b.ended {
			return 0, objectapi.NewError(objectapi.CodeIncompleteBody, "Bytes follow the end of the aws-chunked body.")
		}
		step, data, n, chunkErr := b.inner.Next(piece)
		if chunkErr != nil {
			return 0, objectapi.NewError(objectapi.CodeInvalidRequest,
				"The aws-chunked body is malformed: "+chunkErr.Reason)
		}
		if err := b.handleStep(step, data, sink); err != nil {
			return 0, err
		}
		if n == 0 && step == http1.More {
			if b.outer == nil {
				return len(piece), nil
			}
			b.carry = append([]byte(nil), piece...)
			return 0, nil
		}
		piece = piece[n:]
	}
	return 0, nil
}

// handleStep handles a step of the aws-chunked coding.
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
		return b.handleTrailer(b.inner.Line)
	case http1.Done:
		b.ended = true
	}
	return nil
}

// startChunk reads the signature of the chunk that begins. The last chunk, which is empty, has
// no ChunkEnd and is verified at once.
func (b *Body) startChunk() error {
	if b.chunkHash == nil {
		return nil
	}
	b.chunkHash.Reset()
	signature, ok := strings.CutPrefix(string(b.inner.Ext), "chunk-signature=")
	if !ok || len(signature) != signatureLength {
		return objectapi.NewError(objectapi.CodeSignatureDoesNotMatch, "A chunk has no signature.")
	}
	b.signedText = append(b.signedText[:0], signature...)
	if b.inner.Size == 0 {
		return b.verifyChunk()
	}
	return nil
}

// handleTrailer handles a line of the trailer.
func (b *Body) handleTrailer(h http1.Header) error {
	switch name := strings.ToLower(string(h.Name)); name {
	case "x-amz-trailer-signature":
		isSigned := b.auth.Payload == sigv4.SignedChunksTrailer
		if !isSigned || !b.auth.VerifyTrailer(b.signedText, string(h.Value)) {
			return objectapi.NewError(objectapi.CodeSignatureDoesNotMatch,
				"The signature of the trailer does not match.")
		}
		b.trailerChecked = true
	case b.trailer:
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

// write hashes a piece of the object's data and passes it to sink.
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
