package testkit

import (
	"net/http"
	"time"

	"chalkstand/lab/sigv4client"
)

// SignRequest signs a request whose payload is unsigned.
func SignRequest(r *http.Request, id, secret string, at time.Time) {
	sigv4client.Request(r, id, secret, at)
}

// SignPayload signs a request whose payload has the given SHA-256 hash, in hex.
func SignPayload(r *http.Request, id, secret string, at time.Time, hash string) {
	sigv4client.Payload(r, id, secret, at, hash)
}

// PresignURL returns a presigned URL that is valid for the given number of seconds, in decimal.
func PresignURL(method, url, id, secret string, at time.Time, seconds string) string {
	return sigv4client.URL(method, url, id, secret, at, seconds)
}
