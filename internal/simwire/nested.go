package simwire

import (
	"bytes"
	"chalkstand/dispatch"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Settings is what the platform tells a dispatcher at its start: what the decisions use,
// and what those use who move the bytes.
type Settings struct {
	Choice      dispatch.Config
	ClassWrites []bool // by class; nil: not told
	Shards      int
	Zones       []string
	Kinds       []string
	ConnIdle    time.Duration // nodes close a connection that is idle for so long; 0: not told
	Connect     time.Duration // bound on opening a connection; 0: not told
	MaxOpen     int           // requests open at once; 0: not told
}

// Nested reads the settings as a JSON object: the simulator's names and units, with
// objects and lists in the place of paths. Unknown names are ignored.
func Nested(text []byte) (Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return Settings{}, fmt.Errorf("config: expected a JSON object: %w", err)
	}
	p := &settings{m: map[string]string{}}
	p.flatten("", v)
	c, err := p.dispatchConfig()
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Choice: c, Shards: p.integer("family_info.slots_total"), ConnIdle: p.time("limits.conn_idle_ms"),
		Connect: p.time("limits.connect_timeout_ms"), MaxOpen: p.integer("limits.max_open"),
		Zones: p.list("areas"), Kinds: p.list("kinds"),
	}
	if w := p.list("family_info.class_writes"); len(w) == len(c.Classes) {
		for _, x := range w {
			s.ClassWrites = append(s.ClassWrites, x == "true")
		}
	}
	return s, p.err
}

// flatten turns nested values into the simulator's path=value pairs.
func (p *settings) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if path != "" {
				k = path + "." + k
			}
			p.flatten(k, x)
		}
	case []any:
		p.m[path+".count"] = strconv.Itoa(len(v))
		var plain []string
		for i, x := range v {
			p.flatten(path+"."+strconv.Itoa(i), x)
			plain = append(plain, p.m[path+"."+strconv.Itoa(i)])
		}
		p.m[path] = strings.Join(plain, ",")
	case nil:
		p.m[path] = "-"
	default:
		p.m[path] = fmt.Sprint(v)
	}
}

// list returns a list of plain values.
func (p *settings) list(path string) []string {
	if p.m[path] == "" || p.m[path] == "-" {
		return nil
	}
	return strings.Split(p.m[path], ",")
}
