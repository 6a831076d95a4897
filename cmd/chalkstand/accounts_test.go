package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/internal/attributionreport"
	kit "chalkstand/internal/testkit"
)

// attributionServer starts an HTTP server with the attribution of a gateway that has answered
// 41 requests for the volume photos. It returns the handler of the server, and the --admin
// flag with the server's address.
func attributionServer(t *testing.T) (http.Handler, string) {
	t.Helper()
	s := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) {
		c.Timing, c.Cores, c.PerUnit = true, 2, time.Millisecond
	})
	send := func(method, path string, body io.Reader) {
		s.Do(method, path, nil, body)
	}
	send("PUT", "/photos", nil)
	for range 20 {
		send("PUT", "/photos/a", strings.NewReader("x"))
		send("GET", "/photos/a", nil)
	}
	s.Gateway.FlushAttribution()
	handler := s.Gateway.AttributionHandler()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return handler, "--admin=" + strings.TrimPrefix(server.URL, "http://")
}

func TestAccountsCommands(t *testing.T) {
	_, admin := attributionServer(t)
	for _, test := range []struct {
		args []string
		want []string
	}{
		{[]string{"accounts", "top", admin}, []string{"photos", "(all)", "41", "node_work"}},
		{
			[]string{"accounts", "volume", "photos", admin, "--since", "1m"},
			[]string{"41 requests, 41 answered", "node_work", "99 %", "percentiles are of 41"},
		},
		{[]string{"accounts", "blame", "photos", admin}, []string{"it waited behind", "behind it waited"}},
	} {
		out, err := runCommandLine(test.args...)
		for _, want := range test.want {
			if err != nil || !strings.Contains(out, want) {
				t.Errorf("command %v: got error %v, want none and %q in the output; output:\n%s", test.args, err, want, out)
			}
		}
	}
	out, err := runCommandLine("accounts", "volume", "photos", admin, "--json")
	var a attributionreport.Summary
	if err != nil || json.Unmarshal([]byte(out), &a) != nil ||
		a.Window.All.Requests != 41 || len(a.Window.Volumes) != 1 {
		t.Errorf("accounts volume --json: got error %v, want none and 41 requests of one volume; output:\n%s", err, out)
	}
}

func TestAccountsReport(t *testing.T) {
	_, admin := attributionServer(t)
	file := filepath.Join(t.TempDir(), "r.html")
	if _, err := runCommandLine("accounts", "report", admin, "--volume", "photos", "--out", file); err != nil {
		t.Error(err)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<h2>Volume photos</h2>", "data:image/png;base64,"} {
		if !bytes.Contains(b, []byte(want)) {
			t.Errorf("the report lacks %q", want)
		}
	}
}

func TestAccountsErrors(t *testing.T) {
	_, admin := attributionServer(t)
	oldLog := filepath.Join(t.TempDir(), "old.log")
	if err := os.WriteFile(oldLog, []byte("chalkstand accounts log 9\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		want string
		args []string
	}{
		{
			`volume "nope" has no line of its own in that time; the heaviest that have: photos`,
			[]string{"accounts", "volume", "nope", admin},
		},
		{`volume "nope"`, []string{"accounts", "blame", "nope", admin}},
		{`volume "nope"`, []string{"accounts", "report", "--volume", "nope", admin}},
		{"since: at most 23h55m0s is kept", []string{"accounts", "top", admin, "--since", "48h"}},
		{"must be greater than 0", []string{"accounts", "top", admin, "--since", "-1s"}},
		{"no gateway answers at --admin", []string{"accounts", "top", "--admin", "127.0.0.1:1"}},
		{`version "9"; this program reads version 1`, []string{"accounts", "top", "--log", oldLog}},
		{"no such file", []string{"accounts", "top", "--log", oldLog + "x"}},
	} {
		_, err := runCommandLine(test.args...)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("command %v: got error %v, want an error with %q", test.args, err, test.want)
		}
	}
}

func TestAttributionHandlerRejectsInvalidQueries(t *testing.T) {
	handler, _ := attributionServer(t)
	for _, query := range []string{"?since=x", "?since=-1s", "?slots=maybe", "?span=1m"} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/accounts"+query, nil)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != http.StatusBadRequest {
			t.Errorf("query %s: got status %d with body %s, want 400", query, w.Code, w.Body)
		}
	}
}
