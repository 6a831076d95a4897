package settings

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"
)

// findUnknown returns an error for the first JSON member in the tree v that has no field in
// the type t or that occurs twice in its object. The path of v is field.
func findUnknown(v *hujson.Value, t reflect.Type, field string) *decodeError {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Array:
		if t.Kind() == reflect.Slice {
			return findUnknownElement(node, t.Elem(), field)
		}
	case *hujson.Object:
		if t.Kind() == reflect.Struct {
			return findUnknownMember(node, t, field)
		}
	}
	return nil
}

func findUnknownElement(array *hujson.Array, t reflect.Type, field string) *decodeError {
	for i := range array.Elements {
		if err := findUnknown(&array.Elements[i], t, elementPath(field, i)); err != nil {
			return err
		}
	}
	return nil
}

func findUnknownMember(object *hujson.Object, t reflect.Type, field string) *decodeError {
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		path := memberPath(field, name)
		index, ok := fieldIndex(t, name)
		if !ok {
			problem := ConfigError{Field: path, Problem: "unknown setting"}
			return &decodeError{problem, m.Name.StartOffset}
		}
		if seen[name] {
			problem := ConfigError{Field: path, Problem: "setting occurs twice"}
			return &decodeError{problem, m.Name.StartOffset}
		}
		seen[name] = true
		if err := findUnknown(&m.Value, t.Field(index).Type, path); err != nil {
			return err
		}
	}
	return nil
}

// decode stores the values of the tree v in to. The caller must first check the tree with
// findUnknown.
func decode(v *hujson.Value, to reflect.Value, field string) *decodeError {
	switch node := v.Value.(type) {
	case *hujson.Object:
		return decodeObject(v, node, to, field)
	case *hujson.Array:
		return decodeArray(v, node, to, field)
	}
	return decodeLiteral(v, to, field)
}

func decodeObject(v *hujson.Value, object *hujson.Object, to reflect.Value, field string) *decodeError {
	custom := isUnmarshaler(to)
	if to.Kind() == reflect.Pointer {
		to.Set(reflect.New(to.Type().Elem()))
		to = to.Elem()
	}
	if to.Kind() != reflect.Struct || custom {
		return wrongType(v, to, field, "an object")
	}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		index, ok := fieldIndex(to.Type(), name)
		if !ok {
			panic("settings: findUnknown accepted the unknown setting " + memberPath(field, name))
		}
		if err := decode(&m.Value, to.Field(index), memberPath(field, name)); err != nil {
			return err
		}
	}
	return nil
}

func decodeArray(v *hujson.Value, array *hujson.Array, to reflect.Value, field string) *decodeError {
	if to.Kind() != reflect.Slice {
		return wrongType(v, to, field, "a list")
	}
	to.Set(reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		if err := decode(&array.Elements[i], to.Index(i), elementPath(field, i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeLiteral(v *hujson.Value, to reflect.Value, field string) *decodeError {
	literal := v.Value.(hujson.Literal)
	if literal.Kind() == 'n' {
		return wrongType(v, to, field, "null")
	}
	err := json.Unmarshal(literal, to.Addr().Interface())
	switch {
	case err == nil:
		return nil
	case isUnmarshaler(to):
		return &decodeError{ConfigError{Field: field, Problem: err.Error()}, v.StartOffset}
	}
	return wrongType(v, to, field, string(literal))
}

func wrongType(v *hujson.Value, to reflect.Value, field, got string) *decodeError {
	problem := ConfigError{Field: field, Expected: typeName(to), Got: got}
	return &decodeError{problem, v.StartOffset}
}

// isUnmarshaler reports whether the type of v implements json.Unmarshaler.
func isUnmarshaler(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(json.Unmarshaler)
	return ok
}

// typeName returns the name that error messages use for the JSON type that v is decoded from.
func typeName(v reflect.Value) string {
	if isUnmarshaler(v) {
		return fmt.Sprintf("a duration in quotes, such as %q", exampleDuration)
	}
	switch v.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

func memberName(m *hujson.ObjectMember) string {
	return m.Name.Value.(hujson.Literal).String()
}

// memberPath returns the path of a member of the object at the path field. An empty member
// name appears as "" in the path.
func memberPath(field, name string) string {
	if name == "" {
		name = `""`
	}
	if field == "" {
		return name
	}
	return field + "." + name
}

// elementPath returns the path of an element of the list at the path field.
func elementPath(field string, index int) string {
	return fmt.Sprintf("%s[%d]", field, index)
}

// fieldIndex returns the index of the field of t whose JSON tag is key. The second result
// reports whether there is such a field.
func fieldIndex(t reflect.Type, key string) (int, bool) {
	if key == "" { // An empty key would match a field without a tag.
		return 0, false
	}
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == key {
			return i, true
		}
	}
	return 0, false
}
