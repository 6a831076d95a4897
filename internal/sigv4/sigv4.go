// Package sigv4 verifies requests that are signed with AWS Signature Version 4, as the object API's
// specification defines it. It supports the Authorization header, presigned URLs, and the streaming
// forms, which sign a body in chunks. It does no I/O, and its callers pass in the current time.
package sigv4

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"chalkstand/internal/http1"
)

const (
	algorithm   = "AWS4-HMAC-SHA256"
	scopeSuffix = "/s3/aws4_request"

	timestampFormat = "20060102T150405Z" // time layout of X-Amz-Date
	dayLength       = len("20060102")    // number of leading bytes of a timestamp that hold its day

	// MaxExpires is the longest validity of a presigned URL that the specification allows.
	MaxExpires = 7 * 24 * time.Hour

	// maxDerivedKeys is the highest number of signing keys in a Verifier's cache. A signing key is
	// valid for one day.
	maxDerivedKeys = 4096
)

// Auth describes the verified signature of a request, and verifies the signatures of its chunks.
type Auth struct {
	KeyID       string
	Presigned   bool
	Payload     Payload
	PayloadHash [sha256.Size]byte // SHA-256 that the client states for the body, if Payload is SignedPayload

	signingKey []byte // key derived from the secret for the scope
	timestamp  string
	scope      string
	signature  string // the signature verified last, which the signature of the next chunk covers
}

// Verifier verifies requests for one region. It is safe for concurrent use.
type Verifier struct {
	Region string
	Skew   time.Duration // largest accepted difference between the client's clock and the gateway's
	// Secret returns the secret of an access key, and false if the access key is unknown.
	Secret func(keyID string) (string, bool)

	mu          sync.Mutex
	derivedKeys map[string][]byte // cached signing keys by day and secret
}

// Verify verifies the signature over the head of the request r. now is the current time.
func (v *Verifier) Verify(now time.Time, r *http1.Request) (*Auth, *Error) {
	path, query, _ := bytes.Cut(r.Target, []byte("?"))
	if h := r.Headers.Get("authorization"); h != nil {
		return v.verifyAuthorization(now, r, string(h), string(path), string(query))
	}
	if bytes.Contains(query, []byte(signatureParameter+"=")) {
		return v.verifyPresigned(now, r, string(path), string(query))
	}
	return nil, forbidden(codeAccessDenied, "The request is not signed.")
}

// claim holds what a request states about its signature. Its values are not verified yet.
type claim struct {
	credential    string // text of the form KEY/DATE/REGION/s3/aws4_request
	signedHeaders string // names of the signed headers, separated by semicolons
	signature     string
	date          time.Time
	timestamp     string // date in the layout timestampFormat
	payload       string // value of the header x-amz-content-sha256
	presigned     bool   // The claim belongs to a presigned URL.
}

// verifyAuthorization verifies a request whose signature is in the Authorization header.
func (v *Verifier) verifyAuthorization(now time.Time, r *http1.Request, auth, path, query string) (*Auth, *Error) {
	c, err := parseAuthorization(auth)
	if err != nil {
		return nil, err
	}
	if err := c.parseDate(r.Headers); err != nil {
		return nil, err
	}
	if d := now.Sub(c.date); d > v.Skew || -d > v.Skew {
		return nil, forbidden(codeRequestTimeTooSkewed,
			"The difference between the request time and the current time is too large.")
	}
	c.payload = string(r.Headers.Get("x-amz-content-sha256"))
	if c.payload == "" {
		return nil, badRequest(codeInvalidRequest, "Missing required header for this request: x-amz-content-sha256")
	}
	return v.verifyClaim(r, path, query, c)
}

// verifyPresigned verifies a request whose signature is in the query of a presigned URL.
func (v *Verifier) verifyPresigned(now time.Time, r *http1.Request, path, query string) (*Auth, *Error) {
	p, err := parsePresigned(query)
	if err != nil {
		return nil, err
	}
	if p.date.Sub(now) > v.Skew {
		return nil, forbidden(codeRequestTimeTooSkewed, "The URL's date lies in the future.")
	}
	if now.Sub(p.date) > p.expires {
		return nil, forbidden(codeAccessDenied, "Request has expired")
	}
	if h := r.Headers.Get("x-amz-content-sha256"); h != nil {
		p.payload = string(h)
	}
	return v.verifyClaim(r, path, withoutSignature(query), p.claim)
}

// verifyClaim verifies the signature of a request whose date has been checked. query is the query
// string that the signature covers.
func (v *Verifier) verifyClaim(r *http1.Request, path, query string, c claim) (*Auth, *Error) {
	keyID, scope, ok := strings.Cut(c.credential, "/")
	day, rest, _ := strings.Cut(scope, "/")
	if !ok || day != c.timestamp[:dayLength] || rest != v.Region+scopeSuffix {
		return nil, badRequest(codeAuthorizationHeaderMalformed,
			"The credential's scope must be DATE/"+v.Region+scopeSuffix+" with the date of the request.")
	}
	a := &Auth{KeyID: keyID, Presigned: c.presigned, timestamp: c.timestamp, scope: scope}
	if err := a.parsePayload(c.payload); err != nil {
		return nil, err
	}
	canonical, err := canonicalRequest(r, path, query, c.signedHeaders, c.payload)
	if err != nil {
		return nil, err
	}
	secret, known := v.Secret(keyID)
	if !known {
		return nil, forbidden(codeInvalidAccessKeyID, "The access key does not exist here.")
	}
	a.signingKey = v.signingKey(secret, day)
	sum := sha256.Sum256(canonical)
	a.signature = a.sign(algorithm, hex.EncodeToString(sum[:]))
	if !equal(a.signature, c.signature) {
		return nil, forbidden(codeSignatureDoesNotMatch,
			"The request signature does not match: check the secret key and the signing method.")
	}
	return a, nil
}

// sign returns the signature of the string to sign, which consists of the algorithm, the timestamp,
// the scope, and the given lines.
func (a *Auth) sign(algorithm string, lines ...string) string {
	m := hmac.New(sha256.New, a.signingKey)
	m.Write([]byte(algorithm + "\n" + a.timestamp + "\n" + a.scope + "\n" + strings.Join(lines, "\n")))
	return hex.EncodeToString(m.Sum(nil))
}

// signingKey returns the signing key that is derived from a secret for the given day. It keeps the
// key in a cache, which it empties when the cache is full.
func (v *Verifier) signingKey(secret, day string) []byte {
	cacheKey := day + secret
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.derivedKeys[cacheKey]; k != nil {
		return k
	}
	k := hmacSHA256([]byte("AWS4"+secret), day)
	k = hmacSHA256(k, v.Region)
	k = hmacSHA256(k, "s3")
	k = hmacSHA256(k, "aws4_request")
	if v.derivedKeys == nil || len(v.derivedKeys) >= maxDerivedKeys {
		v.derivedKeys = map[string][]byte{}
	}
	v.derivedKeys[cacheKey] = k
	return k
}

func hmacSHA256(key []byte, text string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(text))
	return m.Sum(nil)
}

// equal reports whether two signatures are equal. The comparison takes the same time wherever the
// signatures differ, so that a client cannot guess a valid signature byte by byte.
func equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
