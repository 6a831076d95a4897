// Package chalkstand_test holds the checks on the module's size.
package chalkstand_test

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

const maxLines, maxColumns = 1000, 110

// The module stays short enough to be read at night.
func TestModuleStaysReadable(t *testing.T) {
	text, err := os.ReadFile("dispatch/dispatcher.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, l := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(l) != "" {
			lines++
		}
		if w := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); w > maxColumns {
			t.Errorf("dispatch/dispatcher.go:%d: %d columns, at most %d", i+1, w, maxColumns)
		}
	}
	if lines > maxLines || lines == 0 {
		t.Errorf("dispatch/dispatcher.go: %d lines, at most %d", lines, maxLines)
	}
}
