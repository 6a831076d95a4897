package main

import (
	"bytes"
	"chalkstand/internal/testkit"
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
)

func freeAddr(t *testing.T) string {
	a, err := freePort()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func get(t *testing.T, addr, id, secret string) int {
	t.Helper()
	r, _ := http.NewRequest("GET", "http://"+addr+"/", nil)
	testkit.SignRequest(r, id, secret, time.Now())
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// The quick start's settings, on other ports: it serves, SIGHUP brings a new key and
// a bad file changes nothing, SIGTERM ends it, and its record replays.
func TestServeReloadsAndDrains(t *testing.T) {
	text, err := os.ReadFile("../../configs/quickstart.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	listen, admin := freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	file, record := filepath.Join(dir, "c.jsonc"), filepath.Join(dir, "trace")
	s := strings.NewReplacer("127.0.0.1:9000", listen, "127.0.0.1:9001", admin, `"region"`, fmt.Sprintf(`"trace": %q, "region"`, record)).Replace(string(text))
	write := func(s string) {
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(s)
	done := make(chan error, 1)
	go func() { done <- serve(context.Background(), file) }()
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	until("it does not serve", func() bool { return get(t, listen, "QUICKSTART", "quickstart-secret") == 200 })
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if !bytes.Contains(b, []byte(`chalkstand_requests_total{op="ListBuckets",status="2xx"}`)) {
		t.Error("no count of the request in the metrics")
	}
	write(strings.Replace(s, "QUICKSTART", "NEWKEY", 1))
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	until("the new key is not taken over", func() bool { return get(t, listen, "NEWKEY", "quickstart-secret") == 200 })
	if c := get(t, listen, "QUICKSTART", "quickstart-secret"); c != 403 {
		t.Errorf("the old key: %d", c)
	}
	write("{")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if c := get(t, listen, "NEWKEY", "quickstart-secret"); c != 200 {
		t.Errorf("after a bad file: %d", c)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end")
	}
	if c, err := net.Dial("tcp", listen); err == nil {
		c.Close()
		t.Error("still listening")
	}
	var out bytes.Buffer
	cmd := root()
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"replay", record})
	if err := cmd.Execute(); err != nil || !strings.Contains(out.String(), "events") {
		t.Fatalf("%v\n%s", err, out.String())
	}
}

func TestCommandsExplainThemselves(t *testing.T) {
	for _, args := range [][]string{
		{"--help"},
		{"serve", "--help"},
		{"node", "--help"},
		{"badday", "--help"},
		{"bench", "--help"},
		{"replay", "--help"},
		{"check-config", "--help"},
		{"version"},
		{"check-config", "../../configs/quickstart.jsonc"},
		{"badday", "--print-script"},
	} {
		var out bytes.Buffer
		cmd := root()
		cmd.SetOut(&out)
		cmd.SetArgs(args)
		if err := cmd.Execute(); err != nil || out.Len() < 20 {
			t.Errorf("%v: %v\n%s", args, err, out.String())
		}
	}
	for _, args := range [][]string{{"serve"}, {"serve", "--config", "none"}, {"check-config", "../../README.md"}, {"replay", "../../README.md"}, {"frobnicate"}} {
		cmd := root()
		cmd.SetOut(io.Discard)
		cmd.SetErr(io.Discard)
		cmd.SetArgs(args)
		if cmd.Execute() == nil {
			t.Errorf("%v is taken", args)
		}
	}
}
