package objectapi

import (
	"fmt"
	"testing"
)

// countingYield returns a YieldFunc that counts its calls in *n and always continues the work.
func countingYield(n *int) YieldFunc {
	return func() bool {
		*n++
		return true
	}
}

// abandonAfter returns a YieldFunc that continues the work in its first n calls and abandons it in the
// next one.
func abandonAfter(n int) YieldFunc {
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

// minYields returns the lowest accepted number of calls of a YieldFunc while doc is parsed or encoded.
func minYields(doc []byte) int { return len(doc) / 8192 }

// TestMarshalWithYield checks that a YieldFunc does not change the encoded document, and that each call
// of the YieldFunc can abandon the work.
func TestMarshalWithYield(t *testing.T) {
	r := listOf1000()
	n := 0
	doc, ok := MarshalWithYield(r, countingYield(&n))
	if !ok || string(doc) != string(Marshal(r)) || n < minYields(doc) {
		t.Fatalf("encoding with a YieldFunc: got ok %v and %d calls of it for a document of %d bytes", ok, n, len(doc))
	}
	for stop := range n {
		if _, ok := MarshalWithYield(r, abandonAfter(stop)); ok {
			t.Fatalf("the call %d of the YieldFunc, counted from 0, did not abandon the encoding", stop)
		}
	}
}

// TestParseListWithYield checks that a document is parsed correctly with a YieldFunc, and that each call
// of the YieldFunc can abandon the work.
func TestParseListWithYield(t *testing.T) {
	doc := Marshal(listOf1000())
	n := 0
	page, err := ParseList(doc, countingYield(&n))
	if err != nil || n < minYields(doc) {
		t.Fatalf("parsing with a YieldFunc: got %d calls of it and error %v", n, err)
	}
	if len(page.Contents) != 1000 || page.Contents[999].Key != "line-7/photo 999" {
		t.Fatalf("parsed list: got %d names, want 1000 with decoded keys", len(page.Contents))
	}
	for stop := range n {
		if _, err := ParseList(doc, abandonAfter(stop)); err == nil {
			t.Fatalf("the call %d of the YieldFunc, counted from 0, did not abandon the parsing", stop)
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
