package template

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"rosereach/core/finding"
	"rosereach/core/shape"
)

// reference is a placeholder in a template's policy for a parameter's value.
type reference struct {
	Parameter string `json:"parameter"`
}

// compatibleKinds lists, for each type of parameter, the kinds of field that it may fill.
var compatibleKinds = map[Type][]shape.Kind{
	Number: {shape.Number, shape.Integer},
	Text:   {shape.Text},
	List:   {shape.List},
}

// checkReference validates a parameter reference in place of a value of the given
// kind. It implements shape.PlaceholderFunc.
func (t Template) checkReference(raw json.RawMessage, kind shape.Kind) (finding.List, bool) {
	ref, ok := parseReference(raw)
	if !ok {
		return nil, false
	}
	var found finding.List
	i := slices.IndexFunc(t.Parameters, func(p Parameter) bool { return p.Name == ref.Parameter })
	if i < 0 {
		found.Add("", "no parameter "+ref.Parameter, "one of "+jsonText(t.parameterNames()))
		return found, true
	}
	p := t.Parameters[i]
	if kinds, known := compatibleKinds[p.Type]; known && !slices.Contains(kinds, kind) {
		found.Add("", "parameter "+p.Name+" is a "+string(p.Type), "a parameter that gives a "+string(kind))
	}
	return found, true
}

func (t Template) parameterNames() []string {
	names := make([]string, 0, len(t.Parameters))
	for _, p := range t.Parameters {
		names = append(names, p.Name)
	}
	return names
}

// substitute replaces each {"parameter": NAME} object with the value of NAME.
func substitute(raw json.RawMessage, values Values) (json.RawMessage, error) {
	if ref, ok := parseReference(raw); ok {
		v, known := values[ref.Parameter]
		if !known {
			return nil, errors.NotFoundf("parameter %q", ref.Parameter)
		}
		return v, nil
	}
	switch {
	case startsWith(raw, '{'):
		return substituteFields(raw, values)
	case startsWith(raw, '['):
		return substituteItems(raw, values)
	}
	return raw, nil
}

func substituteFields(raw json.RawMessage, values Values) (json.RawMessage, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return nil, errors.Trace(err)
	}
	for field, value := range object {
		replaced, err := substitute(value, values)
		if err != nil {
			return nil, errors.Annotate(err, field)
		}
		object[field] = replaced
	}
	return json.Marshal(object)
}

func substituteItems(raw json.RawMessage, values Values) (json.RawMessage, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return nil, errors.Trace(err)
	}
	for i, value := range items {
		replaced, err := substitute(value, values)
		if err != nil {
			return nil, errors.Annotate(err, strconv.Itoa(i))
		}
		items[i] = replaced
	}
	return json.Marshal(items)
}

// parseReference parses a {"parameter": NAME} object. It returns false for any
// other value.
func parseReference(raw json.RawMessage) (reference, bool) {
	var (
		ref    reference
		object map[string]json.RawMessage
	)
	if !startsWith(raw, '{') || json.Unmarshal(raw, &object) != nil {
		return ref, false
	}
	if _, ok := object["parameter"]; !ok || len(object) != 1 {
		return ref, false
	}
	return ref, json.Unmarshal(raw, &ref) == nil
}

// startsWith reports whether the first byte of raw after white space is c.
func startsWith(raw json.RawMessage, c byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(raw), []byte{c})
}
