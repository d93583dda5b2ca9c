package test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/internal/fault"
	"rosereach/io/operator"
)

// runOperatorCommand runs an operator command against the fleet's control.
func (f *fleet) runOperatorCommand(args ...string) (int, string) {
	f.t.Helper()
	f.t.Setenv("ROSEREACH_CONTROL", f.operator.Address)
	f.t.Setenv("ROSEREACH_OPERATOR_KEY", f.operator.Key)
	return runProgram(f.t, args...)
}

// Changes made by commands: a preview changes nothing, one of two conflicting
// changes is accepted, a resent change gets its first answer, and each kind of
// answer has its own exit code.
func TestChangesByCommand(t *testing.T) {
	f := startFleet(t, 1)
	f.setUpDocuments("small@v1")
	file := filepath.Join(t.TempDir(), "drafting.json")
	if err := os.WriteFile(file, []byte(`{"name":"drafting","policy":{"allow":[],"services":[]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	docs, err := f.operator.Documents(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	expect, err := json.Marshal(docs.Versions["small@v1"].Revision)
	if err != nil {
		t.Fatal(err)
	}
	revision := string(expect)
	for _, tc := range []struct {
		name, args string
		code       int
		says       []string
	}{
		{"preview of a template", "template set --dry-run " + file, 0, []string{"would be accepted", "terminalna", "policy.allow.0", "versions.0"}},
		{"preview of a withdrawal", "version withdraw --dry-run small@v1", 0, []string{"would be accepted", `"small@v1"`}},
		{"difference of a file", "template diff " + file, 0, []string{"policy.allow.0", `"small@*"`}},
		{"the preview changed nothing", "version show", 0, []string{"serving"}},
		{"the first of two operators", "version hold --change-id one --expect " + revision + " small@v1", 0, []string{"accepted", "in force everywhere: true"}},
		{"the second of two operators", "version withdraw --change-id two --expect " + revision + " small@v1", 4, []string{"conflict"}},
		{"the first one resent", "version hold --change-id one --expect " + revision + " small@v1", 0, []string{"known already", "accepted"}},
		{"a used id for another change", "version serve --change-id one small@v1", 3, []string{"change_id", "was used for another change"}},
		{"a move that is refused", "version restore small@v1", 3, []string{"trigger"}},
		{"unknown workspace", "workspace key nobody", 3, []string{"no workspace nobody"}},
		{"a control that is not there", "version hold --control 127.0.0.1:1 small@v1", 5, []string{"outcome unknown", "--change-id"}},
		{"a wrong key", "version hold --operator-key nonsense small@v1", 3, []string{"unauthorized"}},
		{"history of a template", "template history drafting", 0, []string{"REVISION", "changed", "policy.allow.0: none"}},
		{"list of workspaces", "workspace list", 0, []string{"terminalna", "drafting"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, out := f.runOperatorCommand(strings.Fields(tc.args)...)
			if code != tc.code {
				t.Errorf("exit code %d, want %d", code, tc.code)
			}
			for _, text := range tc.says {
				if !strings.Contains(out, text) {
					t.Errorf("%q is not in:\n%s", text, out)
				}
			}
		})
	}
	code, out := f.runOperatorCommand("version", "hold", "--json", "--change-id", "one", "--expect", revision, "small@v1")
	var answer operator.Answer
	if docs, err = f.operator.Documents(context.Background()); err != nil {
		t.Fatal(err)
	}
	first := docs.Versions["small@v1"].Revision
	if err := json.Unmarshal([]byte(out), &answer); err != nil || code != 0 || !answer.Repeated || answer.Revision != first {
		t.Errorf("exit code %d, %v, first revision %d\n%s", code, err, first, out)
	}
}

// The answer to a change is lost. When the operator sends the change again, it gets
// the first answer, and the change is applied only once.
func TestLostAnswerResent(t *testing.T) {
	f := startFleet(t, 1)
	f.setUpDocuments("small@v1")
	p, err := fault.Start(t.Context(), f.operator.Address)
	if err != nil {
		t.Fatal(err)
	}
	through := []string{"version", "withdraw", "--control", p.Address(), "--change-id", "lost", "--json", "small@v1"}
	p.SetPlan(fault.Plan{ResetAfterBytes: -1})
	if code, out := f.runOperatorCommand(through...); code != 5 {
		t.Errorf("exit code %d after the answer was lost, want 5\n%s", code, out)
	}
	p.SetPlan(fault.Plan{})
	code, out := f.runOperatorCommand(through...)
	var answer operator.Answer
	if err := json.Unmarshal([]byte(out), &answer); err != nil || code != 0 || !answer.Repeated {
		t.Errorf("exit code %d, %v\n%s", code, err, out)
	}
	trail, err := f.operator.FullTrail(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	var made []uint64
	for _, e := range trail.Events {
		if e.ChangeID == "lost" {
			made = append(made, e.Revision)
		}
	}
	if diff := cmp.Diff([]uint64{answer.Revision}, made); diff != "" {
		t.Error(diff)
	}
}

// All findings in all invalid template files are reported together, each with its
// file, its path and what is allowed.
func TestBadTemplateFiles(t *testing.T) {
	folder := t.TempDir()
	one, two := filepath.Join(folder, "one.json"), filepath.Join(folder, "two.json")
	for path, text := range map[string]string{
		one: `{"name":"one","colour":1,"policy":{"allow":"small@*","weight":{"parameter":"none"}}}`,
		two: `{"name":"two","parameters":[{"name":"n","type":"number","min":3,"default":2}],"policy":{"allow":["small"]}}`,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, out := runProgram(t, "template", "check", one, two)
	want := []string{
		one + ": colour: unknown field; allowed: ",
		one + `: policy.allow: wrong type: "small@*"; allowed: a list`,
		one + ": policy.weight: no parameter none; allowed: ",
		two + ": parameters.n.default: too small; allowed: at least 3",
		two + ": policy.allow: bad pattern small; allowed: model@version or model@*",
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != 2 || len(lines) != len(want) {
		t.Fatalf("exit code %d, %d findings\n%s", code, len(lines), out)
	}
	for i, text := range want {
		if !strings.Contains(lines[i], text) {
			t.Errorf("finding %d is %q, want %q", i, lines[i], text)
		}
	}
}
