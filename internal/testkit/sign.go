package testkit

import "chalkstand/lab/sigv4client"

// The ways to sign a request.
var (
	SignRequest = sigv4client.Request
	SignPayload = sigv4client.Payload
	PresignURL  = sigv4client.URL
)
