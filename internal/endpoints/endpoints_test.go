package endpoints

import (
	"chalkstand/dispatch"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	d, err := Parse([]byte(`{"version":43,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.18:6379","zone":"b","kind":"m9","cell":3,"state":"Terminating","weight":1.0,"started_ms":1700000000000},
{"id":"s-2","state":"Gone"}],"new":1}`), Names{Zones: []string{"a", "b"}, Kinds: []string{"m2"}})
	if err != nil || d.Version != 43 || d.Snapshot || len(d.Nodes) != 2 {
		t.Fatalf("%+v, %v", d, err)
	}
	n := d.Nodes[0]
	if n.ID != "s-1" || n.Addr != "10.1.0.18:6379" || n.Zone != 1 || n.Kind != 1 || n.Shard != 3 || n.State != dispatch.Draining || n.Started != 1700000000*time.Second {
		t.Errorf("%+v", n)
	}
	for _, bad := range []string{
		``, `[]`, `{}`, `{"version":1,"servers":[{"id":"","addr":"1.2.3.4:5","state":"Ready"}]}`, `{"version":1,"servers":[{"id":"x","addr":"here","state":"Ready"}]}`,
		`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Odd"}]}`, `{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Ready","started_ms":-1}]}`,
		`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Ready","cell":-7}]}`, `{"version":1`,
	} {
		if _, err := Parse([]byte(bad), Names{}); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
}

// Zones that the settings don't name are still two zones: what may be repeated in one must not be in
// the other.
func TestUnnamedZonesDiffer(t *testing.T) {
	d, err := Parse([]byte(`{"version":1,"full":true,"servers":[{"id":"a","addr":"1.2.3.4:5","zone":"x","state":"Ready"},{"id":"b","addr":"1.2.3.4:6","zone":"y","state":"Ready"},
{"id":"c","addr":"1.2.3.4:7","zone":"x","state":"Ready"},{"id":"d","addr":"1.2.3.4:8","zone":"known","state":"Ready"}]}`), Names{Zones: []string{"known"}})
	if err != nil {
		t.Fatal(err)
	}
	if n := d.Nodes; n[0].Zone == n[1].Zone || n[0].Zone != n[2].Zone || n[3].Zone != 0 || n[0].Zone == 0 || n[1].Zone == 0 {
		t.Errorf("zones %d, %d, %d, %d", n[0].Zone, n[1].Zone, n[2].Zone, n[3].Zone)
	}
}

// Whatever comes, a list is taken whole or not at all, and within its bounds.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`{"version":43,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.18:6379","zone":"b","kind":"m9","cell":3,"state":"Ready","weight":1.0,"started_ms":1.7e12}]}`,
		"{\n\t\"version\": 1,\n\t\"servers\": null\n}", `{"version":1e400}`, `{"version":1,"servers":[{"id":"x","state":"Gone","cell":1e9}]}`, `{"version":-1,"servers":[{}]}`, "\x00", `[1]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text, Names{Zones: []string{"a"}})
		if err != nil && (len(d.Nodes) > 0 || d.Version != 0) {
			t.Errorf("%v, and yet %+v", err, d)
		}
		for _, n := range d.Nodes {
			if n.ID == "" || len(n.ID) > maxID || n.Shard < dispatch.AnyShard || n.Started < 0 || n.State != dispatch.Removed && n.Addr == "" {
				t.Errorf("%+v", n)
			}
		}
	})
}
