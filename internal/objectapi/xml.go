package objectapi

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
)

// Pause is called every few kilobytes while a document is read or written. It returns true
// when the work may go on, and false if it is to be abandoned. A nil Pause is never called.
type Pause func() bool

// errAbandoned is returned by work that a Pause has ended.
var errAbandoned = errors.New("objectapi: abandoned in a pause")

// Marshal returns v as an XML document with its declaration.
func Marshal(v any) []byte {
	doc, _ := MarshalWithPauses(v, nil)
	return doc
}

// MarshalWithPauses is Marshal with pauses. ok is false if one of them ended the work.
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

// unmarshal is xml.Unmarshal with pauses.
func unmarshal(doc []byte, v any, pause Pause) error {
	if pause == nil {
		return xml.Unmarshal(doc, v)
	}
	r := &pausingReader{pause: pause}
	r.r.Reset(doc)
	d := xml.NewDecoder(r)
	if err := d.Decode(v); err != nil {
		return err
	}
	return expectEnd(d)
}

// expectEnd checks that nothing but white space and comments follows a document. This is
// stricter than xml.Unmarshal.
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

// pausingReader calls pause before each read. It has no ReadByte, so that the decoder
// buffers it and reads in blocks.
type pausingReader struct {
	r     bytes.Reader
	pause Pause
}

func (p *pausingReader) Read(b []byte) (int, error) {
	if p.pause != nil && !p.pause() {
		return 0, errAbandoned
	}
	return p.r.Read(b)
}

// pausingWriter calls pause before each write of a block.
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
