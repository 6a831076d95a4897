package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestStoredAccountsLog checks that the commands print the stored output for an attribution
// log that an earlier build wrote, as text and as JSON.
func TestStoredAccountsLog(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		want string
	}{
		{"top", []string{"accounts", "top"}, "accounts-top.txt"},
		{"volume", []string{"accounts", "volume", "photos"}, "accounts-volume.txt"},
		{"blame", []string{"accounts", "blame", "photos"}, "accounts-blame.txt"},
		{"top as JSON", []string{"accounts", "top", "--json"}, "accounts-top.json"},
	} {
		t.Run(c.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", c.want))
			if err != nil {
				t.Fatal(err)
			}
			log := filepath.Join("testdata", "accounts.log")
			args := slices.Concat(c.args, []string{"--log", log, "--since", "24h"})
			got, err := runCommandLine(args...)
			if err != nil || got != string(want) {
				t.Errorf("stored log: got error %v and output\n%s\nwant\n%s", err, got, want)
			}
		})
	}
}
