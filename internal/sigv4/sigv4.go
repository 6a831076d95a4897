// Package sigv4 checks requests signed by AWS Signature Version 4, as the object
// API's specification has it: the Authorization header, presigned URLs, and the
// streaming forms. It does no I/O; the time is passed in.
package sigv4

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkstand/internal/http1"
)

// Payload names how a request's body is covered by its signature.
type Payload int

// The forms of x-amz-content-sha256.
const (
	Unsigned        Payload = iota // UNSIGNED-PAYLOAD
	Whole                          // the body's own SHA-256
	Chunks                         // each chunk signed
	ChunksTrailer                  // each chunk and the trailer signed
	UnsignedTrailer                // aws-chunked without signatures, with a trailer
)

// Chunked tells whether the body is in the aws-chunked coding.
func (p Payload) Chunked() bool { return p >= Chunks }

// Error is a refused signature: a status, the specified code and a sentence.
type Error struct {
	Status  int
	Code    string
	Message string
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

func denied(code, msg string) *Error { return &Error{403, code, msg} }

const (
	algorithm = "AWS4-HMAC-SHA256"
	stamp     = "20060102T150405Z"
	// MaxExpires is the longest life of a presigned URL, by the specification.
	MaxExpires = 7 * 24 * time.Hour
)

// Auth is an accepted signature.
type Auth struct {
	KeyID     string
	Presigned bool
	Payload   Payload
	Hash      [32]byte // of the body, with Whole

	key       []byte // derived, of the scope
	date      string
	scope     string
	signature string // the last one checked: chunks follow from it
}

// Verifier checks requests for one region. It is safe for concurrent use.
type Verifier struct {
	Region string
	Skew   time.Duration // accepted between the client's clock and ours
	// Secret returns the secret of an access key.
	Secret func(keyID string) (string, bool)

	mu      sync.Mutex
	derived map[string][]byte
}

// maxDerived bounds the cache of derived keys: one a key and day is used.
const maxDerived = 4096

// Verify checks r's head at the time now.
func (v *Verifier) Verify(now time.Time, r *http1.Request) (*Auth, *Error) {
	path, query, _ := bytes.Cut(r.Target, []byte("?"))
	if h := r.Headers.Get("authorization"); h != nil {
		return v.header(now, r, string(h), string(path), string(query))
	}
	if bytes.Contains(query, []byte("X-Amz-Signature=")) {
		return v.presigned(now, r, string(path), string(query))
	}
	return nil, denied("AccessDenied", "The request is not signed.")
}

// claim is what a request says of its signature.
type claim struct {
	credential, signed, signature string
	date                          time.Time
	stamp                         string
	payload                       string
}

func (v *Verifier) header(now time.Time, r *http1.Request, auth, path, query string) (*Auth, *Error) {
	rest, ok := strings.CutPrefix(auth, algorithm+" ")
	if !ok {
		return nil, &Error{400, "InvalidRequest", "Only " + algorithm + " signatures are accepted."}
	}
	var c claim
	for part := range strings.SplitSeq(rest, ",") {
		k, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch k {
		case "Credential":
			c.credential = val
		case "SignedHeaders":
			c.signed = val
		case "Signature":
			c.signature = val
		}
	}
	if c.credential == "" || c.signed == "" || c.signature == "" {
		return nil, &Error{
			400, "AuthorizationHeaderMalformed",
			"The Authorization header needs Credential, SignedHeaders and Signature.",
		}
	}
	var err error
	c.stamp = string(r.Headers.Get("x-amz-date"))
	if c.stamp != "" {
		c.date, err = time.Parse(stamp, c.stamp)
	} else if c.date, err = time.Parse(time.RFC1123, string(r.Headers.Get("date"))); err == nil {
		c.stamp = c.date.UTC().Format(stamp)
	}
	if err != nil {
		return nil, denied("AccessDenied", "A valid X-Amz-Date or Date header is needed.")
	}
	if d := now.Sub(c.date); d > v.Skew || -d > v.Skew {
		return nil, denied("RequestTimeTooSkewed",
			"The difference between the request time and the current time is too large.")
	}
	c.payload = string(r.Headers.Get("x-amz-content-sha256"))
	if c.payload == "" {
		return nil, &Error{400, "InvalidRequest", "Missing required header for this request: x-amz-content-sha256"}
	}
	return v.check(r, path, query, c, false)
}

func (v *Verifier) presigned(now time.Time, r *http1.Request, path, query string) (*Auth, *Error) {
	c := claim{payload: "UNSIGNED-PAYLOAD"}
	var alg, expires string
	kept := make([]string, 0, 8)
	for p := range strings.SplitSeq(query, "&") {
		k, raw, _ := strings.Cut(p, "=")
		val, _ := Unescape(raw, true)
		switch k {
		case "X-Amz-Algorithm":
			alg = val
		case "X-Amz-Credential":
			c.credential = val
		case "X-Amz-Date":
			c.stamp = val
		case "X-Amz-Expires":
			expires = val
		case "X-Amz-SignedHeaders":
			c.signed = val
		case "X-Amz-Content-Sha256":
			c.payload = val
		case "X-Amz-Signature":
			c.signature = val
			continue
		}
		kept = append(kept, p)
	}
	malformed := func(msg string) *Error { return &Error{400, "AuthorizationQueryParametersError", msg} }
	var err error
	if c.date, err = time.Parse(stamp, c.stamp); err != nil || alg != algorithm || c.credential == "" || c.signed == "" {
		return nil, malformed("X-Amz-Algorithm, -Credential, -Date, -SignedHeaders and -Expires are needed.")
	}
	secs, err := strconv.Atoi(expires)
	if err != nil || secs < 1 || time.Duration(secs)*time.Second > MaxExpires {
		return nil, malformed("X-Amz-Expires must be from 1 to 604800 seconds.")
	}
	if c.date.Sub(now) > v.Skew {
		return nil, denied("RequestTimeTooSkewed", "The URL's date lies in the future.")
	}
	if now.Sub(c.date) > time.Duration(secs)*time.Second {
		return nil, denied("AccessDenied", "Request has expired")
	}
	if h := r.Headers.Get("x-amz-content-sha256"); h != nil {
		c.payload = string(h)
	}
	return v.check(r, path, strings.Join(kept, "&"), c, true)
}

func (v *Verifier) check(r *http1.Request, path, query string, c claim, pre bool) (*Auth, *Error) {
	id, scope, ok := strings.Cut(c.credential, "/")
	day, place, _ := strings.Cut(scope, "/")
	if !ok || day != c.stamp[:8] || place != v.Region+"/s3/aws4_request" {
		return nil, &Error{
			400, "AuthorizationHeaderMalformed",
			"The credential's scope must be DATE/" + v.Region + "/s3/aws4_request with the date of the request.",
		}
	}
	a := &Auth{KeyID: id, Presigned: pre, date: c.stamp, scope: scope}
	if err := a.payload(c.payload); err != nil {
		return nil, err
	}
	canonical, err := canonicalRequest(r, path, query, c.signed, c.payload)
	if err != nil {
		return nil, err
	}
	secret, known := v.Secret(id)
	if !known {
		return nil, denied("InvalidAccessKeyId", "The access key does not exist here.")
	}
	a.key = v.signingKey(secret, day)
	sum := sha256.Sum256(canonical)
	want := a.sign(algorithm, hex.EncodeToString(sum[:]))
	if subtle.ConstantTimeCompare([]byte(want), []byte(c.signature)) != 1 {
		return nil, denied("SignatureDoesNotMatch", "The request signature does not match: check the secret key and the signing method.")
	}
	a.signature = want
	return a, nil
}

func (a *Auth) payload(p string) *Error {
	switch p {
	case "UNSIGNED-PAYLOAD":
		a.Payload = Unsigned
	case "STREAMING-AWS4-HMAC-SHA256-PAYLOAD":
		a.Payload = Chunks
	case "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER":
		a.Payload = ChunksTrailer
	case "STREAMING-UNSIGNED-PAYLOAD-TRAILER":
		a.Payload = UnsignedTrailer
	default:
		a.Payload = Whole
		if n, err := hex.Decode(a.Hash[:], []byte(p[:min(len(p), 64)])); err != nil || n != 32 || len(p) != 64 {
			return &Error{400, "InvalidArgument", "x-amz-content-sha256 must be a SHA-256 or a known form."}
		}
	}
	return nil
}

// sign signs lines under the scope.
func (a *Auth) sign(kind string, lines ...string) string {
	m := hmac.New(sha256.New, a.key)
	m.Write([]byte(kind + "\n" + a.date + "\n" + a.scope + "\n" + strings.Join(lines, "\n")))
	return hex.EncodeToString(m.Sum(nil))
}

func (v *Verifier) signingKey(secret, day string) []byte {
	name := day + secret
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.derived[name]; k != nil {
		return k
	}
	k := mac(mac(mac(mac([]byte("AWS4"+secret), day), v.Region), "s3"), "aws4_request")
	if v.derived == nil || len(v.derived) >= maxDerived {
		v.derived = map[string][]byte{}
	}
	v.derived[name] = k
	return k
}

func mac(key []byte, text string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(text))
	return m.Sum(nil)
}

const emptyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// Chunk checks the signature of the next chunk, whose data has this SHA-256.
func (a *Auth) Chunk(sum [32]byte, signature string) bool {
	want := a.sign(algorithm+"-PAYLOAD", a.signature, emptyHash, hex.EncodeToString(sum[:]))
	a.signature = want
	return subtle.ConstantTimeCompare([]byte(want), []byte(signature)) == 1
}

// Trailer checks the signature over the trailer lines "name:value\n".
func (a *Auth) Trailer(lines []byte, signature string) bool {
	sum := sha256.Sum256(lines)
	want := a.sign(algorithm+"-TRAILER", a.signature, hex.EncodeToString(sum[:]))
	return subtle.ConstantTimeCompare([]byte(want), []byte(signature)) == 1
}

// canonicalRequest builds the text that is signed. Every x-amz- header must be in
// it, and Host: what is not signed could be changed on the way.
func canonicalRequest(r *http1.Request, path, query, signed, payload string) ([]byte, *Error) {
	names := strings.Split(signed, ";")
	if len(names) > 100 || !slices.IsSorted(names) || !slices.Contains(names, "host") {
		return nil, &Error{400, "AuthorizationHeaderMalformed", "SignedHeaders must be sorted and hold host."}
	}
	for _, h := range r.Headers {
		if len(h.Name) > 6 && http1.EqualFold(h.Name[:6], "x-amz-") {
			if _, ok := slices.BinarySearch(names, strings.ToLower(string(h.Name))); !ok {
				return nil, denied("AccessDenied", "There were headers present in the request which were not signed.")
			}
		}
	}
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, '\n')
	plain, ok := Unescape(path, false)
	if !ok {
		return nil, &Error{400, "InvalidURI", "The path is not validly escaped."}
	}
	b = AppendEscape(b, plain, true)
	b = append(b, '\n')
	var err *Error
	if b, err = appendQuery(b, query); err != nil {
		return nil, err
	}
	b = append(b, '\n')
	for _, n := range names {
		b = append(append(b, n...), ':')
		for i, first := 0, true; i < len(r.Headers); i++ {
			if !http1.EqualFold(r.Headers[i].Name, n) {
				continue
			}
			if !first {
				b = append(b, ',')
			}
			first = false
			b = appendCollapsed(b, r.Headers[i].Value)
		}
		b = append(b, '\n')
	}
	b = append(b, '\n')
	b = append(append(b, signed...), '\n')
	return append(b, payload...), nil
}

