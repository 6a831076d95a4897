package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// A log of accounts that an earlier build saved gives the same figures, as text and as JSON.
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
			have, err := runCommandLine(args...)
			if err != nil || have != string(want) {
				t.Errorf("%v\n%s\nwant\n%s", err, have, want)
			}
		})
	}
}
