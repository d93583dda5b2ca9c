package template_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/template"
	"rosereach/core/version"
)

const drafting = `{
  "name": "drafting",
  "parameters": [
    {"name": "models", "type": "list", "allowed": ["small@*", "large@v1"]},
    {"name": "target", "type": "number", "min": 0.5, "max": 0.9, "default": 0.7}
  ],
  "policy": {"allow": {"parameter": "models"}, "quality_target": {"parameter": "target"}, "limits": {"concurrent": 8}}
}`

func Example() {
	t, found := template.Parse([]byte(drafting))
	fmt.Println("findings:", len(found))
	policy, found := t.Fill(template.Values{"models": json.RawMessage(`["small@*"]`)})
	fmt.Println("findings:", len(found), "target:", policy.QualityTarget)
	fmt.Println(policy.Allows(version.Ref{Model: "small", Version: "v7"}), policy.Allows(version.Ref{Model: "large", Version: "v1"}))
	_, found = t.Fill(template.Values{"models": json.RawMessage(`["huge@v1"]`), "target": json.RawMessage(`1`)})
	fmt.Println(found)
	// Output:
	// findings: 0
	// findings: 0 target: 0.7
	// true false
	// parameters.models: value huge@v1 is not allowed; allowed: ["small@*","large@v1"]
	// parameters.target: too large; allowed: at most 0.9
}

// All findings of an invalid template are reported together, each with its path.
func TestBadTemplates(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		paths      []string
	}{
		{"no JSON", `{"name":`, []string{""}},
		{"empty", `{}`, []string{"name", "policy"}},
		{
			"unknown fields everywhere",
			`{"name":"a","colour":1,"parameters":[{"name":"p","type":"text","size":3}],"policy":{"allow":[],"limits":{"speed":1},"model":"x"}}`,
			[]string{"colour", "parameters.0.size", "policy.limits.speed", "policy.model"},
		},
		{
			"wrong types inside the policy",
			`{"name":"a","policy":{"allow":"small@*","quality_target":"high","weight":1.5,"limits":{"concurrent":true},"services":[1]}}`,
			[]string{"policy.allow", "policy.limits.concurrent", "policy.quality_target", "policy.services.0", "policy.weight"},
		},
		{
			"references, with a default for every parameter",
			`{"name":"a","parameters":[{"name":"n","type":"number","default":1}],
			  "policy":{"allow":{"parameter":"n"},"weight":{"parameter":"missing"},"quality_target":{"parameter":"n"}}}`,
			[]string{"policy.allow", "policy.weight"},
		},
		{
			"parameters",
			`{"name":"a","parameters":[{"name":"n","type":"number","min":2,"max":1},{"name":"n","type":"number"},
			  {"type":"text"},{"name":"x","type":"colour"},{"name":"l","type":"list","min":1,"default":[1]}],"policy":{"allow":[]}}`,
			[]string{"parameters.n.min", "parameters.n", "parameters.2.name", "parameters.x.type", "parameters.l.min, max", "parameters.l.default"},
		},
		{
			"values out of range",
			`{"name":"a","policy":{"allow":["small"],"quality_target":2,"weight":-1,"retention_days":-1}}`,
			[]string{"policy.allow", "policy.quality_target", "policy.weight", "policy.retention_days"},
		},
		{
			"a default that the policy does not take",
			`{"name":"a","parameters":[{"name":"t","type":"number","default":7}],"policy":{"allow":[],"quality_target":{"parameter":"t"}}}`,
			[]string{"policy.quality_target"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, found := template.Parse([]byte(tc.text))
			var paths []string
			for _, f := range found {
				paths = append(paths, f.Path)
				if f.Problem == "" || f.Allowed == "" {
					t.Errorf("finding without a problem or without allowed values: %+v", f)
				}
			}
			if diff := cmp.Diff(tc.paths, paths); diff != "" {
				t.Errorf("%s\n%s", diff, found)
			}
		})
	}
}

func TestReferenceInsideList(t *testing.T) {
	text := `{"name":"a","parameters":[{"name":"model","type":"text"}],"policy":{"allow":[{"parameter":"model"},"large@v1"]}}`
	parsed, found := template.Parse([]byte(text))
	if len(found) > 0 {
		t.Fatal(found)
	}
	policy, found := parsed.Fill(template.Values{"model": json.RawMessage(`"small@v2"`)})
	if got := strings.Join(policy.Allow, " "); got != "small@v2 large@v1" || len(found) > 0 {
		t.Errorf("%q, %v", got, found)
	}
}
