// Package objectcommand is the object commands of the platform's protocol: OBJ.GET and OBJ.PUT
// with their list of names and values, and what storage nodes answer. It turns words
// into requests of package dispatch, and answers into the words of package forwarder. It
// decides nothing and does no I/O.
package objectcommand

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/resp"
	"chalkstand/internal/simwire"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The commands.
const (
	Get = "OBJ.GET"
	Put = "OBJ.PUT"
)

// Bounds of a command's words beside its body, in bytes.
const (
	maxID   = 64
	maxList = 1 << 10
)

// longest is the longest deadline that is taken.
const longest = time.Hour

// Schema are the settings that a command must fit.
type Schema struct {
	Classes map[string]int
	Plans   map[string]int
	Writes  []bool // by class; none: not told
	Shards  int    // 0: not told
	Largest float64
}

// NewSchema takes the terms from the settings.
func NewSchema(s simwire.Settings) *Schema {
	t := &Schema{Classes: map[string]int{}, Plans: map[string]int{}, Writes: s.ClassWrites, Shards: s.Shards, Largest: s.Choice.MaxUnits}
	for i, c := range s.Choice.Classes {
		t.Classes[c.Name] = i
	}
	for i, p := range s.Choice.Plans {
		t.Plans[p.Name] = i
	}
	return t
}

// Command is one request as its client sent it. Its words are parts of what was parsed.
type Command struct {
	Put               bool
	Piece, ID, Fields []byte
	Body              []byte
	Request           dispatch.Request // without an ID
}

// IsObjectCommand tells whether a word names one of the object commands.
func IsObjectCommand(word []byte) bool { return HasName(word, Get) || HasName(word, Put) }

// HasName tells whether a word is a command's name, in whatever case.
func HasName(word []byte, name string) bool {
	return len(word) == len(name) && strings.EqualFold(string(word), name)
}

// Parse reads a command's words. The error tells what was expected.
func (t *Schema) Parse(words [][]byte) (Command, error) {
	c := Command{Put: HasName(words[0], Put)}
	want := 4
	if c.Put {
		want = 5
	}
	if len(words) != want {
		return c, fmt.Errorf("expected %d words, got %d", want, len(words))
	}
	c.Piece, c.ID, c.Fields = words[1], words[2], words[3]
	if c.Put {
		c.Body = words[4]
	}
	switch {
	case !hex16(c.Piece):
		return c, errors.New("piece: expected 16 hex digits")
	case len(c.ID) == 0 || len(c.ID) > maxID || !visible(c.ID):
		return c, fmt.Errorf("id: expected 1 to %d visible characters", maxID)
	case len(c.Fields) > maxList:
		return c, fmt.Errorf("names and values: expected at most %d bytes", maxList)
	}
	r := &c.Request
	r.Class, r.Plan, r.Shard, r.Dispatchers = -1, -1, dispatch.AnyShard-1, 0
	if err := t.fields(string(c.Fields), r); err != nil {
		return c, err
	}
	r.Key = string(c.Piece)
	if t.Writes != nil && t.Writes[r.Class] != c.Put {
		return c, errors.New("c: expected a class that writes with OBJ.PUT, one that reads with OBJ.GET")
	}
	return c, nil
}

// fields reads the list of names and values. Unknown names are left alone.
func (t *Schema) fields(list string, r *dispatch.Request) error {
	seen := 0
	for pair := range strings.SplitSeq(list, ",") {
		name, v, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("expected name=value, got %q", pair)
		}
		bit, err := t.field(name, v, r)
		if err != nil {
			return err
		}
		if seen&bit != 0 {
			return fmt.Errorf("%s: given twice", name)
		}
		seen |= bit
	}
	for i, name := range needed {
		if seen&(1<<i) == 0 {
			return fmt.Errorf("%s: missing", name)
		}
	}
	return nil
}

// needed are the names that a request must have; their places are bits in fields.
var needed = []string{"c", "t", "d", "volume", "units", "shard", "hosts"}

