package storagenode

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// faultNames maps the names of faults in scripts to their kinds.
var faultNames = map[string]FaultKind{
	"stall":  Stall,
	"within": StallInResponse,
	"refuse": Reject,
	"broken": ServerError,
	"reset":  ResetConnection,
	"lose":   LoseResponse,
	"half":   TruncateResponse,
	"slow":   Slow,
	"pause":  Pause,
	"die":    Exit,
}

// ScriptedFault is one entry of a fault script. The fields correspond to those of Fault.
type ScriptedFault struct {
	AtMS   int     `json:"at_ms"`  // time from the call of RunScript to the injection, in milliseconds
	ForMS  int     `json:"for_ms"` // time from the injection to the end of the fault, in milliseconds; 0: no end
	Kind   string  `json:"kind"`   // a key of faultNames
	Count  int     `json:"count"`
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Method string  `json:"method"` // HTTP method of the affected requests; empty: all methods
	Path   string  `json:"path"`   // substring of the affected requests' paths; empty: all paths
}

// ParseScript parses a fault script. A script is a JSON array of faults and may contain comments and
// trailing commas.
func ParseScript(text []byte) ([]ScriptedFault, error) {
	plain, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	dec := json.NewDecoder(strings.NewReader(string(plain)))
	dec.DisallowUnknownFields()
	var script []ScriptedFault
	if err := dec.Decode(&script); err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	for i, s := range script {
		if _, ok := faultNames[s.Kind]; !ok {
			return nil, fmt.Errorf("faults: entry %d: unknown kind %q, expected one of "+
				"stall, within, refuse, broken, reset, lose, half, slow, pause or die", i+1, s.Kind)
		}
		if s.AtMS < 0 || s.ForMS < 0 || s.Count < 0 || s.Share < 0 || s.Share > 1 || s.Factor < 0 {
			return nil, fmt.Errorf("faults: entry %d: at_ms, for_ms, count, share and factor "+
				"must not be negative, and share must be at most 1", i+1)
		}
	}
	return script, nil
}

// fault returns the Fault that a script entry describes.
func (s *ScriptedFault) fault() Fault {
	f := Fault{
		Kind:   faultNames[s.Kind],
		Count:  s.Count,
		For:    time.Duration(s.ForMS) * time.Millisecond,
		Share:  s.Share,
		Factor: s.Factor,
	}
	if s.Method != "" || s.Path != "" {
		f.Match = func(r *http.Request) bool {
			return (s.Method == "" || r.Method == s.Method) && strings.Contains(r.URL.Path, s.Path)
		}
	}
	return f
}

// RunScript starts to run a fault script and returns at once. It injects each fault at its time, until the node stops.
func (n *Node) RunScript(script []ScriptedFault) {
	for _, s := range script {
		n.tasks.Go(func() {
			if !n.sleep(time.Duration(s.AtMS) * time.Millisecond) {
				return
			}
			f := s.fault()
			if f.Kind == Exit {
				n.shutdown()
				return
			}
			n.Inject(f)
		})
	}
}
