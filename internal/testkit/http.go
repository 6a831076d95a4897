package testkit

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"
)

// Response is an HTTP response whose body has been read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Close  bool // whether the gateway closes the connection after this response
}

// String returns the status and the first 1000 characters of the body, for failure messages.
func (r Response) String() string {
	return fmt.Sprintf("%d %s: %.1000s", r.Status, http.StatusText(r.Status), r.Body)
}

// Stream is an HTTP response whose body has not been read yet.
type Stream struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// NewRequest returns a request to the gateway that is signed with KeyID and Secret. The signature does not
// cover the payload. The path may include a query string.
func (s *Site) NewRequest(method, path string, body io.Reader) *http.Request {
	s.tb.Helper()
	r, err := s.signedRequest(method, path, nil, body)
	if err != nil {
		s.tb.Fatal(err)
	}
	return r
}

// Do sends a request to the gateway, signed as by NewRequest, and returns the response. If the exchange fails,
// Do stops the test.
func (s *Site) Do(method, path string, header http.Header, body io.Reader) Response {
	s.tb.Helper()
	resp, err := s.TryDo(method, path, header, body)
	if err != nil {
		s.tb.Fatal(err)
	}
	return resp
}

// TryDo is like Do, but returns the error. Goroutines that a test starts use TryDo, because only the test's own
// goroutine may stop the test.
func (s *Site) TryDo(method, path string, header http.Header, body io.Reader) (Response, error) {
	r, err := s.signedRequest(method, path, header, body)
	if err != nil {
		return Response{}, err
	}
	return RoundTrip(http.DefaultTransport, r)
}

// OpenStream sends a signed GET request and returns the response as soon as the response header has arrived.
// The test may close the body; otherwise the body is closed at the end of the test.
func (s *Site) OpenStream(path string) Stream {
	s.tb.Helper()
	stream, err := s.TryOpenStream(path)
	if err != nil {
		s.tb.Fatal(err)
	}
	return stream
}

// TryOpenStream is like OpenStream, but returns the error. Goroutines that a test starts use TryOpenStream,
// because only the test's own goroutine may stop the test.
func (s *Site) TryOpenStream(path string) (Stream, error) {
	r, err := s.signedRequest(http.MethodGet, path, nil, nil)
	if err != nil {
		return Stream{}, err
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return Stream{}, err
	}
	s.tb.Cleanup(func() {
		_ = resp.Body.Close() // the test may have closed the body already
	})
	return Stream{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// signedRequest returns a request with the given header, signed with KeyID and Secret at the current time.
func (s *Site) signedRequest(method, path string, header http.Header, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(s.tb.Context(), method, "http://"+s.Addr+path, body)
	if err != nil {
		return nil, err
	}
	maps.Copy(r.Header, header)
	SignRequest(r, KeyID, Secret, time.Now())
	return r, nil
}

// RoundTrip sends a request and reads the whole response. If reading the body fails, RoundTrip returns the
// error together with the status, the header and the part of the body read so far.
func RoundTrip(transport http.RoundTripper, r *http.Request) (Response, error) {
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return Response{}, err
	}
	return readResponse(resp)
}

// Get sends a GET request without an Authorization header to a URL, and returns the response.
func Get(tb testing.TB, url string) Response {
	tb.Helper()
	r, err := http.NewRequestWithContext(tb.Context(), http.MethodGet, url, nil)
	if err != nil {
		tb.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		tb.Fatal(err)
	}
	got, err := readResponse(resp)
	if err != nil {
		tb.Fatal(err)
	}
	return got
}

// ReadResponse reads one HTTP response from a connection and stops the test if that fails.
func ReadResponse(tb testing.TB, r *bufio.Reader) Response {
	tb.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		tb.Fatal(err)
	}
	got, err := readResponse(resp)
	if err != nil {
		tb.Fatal(err)
	}
	return got
}

// readResponse reads a response's body to its end and closes it. If reading fails, readResponse returns the
// error together with the part of the body read so far.
func readResponse(resp *http.Response) (Response, error) {
	body, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		err = fmt.Errorf("read body of response with status %d: %w", resp.StatusCode, err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close}, err
}

// ReadAll reads a body to its end, closes it and returns its content.
func ReadAll(tb testing.TB, body io.ReadCloser) []byte {
	tb.Helper()
	b, err := io.ReadAll(body)
	if closeErr := body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		tb.Fatal(err)
	}
	return b
}
