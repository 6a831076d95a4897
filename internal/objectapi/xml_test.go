package objectapi

import (
	"fmt"
	"testing"
)

// countedPause returns a Pause that counts its calls in n.
func countedPause(n *int) Pause {
	return func() bool {
		*n++
		return true
	}
}

// pauseAfter returns a Pause that ends the work in the call after n calls.
func pauseAfter(n int) Pause {
	return func() bool {
		n--
		return n >= 0
	}
}

func always() bool { return true }

// listOf1000 returns a list with encoded names.
func listOf1000() ListBucketResult {
	var r ListBucketResult
	for i := range 1000 {
		r.Contents = append(r.Contents, Content{Key: fmt.Sprintf("line-7/photo%%20%d", i)})
	}
	return r
}

// minPauses is the lowest number of pauses in the work on a document.
func minPauses(doc []byte) int { return len(doc) / 8192 }

// A document written with pauses is the same, and each pause can end the work.
func TestMarshalWithPauses(t *testing.T) {
	r := listOf1000()
	n := 0
	doc, ok := MarshalWithPauses(r, countedPause(&n))
	if !ok || string(doc) != string(Marshal(r)) || n < minPauses(doc) {
		t.Fatalf("%v, %d pauses for %d bytes", ok, n, len(doc))
	}
	for stop := range n {
		if _, ok := MarshalWithPauses(r, pauseAfter(stop)); ok {
			t.Fatalf("not ended by pause %d", stop)
		}
	}
}

// A document is read with pauses, and each pause can end the work.
func TestParseListWithPauses(t *testing.T) {
	doc := Marshal(listOf1000())
	n := 0
	page, err := ParseList(doc, countedPause(&n))
	if err != nil || n < minPauses(doc) {
		t.Fatalf("%d pauses, %v", n, err)
	}
	if len(page.Contents) != 1000 || page.Contents[999].Key != "line-7/photo 999" {
		t.Fatalf("%d names", len(page.Contents))
	}
	for stop := range n {
		if _, err := ParseList(doc, pauseAfter(stop)); err == nil {
			t.Fatalf("not ended by pause %d", stop)
		}
	}
}

func TestParseListRejectsTextAfterTheDocument(t *testing.T) {
	doc := Marshal(listOf1000())
	for _, tail := range []string{"x", "<a/>", "</a>"} {
		if _, err := ParseList(append(doc[:len(doc):len(doc)], tail...), always); err == nil {
			t.Errorf("%s after the document is accepted", tail)
		}
	}
}
