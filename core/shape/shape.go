// Package shape compares JSON with the Go type that it is read into and
// returns all differences together, where encoding/json stops at the first.
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

// The kinds of value that a place may hold.
const (
	Any     Kind = "any value"
	Text    Kind = "text"
	Number  Kind = "number"
	Whole   Kind = "whole number"
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
	// Kind is the kind of value that a place may hold.
	Kind string

	// StandIn decides on a value that stands for another one. It returns false
	// for a value that stands for itself.
	StandIn func(raw json.RawMessage, kind Kind) (finding.List, bool)

	// walker collects findings on its way through a document.
	walker struct {
		standIn StandIn
		found   finding.List
	}
)

// Decode reads data into a T. The value is zero when there are findings.
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

// Check returns all differences between data and a T. StandIn may be nil.
func Check[T any](data []byte, standIn StandIn) finding.List {
	w := &walker{standIn: standIn}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		w.found.Add("", "no valid JSON: "+err.Error(), "a JSON "+string(kindOf(reflect.TypeFor[T]())))
		return w.found
	}
	w.walk("", raw, reflect.TypeFor[T]())
	return w.found
}

func (w *walker) walk(place string, raw json.RawMessage, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	kind := kindOf(t)
	if kind == Any || string(raw) == "null" {
		return
	}
	if w.standsIn(place, raw, kind) {
		return
	}
	switch {
	case kind == Object:
		w.walkObject(place, raw, t)
	case kind == List:
		w.walkList(place, raw, t)
	case json.Unmarshal(raw, reflect.New(t).Interface()) != nil:
		w.found.Add(place, "wrong type: "+string(raw), "a "+string(kind))
	}
}

func (w *walker) standsIn(place string, raw json.RawMessage, kind Kind) bool {
	if w.standIn == nil {
		return false
	}
	found, ok := w.standIn(raw, kind)
	w.found.Within(place, found)
	return ok
}

func (w *walker) walkObject(place string, raw json.RawMessage, t reflect.Type) {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		w.found.Add(place, "wrong type: "+string(raw), "an object")
		return
	}
	known := fieldsOf(t)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		field, ok := known[name]
		if t.Kind() == reflect.Map {
			field, ok = t.Elem(), true
		}
		if !ok {
			w.found.Add(join(place, name), "unknown field", strings.Join(slices.Sorted(maps.Keys(known)), ", "))
			continue
		}
		w.walk(join(place, name), object[name], field)
	}
}

func (w *walker) walkList(place string, raw json.RawMessage, t reflect.Type) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		w.found.Add(place, "wrong type: "+string(raw), "a list")
		return
	}
	for i, item := range items {
		w.walk(join(place, strconv.Itoa(i)), item, t.Elem())
	}
}

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
		return Whole
	}
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
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

func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}
