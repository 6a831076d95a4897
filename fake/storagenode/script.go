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

// faultNames are the faults as a script names them.
var faultNames = map[string]FaultKind{
	"stall": Stall, "within": StallInResponse, "refuse": Reject, "broken": ServerError, "reset": ResetConnection, "lose": LoseResponse, "half": TruncateResponse,
	"slow": Slow, "pause": Pause, "die": Exit,
}

// ScriptedFault is one line of a node's script of faults.
type ScriptedFault struct {
	AtMS   int     `json:"at_ms"` // since the node's start
	ForMS  int     `json:"for_ms"`
	Kind   string  `json:"kind"`
	Count  int     `json:"count"`
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Method string  `json:"method"` // "": all
	Path   string  `json:"path"`   // that a request's path holds; "": all
}

// ParseScript reads a script: a JSON list, comments allowed.
func ParseScript(text []byte) ([]ScriptedFault, error) {
	plain, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	dec := json.NewDecoder(strings.NewReader(string(plain)))
	dec.DisallowUnknownFields()
	var os []ScriptedFault
	if err := dec.Decode(&os); err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	for i, o := range os {
		if _, ok := faultNames[o.Kind]; !ok {
			return nil, fmt.Errorf("faults: order %d: no fault is called %q", i+1, o.Kind)
		}
		if o.AtMS < 0 || o.ForMS < 0 || o.Count < 0 || o.Share < 0 || o.Share > 1 || o.Factor < 0 {
			return nil, fmt.Errorf("faults: order %d: figures must not be negative, a share at most 1", i+1)
		}
	}
	return os, nil
}

// RunScript shows the faults of a script, each at its time.
func (n *Node) RunScript(os []ScriptedFault) {
	for _, o := range os {
		f := Fault{Kind: faultNames[o.Kind], Count: o.Count, For: time.Duration(o.ForMS) * time.Millisecond, Share: o.Share, Factor: o.Factor}
		if o.Method != "" || o.Path != "" {
			f.Match = func(r *http.Request) bool {
				return (o.Method == "" || r.Method == o.Method) && strings.Contains(r.URL.Path, o.Path)
			}
		}
		go func() {
			if n.sleep(time.Duration(o.AtMS) * time.Millisecond) {
				if f.Kind == Exit {
					n.Stop()
					return
				}
				n.Inject(f)
			}
		}()
	}
}

// Done is closed when the node has ended.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }
