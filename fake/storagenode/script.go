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

// faultNames are the kinds of faults by their names in scripts.
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

// ScriptedFault is one entry of a script of faults.
type ScriptedFault struct {
	AtMS   int     `json:"at_ms"` // since the node's start
	ForMS  int     `json:"for_ms"`
	Kind   string  `json:"kind"`
	Count  int     `json:"count"`
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Method string  `json:"method"` // "": all
	Path   string  `json:"path"`   // substring of the request's path; "": all
}

// ParseScript parses a script: a JSON list, which may contain comments.
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
			return nil, fmt.Errorf("faults: entry %d: unknown kind %q", i+1, s.Kind)
		}
		if s.AtMS < 0 || s.ForMS < 0 || s.Count < 0 || s.Share < 0 || s.Share > 1 || s.Factor < 0 {
			return nil, fmt.Errorf("faults: entry %d: figures must not be negative, a share at most 1", i+1)
		}
	}
	return script, nil
}

// fault returns the fault to inject.
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

// RunScript injects the faults of a script, each at its time, until the node stops.
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
