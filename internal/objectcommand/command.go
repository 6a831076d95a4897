// Package objectcommand is the codec of OBJ.GET and OBJ.PUT, the object commands of the platform's
// protocol, and of the replies that storage nodes send to them. It parses a command into a request
// of package dispatch, and a reply into the response information of package forwarder. It does no
// I/O.
package objectcommand

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/resp"
	"chalkstand/internal/simwire"
)

// Names of the object commands.
const (
	Get = "OBJ.GET"
	Put = "OBJ.PUT"
)

// Numbers of arguments of the object commands, including the command's name.
const (
	getArguments = 4
	putArguments = 5
)

// Limits of a command's arguments, except the body of OBJ.PUT.
const (
	maxIDBytes     = 64      // length of the client's request ID
	maxFieldsBytes = 1 << 10 // length of the list of names and values
	maxTimeout     = time.Hour
)

// hexIDLength is the number of hexadecimal digits in the ID of a piece of data or of a volume.
const hexIDLength = 16

// Schema holds the settings against which Parse checks a command.
type Schema struct {
	Classes     map[string]int // maps the name of a request class to its index
	Plans       map[string]int // maps the name of a plan to its index
	ClassWrites []bool         // whether each class writes, by its index; nil if that is unknown
	Shards      int            // number of shards; 0 if it is unknown
	MaxUnits    float64        // highest number of cost units of a request; 0 if there is no limit
}

// NewSchema returns the Schema that follows from the platform's settings.
func NewSchema(settings simwire.Settings) *Schema {
	s := &Schema{
		Classes:     map[string]int{},
		Plans:       map[string]int{},
		ClassWrites: settings.ClassWrites,
		Shards:      settings.Shards,
		MaxUnits:    settings.Dispatch.MaxUnits,
	}
	for i, class := range settings.Dispatch.Classes {
		s.Classes[class.Name] = i
	}
	for i, plan := range settings.Dispatch.Plans {
		s.Plans[plan.Name] = i
	}
	return s
}

// Command is a parsed object command. Its byte slices point into the arguments that Parse received.
type Command struct {
	Put     bool   // The command is OBJ.PUT and not OBJ.GET.
	Piece   []byte // ID of the piece of data, in hexadecimal digits
	ID      []byte // ID that the client gave the request
	Fields  []byte // list of names and values, such as "c=read,d=480"
	Body    []byte // data of OBJ.PUT
	Request dispatch.Request
}

// IsObjectCommand reports whether an argument is the name of an object command. The comparison
// ignores case.
func IsObjectCommand(arg []byte) bool { return HasName(arg, Get) || HasName(arg, Put) }

// HasName reports whether an argument is equal to a command's name. The comparison ignores case.
func HasName(arg []byte, name string) bool {
	return len(arg) == len(name) && strings.EqualFold(string(arg), name)
}

// Parse parses and checks the arguments of an object command. The first argument is the command's
// name. Parse leaves Request.ID unset. The caller sends the text of an error to the client.
func (s *Schema) Parse(args [][]byte) (Command, error) {
	c := Command{Put: HasName(args[0], Put)}
	wantArgs := getArguments
	if c.Put {
		wantArgs = putArguments
	}
	if len(args) != wantArgs {
		return Command{}, fmt.Errorf("expected %d words, got %d", wantArgs, len(args))
	}
	c.Piece = args[1]
	c.ID = args[2]
	c.Fields = args[3]
	if c.Put {
		c.Body = args[4]
	}
	switch {
	case !isHexID(c.Piece):
		return Command{}, errors.New("piece: expected 16 hex digits")
	case len(c.ID) == 0 || len(c.ID) > maxIDBytes || !isVisible(c.ID):
		return Command{}, fmt.Errorf("id: expected 1 to %d visible characters", maxIDBytes)
	case len(c.Fields) > maxFieldsBytes:
		return Command{}, fmt.Errorf("names and values: expected at most %d bytes", maxFieldsBytes)
	}
	if err := s.parseFields(string(c.Fields), &c.Request); err != nil {
		return Command{}, err
	}
	c.Request.Key = string(c.Piece)
	if s.ClassWrites != nil && s.ClassWrites[c.Request.Class] != c.Put {
		return Command{}, errors.New("c: expected a class that writes with OBJ.PUT, one that reads with OBJ.GET")
	}
	return c, nil
}

// isHexID reports whether b consists of exactly hexIDLength hexadecimal digits.
func isHexID[T []byte | string](b T) bool {
	for i := range len(b) {
		if !isHexDigit(b[i]) {
			return false
		}
	}
	return len(b) == hexIDLength
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// isVisible reports whether b consists of visible ASCII characters only. A space is not visible.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// AppendTo appends the command to dst in the form that the gateway sends to a node. The arguments
// are those of the client, except that the field d holds the remaining time. The time is given in
// whole milliseconds, is rounded up, and is at least 1.
func (c *Command) AppendTo(dst []byte, remaining time.Duration) []byte {
	milliseconds := max(int64((remaining+time.Millisecond-1)/time.Millisecond), 1)
	timeout := strconv.AppendInt(make([]byte, 0, 20), milliseconds, 10)
	from, end := c.timeoutValue()
	count, name := getArguments, Get
	if c.Put {
		count, name = putArguments, Put
	}
	dst = resp.AppendArrayHeader(dst, count)
	dst = resp.AppendBulk(dst, name)
	dst = resp.AppendBulk(dst, c.Piece)
	dst = resp.AppendBulk(dst, c.ID)
	dst = resp.AppendBulkHeader(dst, len(c.Fields)-(end-from)+len(timeout))
	dst = append(dst, c.Fields[:from]...)
	dst = append(dst, timeout...)
	dst = append(dst, c.Fields[end:]...)
	dst = append(dst, '\r', '\n')
	if c.Put {
		dst = resp.AppendBulk(dst, c.Body)
	}
	return dst
}

// timeoutValue returns the offsets in c.Fields at which the value of the field d begins and ends.
func (c *Command) timeoutValue() (from, end int) {
	const prefix = "d="
	for at := 0; at < len(c.Fields); at = end + 1 {
		end = len(c.Fields)
		if i := bytes.IndexByte(c.Fields[at:], ','); i >= 0 {
			end = at + i
		}
		if bytes.HasPrefix(c.Fields[at:end], []byte(prefix)) {
			return at + len(prefix), end
		}
	}
	return len(c.Fields), len(c.Fields)
}
