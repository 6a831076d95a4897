// Package payload decodes and checks the body of a request to the object API:
// HTTP's framing, the aws-chunked coding inside it, its signatures, and the
// digests that the client gave. It does no I/O and holds no body.
package payload

import (
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/sigv4"
	"crypto/md5"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"hash"
	"hash/crc32"
	"hash/crc64"
	"strings"
)

// Checksums are the algorithms of the x-amz-checksum family, by their suffix.
var Checksums = []string{"crc32", "crc32c", "sha1", "sha256", "crc64nvme"}

const prefix = "x-amz-checksum-"

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	nvme       = crc64.MakeTable(0x9a6c9329ac4bc9b5)
)

// NewChecksum returns the hash of an algorithm, nil for an unknown one.
func NewChecksum(algorithm string) hash.Hash {
	switch algorithm {
	case "crc32":
		return crc32.NewIEEE()
	case "crc32c":
		return crc32.New(castagnoli)
	case "sha1":
		return sha1.New()
	case "sha256":
		return sha256.New()
	case "crc64nvme":
		return crc64.New(nvme)
	}
	return nil
}

// Body follows one request's body.
type Body struct {
	Length   int64        // of the object's bytes; -1 when it is not known before the end
	Got      int64        // so far
	Checksum http1.Header // the checksum given, its name in lower case; in a trailer it is there at the end

	left    int64 // of a body framed by its length
	outer   *http1.Chunked
	inner   *http1.Chunked
	carry   []byte // an unfinished line of inner, between pieces of outer
	auth    *sigv4.Auth
	trailer string // the checksum that a trailer will bring
	lines   []byte // trailer lines as signed
	signed  bool   // the trailer's signature was checked
	chunk   hash.Hash
	md5     hash.Hash
	wantMD5 []byte
	sha     hash.Hash
	sum     hash.Hash
	ended   bool // inner is done
}

func invalid(code, msg string) *objectapi.Error { return objectapi.Errorf(code, msg) }

// New reads from a head how the body is coded and covered. auth is nil for a
// request that needs no signature.
func New(r *http1.Request, auth *sigv4.Auth) (*Body, *objectapi.Error) {
	b := &Body{Length: r.Length, left: r.Length, auth: auth}
	if r.Chunked {
		b.outer, b.Length = &http1.Chunked{}, -1
	}
	if err := b.digests(r.Headers); err != nil {
		return nil, err
	}
	chunked := auth != nil && auth.Payload.Chunked()
	if chunked {
		b.inner, b.Length = &http1.Chunked{}, -1
		if v := r.Headers.Get("x-amz-decoded-content-length"); v != nil {
			n, ok := http1.ParseLength(v)
			if !ok {
				return nil, invalid("InvalidArgument", "x-amz-decoded-content-length is not a number.")
			}
			b.Length = n
		} else {
			return nil, invalid("MissingContentLength", "You must provide the x-amz-decoded-content-length HTTP header.")
		}
		if auth.Payload != sigv4.UnsignedChunksTrailer {
			b.chunk = sha256.New()
		}
	}
	if t := r.Headers.Get("x-amz-trailer"); t != nil {
		name := strings.ToLower(string(t))
		if !chunked || auth.Payload == sigv4.SignedChunks || b.sum != nil || !strings.HasPrefix(name, prefix) {
			return nil, invalid("InvalidRequest", "x-amz-trailer must name one checksum of a body with a trailer.")
		}
		if b.sum = NewChecksum(name[len(prefix):]); b.sum == nil {
			return nil, invalid("InvalidRequest", "The checksum that x-amz-trailer names is not known.")
		}
		b.trailer = name
	}
	if auth != nil && auth.Payload == sigv4.SignedPayload {
		b.sha = sha256.New()
	}
	return b, nil
}

func (b *Body) digests(hs http1.Headers) *objectapi.Error {
	for _, h := range hs {
		switch {
		case http1.EqualFold(h.Name, "content-md5"):
			d, err := base64.StdEncoding.DecodeString(string(h.Value))
			if err != nil || len(d) != md5.Size {
				return invalid("InvalidDigest", "The Content-MD5 you specified was invalid.")
			}
			b.wantMD5, b.md5 = d, md5.New()
		case len(h.Name) > len(prefix) && http1.EqualFold(h.Name[:len(prefix)], prefix):
			name := strings.ToLower(string(h.Name))
			if name == prefix+"type" || name == prefix+"algorithm" || name == prefix+"mode" {
				continue
			}
			if b.sum != nil {
				return invalid("InvalidRequest", "Expecting a single x-amz-checksum- header.")
			}
			if b.sum = NewChecksum(name[len(prefix):]); b.sum == nil {
				return invalid("InvalidRequest", "The checksum "+name+" is not known.")
			}
			if d, err := base64.StdEncoding.DecodeString(string(h.Value)); err != nil || len(d) != b.sum.Size() {
				return invalid("InvalidRequest", "Value for "+name+" header is invalid.")
			}
			b.Checksum = http1.Header{Name: []byte(name), Value: append([]byte(nil), h.Value...)}
		}
	}
	return nil
}

// Trailing tells whether a checksum will come after the bytes, and its name.
func (b *Body) Trailing() (string, bool) { return b.trailer, b.trailer != "" }

