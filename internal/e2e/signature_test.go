package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	kit "chalkstand/internal/testkit"
)

// TestInvalidSignaturesAreRejected checks that the gateway rejects requests with an invalid signature, and requests
// whose access key has no permission for the bucket. No such request may reach a node.
func TestInvalidSignaturesAreRejected(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	b := createBucket(t, site, "photos")
	b.put(t, "k", []byte("x"))
	before := len(site.Log())
	checkClientsWithOtherKeys(t, site)
	checkChangedRequests(t, site)
	checkPresignedURLs(t, site)
	checkNothingReachedNodes(t, site, before)

	url := kit.PresignURL(http.MethodGet, objectURL(site), kit.KeyID, kit.Secret, time.Now(), "30")
	kit.CheckEqual(t, "GET of a presigned URL", kit.Get(t, url).Body, []byte("x"))
}

func objectURL(site *kit.Site) string {
	return "http://" + site.Addr + "/photos/k"
}

// clientWithKey returns an SDK client that uses the given access key and does not retry.
func clientWithKey(site *kit.Site, id, secret string) *s3.Client {
	return s3.New(s3.Options{
		BaseEndpoint:     aws.String("http://" + site.Addr),
		Region:           "us-east-1",
		UsePathStyle:     true,
		RetryMaxAttempts: 1,
		Credentials:      credentials.NewStaticCredentialsProvider(id, secret, ""),
	})
}

func checkClientsWithOtherKeys(t *testing.T, site *kit.Site) {
	t.Helper()
	get := &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("k")}
	_, err := clientWithKey(site, kit.KeyID, "wrong-secret").GetObject(t.Context(), get)
	checkErrorCode(t, err, "SignatureDoesNotMatch")
	_, err = clientWithKey(site, "NOBODY", "x").GetObject(t.Context(), get)
	checkErrorCode(t, err, "InvalidAccessKeyId")

	reader := clientWithKey(site, "READER", "reader-secret")
	put := &s3.PutObjectInput{Bucket: get.Bucket, Key: get.Key, Body: strings.NewReader("y")}
	_, err = reader.PutObject(t.Context(), put)
	checkErrorCode(t, err, "AccessDenied")
	otherBucket := &s3.GetObjectInput{Bucket: aws.String("other"), Key: aws.String("k")}
	_, err = reader.GetObject(t.Context(), otherBucket)
	checkErrorCode(t, err, "AccessDenied")
}

// checkChangedRequests sends requests that were changed after signing or were signed with a wrong time, and checks
// the error code of each response.
func checkChangedRequests(t *testing.T, site *kit.Site) {
	t.Helper()
	const incompleteHeader = "AWS4-HMAC-SHA256 Credential=x"
	for _, tt := range []struct {
		name, code string
		change     func(*http.Request)
	}{
		{"skewed time", "RequestTimeTooSkewed", func(r *http.Request) {
			kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now().Add(-time.Hour))
		}},
		{"other path", "SignatureDoesNotMatch", func(r *http.Request) { r.URL.Path = "/photos/other" }},
		{"added query", "SignatureDoesNotMatch", func(r *http.Request) { r.URL.RawQuery = "partNumber=1" }},
		{"unsigned header", "AccessDenied", func(r *http.Request) { r.Header.Set("x-amz-meta-sly", "1") }},
		{"no signature", "AccessDenied", func(r *http.Request) { r.Header.Del("Authorization") }},
		{"incomplete header", "AuthorizationHeaderMalformed", func(r *http.Request) {
			r.Header.Set("Authorization", incompleteHeader)
		}},
	} {
		r := site.NewRequest(http.MethodGet, "/photos/k", nil)
		tt.change(r)
		resp := kit.Must(kit.RoundTrip(http.DefaultTransport, r))(t)
		if !strings.Contains(string(resp.Body), "<Code>"+tt.code+"</Code>") {
			t.Errorf("%s: got %v, want the listed error code", tt.name, resp)
		}
	}
}

func checkPresignedURLs(t *testing.T, site *kit.Site) {
	t.Helper()
	now := time.Now()
	for _, tt := range []struct {
		name, code     string
		secret         string
		signed         time.Time
		validityPeriod string // in seconds
	}{
		{"expired", "AccessDenied", kit.Secret, now.Add(-time.Minute), "30"},
		{"valid too long", "AuthorizationQueryParametersError", kit.Secret, now, "604801"},
		{"wrong secret", "SignatureDoesNotMatch", "wrong-secret", now, "30"},
	} {
		url := kit.PresignURL(http.MethodGet, objectURL(site), kit.KeyID, tt.secret, tt.signed, tt.validityPeriod)
		resp := kit.Get(t, url)
		if resp.Status/100 != 4 || !strings.Contains(string(resp.Body), tt.code) {
			t.Errorf("presigned URL, %s: got %v, want a 4xx status and the listed error code", tt.name, resp)
		}
	}
}
