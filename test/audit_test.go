package test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"rosereach/core/audit"
	"rosereach/io/caller"
)

// The audit trail can be exported, verified and queried by commands. Verification
// detects one changed byte.
func TestAuditByCommand(t *testing.T) {
	f := startFleet(t, 1)
	f.startEngine("engine-1", "small@v1")
	key := f.setUpDocuments("small@v1")
	if _, err := f.client(0, key).Chat(context.Background(), chat("auto", 4, false), caller.CallOptions{RequestID: "chat-1"}); err != nil {
		t.Fatal(err)
	}
	code, export := f.runOperatorCommand("audit", "export")
	if code != 0 {
		t.Fatalf("exit code %d\n%s", code, export)
	}
	folder := t.TempDir()
	whole, changed := filepath.Join(folder, "whole"), filepath.Join(folder, "changed")
	for path, data := range map[string][]byte{
		whole: []byte(export), changed: bytes.Replace([]byte(export), []byte("small@*"), []byte("small@+"), 1),
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	page, err := audit.ReadExport(strings.NewReader(export))
	if err != nil {
		t.Fatal(err)
	}
	head := page.Events[len(page.Events)-1].Hash
	for _, tc := range []struct {
		name, args string
		code       int
		says       []string
	}{
		{"verify the control's trail", "audit verify --known-hash " + head, 0, []string{"chain whole"}},
		{"verify an export", "audit verify --file " + whole, 0, []string{"chain whole", head}},
		{"verify with a foreign hash", "audit verify --known-hash 00 --file " + whole, 1, []string{"no event has the hash"}},
		{"verify a changed export", "audit verify --file " + changed, 1, []string{"was changed"}},
		{"permitted now", "audit permitted terminalna", 0, []string{"versions.0", `"small@v1"`, "policy.quality_target", "accepted_revision", "in_force_revision"}},
		{"permitted by an export", "audit permitted --file " + whole + " terminalna", 0, []string{`"small@v1"`}},
		{"permitted before it was made", "audit permitted --at 2020-01-01T00:00:00Z terminalna", 0, []string{"no such workspace"}},
		{"a bad time", "audit permitted --at noon terminalna", 2, []string{"--at"}},
		{"why a request went there", "audit request terminalna chat-1", 0, []string{`"engine-1"`, `"done"`, "permitted.versions.0"}},
		{"an unknown request", "audit request terminalna chat-9", 1, []string{"not_found"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, out := f.runOperatorCommand(strings.Fields(tc.args)...)
			if code != tc.code {
				t.Errorf("exit code %d, want %d\n%s", code, tc.code, out)
			}
			for _, text := range tc.says {
				if !strings.Contains(out, text) {
					t.Errorf("%q is not in:\n%s", text, out)
				}
			}
		})
	}
}

// The audit trail also records what the system does by itself: the members of the
// group of controls, and the leases that ended.
func TestSystemEventsInTrail(t *testing.T) {
	f := startFleet(t, 2)
	f.entries[1].kill()
	var page audit.Page
	waitFor(t, "the event of the ended lease", func() bool {
		var err error
		page, err = f.operator.FullTrail(context.Background(), 0)
		return err == nil && slices.ContainsFunc(page.Events, func(e audit.Event) bool {
			return e.Kind == audit.LeaseEnded && e.Subject == "entry/entry-2"
		})
	})
	if err := page.Verify(); err != nil {
		t.Error(err)
	}
	if !slices.ContainsFunc(page.Events, func(e audit.Event) bool {
		return e.Kind == audit.Membership && bytes.Contains(e.After, []byte(`"control-1"`))
	}) {
		t.Errorf("no membership event of the controls in %+v", page.Events)
	}
}
