package objectapi

import (
	"fmt"
	"testing"
)

// countingPause returns a Pause that counts its calls in *n and always continues the work.
func countingPause(n *int) Pause {
	return func() bool {
		*n++
		return true
	}
}

// abandonAfter returns a Pause that continues the work in its first n calls and abandons it in the
// next one.
func abandonAfter(n int) Pause {
	return func() bool {
		n--
		return n >= 0
	}
}

func alwaysContinue() bool { return true }

// listOf1000 returns a list of 1000 objects whose keys are encoded for encoding-type=url.
func listOf1000() ListBucketResult {
	var r ListBucketResult
	for i := range 1000 {
		r.Contents = append(r.Contents, Content{Key: fmt.Sprintf("line-7/photo%%20%d", i)})
	}
	return r
}

// minPauses returns the lowest accepted number of calls of a Pause while doc is parsed or encoded.
func minPauses(doc []byte) int { return len(doc) / 8192 }

// TestMarshalWithPauses checks that a Pause does not change the encoded document, and that each call
// of the Pause can abandon the work.
func TestMarshalWithPauses(t *testing.T) {
	r := listOf1000()
	n := 0
	doc, ok := MarshalWithPauses(r, countingPause(&n))
	if !ok || string(doc) != string(Marshal(r)) || n < minPauses(doc) {
		t.Fatalf("encoding with a Pause: got ok %v and %d pauses for a document of %d bytes", ok, n, len(doc))
	}
	for stop := range n {
		if _, ok := MarshalWithPauses(r, abandonAfter(stop)); ok {
			t.Fatalf("the call %d of the Pause, counted from 0, did not abandon the encoding", stop)
		}
	}
}

// TestParseListWithPauses checks that a document is parsed correctly with a Pause, and that each call
// of the Pause can abandon the work.
func TestParseListWithPauses(t *testing.T) {
	doc := Marshal(listOf1000())
	n := 0
	page, err := ParseList(doc, countingPause(&n))
	if err != nil || n < minPauses(doc) {
		t.Fatalf("parsing with a Pause: got %d pauses and error %v", n, err)
	}
	if len(page.Contents) != 1000 || page.Contents[999].Key != "line-7/photo 999" {
		t.Fatalf("parsed list: got %d names, want 1000 with decoded keys", len(page.Contents))
	}
	for stop := range n {
		if _, err := ParseList(doc, abandonAfter(stop)); err == nil {
			t.Fatalf("the call %d of the Pause, counted from 0, did not abandon the parsing", stop)
		}
	}
}

func TestParseListRejectsTextAfterTheDocument(t *testing.T) {
	doc := Marshal(listOf1000())
	for _, tail := range []string{"x", "<a/>", "</a>"} {
		if _, err := ParseList(append(doc[:len(doc):len(doc)], tail...), alwaysContinue); err == nil {
			t.Errorf("the text %q after the document was accepted", tail)
		}
	}
}
