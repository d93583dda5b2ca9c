package state_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"rosereach/core/audit"
	"rosereach/core/change"
	"rosereach/core/state"
)

// commands returns changes and an audit event. Some changes are refused, one of them
// with several findings.
func commands() []state.Command {
	at := time.Date(2026, 12, 3, 10, 0, 0, 987654321, time.FixedZone("x", 3600))
	var list []state.Command
	add := func(kind change.Kind, name, document string) {
		id := fmt.Sprint("c-", len(list))
		list = append(list, state.Command{Change: &change.Change{
			ID: id, Kind: kind, Name: name, Document: json.RawMessage(document), Actor: "ana", At: at.Add(time.Duration(len(list)) * time.Second),
		}})
	}
	add(change.PutTemplate, "t", `{"name":"t","parameters":[{"name":"m","type":"list","default":["small@*"]}],"policy":{"allow":{"parameter":"m"}}}`)
	for i := range 9 {
		name := fmt.Sprint("w", i)
		add(change.PutWorkspace, name, `{"name":"`+name+`","template":"t","values":{"m":["small@v1"]}}`)
	}
	add(change.PutTemplate, "t", `{"name":"t","parameters":[],"policy":{"allow":[]}}`)
	add(change.PutVersion, "small@v1", `{"ref":{"model":"small","version":"v1"}}`)
	add(change.MoveVersion, "small@v1", `{"trigger":"hold"}`)
	list = append(list, state.Command{AuditEvent: &audit.Event{At: at, Kind: audit.Refused, Subject: "route/GET /v1/audit"}})
	return list
}

// A replica that decodes the commands from its log, and restarts from a snapshot, has
// the same audit trail as the leader.
func TestReplicasHaveSameTrail(t *testing.T) {
	leader, follower := state.New(), state.New()
	for i, c := range commands() {
		index := uint64(i + 1)
		leader.Apply(index, c)
		data, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var decoded state.Command
		if err := cbor.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		follower.Apply(index, decoded)
		snapshot, err := follower.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if follower, err = state.Decode(snapshot); err != nil {
			t.Fatal(err)
		}
	}
	want, got := leader.AuditPage(0, 100), follower.AuditPage(0, 100)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := got.Verify(); err != nil || len(got.Events) != len(commands()) {
		t.Errorf("%d events, %v", len(got.Events), err)
	}
	kinds := make(map[audit.Kind]int)
	for _, e := range got.Events {
		kinds[e.Kind]++
	}
	if diff := cmp.Diff(map[audit.Kind]int{audit.Changed: 11, audit.Held: 1, audit.Refused: 2}, kinds); diff != "" {
		t.Error(diff)
	}
}
