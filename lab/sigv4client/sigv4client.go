// Package sigv4client signs requests to the object API with the signer of the AWS SDK. The tools in lab and tests
// use it as clients.
package sigv4client

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
)

const (
	region          = "us-east-1"
	service         = "s3"
	unsignedPayload = "UNSIGNED-PAYLOAD"
)

// signers maps aws.Credentials to a *v4.Signer, one for each pair of key ID and secret. A signer caches the keys
// that it derives by key ID alone, so each secret needs a signer of its own.
var signers sync.Map

func signerFor(c aws.Credentials) *v4.Signer {
	s, ok := signers.Load(c)
	if !ok {
		newSigner := v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true })
		s, _ = signers.LoadOrStore(c, newSigner)
	}
	return s.(*v4.Signer)
}

// Request signs a request without its payload. Like Payload, it panics if the request cannot be signed.
func Request(r *http.Request, id, secret string, at time.Time) {
	Payload(r, id, secret, at, unsignedPayload)
}

// Payload signs a request and the hash of its payload. The hash is a hexadecimal SHA-256 or one of the constants of
// the protocol, such as UNSIGNED-PAYLOAD. Payload panics if the request cannot be signed, because that is a bug in
// the caller.
func Payload(r *http.Request, id, secret string, at time.Time, hash string) {
	r.Header.Set("x-amz-content-sha256", hash)
	cred := aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}
	if err := signerFor(cred).SignHTTP(r.Context(), cred, r, hash, service, region, at); err != nil {
		panic(err)
	}
}

// URL returns a presigned URL that becomes valid at the time at and stays valid for the given number of seconds, a
// decimal number such as "3600". Like Payload, it panics if the request cannot be signed.
func URL(method, url, id, secret string, at time.Time, seconds string) string {
	separator := "?"
	if strings.Contains(url, "?") {
		separator = "&"
	}
	ctx := context.Background() // URL does not send the request, so there is nothing to cancel
	r, err := http.NewRequestWithContext(ctx, method, url+separator+"X-Amz-Expires="+seconds, nil)
	if err != nil {
		panic(err)
	}
	cred := aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}
	u, _, err := signerFor(cred).PresignHTTP(ctx, cred, r, unsignedPayload, service, region, at)
	if err != nil {
		panic(err)
	}
	return u
}
