package main

import (
	"bytes"
	"chalkstand/fake/storagenode"
	"chalkstand/internal/attributionreport"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// run runs a command and returns what it wrote.
func run(args ...string) (string, error) {
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// The account commands against a gateway: what they show, and how they fail.
func TestAccountCommands(t *testing.T) {
	s := kit.Start(t, kit.Settings(1), func(_ int, c *storagenode.Config) { c.Timing, c.Cores, c.PerUnit = true, 2, time.Millisecond })
	s.Signed("PUT", "/photos", nil, nil).Body.Close()
	for range 20 {
		s.Signed("PUT", "/photos/a", nil, strings.NewReader("x")).Body.Close()
		kit.ReadAll(t, s.Signed("GET", "/photos/a", nil, nil).Body)
	}
	s.G.FlushAttribution()
	srv := httptest.NewServer(s.G.AttributionHandler())
	defer srv.Close()
	admin := "--admin=" + strings.TrimPrefix(srv.URL, "http://")

	for _, x := range []struct {
		args []string
		want []string
	}{
		{[]string{"accounts", "top", admin}, []string{"photos", "(all)", "41", "node_work"}},
		{[]string{"accounts", "volume", "photos", admin, "--since", "1m"}, []string{"41 requests, 41 answered", "node_work", "99 %", "percentiles are of 41"}},
		{[]string{"accounts", "blame", "photos", admin}, []string{"it waited behind", "behind it waited"}},
	} {
		out, err := run(x.args...)
		for _, w := range x.want {
			if err != nil || !strings.Contains(out, w) {
				t.Errorf("%v: %v, %q is not in\n%s", x.args, err, w, out)
			}
		}
	}
	out, err := run("accounts", "volume", "photos", admin, "--json")
	var a attributionreport.Summary
	if err != nil || json.Unmarshal([]byte(out), &a) != nil || a.Window.All.Requests != 41 || len(a.Window.Volumes) != 1 {
		t.Errorf("as JSON: %v\n%s", err, out)
	}
	file := filepath.Join(t.TempDir(), "r.html")
	if _, err := run("accounts", "report", admin, "--volume", "photos", "--out", file); err != nil {
		t.Error(err)
	}
	if b, _ := os.ReadFile(file); !bytes.Contains(b, []byte("<h2>Volume photos</h2>")) || !bytes.Contains(b, []byte("data:image/png;base64,")) {
		t.Error("the report lacks its pictures")
	}

	old := filepath.Join(t.TempDir(), "old.log")
	os.WriteFile(old, []byte("chalkstand accounts log 9\n"), 0o600)
	for _, x := range []struct {
		want string
		args []string
	}{
		{`volume "nope" has no line of its own in that time; the heaviest that have: photos`, []string{"accounts", "volume", "nope", admin}},
		{`volume "nope"`, []string{"accounts", "blame", "nope", admin}},
		{`volume "nope"`, []string{"accounts", "report", "--volume", "nope", admin}},
		{"since: at most 23h55m0s is kept", []string{"accounts", "top", admin, "--since", "48h"}},
		{"want a time above 0", []string{"accounts", "top", admin, "--since", "-1s"}},
		{"no gateway answers at --admin", []string{"accounts", "top", "--admin", "127.0.0.1:1"}},
		{`version "9"; this program reads version 1`, []string{"accounts", "top", "--log", old}},
		{"no such file", []string{"accounts", "top", "--log", old + "x"}},
	} {
		if _, err := run(x.args...); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%v: %v, want %s", x.args, err, x.want)
		}
	}
	for _, q := range []string{"?since=x", "?since=-1s", "?slots=maybe", "?span=1m"} {
		r := httptest.NewRecorder()
		s.G.AttributionHandler().ServeHTTP(r, httptest.NewRequest("GET", "/accounts"+q, nil))
		if r.Code != 400 {
			t.Errorf("%s: %d %s", q, r.Code, r.Body)
		}
	}
}
