// Package shape validates JSON against the Go type that it is decoded into. It
// reports all errors together, where encoding/json stops at the first one.
package shape

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosereach/core/finding"
)

// The kinds of value that a field may hold.
const (
	Any     Kind = "any value"
	Text    Kind = "text"
	Number  Kind = "number"
	Integer Kind = "whole number"
	Boolean Kind = "true or false"
	List    Kind = "list"
	Object  Kind = "object"
	Time    Kind = "time as RFC 3339"
)

var (
	rawType  = reflect.TypeFor[json.RawMessage]()
	timeType = reflect.TypeFor[time.Time]()
)

type (
	// Kind is the kind of value that a field may hold.
	Kind string

	// PlaceholderFunc validates a placeholder, which stands for a value of the given
	// kind. It returns false when raw is no placeholder.
	PlaceholderFunc func(raw json.RawMessage, kind Kind) (finding.List, bool)

	// walker traverses a document and collects findings.
	walker struct {
		checkPlaceholder PlaceholderFunc
		found            finding.List
	}
)

// Decode validates data and decodes it into a T. The value is zero when there are
// findings.
func Decode[T any](data []byte) (T, finding.List) {
	var v, zero T
	found := Check[T](data, nil)
	if len(found) > 0 {
		return zero, found
	}
	if err := json.Unmarshal(data, &v); err != nil {
		found.Add("", err.Error(), string(kindOf(reflect.TypeFor[T]())))
		return zero, found
	}
	return v, nil
}

// Check validates data against T and returns all findings. The parameter
// checkPlaceholder may be nil, for documents without placeholders.
func Check[T any](data []byte, checkPlaceholder PlaceholderFunc) finding.List {
	w := &walker{checkPlaceholder: checkPlaceholder}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		w.found.Add("", "no valid JSON: "+err.Error(), "a JSON "+string(kindOf(reflect.TypeFor[T]())))
		return w.found
	}
	w.walk("", raw, reflect.TypeFor[T]())
	return w.found
}

// walk validates the value at the path against t. Null is always valid.
func (w *walker) walk(path string, raw json.RawMessage, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	kind := kindOf(t)
	if kind == Any || string(raw) == "null" {
		return
	}
	if w.isPlaceholder(path, raw, kind) {
		return
	}
	switch {
	case kind == Object:
		w.walkObject(path, raw, t)
	case kind == List:
		w.walkList(path, raw, t)
	case json.Unmarshal(raw, reflect.New(t).Interface()) != nil:
		w.found.Add(path, "wrong type: "+string(raw), "a "+string(kind))
	}
}

// isPlaceholder reports whether the value is a placeholder, and collects its findings.
func (w *walker) isPlaceholder(path string, raw json.RawMessage, kind Kind) bool {
	if w.checkPlaceholder == nil {
		return false
	}
	found, ok := w.checkPlaceholder(raw, kind)
	w.found.AddNested(path, found)
	return ok
}

func (w *walker) walkObject(path string, raw json.RawMessage, t reflect.Type) {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		w.found.Add(path, "wrong type: "+string(raw), "an object")
		return
	}
	fields := jsonFields(t)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		fieldType, ok := fields[name]
		if t.Kind() == reflect.Map {
			fieldType, ok = t.Elem(), true
		}
		if !ok {
			w.found.Add(join(path, name), "unknown field", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		w.walk(join(path, name), object[name], fieldType)
	}
}

func (w *walker) walkList(path string, raw json.RawMessage, t reflect.Type) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		w.found.Add(path, "wrong type: "+string(raw), "a list")
		return
	}
	for i, item := range items {
		w.walk(join(path, strconv.Itoa(i)), item, t.Elem())
	}
}

// kindOf returns the kind of JSON value that decodes into t.
func kindOf(t reflect.Type) Kind {
	if t == rawType {
		return Any
	}
	if t == timeType {
		return Time
	}
	switch t.Kind() {
	case reflect.Bool:
		return Boolean
	case reflect.Float64, reflect.Float32:
		return Number
	case reflect.Struct, reflect.Map:
		return Object
	case reflect.Slice, reflect.Array:
		if t.Elem().Kind() == reflect.Uint8 {
			return Text
		}
		return List
	case reflect.String:
		return Text
	case reflect.Interface:
		return Any
	default:
		return Integer
	}
}

// jsonFields returns the types of a struct's fields by JSON name. Fields without a
// JSON name are left out; any other type has no fields.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	if t.Kind() != reflect.Struct {
		return fields
	}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
