package modelcheck

import (
	"reflect"
	"slices"
	"testing"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// fieldNames collects the names of all fields that a type refers to.
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

// The table has an entry only for fields that exist.
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
			t.Errorf("the table has %s, which does not exist", name)
		}
	}
	w := newWorld(&Scenario{requests: []requestSpec{{}}, nodes: []nodeSpec{{id: "a", initial: true}}})
	for name := range irrelevantFields(w) {
		if !names[name] {
			t.Errorf("%s, without influence under some settings, does not exist", name)
		}
	}
	// The controller's task is the kind that is left out.
	timers := reflect.ValueOf(w.fwd).Elem().FieldByName("dispatcher").Elem().FieldByName("timers").FieldByName("timers")
	if timers.Len() != 1 || timers.Index(0).Elem().FieldByName("Value").FieldByName("kind").Int() != controllerTimer {
		t.Error("the first task of a dispatcher is not its controller's")
	}
}

// States that differ in what matters have distinct fingerprints; those that differ only by
// numbers of connections have the same.
func TestFingerprint(t *testing.T) {
	s := scenario(t, "two")
	p := newFingerprinter(false)
	after := func(moves ...Move) Fingerprint {
		w := newWorld(&s)
		for _, m := range moves {
			if !slices.Contains(w.enabledMoves(false), m) {
				t.Fatalf("%s cannot happen", w.moveText(m))
			}
			w.apply(m)
		}
		return p.fingerprint(w)
	}
	start1, start2 := Move{StartRequest, 1}, Move{StartRequest, 2}
	dial1, dial2 := Move{CompleteDial, 1}, Move{CompleteDial, 2}
	if after(start1) == after(start2) || after(start1) == after() || after(start1, start2) == after(start1) {
		t.Error("distinct states have one fingerprint")
	}
	if after(start1, start2, dial1) == after(start1, start2, dial2) {
		t.Error("it does not matter whose connection is open")
	}
	if after(start1, start2, dial1, dial2) != after(start1, start2, dial2, dial1) {
		t.Error("two paths to one state have distinct fingerprints")
	}
	if after(start1, dial1, Move{RespondOK, 1}) == after(start1, dial1) {
		t.Error("a response does not matter")
	}
}
