// Package sigv4client signs requests of the object API with the SDK's own signer, for
// drills, benchmarks and tests.
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

const region = "us-east-1"

// signers has one signer for each pair of key and secret. It is kept, because a load
// that derives its keys anew with each request is a lighter load; one for each secret,
// because the SDK's signer looks up the keys it derived without the secret.
var signers sync.Map // aws.Credentials to *v4.Signer

func signer(c aws.Credentials) *v4.Signer {
	s, ok := signers.Load(c)
	if !ok {
		s, _ = signers.LoadOrStore(c, v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true }))
	}
	return s.(*v4.Signer)
}

// Request signs a request, its payload unsigned.
func Request(r *http.Request, id, secret string, at time.Time) {
	Payload(r, id, secret, at, "UNSIGNED-PAYLOAD")
}

// Payload signs a request whose payload has the hash, or the form, given. It panics
// where the request cannot be signed, which only its making can cause.
func Payload(r *http.Request, id, secret string, at time.Time, hash string) {
	r.Header.Set("x-amz-content-sha256", hash)
	cred := aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}
	if err := signer(cred).SignHTTP(context.Background(), cred, r, hash, "s3", region, at); err != nil {
		panic(err)
	}
}

// URL returns a URL that is valid for so many seconds ("3600") from at on. It panics
// as Payload does.
func URL(method, url, id, secret string, at time.Time, life string) string {
	sep := "?"
	if strings.Contains(url, "?") {
		sep = "&"
	}
	r, err := http.NewRequest(method, url+sep+"X-Amz-Expires="+life, nil)
	if err != nil {
		panic(err)
	}
	cred := aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}
	u, _, err := signer(cred).PresignHTTP(context.Background(), cred, r, "UNSIGNED-PAYLOAD", "s3", region, at)
	if err != nil {
		panic(err)
	}
	return u
}
