package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/catalog"
	"rosereach/core/change"
)

// documents returns a template, a version of each of two models, a service and
// two workspaces.
func documents(t testing.TB) catalog.Documents {
	var d catalog.Documents
	for i, c := range []struct {
		kind           change.Kind
		name, document string
	}{
		{change.PutTemplate, "drafting", `{"name":"drafting","parameters":[{"name":"models","type":"list"}],"policy":{"allow":{"parameter":"models"},"services":["ledger"]}}`},
		{change.PutVersion, "small@v1", `{"ref":{"model":"small","version":"v1"}}`},
		{change.MoveVersion, "small@v1", `{"trigger":"serve"}`},
		{change.PutVersion, "large@v1", `{"ref":{"model":"large","version":"v1"}}`},
		{change.MoveVersion, "large@v1", `{"trigger":"serve"}`},
		{change.PutService, "ledger", `{"name":"ledger"}`},
		{change.PutWorkspace, "vitrina", `{"name":"vitrina","template":"drafting","values":{"models":["small@*"]}}`},
		{change.PutWorkspace, "terminalna", `{"name":"terminalna","template":"drafting","values":{"models":["small@*","large@v1"]}}`},
	} {
		next, r := d.Apply(change.Change{ID: fmt.Sprint(i), Kind: c.kind, Name: c.name, Document: json.RawMessage(c.document)}, uint64(i+1))
		if r.Status != change.Accepted {
			t.Fatalf("%s %s: %v", c.kind, c.name, r.Findings)
		}
		d = next
	}
	return d
}

func ExampleDocuments_Preview() {
	docs := documents(&testing.B{})
	p := docs.Preview(change.Change{ID: "c-1", Kind: change.MoveVersion, Name: "large@v1", Document: json.RawMessage(`{"trigger":"withdraw"}`)})
	fmt.Println(p.Result.Status)
	for _, e := range p.Effects {
		fmt.Println(e.Workspace, e.Before.Versions, "→", e.After.Versions)
	}
	fmt.Println(docs.Versions["large@v1"].State)
	// Output:
	// accepted
	// terminalna [large@v1 small@v1] → [small@v1]
	// serving
}

// Of two changes that expect the same revision, the first is accepted. The second
// gets a conflict with the revision of the first.
func TestRacingChanges(t *testing.T) {
	docs := documents(t)
	expect := docs.Versions["small@v1"].Revision
	hold := change.Change{ID: "a", Kind: change.MoveVersion, Name: "small@v1", ExpectedRevision: &expect, Document: json.RawMessage(`{"trigger":"hold"}`)}
	docs, first := docs.Apply(hold, 20)
	hold.ID, hold.Document = "b", json.RawMessage(`{"trigger":"withdraw"}`)
	docs, second := docs.Apply(hold, 21)
	want := []change.Result{{Status: change.Accepted, Revision: 20}, {Status: change.Conflict, Revision: 20}}
	if diff := cmp.Diff(want, []change.Result{first, second}); diff != "" || docs.Versions["small@v1"].State != "held" {
		t.Error(diff, docs.Versions["small@v1"].State)
	}
}

func TestRefusedChanges(t *testing.T) {
	docs := documents(t)
	for _, tc := range []struct {
		name   string
		kind   change.Kind
		target string
		text   string
		paths  []string
	}{
		{"unknown field", change.PutWorkspace, "w", `{"name":"w","template":"drafting","values":{},"colour":1}`, []string{"colour"}},
		{"no template and a foreign name", change.PutWorkspace, "w", `{"name":"v","template":"none"}`, []string{"name", "template"}},
		{"missing value", change.PutWorkspace, "w", `{"name":"w","template":"drafting","values":{"size":1}}`, []string{"parameters.models", "parameters.size"}},
		{"a template that its workspaces do not fit", change.PutTemplate, "drafting", `{"name":"drafting","parameters":[],"policy":{"allow":[]}}`, []string{"workspaces.terminalna.parameters.models", "workspaces.vitrina.parameters.models"}},
		{"unknown version", change.MoveVersion, "huge@v1", `{"trigger":"hold"}`, []string{"name"}},
		{"a move that the state does not accept", change.MoveVersion, "small@v1", `{"trigger":"restore"}`, []string{"trigger"}},
		{"no hash", change.AddKey, "vitrina", `{}`, []string{"hash"}},
		{"unknown kind", "put_nothing", "x", `{}`, []string{"kind"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, r := docs.Apply(change.Change{ID: "c", Kind: tc.kind, Name: tc.target, Document: json.RawMessage(tc.text)}, 99)
			var paths []string
			for _, f := range r.Findings {
				paths = append(paths, f.Path)
			}
			if diff := cmp.Diff(tc.paths, paths); diff != "" || r.Status != change.Refused {
				t.Error(r.Status, diff)
			}
		})
	}
}
