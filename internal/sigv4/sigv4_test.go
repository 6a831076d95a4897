package sigv4

import (
	"testing"
	"time"

	"chalkstand/internal/http1"
)

// The signer of the checks here is the SDK's own, in internal/e2e; these cases are
// of odd words that no signer writes.
func FuzzVerify(f *testing.F) {
	f.Add("AWS4-HMAC-SHA256 Credential=ID/20261201/us-east-1/s3/aws4_request, SignedHeaders=host, Signature=00", "/k?x=y", "20261201T120000Z", "UNSIGNED-PAYLOAD")
	f.Add("", "/k?X-Amz-Signature=0&X-Amz-Date=20261201T120000Z&X-Amz-Expires=5&X-Amz-Algorithm=AWS4-HMAC-SHA256&X-Amz-SignedHeaders=host&X-Amz-Credential=a/b", "", "")
	f.Add("AWS4-HMAC-SHA256 Credential=,SignedHeaders=,Signature=", "/", "x", "y")
	v := &Verifier{Region: "us-east-1", Skew: time.Minute, Secret: func(string) (string, bool) { return "secret", true }}
	now, _ := time.Parse(stamp, "20261201T120000Z")
	f.Fuzz(func(t *testing.T, auth, target, date, sum string) {
		r := &http1.Request{Method: []byte("GET"), Target: []byte(target), Headers: http1.Headers{
			{Name: []byte("Host"), Value: []byte("h")},
			{Name: []byte("x-amz-date"), Value: []byte(date)},
			{Name: []byte("x-amz-content-sha256"), Value: []byte(sum)},
		}}
		if auth != "" {
			r.Headers = append(r.Headers, http1.Header{Name: []byte("Authorization"), Value: []byte(auth)})
		}
		if a, err := v.Verify(now, r); (a == nil) == (err == nil) {
			t.Fatalf("%+v %v", a, err)
		}
	})
}

func TestEscapes(t *testing.T) {
	for in, want := range map[string]string{"a b/ü~": "a%20b/%C3%BC~", "+&=%": "%2B%26%3D%25"} {
		if got := string(AppendEscape(nil, in, true)); got != want {
			t.Errorf("%q: %q", in, got)
		}
		if back, ok := Unescape(want, true); !ok || back != in {
			t.Errorf("%q: back %q", want, back)
		}
	}
	for in, want := range map[string]string{"a-b_c.~9": "a-b_c.~9", "%2F": "%2F", "%2f": "%2F", "%41": "A", "a+b": "a%20b", "a/b": "a%2Fb", "a=b": "a%3Db"} {
		if got, ok := canonical(in); !ok || got != want {
			t.Errorf("%q: canonical %q", in, got)
		}
	}
	for _, bad := range []string{"%", "%4", "a%zz"} {
		if _, ok := Unescape(bad, false); ok {
			t.Errorf("%q is taken", bad)
		}
		if _, ok := canonical(bad); ok {
			t.Errorf("%q is taken in a query", bad)
		}
	}
}
