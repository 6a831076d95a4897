package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chalkstand/gateway"
)

func TestPrintUsage(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	before := &usageSnapshot{at: at, Shares: []gateway.VolumeUsage{
		{Volume: "loans", Weight: 1, LoopTime: time.Second, Bytes: 1 << 20},
		{Volume: "quiet", Weight: 1, LoopTime: time.Second},
	}}
	now := &usageSnapshot{at: at.Add(2 * time.Second), Shares: []gateway.VolumeUsage{
		{Volume: "loans", Weight: 1, LoopTime: 1200 * time.Millisecond, Bytes: 5 << 20, Waiting: 3, RateLimited: true},
		{Volume: "photos", Weight: 4, LoopTime: 800 * time.Millisecond, Bytes: 64 << 20, WaitingResponses: 7},
		{Volume: "quiet", Weight: 1, LoopTime: time.Second},
	}}
	var out strings.Builder
	printUsage(&out, before, now, 20)
	want := `03:04:07                         weight  share %      MiB/s   waits  streams 
photos                                4     80.0       32.0       0        7 
loans                                 1     20.0        2.0       3        0 paced

`
	if out.String() != want {
		t.Errorf("usage table: got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestFetchUsageErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   string
	}{
		{"truncated body", http.StatusOK, `{"shares": [`, "invalid response from the gateway"},
		{"unknown path", http.StatusNotFound, "", "expected a gateway of this version"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body) // A write error shows up as a different response.
			}))
			defer s.Close()
			_, err := fetchUsage(t.Context(), s.Listener.Addr().String())
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("fetchUsage: got error %v, want an error with %q", err, test.want)
			}
		})
	}
}
