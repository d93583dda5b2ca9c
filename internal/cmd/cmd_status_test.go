package cmd

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/lease"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/workspace"
	"rosereach/io/operator"
)

func TestControlGroupActions(t *testing.T) {
	control := func(id string, voter bool) operator.Control { return operator.Control{ID: id, Voter: voter} }
	for _, tc := range []struct {
		name     string
		controls []operator.Control
		want     int
	}{
		{"one alone", []operator.Control{control("a", true)}, 0},
		{"three", []operator.Control{control("a", true), control("b", true), control("c", true)}, 0},
		{"a learner and two", []operator.Control{control("a", true), control("b", true), control("c", false)}, 2},
		{"a learner of four", []operator.Control{control("a", true), control("b", true), control("c", true), control("d", false)}, 1},
	} {
		if got := controlGroupActions(tc.controls); len(got) != tc.want {
			t.Errorf("%s: %q, want %d", tc.name, got, tc.want)
		}
	}
}

func TestRequiredActions(t *testing.T) {
	docs := operator.Documents{
		Revision: 9,
		Templates: map[string]template.Template{
			"small": {Name: "small", Policy: []byte(`{"allow":["small@*"]}`)},
			"large": {Name: "large", Policy: []byte(`{"allow":["large@*"]}`)},
		},
		Versions: map[string]version.Version{
			"small@v1": {Ref: version.Ref{Model: "small", Version: "v1"}, State: version.Serving},
			"large@v1": {Ref: version.Ref{Model: "large", Version: "v1"}, State: version.Held},
		},
		Workspaces: map[string]workspace.Workspace{
			"fine":    {Name: "fine", Template: "small", KeyHashes: []string{"x"}},
			"keyless": {Name: "keyless", Template: "small"},
			"stuck":   {Name: "stuck", Template: "large", KeyHashes: []string{"y"}},
			"unfit":   {Name: "unfit", Template: "none", KeyHashes: []string{"z"}},
			"closed":  {Name: "closed", Template: "none", Closed: true},
		},
	}
	for _, tc := range []struct {
		name   string
		status operator.Status
		want   []string
	}{
		{
			"all at work",
			operator.Status{Leader: "a", Revision: 9, Entries: []lease.Entry{{ID: "e1", Applied: 9}}},
			[]string{"version large@v1", "workspace keyless", "workspace stuck", "workspace unfit"},
		},
		{
			"no leader and an entry behind",
			operator.Status{Revision: 9, Entries: []lease.Entry{{ID: "e1", Applied: 8}}},
			[]string{"no leader:", "entry e1", "version large@v1", "workspace keyless", "workspace stuck", "workspace unfit"},
		},
		{
			"no entry",
			operator.Status{Leader: "a"},
			[]string{"no entry", "version large@v1", "workspace keyless", "workspace stuck", "workspace unfit"},
		},
	} {
		var got []string
		for _, line := range requiredActions(tc.status, docs) {
			got = append(got, strings.Join(strings.Fields(line)[:2], " "))
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}
