package audit

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Difference is one place in which two documents differ. Before or After is
// empty when the place is missing there.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Differences returns the places in which two JSON documents differ, ordered
// by path. An empty document has no places.
func Differences(before, after json.RawMessage) []Difference {
	old, next := make(map[string]string), make(map[string]string)
	flatten("", before, old)
	flatten("", after, next)
	var list []Difference
	for path, value := range old {
		if next[path] != value {
			list = append(list, Difference{Path: path, Before: value, After: next[path]})
		}
	}
	for path, value := range next {
		if _, ok := old[path]; !ok {
			list = append(list, Difference{Path: path, After: value})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
	return list
}

// flatten writes the document's leaves into places, by path.
func flatten(path string, raw json.RawMessage, places map[string]string) {
	var (
		object map[string]json.RawMessage
		items  []json.RawMessage
	)
	switch {
	case len(raw) == 0:
	case json.Unmarshal(raw, &object) == nil && len(object) > 0:
		for _, name := range slices.Sorted(maps.Keys(object)) {
			flatten(joinPath(path, name), object[name], places)
		}
	case json.Unmarshal(raw, &items) == nil && len(items) > 0:
		for i, item := range items {
			flatten(joinPath(path, strconv.Itoa(i)), item, places)
		}
	default:
		places[path] = string(raw)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
