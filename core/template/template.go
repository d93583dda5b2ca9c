// Package template defines the templates that workspaces are created from. A
// template has typed parameters and a policy with references to them.
package template

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"rosereach/core/finding"
	"rosereach/core/shape"
	"rosereach/core/version"
)

// The types of parameters.
const (
	Number Type = "number"
	Text   Type = "text"
	List   Type = "list"
)

// sampleText is the sample value of a text parameter without a default. It is
// valid both as a version pattern and as a name.
const sampleText = "model@version"

type (
	// Type is the type of a parameter's value.
	Type string

	// Template is the document of one template.
	Template struct {
		Name       string      `json:"name"`
		Parameters []Parameter `json:"parameters"`
		// Policy is a Policy as JSON, in which a {"parameter": NAME} object may
		// stand for any value.
		Policy   json.RawMessage `json:"policy"`
		Revision uint64          `json:"revision"`
	}

	// Parameter declares a value that workspaces set.
	Parameter struct {
		Name string `json:"name"`
		Type Type   `json:"type"`
		// Min and Max are the inclusive bounds of a number.
		Min *float64 `json:"min,omitempty"`
		Max *float64 `json:"max,omitempty"`
		// Allowed lists the valid texts, or the valid items of a list. When it is
		// empty, all are valid.
		Allowed []string        `json:"allowed,omitempty"`
		Default json.RawMessage `json:"default,omitempty"`
	}

	// Values are the parameter values of a workspace, as JSON by name.
	Values map[string]json.RawMessage
)

// Parse decodes and validates a template. It reports the findings of all parts
// together.
func Parse(data []byte) (Template, finding.List) {
	var t Template
	found := shape.Check[Template](data, nil)
	if err := json.Unmarshal(data, &t); err != nil && len(found) == 0 {
		found.Add("", err.Error(), "a JSON object")
	}
	if !json.Valid(data) {
		return Template{}, found
	}
	return t, append(found, t.Check()...)
}

// Check validates the template and returns all findings. It validates the policy
// with the parameters' defaults, or with sample values where there is no default.
func (t Template) Check() finding.List {
	var found finding.List
	if t.Name == "" {
		found.Add("name", "missing", "a name")
	}
	found = append(found, t.checkParameters()...)
	return append(found, t.checkPolicy()...)
}

func (t Template) checkParameters() finding.List {
	var found finding.List
	seen := make(map[string]bool, len(t.Parameters))
	for i, p := range t.Parameters {
		path := "parameters." + cmp.Or(p.Name, strconv.Itoa(i))
		found.AddNested(path, p.check())
		if p.Name != "" && seen[p.Name] {
			found.Add(path, "declared twice", "each name once")
		}
		seen[p.Name] = true
	}
	return found
}

func (t Template) checkPolicy() finding.List {
	var found finding.List
	if len(t.Policy) == 0 {
		found.Add("policy", "missing", "an object")
		return found
	}
	found.AddNested("policy", shape.Check[Policy](t.Policy, t.checkReference))
	if len(found) > 0 {
		return found
	}
	raw, err := substitute(t.Policy, t.sampleValues())
	if err != nil {
		found.Add("policy", err.Error(), "values, or {\"parameter\": NAME} with a declared name")
		return found
	}
	_, policyFindings := parsePolicy(raw)
	found.AddNested("policy", policyFindings)
	return found
}

// sampleValues returns each parameter's default or, without one, a valid value.
func (t Template) sampleValues() Values {
	values := make(Values, len(t.Parameters))
	for _, p := range t.Parameters {
		values[p.Name] = p.sample()
	}
	return values
}

// Fill substitutes the values into the policy and validates the result.
func (t Template) Fill(values Values) (Policy, finding.List) {
	resolved, found := t.resolve(values)
	if len(found) > 0 {
		return Policy{}, found
	}
	raw, err := substitute(t.Policy, resolved)
	if err != nil {
		found.Add("policy", err.Error(), "values, or {\"parameter\": NAME} with a declared name")
		return Policy{}, found
	}
	p, policyFindings := parsePolicy(raw)
	found.AddNested("policy", policyFindings)
	return p, found
}

