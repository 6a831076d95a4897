package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkstand/internal/testkit"
)

const quickstartSecret = "quickstart-secret"

// testDaemon is a gateway that runs serve in the test's process.
type testDaemon struct {
	file   string // its settings
	listen string
	admin  string
	trace  string
	done   chan error // what serve returned
}

// freeTestAddress returns a loopback address with a free port.
func freeTestAddress(t *testing.T) string {
	t.Helper()
	addr, err := freeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// quickstartSettings returns the quick start's settings with the daemon's addresses and trace.
func (d *testDaemon) quickstartSettings(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../configs/quickstart.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer(
		"127.0.0.1:9000", d.listen,
		"127.0.0.1:9001", d.admin,
		`"region"`, fmt.Sprintf(`"trace": %q, "region"`, d.trace),
	).Replace(string(text))
}

func (d *testDaemon) writeSettings(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// listBuckets lists the buckets with an access key and returns the status, or 0 without a response.
func (d *testDaemon) listBuckets(t *testing.T, keyID string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.listen+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	testkit.SignRequest(r, keyID, quickstartSecret, time.Now())
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
	return resp.StatusCode
}

// metrics returns the admin server's metrics.
func (d *testDaemon) metrics(t *testing.T) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.admin+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return string(b)
}

// sendSignal sends a signal to the test's own process.
func sendSignal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// stop ends the daemon with SIGTERM and checks that it ended without an error and listens no more.
func (d *testDaemon) stop(t *testing.T) {
	t.Helper()
	sendSignal(t, syscall.SIGTERM)
	select {
	case err := <-d.done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("serve does not end")
	}
	var dialer net.Dialer
	if c, err := dialer.DialContext(t.Context(), "tcp", d.listen); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// The quick start's settings on other ports: serve answers requests, SIGHUP brings a new key and an
// invalid file changes nothing, SIGTERM ends it, and its trace replays.
func TestServeReloadsAndDrains(t *testing.T) {
	dir := t.TempDir()
	d := &testDaemon{
		file:   filepath.Join(dir, "c.jsonc"),
		listen: freeTestAddress(t),
		admin:  freeTestAddress(t),
		trace:  filepath.Join(dir, "trace"),
		done:   make(chan error, 1),
	}
	text := d.quickstartSettings(t)
	d.writeSettings(t, text)
	go func() { d.done <- serve(context.Background(), d.file) }()
	waitFor(t, "it does not serve", func() bool { return d.listBuckets(t, "QUICKSTART") == 200 })
	if !strings.Contains(d.metrics(t), `chalkstand_requests_total{op="ListBuckets",status="2xx"}`) {
		t.Error("no count of the request in the metrics")
	}

	d.writeSettings(t, strings.Replace(text, "QUICKSTART", "NEWKEY", 1))
	sendSignal(t, syscall.SIGHUP)
	waitFor(t, "the new key is not loaded", func() bool { return d.listBuckets(t, "NEWKEY") == 200 })
	if status := d.listBuckets(t, "QUICKSTART"); status != 403 {
		t.Errorf("the old key: %d", status)
	}

	d.writeSettings(t, "{")
	sendSignal(t, syscall.SIGHUP)
	if status := d.listBuckets(t, "NEWKEY"); status != 200 {
		t.Errorf("after an invalid file: %d", status)
	}

	d.stop(t)
	out, err := runCommandLine("replay", d.trace)
	if err != nil || !strings.Contains(out, "events") {
		t.Fatalf("%v\n%s", err, out)
	}
}
