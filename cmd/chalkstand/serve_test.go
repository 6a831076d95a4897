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

// quickstartSecret is the secret of the access key in configs/quickstart.jsonc.
const quickstartSecret = "quickstart-secret"

// testDaemon is a gateway that the function serve runs in the process of the test.
type testDaemon struct {
	file   string     // path of the settings file
	listen string     // address of the object API
	admin  string     // address of the admin server
	trace  string     // path of the trace file
	done   chan error // receives the result of serve
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

// quickstartSettings returns the text of configs/quickstart.jsonc with the addresses and the
// trace file of the daemon.
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

// writeSettings replaces the content of the daemon's settings file.
func (d *testDaemon) writeSettings(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// listBuckets sends a request to list the buckets, signed with an access key. It returns the
// status of the response, or 0 if there is no response.
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

// metrics returns the metrics that the admin server serves.
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

// waitFor waits until a condition holds. If it does not hold within 10 seconds, waitFor fails
// the test with the message failure.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// stop stops the daemon with SIGTERM. It checks that serve returns no error and that the
// address no longer accepts connections.
func (d *testDaemon) stop(t *testing.T) {
	t.Helper()
	sendSignal(t, syscall.SIGTERM)
	select {
	case err := <-d.done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("serve: still running 20s after SIGTERM, want it to return")
	}
	var dialer net.Dialer
	if c, err := dialer.DialContext(t.Context(), "tcp", d.listen); err == nil {
		c.Close()
		t.Error("address of the object API: got a connection after serve returned, want none")
	}
}

// TestServeReloadsAndDrains runs serve with the settings of configs/quickstart.jsonc on other
// ports. It checks that serve answers requests, that SIGHUP loads a new key, that an invalid
// file changes nothing, that SIGTERM stops serve, and that the trace can be replayed.
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
	waitFor(t, "serve does not answer requests", func() bool { return d.listBuckets(t, "QUICKSTART") == 200 })
	if !strings.Contains(d.metrics(t), `chalkstand_requests_total{op="ListBuckets",status="2xx"}`) {
		t.Error("metrics: got no count of the ListBuckets request, want one")
	}

	d.writeSettings(t, strings.Replace(text, "QUICKSTART", "NEWKEY", 1))
	sendSignal(t, syscall.SIGHUP)
	waitFor(t, "the new key is not loaded", func() bool { return d.listBuckets(t, "NEWKEY") == 200 })
	if status := d.listBuckets(t, "QUICKSTART"); status != 403 {
		t.Errorf("request with the replaced key: got status %d, want 403", status)
	}

	d.writeSettings(t, "{")
	sendSignal(t, syscall.SIGHUP)
	if status := d.listBuckets(t, "NEWKEY"); status != 200 {
		t.Errorf("request after the reload of an invalid file: got status %d, want 200", status)
	}

	d.stop(t)
	out, err := runCommandLine("replay", d.trace)
	if err != nil || !strings.Contains(out, "events") {
		t.Fatalf("replay of the trace: got error %v, want none and the number of events; output:\n%s", err, out)
	}
}
