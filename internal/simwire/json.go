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

// Settings holds the settings that the platform passes to a dispatcher when it starts. They
// configure the scheduling decisions and the server that runs the dispatcher.
type Settings struct {
	Dispatch        dispatch.Config
	ClassWrites     []bool        // whether each class contains write requests, by class index; nil if unknown
	Shards          int           // number of shards
	Zones           []string      // names of the zones
	NodeKinds       []string      // names of the nodes' hardware kinds
	NodeIdleTimeout time.Duration // idle time after which a node closes a connection; 0 if unknown
	DialTimeout     time.Duration // timeout for opening a connection to a node; 0 if unknown
	MaxOpenRequests int           // maximum number of concurrent requests; 0 if unknown
}

// ParseSettings parses settings in JSON. It uses the simulator's names and units, but with
// nested objects and lists in place of paths. Unknown names are ignored. The error is a
// *SettingError if a value is invalid.
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

// flatten adds a JSON value and all values nested in it to r.values. The key of each value
// is its path in the simulator's notation.
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
		var texts []string
		for i, element := range value {
			elementPath := path + "." + strconv.Itoa(i)
			r.flatten(elementPath, element)
			texts = append(texts, r.values[elementPath])
		}
		r.values[path] = strings.Join(texts, ",")
	case nil:
		r.values[path] = absent
	default:
		r.values[path] = fmt.Sprint(value)
	}
}

// list returns the elements of a list of strings, numbers or booleans.
func (r *settingsReader) list(path string) []string {
	if r.values[path] == "" || r.values[path] == absent {
		return nil
	}
	return strings.Split(r.values[path], ",")
}
