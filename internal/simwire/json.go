package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"chalkstand/dispatch"
)

// Settings holds what the platform gives a dispatcher at its start: the settings of the
// decisions and of the server around them.
type Settings struct {
	Dispatch        dispatch.Config
	ClassWrites     []bool // by class; nil: unknown
	Shards          int
	Zones           []string
	NodeKinds       []string      // hardware kinds of nodes
	NodeIdleTimeout time.Duration // nodes close a connection that is idle for so long; 0: unknown
	DialTimeout     time.Duration // timeout of opening a connection; 0: unknown
	MaxOpenRequests int           // requests open at once; 0: unknown
}

// ParseSettings reads the settings as a JSON object: the simulator's names and units, with objects and
// lists in place of paths. Unknown names are ignored. The error is a *SettingError where a value
// can't be used.
func ParseSettings(text []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return Settings{}, fmt.Errorf("config: expected a JSON object: %w", err)
	}
	r := &settingsReader{values: map[string]string{}}
	r.flatten("", object)
	cfg, err := r.dispatchConfig()
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Dispatch:        cfg,
		Shards:          r.integer("family_info.slots_total"),
		NodeIdleTimeout: r.duration("limits.conn_idle_ms"),
		DialTimeout:     r.duration("limits.connect_timeout_ms"),
		MaxOpenRequests: r.integer("limits.max_open"),
		Zones:           r.list("areas"),
		NodeKinds:       r.list("kinds"),
	}
	if writes := r.list("family_info.class_writes"); len(writes) == len(cfg.Classes) {
		for _, w := range writes {
			s.ClassWrites = append(s.ClassWrites, w == "true")
		}
	}
	return s, r.err
}

// flatten stores nested values by the simulator's paths.
func (r *settingsReader) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			if path != "" {
				name = path + "." + name
			}
			r.flatten(name, member)
		}
	case []any:
		r.values[path+".count"] = strconv.Itoa(len(value))
		var plain []string
		for i, element := range value {
			elementPath := path + "." + strconv.Itoa(i)
			r.flatten(elementPath, element)
			plain = append(plain, r.values[elementPath])
		}
		r.values[path] = strings.Join(plain, ",")
	case nil:
		r.values[path] = absent
	default:
		r.values[path] = fmt.Sprint(value)
	}
}

// list returns a list of plain values.
func (r *settingsReader) list(path string) []string {
	if r.values[path] == "" || r.values[path] == absent {
		return nil
	}
	return strings.Split(r.values[path], ",")
}
