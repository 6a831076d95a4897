package sigv4

import (
	"testing"
	"time"

	"chalkstand/internal/http1"
)

// FuzzVerify checks that Verify returns either an Auth or an error for inputs that no signer
// produces. The tests in internal/e2e check valid signatures with the signer of the SDK.
func FuzzVerify(f *testing.F) {
	f.Add("AWS4-HMAC-SHA256 Credential=ID/20261201/us-east-1/s3/aws4_request, SignedHeaders=host, Signature=00",
		"/k?x=y", "20261201T120000Z", "UNSIGNED-PAYLOAD")
	f.Add("",
		"/k?X-Amz-Signature=0&X-Amz-Date=20261201T120000Z&X-Amz-Expires=5&X-Amz-Algorithm=AWS4-HMAC-SHA256"+
			"&X-Amz-SignedHeaders=host&X-Amz-Credential=a/b", "", "")
	f.Add("AWS4-HMAC-SHA256 Credential=,SignedHeaders=,Signature=", "/", "x", "y")
	v := &Verifier{
		Region: "us-east-1",
		Skew:   time.Minute,
		Secret: func(string) (string, bool) { return "secret", true },
	}
	now, err := time.Parse(timestampFormat, "20261201T120000Z")
	if err != nil {
		f.Fatal(err)
	}
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
			t.Fatalf("Verify must return either an Auth or an error: got Auth %+v and error %v", a, err)
		}
	})
}

func TestEscapeAndUnescape(t *testing.T) {
	for plain, escaped := range map[string]string{
		"a b/ü~": "a%20b/%C3%BC~",
		"+&=%":   "%2B%26%3D%25",
	} {
		if got := string(AppendEscape(nil, plain, true)); got != escaped {
			t.Errorf("AppendEscape of %q: got %q, want %q", plain, got, escaped)
		}
		if got, ok := Unescape(escaped, true); !ok || got != plain {
			t.Errorf("Unescape of %q: got %q, want %q", escaped, got, plain)
		}
	}
}

func TestCanonicalEscape(t *testing.T) {
	for raw, want := range map[string]string{
		"a-b_c.~9": "a-b_c.~9",
		"%2F":      "%2F",
		"%2f":      "%2F",
		"%41":      "A",
		"a+b":      "a%20b",
		"a/b":      "a%2Fb",
		"a=b":      "a%3Db",
	} {
		if got, ok := canonicalEscape(raw); !ok || got != want {
			t.Errorf("canonicalEscape of %q: got %q, want %q", raw, got, want)
		}
	}
}

func TestInvalidEscapesAreRejected(t *testing.T) {
	for _, invalid := range []string{"%", "%4", "a%zz"} {
		if _, ok := Unescape(invalid, false); ok {
			t.Errorf("Unescape accepted the invalid escape %q", invalid)
		}
		if _, ok := canonicalEscape(invalid); ok {
			t.Errorf("canonicalEscape accepted the invalid escape %q", invalid)
		}
	}
}
