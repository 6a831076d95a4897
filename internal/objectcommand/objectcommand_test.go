package objectcommand

import (
	"chalkstand/dispatch"
	"chalkstand/internal/resp"
	"testing"
	"time"
)

func terms() *Schema {
	return &Schema{Classes: map[string]int{"read": 0, "write": 1}, Plans: map[string]int{"gold": 0}, Writes: []bool{false, true}, Shards: 4, Largest: 8}
}

// What passes on is what came, but for how long the answer is waited for.
func TestPassedOnUnchanged(t *testing.T) {
	for _, c := range [][2]string{
		{"c=write,t=gold,d=480,k=5c,volume=00000003b4d60021,units=2,shard=-1,hosts=3,new=x", "c=write,t=gold,d=21,k=5c,volume=00000003b4d60021,units=2,shard=-1,hosts=3,new=x"},
		{"d=1.5,c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3", "d=21,c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3"},
		{"c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3,d=99999", "c=write,t=gold,volume=00000003b4d60021,units=2,shard=3,hosts=3,d=21"},
	} {
		cmd, err := terms().Parse([][]byte{[]byte("obj.put"), []byte("7f3a9c21e0b4d655"), []byte("id"), []byte(c[0]), []byte("body")})
		if err != nil {
			t.Fatal(err)
		}
		words, n, err := resp.Command(cmd.AppendTo(nil, 20*time.Millisecond+1), nil)
		if err != nil || n == 0 || len(words) != 5 || string(words[0]) != Put || string(words[3]) != c[1] || string(words[4]) != "body" {
			t.Errorf("%q, %v; want %q", words, err, c[1])
		}
	}
}

// The ends of attempts, as the protocol's page has them; the figure on use is one more inside.
func TestWords(t *testing.T) {
	for _, c := range []struct {
		text   string
		ok     bool
		status dispatch.AttemptResult
		use    float64
		cost   float64
		hand   float64
	}{
		{"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$12\r\nrif=7,lat_ms\r\n", true, dispatch.OK, 38, 4, 0},
		{"*3\r\n$1\r\nv\r\n$6\r\nused=0\r\n$14\r\nrif=7,lat_ms=3\r\n", true, dispatch.OK, 1, 0, 7},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", true, dispatch.OK, 0, 0, 0},
		{"*3\r\n$1\r\nv\r\n$13\r\nused=-1,cost=\r\n$-1\r\n", true, dispatch.OK, 0, 0, 0},
		{"-ERR failed used=9,cost=2 inflight=5,queue=0\r\n", true, dispatch.ServerError, 10, 2, 5},
		{"-ERR failed inflight=5,queue=0\r\n", true, dispatch.ServerError, 0, 0, 5},
		{"-BUSY\r\n", true, dispatch.Rejected, 0, 0, 0},
		{"-SYNTAX\r\n", true, dispatch.ServerError, 0, 0, 0},
		{"*3\r\n$-1\r\n$-1\r\n$-1\r\n", false, 0, 0, 0, 0},
		{"*2\r\n$1\r\nv\r\n$-1\r\n", false, 0, 0, 0, 0},
		{"$1\r\nv\r\n", false, 0, 0, 0, 0},
		{"+OK\r\n", false, 0, 0, 0, 0},
	} {
		var a resp.Reply
		if n, err := a.Read([]byte(c.text)); n != len(c.text) || err != nil {
			t.Fatalf("%q: %v", c.text, err)
		}
		value, w, ok := ParseReply(&a)
		if ok != c.ok || ok && (w.Result != c.status || w.QuotaUsage != c.use || w.PeerUnits != c.cost || w.LoadReport["inflight"] != c.hand) {
			t.Errorf("%q: %+v, %v", c.text, w, ok)
		}
		if ok && c.status == dispatch.OK && string(value) != "v" {
			t.Errorf("%q: value %q", c.text, value)
		}
	}
}

// Whatever words come, what is taken keeps to the terms, and passes on as a command that reads the
// same but for the time.
func FuzzParse(f *testing.F) {
	f.Add("OBJ.GET", "7f3a9c21e0b4d655", "1", "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=3,hosts=3", "")
	f.Add("obj.put", "7f3a9c21e0b4d655", "id", "d=1e3,c=write,t=gold,volume=00000003b4d60021,units=.5,shard=-1,hosts=3,x==,d", "body")
	f.Add("OBJ.GET", "", "\x00", "d=,d=NaN,units=Inf,shard=99999999999999999999,hosts=-0", "")
	f.Add("OBJ.GET", "7f3a9c21e0b4d655", "1", "c=read,t=gold,d=0x1p9,volume=00000003b4d60021,units=2,shard=+3,hosts=3", "")
	f.Fuzz(func(t *testing.T, name, piece, id, list, body string) {
		words := [][]byte{[]byte(name), []byte(piece), []byte(id), []byte(list)}
		if HasName(words[0], Put) {
			words = append(words, []byte(body))
		}
		if !IsObjectCommand(words[0]) {
			return
		}
		tt := terms()
		c, err := tt.Parse(words)
		if err != nil {
			return
		}
		r := c.Request
		if r.Timeout <= 0 || r.Timeout > longest || !(r.Units > 0 && r.Units <= tt.Largest) || r.Shard < dispatch.AnyShard || int(r.Shard) >= tt.Shards || r.Dispatchers < 1 || tt.Writes[r.Class] != c.Put {
			t.Fatalf("%q: %+v", list, r)
		}
		sent, n, err := resp.Command(c.AppendTo(nil, time.Second), nil)
		if err != nil || n == 0 || len(sent) != len(words) {
			t.Fatalf("%q: %q, %v", list, sent, err)
		}
		again, err := tt.Parse(sent)
		if err != nil || again.Request.Timeout != time.Second {
			t.Fatalf("%q: %q, %v", list, sent, err)
		}
		if again.Request.Timeout = r.Timeout; again.Request != r {
			t.Errorf("%+v, sent as %+v", r, again.Request)
		}
	})
}

// Whatever a node answers, figures that make no sense are left out.
func FuzzWord(f *testing.F) {
	for _, s := range []string{
		"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$12\r\nrif=7,lat_ms\r\n", "-ERR failed used=9,cost=2 inflight=5,queue=0\r\n", "-BUSY\r\n", "-ERR used=-1e999,cost=NaN\r\n",
		"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*-1\r\n", "$3000000000\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var a resp.Reply
		n, err := a.Read(text)
		if n == 0 || err != nil {
			return
		}
		value, w, ok := ParseReply(&a)
		if !(w.QuotaUsage == 0 || w.QuotaUsage >= 1 && w.QuotaUsage <= 1e9+1) || !(w.PeerUnits >= 0 && w.PeerUnits <= 1e9) {
			t.Errorf("%q: %+v", text, w)
		}
		if served := ok && w.Result == dispatch.OK; served && value == nil && len(a.Items) == 0 {
			t.Errorf("%q: served with nothing", text)
		}
	})
}
