// Package objectcommand is the codec of the object commands of the platform's protocol, OBJ.GET and
// OBJ.PUT, and of the replies of storage nodes. It parses commands into requests of package dispatch
// and replies into response information of package forwarder. It does no I/O.
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

// Names of the commands.
const (
	Get = "OBJ.GET"
	Put = "OBJ.PUT"
)

// Numbers of arguments, the command's name included.
const (
	getArguments = 4
	putArguments = 5
)

// Bounds of a command's arguments except its body.
const (
	maxIDBytes     = 64
	maxFieldsBytes = 1 << 10
	maxTimeout     = time.Hour
)

// hexIDLength is the length of the ids of pieces and volumes, in hex digits.
const hexIDLength = 16

// Schema holds the settings that commands are checked against.
type Schema struct {
	Classes     map[string]int // index of a request class by its name
	Plans       map[string]int // index of a plan by its name
	ClassWrites []bool         // by class, whether it writes; nil: not known
	Shards      int            // 0: not known
	MaxUnits    float64        // of a request; 0: no bound
}

// NewSchema returns the schema of the platform's settings.
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

// Command is an object command. Its byte slices are parts of the arguments that it was parsed from.
type Command struct {
	Put     bool
	Piece   []byte // id of the piece of data, in hex digits
	ID      []byte // the client's id of the request
	Fields  []byte // list of names and values
	Body    []byte // of OBJ.PUT
	Request dispatch.Request
}

// IsObjectCommand reports whether an argument is the name of an object command, in any case.
func IsObjectCommand(arg []byte) bool { return HasName(arg, Get) || HasName(arg, Put) }

// HasName reports whether an argument is a command's name, in any case.
func HasName(arg []byte, name string) bool {
	return len(arg) == len(name) && strings.EqualFold(string(arg), name)
}

// Parse parses and checks the arguments of an object command, of which the first is its name. The
// command's Request has no ID. The text of an error is sent to the client.
func (s *Schema) Parse(args [][]byte) (Command, error) {
	c := Command{Put: HasName(args[0], Put)}
	want := getArguments
	if c.Put {
		want = putArguments
	}
	if len(args) != want {
		return Command{}, fmt.Errorf("expected %d words, got %d", want, len(args))
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

// isHexID reports whether b is an id of hex digits.
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

// isVisible reports whether b consists of visible ASCII characters.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// AppendTo appends the command in the form in which it is sent to a node: the arguments are unchanged,
// except the field d, which is the remaining time in milliseconds, rounded up, 1 at least.
func (c *Command) AppendTo(to []byte, remaining time.Duration) []byte {
	milliseconds := max(int64((remaining+time.Millisecond-1)/time.Millisecond), 1)
	timeout := strconv.AppendInt(make([]byte, 0, 20), milliseconds, 10)
	from, end := c.timeoutValue()
	count, name := getArguments, Get
	if c.Put {
		count, name = putArguments, Put
	}
	to = resp.AppendArrayHeader(to, count)
	to = resp.AppendBulk(to, name)
	to = resp.AppendBulk(to, c.Piece)
	to = resp.AppendBulk(to, c.ID)
	to = resp.AppendBulkHeader(to, len(c.Fields)-(end-from)+len(timeout))
	to = append(to, c.Fields[:from]...)
	to = append(to, timeout...)
	to = append(to, c.Fields[end:]...)
	to = append(to, '\r', '\n')
	if c.Put {
		to = resp.AppendBulk(to, c.Body)
	}
	return to
}

// timeoutValue returns the position of the value of d in the fields.
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
