package endpoints

import (
	"errors"
	"testing"
	"time"

	"chalkstand/dispatch"
)

func TestParse(t *testing.T) {
	const text = `{"version":43,"full":false,"servers":[
{"id":"s-1","addr":"10.1.0.18:6379","zone":"b","kind":"m9","cell":3,
"state":"Terminating","weight":1.0,"started_ms":1700000000000},
{"id":"s-2","state":"Gone"}],"new":1}`
	d, err := Parse([]byte(text), Names{Zones: []string{"a", "b"}, Kinds: []string{"m2"}})
	if err != nil || d.Version != 43 || d.Snapshot || len(d.Nodes) != 2 {
		t.Fatalf("got document %+v and error %v, want version 43 with two nodes, no snapshot, and no error", d, err)
	}
	n := d.Nodes[0]
	if n.ID != "s-1" || n.Addr != "10.1.0.18:6379" || n.Zone != 1 || n.Kind != 1 || n.Shard != 3 ||
		n.State != dispatch.Draining || n.Started != 1700000000*time.Second {
		t.Errorf("first node: got %+v, want the values of its entry", n)
	}
}

func TestParseErrors(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		field string // field of the FormatError; empty if the error has another type
	}{
		"empty":         {``, ""},
		"array":         {`[]`, ""},
		"cut":           {`{"version":1`, ""},
		"no version":    {`{}`, "version"},
		"empty ID":      {`{"version":1,"servers":[{"id":"","addr":"1.2.3.4:5","state":"Ready"}]}`, "servers[0].id"},
		"bad address":   {`{"version":1,"servers":[{"id":"x","addr":"here","state":"Ready"}]}`, "servers[0].addr"},
		"unknown state": {`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Odd"}]}`, "servers[0].state"},
		"bad start": {
			`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Ready","started_ms":-1}]}`,
			"servers[0].started_ms",
		},
		"bad cell": {
			`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Ready","cell":-7}]}`,
			"servers[0].cell",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), Names{})
			if err == nil {
				t.Fatalf("Parse(%s): got no error, want one", c.text)
			}
			field := ""
			if format := (*FormatError)(nil); errors.As(err, &format) {
				field = format.Field
			}
			if field != c.field {
				t.Errorf("error %v: got field %q, want %q", err, field, c.field)
			}
		})
	}
}

// Zones that the settings do not name get distinct numbers.
func TestUnnamedZonesDiffer(t *testing.T) {
	const text = `{"version":1,"full":true,"servers":[
{"id":"a","addr":"1.2.3.4:5","zone":"x","state":"Ready"},
{"id":"b","addr":"1.2.3.4:6","zone":"y","state":"Ready"},
{"id":"c","addr":"1.2.3.4:7","zone":"x","state":"Ready"},
{"id":"d","addr":"1.2.3.4:8","zone":"known","state":"Ready"}]}`
	d, err := Parse([]byte(text), Names{Zones: []string{"known"}})
	if err != nil {
		t.Fatal(err)
	}
	n := d.Nodes
	if n[0].Zone == n[1].Zone || n[0].Zone != n[2].Zone || n[3].Zone != 0 || n[0].Zone == 0 || n[1].Zone == 0 {
		t.Errorf("got zones %d, %d, %d, %d, want x, y, x and 0 with distinct numbers above 0 for x and y",
			n[0].Zone, n[1].Zone, n[2].Zone, n[3].Zone)
	}
}

// Parse accepts each document as a whole or rejects it, and all returned nodes are within the bounds.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`{"version":43,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.18:6379","zone":"b","kind":"m9",` +
			`"cell":3,"state":"Ready","weight":1.0,"started_ms":1.7e12}]}`,
		"{\n\t\"version\": 1,\n\t\"servers\": null\n}",
		`{"version":1e400}`,
		`{"version":1,"servers":[{"id":"x","state":"Gone","cell":1e9}]}`,
		`{"version":-1,"servers":[{}]}`,
		"\x00",
		`[1]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text, Names{Zones: []string{"a"}})
		if err != nil && (len(d.Nodes) > 0 || d.Version != 0) {
			t.Errorf("got error %v and document %+v, want an empty document with an error", err, d)
		}
		for _, n := range d.Nodes {
			if n.ID == "" || len(n.ID) > maxID || n.Shard < dispatch.AnyShard || n.Started < 0 ||
				n.State != dispatch.Removed && n.Addr == "" {
				t.Errorf("got node %+v, want one within the bounds", n)
			}
		}
	})
}
