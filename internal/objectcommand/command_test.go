package objectcommand

import (
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/resp"
)

func testSchema() *Schema {
	return &Schema{
		Classes:     map[string]int{"read": 0, "write": 1},
		Plans:       map[string]int{"gold": 0},
		ClassWrites: []bool{false, true},
		Shards:      4,
		MaxUnits:    8,
	}
}

// TestAppendTo checks that a command is sent to a node with the client's arguments, except that the
// field d holds the remaining time.
func TestAppendTo(t *testing.T) {
	for name, c := range map[string]struct{ received, sent string }{
		"d among others": {
			"c=write,t=gold,d=480,k=5c,volume=00000003b4d60021,units=2,shard=-1,hosts=3,new=x",
			"c=write,t=gold,d=21,k=5c,volume=00000003b4d60021,units=2,shard=-1,hosts=3,new=x",
		},
		"d first": {
			"d=1.5,c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3",
			"d=21,c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3",
		},
		"d last": {
			"c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3,d=99999",
			"c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3,d=21",
		},
	} {
		t.Run(name, func(t *testing.T) {
			command, err := testSchema().Parse(arguments("obj.put", "7f3a9c21e0b4d655", "id", c.received, "body"))
			if err != nil {
				t.Fatal(err)
			}
			args, n, err := resp.Command(command.AppendTo(nil, 20*time.Millisecond+1), nil)
			if err != nil || n == 0 || len(args) != 5 {
				t.Fatalf("parsing the sent command: got arguments %q, error %v, want 5 arguments", args, err)
			}
			if string(args[0]) != Put || string(args[3]) != c.sent || string(args[4]) != "body" {
				t.Errorf("sent command: got %q, want OBJ.PUT with the fields %q and the value \"body\"", args, c.sent)
			}
		})
	}
}

func arguments(args ...string) [][]byte {
	var out [][]byte
	for _, arg := range args {
		out = append(out, []byte(arg))
	}
	return out
}

// FuzzParse checks that an accepted command is within the limits of the schema. It also checks that
// the command which is sent to a node parses to the same request, apart from the timeout.
func FuzzParse(f *testing.F) {
	f.Add("OBJ.GET", "7f3a9c21e0b4d655", "1",
		"c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=3,hosts=3", "")
	f.Add("obj.put", "7f3a9c21e0b4d655", "id",
		"d=1e3,c=write,t=gold,volume=00000003b4d60021,units=.5,shard=-1,hosts=3,x==,d", "body")
	f.Add("OBJ.GET", "", "\x00", "d=,d=NaN,units=Inf,shard=99999999999999999999,hosts=-0", "")
	f.Add("OBJ.GET", "7f3a9c21e0b4d655", "1",
		"c=read,t=gold,d=0x1p9,volume=00000003b4d60021,units=2,shard=+3,hosts=3", "")
	f.Fuzz(func(t *testing.T, name, piece, id, fields, body string) {
		args := arguments(name, piece, id, fields)
		if HasName(args[0], Put) {
			args = append(args, []byte(body))
		}
		if !IsObjectCommand(args[0]) {
			return
		}
		schema := testSchema()
		command, err := schema.Parse(args)
		if err != nil {
			return
		}
		request := command.Request
		if !withinLimits(schema, &command) {
			t.Fatalf("fields %q were accepted, but the request is outside the schema's limits: %+v", fields, request)
		}
		sent, n, err := resp.Command(command.AppendTo(nil, time.Second), nil)
		if err != nil || n == 0 || len(sent) != len(args) {
			t.Fatalf("fields %q: the sent command does not parse: got arguments %q, error %v", fields, sent, err)
		}
		again, err := schema.Parse(sent)
		if err != nil || again.Request.Timeout != time.Second {
			t.Fatalf("fields %q: the sent command %q is invalid or its timeout is not 1s: error %v", fields, sent, err)
		}
		again.Request.Timeout = request.Timeout
		if again.Request != request {
			t.Errorf("request %+v is sent as another request %+v", request, again.Request)
		}
	})
}

// withinLimits reports whether a command is within the limits of a schema and has the right class.
func withinLimits(s *Schema, c *Command) bool {
	r := &c.Request
	return r.Timeout > 0 && r.Timeout <= maxTimeout &&
		r.Units > 0 && r.Units <= s.MaxUnits &&
		r.Shard >= dispatch.AnyShard && int(r.Shard) < s.Shards &&
		r.Dispatchers >= 1 &&
		s.ClassWrites[r.Class] == c.Put
}
