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
	Close  bool // the gateway closes the connection after it
}

// String returns the status and the beginning of the body, for error messages.
func (r Response) String() string {
	return fmt.Sprintf("%d %s: %.1000s", r.Status, http.StatusText(r.Status), r.Body)
}

// Stream is an HTTP response whose body the test reads as it comes.
type Stream struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// NewRequest returns a request to the gateway, signed with the test key, whose payload is unsigned. The path
// may have a query.
func (s *Site) NewRequest(method, path string, body io.Reader) *http.Request {
	s.tb.Helper()
	r, err := s.signedRequest(method, path, nil, body)
	if err != nil {
		s.tb.Fatal(err)
	}
	return r
}

// Do sends a signed request with an unsigned payload and returns its response.
func (s *Site) Do(method, path string, header http.Header, body io.Reader) Response {
	s.tb.Helper()
	resp, err := s.TryDo(method, path, header, body)
	if err != nil {
		s.tb.Fatal(err)
	}
	return resp
}

// TryDo is Do for goroutines of a test, which may not end it.
func (s *Site) TryDo(method, path string, header http.Header, body io.Reader) (Response, error) {
	r, err := s.signedRequest(method, path, header, body)
	if err != nil {
		return Response{}, err
	}
	return RoundTrip(http.DefaultTransport, r)
}

// OpenStream sends a signed GET and returns its response once its header is there. The body is closed at the
// end of the test at the latest.
func (s *Site) OpenStream(path string) Stream {
	s.tb.Helper()
	stream, err := s.TryOpenStream(path)
	if err != nil {
		s.tb.Fatal(err)
	}
	return stream
}

// TryOpenStream is OpenStream for goroutines of a test, which may not end it.
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
		_ = resp.Body.Close() // may have been closed by the test
	})
	return Stream{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func (s *Site) signedRequest(method, path string, header http.Header, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(s.tb.Context(), method, "http://"+s.Addr+path, body)
	if err != nil {
		return nil, err
	}
	maps.Copy(r.Header, header)
	SignRequest(r, KeyID, Secret, time.Now())
	return r, nil
}

// RoundTrip sends a request and reads its response. The response has a status also where its body could not
// be read to the end.
func RoundTrip(transport http.RoundTripper, r *http.Request) (Response, error) {
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return Response{}, err
	}
	return readResponse(resp)
}

// Get returns the response to an unsigned GET of a URL.
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

// ReadResponse reads a response from a connection.
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

// readResponse reads a response's body to its end and closes it. With an error it returns what was read.
func readResponse(resp *http.Response) (Response, error) {
	body, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		err = fmt.Errorf("body of the response with status %d: %w", resp.StatusCode, err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close}, err
}

// ReadAll reads a body to its end and closes it.
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
