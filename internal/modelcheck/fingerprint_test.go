package modelcheck

import (
	"reflect"
	"slices"
	"testing"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// fieldNames is the set of the names of all struct fields that the visited types refer to.
type fieldNames map[string]bool

func (names fieldNames) visit(t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		names.visit(t.Elem())
	case reflect.Struct:
		for f := range t.Fields() {
			name := typeName(t) + "." + f.Name
			if names[name] {
				return
			}
			names[name] = true
			names.visit(f.Type)
		}
	}
}

// TestFingerprintKnowsTheFields checks that fieldUses and irrelevantFields name only fields that
// exist.
func TestFingerprintKnowsTheFields(t *testing.T) {
	names := fieldNames{}
	for _, x := range []any{
		World{},
		forwarder.Forwarder{},
		forwarder.RequestAttributed{},
		forwarder.Dial{},
		forwarder.SendRequest{},
		forwarder.CloseConn{},
		forwarder.ForwardResponse{},
		forwarder.DiscardResponse{},
		forwarder.Reject{},
		forwarder.SetTimer{},
		dispatch.Dispatcher{},
		dispatch.Request{},
	} {
		names.visit(reflect.TypeOf(x))
	}
	for name := range fieldUses {
		if !names[name] {
			t.Errorf("fieldUses has an entry for %s, want only fields that exist", name)
		}
	}
	w := newWorld(&Scenario{requests: []requestSpec{{}}, nodes: []nodeSpec{{id: "a", initial: true}}})
	for name := range irrelevantFields(w) {
		if !names[name] {
			t.Errorf("irrelevantFields returned %s, want only fields that exist", name)
		}
	}
	// The fingerprinter leaves out the timer whose kind is controllerTimer. It must be the only
	// timer of a new dispatcher.
	timers := reflect.ValueOf(w.fwd).Elem().FieldByName("dispatcher").Elem().FieldByName("timers").FieldByName("timers")
	if timers.Len() != 1 || timers.Index(0).Elem().FieldByName("Value").FieldByName("kind").Int() != controllerTimer {
		t.Error("the timers of a new dispatcher differ from what the fingerprinter expects: want one timer, of the controller")
	}
}

// TestFingerprint checks that states with a relevant difference have distinct fingerprints, and
// that states that differ only in connection IDs have the same fingerprint.
func TestFingerprint(t *testing.T) {
	s := scenario(t, "two")
	p := newFingerprinter(false)
	after := func(moves ...Move) Fingerprint {
		w := newWorld(&s)
		for _, m := range moves {
			if !slices.Contains(w.enabledMoves(false), m) {
				t.Fatalf("move %s cannot happen, want it to be enabled", w.moveText(m))
			}
			w.apply(m)
		}
		return p.fingerprint(w)
	}
	start1, start2 := Move{StartRequest, 1}, Move{StartRequest, 2}
	dial1, dial2 := Move{CompleteDial, 1}, Move{CompleteDial, 2}
	if after(start1) == after(start2) || after(start1) == after() || after(start1, start2) == after(start1) {
		t.Error("states with different started requests have the same fingerprint, want distinct ones")
	}
	if after(start1, start2, dial1) == after(start1, start2, dial2) {
		t.Error("states with the connections of different requests open have the same fingerprint, want distinct ones")
	}
	if after(start1, start2, dial1, dial2) != after(start1, start2, dial2, dial1) {
		t.Error("two paths to one state have distinct fingerprints, want the same")
	}
	if after(start1, dial1, Move{RespondOK, 1}) == after(start1, dial1) {
		t.Error("the states before and after a response have the same fingerprint, want distinct ones")
	}
}
