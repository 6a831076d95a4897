package targets

import (
	"testing"
	"time"

	"chalkstand/choice"
)

func TestParse(t *testing.T) {
	d, err := Parse([]byte(`{"version":43,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.18:6379","zone":"b","kind":"m9","cell":3,"state":"Terminating","weight":1.0,"started_ms":1700000000000},
{"id":"s-2","state":"Gone"}],"new":1}`), Names{Zones: []string{"a", "b"}, Kinds: []string{"m2"}})
	if err != nil || d.Version != 43 || d.Full || len(d.Nodes) != 2 {
		t.Fatalf("%+v, %v", d, err)
	}
	n := d.Nodes[0]
	if n.ID != "s-1" || n.Addr != "10.1.0.18:6379" || n.Zone != 1 || n.Kind != 1 || n.Shard != 3 || n.State != choice.Draining || n.Started != 1700000000*time.Second {
		t.Errorf("%+v", n)
	}
	for _, bad := range []string{``, `[]`, `{}`, `{"version":1,"servers":[{"id":"","addr":"1.2.3.4:5","state":"Ready"}]}`, `{"version":1,"servers":[{"id":"x","addr":"here","state":"Ready"}]}`,
		`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Odd"}]}`, `{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Ready","started_ms":-1}]}`,
		`{"version":1,"servers":[{"id":"x","addr":"1.2.3.4:5","state":"Ready","cell":-7}]}`, `{"version":1`} {
		if _, err := Parse([]byte(bad), Names{}); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
}