// appendCollapsed appends v with runs of blanks made one.
func appendCollapsed(b, v []byte) []byte {
	for i, c := range v {
		if c == ' ' && i > 0 && v[i-1] == ' ' {
			continue
		}
		b = append(b, c)
	}
	return b
}

func appendQuery(b []byte, query string) ([]byte, *Error) {
	if query == "" {
		return b, nil
	}
	type pair struct{ k, v string }
	pairs := make([]pair, 0, 8)
	for p := range strings.SplitSeq(query, "&") {
		if p == "" {
			continue
		}
		rk, rv, _ := strings.Cut(p, "=")
		k, ok1 := canonical(rk)
		v, ok2 := canonical(rv)
		if !ok1 || !ok2 {
			return nil, &Error{400, "InvalidURI", "The query is not validly escaped."}
		}
		pairs = append(pairs, pair{k, v})
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		if c := strings.Compare(x.k, y.k); c != 0 {
			return c
		}
		return strings.Compare(x.v, y.v)
	})
	for i, p := range pairs {
		if i > 0 {
			b = append(b, '&')
		}
		b = append(append(append(b, p.k...), '='), p.v...)
	}
	return b, nil
}

// canonical escapes a raw part of a query anew, in the one form that is signed.
// What has that form already, as clients mostly send it, is returned as it is.
func canonical(raw string) (string, bool) {
	for i := 0; i < len(raw); i++ {
		c := raw[i]
		if unreserved(c) {
			continue
		}
		if c != '%' || i+2 >= len(raw) || !upperHex(raw[i+1]) || !upperHex(raw[i+2]) || unreserved(unhex(raw[i+1])<<4|unhex(raw[i+2])) {
			plain, ok := Unescape(raw, true)
			return string(AppendEscape(nil, plain, false)), ok
		}
		i += 2
	}
	return raw, true
}

func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.' || c == '~'
}

func upperHex(c byte) bool { return '0' <= c && c <= '9' || 'A' <= c && c <= 'F' }

func unhex(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'A' + 10
}

// AppendEscape appends s in the specification's URI encoding: all but unreserved
// characters as %XX; slash kept where asked.
func AppendEscape(b []byte, s string, slash bool) []byte {
	const digits = "0123456789ABCDEF"
	for i := 0; i < len(s); i++ {
		c := s[i]
		if unreserved(c) || c == '/' && slash {
			b = append(b, c)
		} else {
			b = append(b, '%', digits[c>>4], digits[c&15])
		}
	}
	return b
}

// Unescape undoes %XX, and + for a blank where plus is set (in a query). It
// returns false on a broken escape.
func Unescape(s string, plus bool) (string, bool) {
	if strings.IndexByte(s, '%') < 0 && !(plus && strings.IndexByte(s, '+') >= 0) {
		return s, true
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '%':
			if i+2 >= len(s) {
				return "", false
			}
			var x [1]byte
			if _, err := hex.Decode(x[:], []byte(s[i+1:i+3])); err != nil {
				return "", false
			}
			b = append(b, x[0])
			i += 2
		case c == '+' && plus:
			b = append(b, ' ')
		default:
			b = append(b, c)
		}
	}
	return string(b), true
}
