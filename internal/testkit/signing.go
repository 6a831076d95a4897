package testkit

import (
	"net/http"
	"time"

	"chalkstand/lab/sigv4client"
)

// SignRequest signs a request; at is the signing time. The signature does not cover the payload.
func SignRequest(r *http.Request, id, secret string, at time.Time) {
	sigv4client.Request(r, id, secret, at)
}

// SignPayload signs a request and its payload; at is the signing time, and hash is the payload's SHA-256 hash in
// hexadecimal.
func SignPayload(r *http.Request, id, secret string, at time.Time, hash string) {
	sigv4client.Payload(r, id, secret, at, hash)
}

// PresignURL returns a presigned URL that is valid from the time at for the given number of seconds. The text
// in seconds is a decimal number, such as "30".
func PresignURL(method, url, id, secret string, at time.Time, seconds string) string {
	return sigv4client.URL(method, url, id, secret, at, seconds)
}
