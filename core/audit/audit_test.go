package audit_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"rosereach/core/audit"
)

var start = time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)

// appendChanges appends n changes of one version at intervals of one second.
func appendChanges(t *audit.Trail, n int) {
	for i := range n {
		t.Append(audit.Event{
			At: start.Add(time.Duration(i) * time.Second), Kind: audit.Changed, Actor: "ana", From: "127.0.0.1:9",
			Subject: "version/small@v1", After: json.RawMessage(fmt.Sprintf(`{"share":%d}`, i)),
		})
	}
}

func ExampleTrail() {
	trail := audit.NewTrail()
	appendChanges(trail, 3)
	page := trail.Page(0, 100)
	fmt.Println(page.Verify())
	documents, sequence := page.Documents(start.Add(time.Second))
	fmt.Println(sequence, string(documents["version/small@v1"]))
	page.Events[1].Actor = "eve"
	fmt.Println(page.Verify())
	// Output:
	// <nil>
	// 2 {"share":1}
	// event 2 was changed: the audit chain is broken
}

func ExampleDifferences() {
	for _, d := range audit.Differences([]byte(`{"share":0.1,"ref":{"model":"small"}}`), []byte(`{"share":0.2,"reason":"slow"}`)) {
		fmt.Printf("%s: %q → %q\n", d.Path, d.Before, d.After)
	}
	// Output:
	// reason: "" → "\"slow\""
	// ref.model: "\"small\"" → ""
	// share: "0.1" → "0.2"
}

// A change of any single byte of an export is detected.
func TestChangedByteIsFound(t *testing.T) {
	trail := audit.NewTrail()
	appendChanges(trail, 4)
	var export bytes.Buffer
	if err := trail.Page(0, 100).Export(&export); err != nil {
		t.Fatal(err)
	}
	if _, err := audit.ReadExport(bytes.NewReader(export.Bytes())); err != nil {
		t.Fatal(err)
	}
	for i := range export.Len() - 1 {
		for _, flip := range []byte{0x01, 0x20, 0x80} {
			corrupted := bytes.Clone(export.Bytes())
			corrupted[i] ^= flip
			if _, err := audit.ReadExport(bytes.NewReader(corrupted)); !errors.Is(err, audit.ErrBroken) {
				t.Fatalf("byte %d changed by %#x: %v", i, flip, err)
			}
		}
	}
}

// An accepted revision counts as in force only after an InForce event.
func TestRevisions(t *testing.T) {
	trail := audit.NewTrail()
	for i, e := range []audit.Event{
		{Kind: audit.Changed, Revision: 4},
		{Kind: audit.InForce, Revision: 4},
		{Kind: audit.Held, Revision: 7},
		{Kind: audit.Refused, Revision: 9},
		{Kind: audit.InForce, Revision: 7},
	} {
		e.At = start.Add(time.Duration(i) * time.Second)
		trail.Append(e)
	}
	want := [][2]uint64{{4, 0}, {4, 4}, {7, 4}, {7, 4}, {7, 7}}
	for i, w := range want {
		accepted, inForce := trail.Page(0, 9).Revisions(start.Add(time.Duration(i) * time.Second))
		if got := [2]uint64{accepted, inForce}; got != w {
			t.Errorf("after event %d: %v, want %v", i+1, got, w)
		}
	}
}

func TestMissingEventsAreFound(t *testing.T) {
	trail := audit.NewTrail()
	appendChanges(trail, 5)
	whole := trail.Page(0, 100).Events
	for name, events := range map[string][]audit.Event{
		"one left out":  append(append([]audit.Event{}, whole[:2]...), whole[3:]...),
		"first missing": whole[1:],
		"two swapped":   {whole[1], whole[0], whole[2]},
	} {
		if err := (audit.Page{Events: events}).Verify(); !errors.Is(err, audit.ErrBroken) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A trail beyond its limit drops its oldest events, and the rest still verifies.
// Documents whose events were all dropped are rebuilt from the base.
func TestHorizon(t *testing.T) {
	trail := audit.NewTrail()
	trail.Append(audit.Event{At: start, Kind: audit.Changed, Subject: "template/a", After: json.RawMessage(`{"name":"a"}`)})
	const (
		n          = 70_000
		dayChanges = 14_000
	)
	appendChanges(trail, n)
	page := trail.Page(0, n+1)
	if err := page.Verify(); err != nil {
		t.Fatal(err)
	}
	last := page.Events[len(page.Events)-1]
	if len(page.Events) > 65_536 || len(page.Events) < dayChanges || last.Sequence != n+1 {
		t.Errorf("%d events, the last is %d", len(page.Events), last.Sequence)
	}
	documents, _ := page.Documents(start.Add(n * time.Second))
	want := map[string][]byte{"template/a": []byte(`{"name":"a"}`), "version/small@v1": []byte(`{"share":69999}`)}
	if diff := cmp.Diff(want, documents); diff != "" {
		t.Error(diff)
	}
	if next := trail.Page(last.Sequence-2, 10); len(next.Events) != 2 || next.Verify() != nil {
		t.Errorf("the last two events: %d, %v", len(next.Events), next.Verify())
	}
}

// A restored trail continues with the same hashes as the original, also for
// times with another time zone and with fractions of a second.
func TestSnapshot(t *testing.T) {
	original := audit.NewTrail()
	e := audit.Event{At: start.Add(123456789).In(time.FixedZone("x", 3600)), Kind: audit.Refused, Before: json.RawMessage{}}
	original.Append(e)
	data, err := cbor.Marshal(original.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var s audit.Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	restored := audit.RestoreTrail(s)
	original.Append(e)
	restored.Append(e)
	if diff := cmp.Diff(original.Page(0, 9), restored.Page(0, 9)); diff != "" {
		t.Error(diff)
	}
	if err := restored.Page(0, 9).Verify(); err != nil {
		t.Error(err)
	}
}
