package testkit

import (
	"context"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
)

// SignRequest signs a request, its payload unsigned, with the SDK's own signer.
func SignRequest(r *http.Request, id, secret string, at time.Time) {
	SignPayload(r, id, secret, at, "UNSIGNED-PAYLOAD")
}

// SignPayload signs a request whose payload has the hash, or the form, given.
func SignPayload(r *http.Request, id, secret string, at time.Time, hash string) {
	r.Header.Set("x-amz-content-sha256", hash)
	s := v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true })
	cred := aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}
	if err := s.SignHTTP(context.Background(), cred, r, hash, "s3", "us-east-1", at); err != nil {
		panic(err)
	}
}

// PresignURL returns a URL that is valid for a time from at on.
func PresignURL(method, url, id, secret string, at time.Time, life string) string {
	r, err := http.NewRequest(method, url+"?X-Amz-Expires="+life, nil)
	if err != nil {
		panic(err)
	}
	s := v4.NewSigner(func(o *v4.SignerOptions) { o.DisableURIPathEscaping = true })
	u, _, err := s.PresignHTTP(context.Background(), aws.Credentials{AccessKeyID: id, SecretAccessKey: secret}, r, "UNSIGNED-PAYLOAD", "s3", "us-east-1", at)
	if err != nil {
		panic(err)
	}
	return u
}