// Feed takes wire bytes and hands the object's bytes to sink, piece by piece. It
// returns how many wire bytes were used and whether the body is whole and all
// that the client said of it was found true. Until then the last byte must not
// count as stored anywhere. An *http1.Error means that the framing is in doubt.
func (b *Body) Feed(in []byte, sink func([]byte)) (used int, done bool, err error) {
	for {
		piece, n, last, ferr := b.frame(in[used:])
		if ferr != nil {
			return used, false, ferr
		}
		used += n
		if len(piece) > 0 {
			kept, err := b.decode(piece, sink)
			if err != nil {
				return used, false, err
			}
			used -= kept
			if kept > 0 && last { // no more will come to end the line
				return used, false, b.finish()
			}
			if kept > 0 {
				b.left += int64(kept)
				return used, false, nil
			}
		}
		if last {
			return used, true, b.finish()
		}
		if n == 0 {
			return used, false, nil
		}
	}
}

// frame undoes HTTP's own framing.
func (b *Body) frame(in []byte) (piece []byte, used int, last bool, err error) {
	if b.outer == nil {
		n := int(min(int64(len(in)), b.left))
		b.left -= int64(n)
		return in[:n], n, b.left == 0, nil
	}
	step, data, n, herr := b.outer.Next(in)
	if herr != nil {
		return nil, 0, false, herr
	}
	return data, n, step == http1.Done, nil
}

// decode undoes aws-chunked, if it is there. It returns how many bytes at the end
// of the piece belong to a line that is not whole yet; under HTTP's own chunks
// they are kept here instead.
func (b *Body) decode(piece []byte, sink func([]byte)) (kept int, err error) {
	if b.inner == nil {
		return 0, b.data(piece, sink)
	}
	if len(b.carry) > 0 {
		piece = append(b.carry, piece...)
		b.carry = nil
	}
	for len(piece) > 0 {
		if b.ended {
			return 0, invalid("IncompleteBody", "Bytes follow the end of the aws-chunked body.")
		}
		step, data, n, herr := b.inner.Next(piece)
		if herr != nil {
			return 0, invalid("InvalidRequest", "The aws-chunked body is malformed: "+herr.Reason)
		}
		if err := b.step(step, data, sink); err != nil {
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

func (b *Body) step(s http1.Step, data []byte, sink func([]byte)) error {
	switch s {
	case http1.ChunkStart:
		if b.chunk != nil {
			b.chunk.Reset()
			ext := string(b.inner.Ext)
			sig, ok := strings.CutPrefix(ext, "chunk-signature=")
			if !ok || len(sig) != 64 {
				return invalid("SignatureDoesNotMatch", "A chunk has no signature.")
			}
			b.lines = append(b.lines[:0], sig...) // until the chunk's end
			if b.inner.Size == 0 {
				return b.checkChunk()
			}
		}
	case http1.Data:
		if b.chunk != nil {
			b.chunk.Write(data)
		}
		return b.data(data, sink)
	case http1.ChunkEnd:
		if b.chunk != nil {
			return b.checkChunk()
		}
	case http1.Trailer:
		return b.trailerLine(b.inner.Line)
	case http1.Done:
		b.ended = true
	}
	return nil
}

func (b *Body) checkChunk() error {
	var sum [32]byte
	b.chunk.Sum(sum[:0])
	ok := b.auth.VerifyChunk(sum, string(b.lines))
	b.lines = b.lines[:0]
	if !ok {
		return invalid("SignatureDoesNotMatch", "The signature of a chunk does not match.")
	}
	return nil
}

func (b *Body) trailerLine(h http1.Header) error {
	switch name := strings.ToLower(string(h.Name)); name {
	case "x-amz-trailer-signature":
		if b.auth.Payload != sigv4.SignedChunksTrailer || !b.auth.VerifyTrailer(b.lines, string(h.Value)) {
			return invalid("SignatureDoesNotMatch", "The signature of the trailer does not match.")
		}
		b.signed = true
	case b.trailer:
		if b.Checksum.Name != nil {
			return invalid("InvalidRequest", "The trailer gives its checksum twice.")
		}
		b.Checksum = http1.Header{Name: []byte(name), Value: append([]byte(nil), h.Value...)}
		b.lines = append(append(append(append(b.lines, name...), ':'), h.Value...), '\n')
	default:
		return invalid("InvalidRequest", "The trailer holds a line that x-amz-trailer does not name.")
	}
	return nil
}

func (b *Body) data(p []byte, sink func([]byte)) error {
	b.Got += int64(len(p))
	if b.Length >= 0 && b.Got > b.Length {
		return invalid("IncompleteBody", "The body is longer than it says.")
	}
	for _, h := range [...]hash.Hash{b.md5, b.sha, b.sum} {
		if h != nil {
			h.Write(p)
		}
	}
	sink(p)
	return nil
}

func (b *Body) finish() error {
	switch {
	case b.inner != nil && !b.ended, b.Length >= 0 && b.Got != b.Length:
		return invalid("IncompleteBody", "You did not provide the number of bytes specified by the length headers.")
	case b.trailer != "" && b.Checksum.Name == nil:
		return invalid("InvalidRequest", "The trailer did not bring the checksum that x-amz-trailer names.")
	case b.trailer != "" && b.auth.Payload == sigv4.SignedChunksTrailer && !b.signed:
		return invalid("SignatureDoesNotMatch", "The trailer is not signed.")
	case b.md5 != nil && subtle.ConstantTimeCompare(b.md5.Sum(nil), b.wantMD5) != 1:
		return invalid("BadDigest", "The Content-MD5 you specified did not match what we received.")
	case b.sha != nil && subtle.ConstantTimeCompare(b.sha.Sum(nil), b.auth.PayloadHash[:]) != 1:
		return invalid("XAmzContentSHA256Mismatch", "The provided x-amz-content-sha256 header does not match what was computed.")
	}
	if b.sum != nil && base64.StdEncoding.EncodeToString(b.sum.Sum(nil)) != string(b.Checksum.Value) {
		return invalid("BadDigest", "The checksum you specified did not match the calculated one.")
	}
	return nil
}
