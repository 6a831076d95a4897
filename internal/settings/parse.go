package settings

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Load reads and validates a settings file. If the content of the file is invalid, the error
// is a *ConfigError.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse decodes and validates the text of a settings file. A setting that the text does not
// contain keeps its default value. Every error is a *ConfigError with the given file name.
func Parse(file string, text []byte) (*Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	s := Default()
	if err := findUnknown(&root, reflect.TypeFor[Settings](), ""); err != nil {
		return nil, err.at(file, text)
	}
	if err := decode(&root, reflect.ValueOf(&s).Elem(), ""); err != nil {
		return nil, err.at(file, text)
	}
	if err := s.check(); err != nil {
		err.File = file
		err.Line = lineOf(text, offsetOf(&root, err.Field))
		return nil, err
	}
	return &s, nil
}

// syntaxError converts an error of the parser. It extracts the line number from the error
// text because the parser does not provide it in another form.
func syntaxError(file string, err error) *ConfigError {
	line := 1
	var column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); n < 1 {
		line = 1
	}
	return &ConfigError{File: file, Line: line, Problem: strings.TrimPrefix(err.Error(), "hujson: ")}
}

// lineOf returns the line number of a byte offset in text. The first line has number 1.
func lineOf(text []byte, offset int) int {
	before := text[:min(max(offset, 0), len(text))]
	return 1 + bytes.Count(before, []byte("\n"))
}

// offsetOf returns the byte offset of a field's value. If the file does not contain the
// field, offsetOf returns the offset of the innermost enclosing value that it contains.
func offsetOf(root *hujson.Value, field string) int {
	pointer := "/" + strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(field)
	for pointer != "" && pointer != "/" {
		if v := root.Find(pointer); v != nil {
			return v.StartOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return 0
}

// decodeError is a ConfigError whose position is given as a byte offset in the file.
type decodeError struct {
	ConfigError
	offset int
}

// at returns the ConfigError with the file name and with the line number of the offset.
func (e *decodeError) at(file string, text []byte) *ConfigError {
	err := e.ConfigError
	err.File = file
	err.Line = lineOf(text, e.offset)
	return &err
}
