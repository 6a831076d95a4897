package objectapi

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
)

// Pause is a function that the package calls every few kilobytes while it parses or encodes a
// document. It returns true to continue the work, and false to abandon it. A nil Pause is never
// called.
type Pause func() bool

// errAbandoned is the error of work that was abandoned because a Pause returned false.
var errAbandoned = errors.New("objectapi: abandoned in a pause")

// Marshal returns v as an XML document, which begins with the XML declaration.
func Marshal(v any) []byte {
	doc, _ := MarshalWithPauses(v, nil)
	return doc
}

// MarshalWithPauses encodes v like Marshal and calls pause at intervals. ok is false if pause
// abandoned the work.
func MarshalWithPauses(v any, pause Pause) (doc []byte, ok bool) {
	w := pausingWriter{pause: pause}
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

// unmarshal parses doc into v like xml.Unmarshal and calls pause at intervals.
func unmarshal(doc []byte, v any, pause Pause) error {
	if pause == nil {
		return xml.Unmarshal(doc, v)
	}
	r := &pausingReader{pause: pause}
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

// pausingReader reads a document and calls pause before each read. It has no ReadByte method, so
// that xml.Decoder wraps it in a buffer and reads it in blocks.
type pausingReader struct {
	doc   bytes.Reader
	pause Pause
}

func (p *pausingReader) Read(b []byte) (int, error) {
	if p.pause != nil && !p.pause() {
		return 0, errAbandoned
	}
	return p.doc.Read(b)
}

// pausingWriter collects a document in a buffer and calls pause before each write of a block.
type pausingWriter struct {
	bytes.Buffer
	pause Pause
}

func (p *pausingWriter) Write(b []byte) (int, error) {
	if p.pause != nil && !p.pause() {
		return 0, errAbandoned
	}
	return p.Buffer.Write(b)
}
