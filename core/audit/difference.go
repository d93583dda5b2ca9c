package audit

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Difference is one value that differs between two JSON documents.
type Difference struct {
	// Path is the dotted path of the value.
	Path string `json:"path"`
	// Before and After are the value as JSON, empty where it is missing.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Differences returns the values that differ between two JSON documents, sorted
// by path. An empty document has no values.
func Differences(before, after json.RawMessage) []Difference {
	oldValues, newValues := make(map[string]string), make(map[string]string)
	flatten("", before, oldValues)
	flatten("", after, newValues)
	var differences []Difference
	for path, value := range oldValues {
		if newValues[path] != value {
			differences = append(differences, Difference{Path: path, Before: value, After: newValues[path]})
		}
	}
	for path, value := range newValues {
		if _, ok := oldValues[path]; !ok {
			differences = append(differences, Difference{Path: path, After: value})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
	return differences
}

// flatten adds the leaf values of a JSON document to values, keyed by path.
func flatten(path string, raw json.RawMessage, values map[string]string) {
	var (
		object map[string]json.RawMessage
		items  []json.RawMessage
	)
	switch {
	case len(raw) == 0:
	case json.Unmarshal(raw, &object) == nil && len(object) > 0:
		for _, name := range slices.Sorted(maps.Keys(object)) {
			flatten(joinPath(path, name), object[name], values)
		}
	case json.Unmarshal(raw, &items) == nil && len(items) > 0:
		for i, item := range items {
			flatten(joinPath(path, strconv.Itoa(i)), item, values)
		}
	default:
		values[path] = string(raw)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