// resolve validates the values against the parameters and adds the defaults.
func (t Template) resolve(values Values) (Values, finding.List) {
	var found finding.List
	resolved := make(Values, len(t.Parameters))
	for _, p := range t.Parameters {
		v, ok := values[p.Name]
		if !ok {
			v = p.Default
		}
		if len(v) == 0 {
			found.Add("parameters."+p.Name, "missing, and it has no default", string(p.Type))
			continue
		}
		found.AddNested("parameters."+p.Name, p.checkValue(v))
		resolved[p.Name] = v
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.ContainsFunc(t.Parameters, func(p Parameter) bool { return p.Name == name }) {
			found.Add("parameters."+name, "the template has no such parameter", "a declared name")
		}
	}
	return resolved, found
}

func (p Parameter) check() finding.List {
	var found finding.List
	if p.Name == "" {
		found.Add("name", "missing", "a name")
	}
	if p.Type != Number && p.Type != Text && p.Type != List {
		found.Add("type", "unknown type "+string(p.Type), "number, text, list")
		return found
	}
	if p.Type != Number && (p.Min != nil || p.Max != nil) {
		found.Add("min, max", "a "+string(p.Type)+" has no bounds", "min and max for a number only")
	}
	if p.Type == Number && len(p.Allowed) > 0 {
		found.Add("allowed", "a number has no list of values", "min and max")
	}
	if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
		found.Add("min", "above max", "at most "+jsonText(*p.Max))
	}
	if len(p.Default) > 0 {
		found.AddNested("default", p.checkValue(p.Default))
	}
	return found
}

// sample returns the parameter's default or, without one, a valid value.
func (p Parameter) sample() json.RawMessage {
	if len(p.Default) > 0 {
		return p.Default
	}
	switch p.Type {
	case Number:
		bound := cmp.Or(p.Min, p.Max)
		if bound == nil {
			return json.RawMessage("0")
		}
		return json.RawMessage(jsonText(*bound))
	case List:
		return json.RawMessage(jsonText(append([]string{}, p.Allowed...)))
	}
	if len(p.Allowed) > 0 {
		return json.RawMessage(jsonText(p.Allowed[0]))
	}
	return json.RawMessage(jsonText(sampleText))
}

// checkValue validates a value of the parameter.
func (p Parameter) checkValue(raw json.RawMessage) finding.List {
	switch p.Type {
	case Number:
		return p.checkNumber(raw)
	case Text:
		var s string
		if json.Unmarshal(raw, &s) != nil {
			return finding.List{{Problem: "no text", Allowed: "a JSON string"}}
		}
		return p.checkItems([]string{s})
	case List:
		var items []string
		if json.Unmarshal(raw, &items) != nil {
			return finding.List{{Problem: "no list", Allowed: "a JSON list of strings"}}
		}
		return p.checkItems(items)
	}
	return nil
}

func (p Parameter) checkNumber(raw json.RawMessage) finding.List {
	var (
		found finding.List
		v     float64
	)
	if json.Unmarshal(raw, &v) != nil {
		found.Add("", "no number", "a JSON number")
		return found
	}
	if p.Min != nil && v < *p.Min {
		found.Add("", "too small", "at least "+jsonText(*p.Min))
	}
	if p.Max != nil && v > *p.Max {
		found.Add("", "too large", "at most "+jsonText(*p.Max))
	}
	return found
}

// checkItems validates a text, or the items of a list, against the allowed texts.
func (p Parameter) checkItems(items []string) finding.List {
	var found finding.List
	if len(p.Allowed) == 0 {
		return found
	}
	for _, s := range items {
		if !slices.Contains(p.Allowed, s) {
			found.Add("", "value "+s+" is not allowed", jsonText(p.Allowed))
		}
	}
	return found
}

// jsonText returns v as JSON.
func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Allows reports whether the version matches any pattern of the policy.
func (p Policy) Allows(ref version.Ref) bool {
	return slices.ContainsFunc(p.Allow, func(pattern string) bool {
		parsed, err := version.ParseRef(pattern)
		return err == nil && ref.Matches(parsed)
	})
}
