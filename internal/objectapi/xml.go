package objectapi

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
)

// YieldFunc is a function that the package calls every few kilobytes while it parses or encodes a
// document, so that the caller can run other work. It returns true to continue the document, and
// false to abandon it. A nil YieldFunc is never called.
type YieldFunc func() bool

// errAbandoned is the error of work that was abandoned because a YieldFunc returned false.
var errAbandoned = errors.New("objectapi: abandoned by the caller")

// Marshal returns v as an XML document, which begins with the XML declaration.
func Marshal(v any) []byte {
	doc, _ := MarshalWithYield(v, nil)
	return doc
}

// MarshalWithYield encodes v like Marshal and calls yield at intervals. ok is false if yield
// abandoned the work.
func MarshalWithYield(v any, yield YieldFunc) (doc []byte, ok bool) {
	w := yieldingWriter{yield: yield}
	w.WriteString(xml.Header)
	err := xml.NewEncoder(&w).Encode(v)
	if errors.Is(err, errAbandoned) {
		return nil, false
	}
	if err != nil {
		panic("objectapi: a document type cannot be encoded: " + err.Error())
	}
	return w.Bytes(), true
}

// unmarshal parses doc into v like xml.Unmarshal and calls yield at intervals.
func unmarshal(doc []byte, v any, yield YieldFunc) error {
	if yield == nil {
		return xml.Unmarshal(doc, v)
	}
	r := &yieldingReader{yield: yield}
	r.doc.Reset(doc)
	d := xml.NewDecoder(r)
	if err := d.Decode(v); err != nil {
		return err
	}
	return expectEnd(d)
}

// expectEnd returns an error if an element or text follows the document. xml.Unmarshal does not
// check this. White space, comments, directives and processing instructions may follow.
func expectEnd(d *xml.Decoder) error {
	for {
		token, err := d.Token()
		switch token := token.(type) {
		case nil:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case xml.StartElement, xml.EndElement:
			return errors.New("objectapi: more than one document")
		case xml.CharData:
			if len(bytes.TrimSpace(token)) > 0 {
				return errors.New("objectapi: text after the document")
			}
		}
	}
}

// yieldingReader reads a document and calls yield before each read. It has no ReadByte method, so
// that xml.Decoder wraps it in a buffer and reads it in blocks.
type yieldingReader struct {
	doc   bytes.Reader
	yield YieldFunc
}

func (r *yieldingReader) Read(b []byte) (int, error) {
	if r.yield != nil && !r.yield() {
		return 0, errAbandoned
	}
	return r.doc.Read(b)
}

// yieldingWriter collects a document in a buffer and calls yield before each write of a block.
type yieldingWriter struct {
	bytes.Buffer
	yield YieldFunc
}

func (w *yieldingWriter) Write(b []byte) (int, error) {
	if w.yield != nil && !w.yield() {
		return 0, errAbandoned
	}
	return w.Buffer.Write(b)
}
