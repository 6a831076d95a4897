// Package sigv4client signs requests of the object API with the AWS SDK's signer, for the tools in lab and
// for tests.
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

// signers caches one signer for each pair of key ID and secret, of type *v4.Signer by aws.Credentials. A
// signer caches the keys that it derives, by key ID alone, so each secret needs a signer of its own.
var signers sync.Map

func signerFor(c aws.Credentials) *v4.Signer {
	s, ok := signers.Load(c)
	if !ok {
		newSigner := v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true })
		s, _ = signers.LoadOrStore(c, newSigner)
	}
	return s.(*v4.Signer)
}

// Request signs a request without signing its payload. It panics as Payload does.
func Request(r *http.Request, id, secret string, at time.Time) {
	Payload(r, id, secret, at, unsignedPayload)
}

// Payload signs a request whose payload has the hash, a hexadecimal SHA-256 or one of the protocol's constants
// such as UNSIGNED-PAYLOAD. It panics if the request cannot be signed, which is an error of the caller.
func Payload(r *http.Request, id, secret string, at time.Time, hash string) {
	r.Header.Set("x-amz-content-sha256", hash)
	cred := aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}
	if err := signerFor(cred).SignHTTP(r.Context(), cred, r, hash, service, region, at); err != nil {
		panic(err)
	}
}

// URL returns a presigned URL that is valid from the time at on for a number of seconds, given in decimal
// ("3600"). It panics as Payload does.
func URL(method, url, id, secret string, at time.Time, seconds string) string {
	separator := "?"
	if strings.Contains(url, "?") {
		separator = "&"
	}
	ctx := context.Background() // nothing is sent
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
