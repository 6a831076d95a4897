// Package sigv4 verifies requests that are signed with AWS Signature Version 4, as the object
// API's specification has it: the Authorization header, presigned URLs and the streaming
// forms. It does no I/O; the time is passed in.
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

	stampFormat = "20060102T150405Z" // of X-Amz-Date
	dayLength   = len("20060102")    // bytes of a stamp that name its day

	// MaxExpires is the longest validity of a presigned URL, by the specification.
	MaxExpires = 7 * 24 * time.Hour

	// maxDerivedKeys bounds the cache of signing keys. A key is used for one day.
	maxDerivedKeys = 4096
)

// Auth is a verified signature.
type Auth struct {
	KeyID       string
	Presigned   bool
	Payload     Payload
	PayloadHash [sha256.Size]byte // of the body, if Payload is SignedPayload

	signingKey []byte // derived for the scope
	stamp      string
	scope      string
	signature  string // the last one verified: that of the next chunk depends on it
}

// Verifier verifies requests for one region. It is safe for concurrent use.
type Verifier struct {
	Region string
	Skew   time.Duration // accepted between the client's clock and this one
	// Secret returns the secret of an access key.
	Secret func(keyID string) (string, bool)

	mu          sync.Mutex
	derivedKeys map[string][]byte // by day and secret
}

// Verify verifies the head of r at the time now.
func (v *Verifier) Verify(now time.Time, r *http1.Request) (*Auth, *Error) {
	path, query, _ := bytes.Cut(r.Target, []byte("?"))
	if h := r.Headers.Get("authorization"); h != nil {
		return v.verifyHeader(now, r, string(h), string(path), string(query))
	}
	if bytes.Contains(query, []byte(signatureParameter+"=")) {
		return v.verifyPresigned(now, r, string(path), string(query))
	}
	return nil, denied(codeAccessDenied, "The request is not signed.")
}

// claim is what a request states about its signature.
type claim struct {
	credential    string // KEY/DATE/REGION/s3/aws4_request
	signedHeaders string // names, separated by semicolons
	signature     string
	date          time.Time
	stamp         string // date in stampFormat
	payload       string // value of x-amz-content-sha256
	presigned     bool
}

// verifyHeader verifies a request with an Authorization header.
func (v *Verifier) verifyHeader(now time.Time, r *http1.Request, auth, path, query string) (*Auth, *Error) {
	c, err := parseAuthorization(auth)
	if err != nil {
		return nil, err
	}
	if err := c.parseDate(r.Headers); err != nil {
		return nil, err
	}
	if d := now.Sub(c.date); d > v.Skew || -d > v.Skew {
		return nil, denied(codeRequestTimeTooSkewed,
			"The difference between the request time and the current time is too large.")
	}
	c.payload = string(r.Headers.Get("x-amz-content-sha256"))
	if c.payload == "" {
		return nil, invalid(codeInvalidRequest, "Missing required header for this request: x-amz-content-sha256")
	}
	return v.verifyClaim(r, path, query, c)
}

// verifyPresigned verifies a request with a presigned URL.
func (v *Verifier) verifyPresigned(now time.Time, r *http1.Request, path, query string) (*Auth, *Error) {
	p, err := parsePresigned(query)
	if err != nil {
		return nil, err
	}
	if p.date.Sub(now) > v.Skew {
		return nil, denied(codeRequestTimeTooSkewed, "The URL's date lies in the future.")
	}
	if now.Sub(p.date) > p.expires {
		return nil, denied(codeAccessDenied, "Request has expired")
	}
	if h := r.Headers.Get("x-amz-content-sha256"); h != nil {
		p.payload = string(h)
	}
	return v.verifyClaim(r, path, withoutSignature(query), p.claim)
}

// verifyClaim verifies the signature of a request whose date has been checked. query is the
// query string as it is signed.
func (v *Verifier) verifyClaim(r *http1.Request, path, query string, c claim) (*Auth, *Error) {
	keyID, scope, ok := strings.Cut(c.credential, "/")
	day, rest, _ := strings.Cut(scope, "/")
	if !ok || day != c.stamp[:dayLength] || rest != v.Region+scopeSuffix {
		return nil, invalid(codeAuthorizationHeaderMalformed,
			"The credential's scope must be DATE/"+v.Region+scopeSuffix+" with the date of the request.")
	}
	a := &Auth{KeyID: keyID, Presigned: c.presigned, stamp: c.stamp, scope: scope}
	if err := a.parsePayload(c.payload); err != nil {
		return nil, err
	}
	canonical, err := canonicalRequest(r, path, query, c.signedHeaders, c.payload)
	if err != nil {
		return nil, err
	}
	secret, known := v.Secret(keyID)
	if !known {
		return nil, denied(codeInvalidAccessKeyID, "The access key does not exist here.")
	}
	a.signingKey = v.signingKey(secret, day)
	sum := sha256.Sum256(canonical)
	a.signature = a.sign(algorithm, hex.EncodeToString(sum[:]))
	if !equal(a.signature, c.signature) {
		return nil, denied(codeSignatureDoesNotMatch,
			"The request signature does not match: check the secret key and the signing method.")
	}
	return a, nil
}

// sign returns the signature over a string to sign of the given algorithm and lines.
func (a *Auth) sign(algorithm string, lines ...string) string {
	m := hmac.New(sha256.New, a.signingKey)
	m.Write([]byte(algorithm + "\n" + a.stamp + "\n" + a.scope + "\n" + strings.Join(lines, "\n")))
	return hex.EncodeToString(m.Sum(nil))
}

// signingKey returns the signing key of a secret for a day.
func (v *Verifier) signingKey(secret, day string) []byte {
	name := day + secret
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.derivedKeys[name]; k != nil {
		return k
	}
	k := hmacSHA256([]byte("AWS4"+secret), day)
	k = hmacSHA256(k, v.Region)
	k = hmacSHA256(k, "s3")
	k = hmacSHA256(k, "aws4_request")
	if v.derivedKeys == nil || len(v.derivedKeys) >= maxDerivedKeys {
		v.derivedKeys = map[string][]byte{}
	}
	v.derivedKeys[name] = k
	return k
}

func hmacSHA256(key []byte, text string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(text))
	return m.Sum(nil)
}

// equal compares two signatures in constant time.
func equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