func (t *Schema) field(name, v string, r *dispatch.Request) (bit int, err error) {
	ok := true
	switch name {
	case "c":
		r.Class, ok = t.Classes[v]
		return 1, want(ok, name, "a class of the settings", v)
	case "t":
		r.Plan, ok = t.Plans[v]
		return 2, want(ok, name, "a plan of the settings", v)
	case "d":
		ms, ok := simwire.Finite(v)
		ok = ok && ms > 0 && ms <= float64(longest/time.Millisecond)
		if ok {
			r.Timeout = time.Duration(ms * float64(time.Millisecond))
		}
		return 4, want(ok, name, "milliseconds above 0, an hour at most", v)
	case "volume":
		r.Volume = dispatch.VolumeID(v)
		return 8, want(hex16([]byte(v)), name, "16 hex digits", v)
	case "units":
		r.Units, ok = simwire.Finite(v)
		ok = ok && r.Units > 0 && (t.Largest <= 0 || r.Units <= t.Largest)
		return 16, want(ok, name, fmt.Sprintf("above 0, %g at most", t.Largest), v)
	case "shard":
		s, err := strconv.Atoi(v)
		r.Shard = dispatch.Shard(s)
		ok = err == nil && s >= int(dispatch.AnyShard) && s < 1<<24 && (t.Shards <= 0 || s < t.Shards)
		return 32, want(ok, name, fmt.Sprintf("-1 to %d", t.Shards-1), v)
	case "hosts":
		r.Dispatchers, err = strconv.Atoi(v)
		return 64, want(err == nil && r.Dispatchers >= 1 && r.Dispatchers < 1<<16, name, "1 or more", v)
	}
	return 0, nil
}

func want(ok bool, name, expected, got string) error {
	if ok {
		return nil
	}
	return fmt.Errorf("%s: expected %s, got %q", name, expected, got[:min(len(got), 40)])
}

func hex16(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(b) == 16
}

func visible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// AppendTo appends the command as a node is sent it: all words as they came, but for how
// long the answer is waited for.
func (c *Command) AppendTo(to []byte, left time.Duration) []byte {
	ms := strconv.AppendInt(make([]byte, 0, 20), max(int64((left+time.Millisecond-1)/time.Millisecond), 1), 10)
	from, end := c.patience()
	words, name := 4, Get
	if c.Put {
		words, name = 5, Put
	}
	to = resp.AppendBulk(resp.AppendCount(to, words), name)
	to = resp.AppendBulk(resp.AppendBulk(to, c.Piece), c.ID)
	to = resp.AppendSize(to, len(c.Fields)-(end-from)+len(ms))
	to = append(append(append(to, c.Fields[:from]...), ms...), c.Fields[end:]...)
	to = append(to, '\r', '\n')
	if c.Put {
		to = resp.AppendBulk(to, c.Body)
	}
	return to
}

// patience finds the value of d in the list.
func (c *Command) patience() (from, end int) {
	for at := 0; at < len(c.Fields); at = end + 1 {
		end = len(c.Fields)
		if i := bytes.IndexByte(c.Fields[at:], ','); i >= 0 {
			end = at + i
		}
		if bytes.HasPrefix(c.Fields[at:end], []byte("d=")) {
			return at + 2, end
		}
	}
	return len(c.Fields), len(c.Fields)
}

// ParseReply reads what a node answered. value is what the client is owed where the word is
// Served. It tells false of what is no answer to an object command: the request may have
// run, and the connection is of no further use.
func ParseReply(a *resp.Reply) (value []byte, w forwarder.ResponseInfo, ok bool) {
	switch a.Kind {
	case resp.ErrorReply:
		return nil, failure(string(a.Text)), true
	case resp.Array:
		if len(a.Items) != 3 || a.Items[0].Null {
			return nil, w, false
		}
		w.Result = dispatch.OK
		figures(&w, string(a.Items[1].Text))
		w.LoadReport = simwire.Report(string(a.Items[2].Text), "=")
		return a.Items[0].Text, w, true
	}
	return nil, w, false
}

// failure reads an error line. Only what is turned away is known not to have run.
func failure(text string) forwarder.ResponseInfo {
	word, rest, _ := strings.Cut(text, " ")
	if word == "BUSY" {
		return forwarder.ResponseInfo{Result: dispatch.Rejected}
	}
	w := forwarder.ResponseInfo{Result: dispatch.ServerError}
	for f := range strings.FieldsSeq(rest) {
		if strings.Contains(f, "used=") || strings.Contains(f, "cost=") {
			figures(&w, f)
		} else if strings.Contains(f, "=") {
			w.LoadReport = simwire.Report(f, "=")
		}
	}
	return w
}

// figures reads the figures on use. What can't be read is left out; the answer is good
// all the same. The simulator's figure is one more than the one told here, and so is
// that of the dispatcher.
func figures(w *forwarder.ResponseInfo, s string) {
	for pair := range strings.SplitSeq(s, ",") {
		name, v, _ := strings.Cut(pair, "=")
		x, ok := simwire.Finite(v)
		if !ok || x < 0 || x > 1e9 {
			continue
		}
		switch name {
		case "used":
			w.QuotaUsage = x + 1
		case "cost":
			w.PeerUnits = x
		}
	}
}
