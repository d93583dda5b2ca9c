package state

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"rosereach/core/change"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func templateAt(id, version string, at time.Time) Command {
	doc := fmt.Sprintf(`{"name":"t","parameters":[],"policy":{"allow":["small@%s"],"quality_target":0.5,"services":[],"limits":{}}}`, version)
	return Command{Change: &change.Change{ID: id, Kind: change.PutTemplate, Name: "t", Document: json.RawMessage(doc), Actor: "test", At: at}}
}

// A resend gets the first result until the retention time ends, also after a restore
// from a snapshot. The same id with other content is refused.
func TestResend(t *testing.T) {
	s := New()
	first := s.Apply(2, templateAt("a", "v1", epoch)).Change
	s.Apply(3, templateAt("b", "v2", epoch.Add(ResultRetention)))
	frozen := s.Freeze()
	s.Apply(4, templateAt("c", "v3", epoch.Add(ResultRetention)))
	data, err := frozen()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if restored.Index() != 3 || restored.Catalog().Revision() != 3 {
		t.Errorf("the snapshot holds index %d, revision %d", restored.Index(), restored.Catalog().Revision())
	}
	for name, state := range map[string]*State{"live": s, "restored": restored} {
		again := state.Apply(5, templateAt("a", "v1", epoch.Add(ResultRetention))).Change
		if !again.Repeated || again.Revision != first.Revision || again.Status != change.Accepted {
			t.Errorf("%s: resend %+v, first %+v", name, again, first)
		}
		other := state.Apply(6, templateAt("a", "v9", epoch.Add(ResultRetention))).Change
		if other.Status != change.Refused {
			t.Errorf("%s: other content under the id: %+v", name, other)
		}
		state.Apply(7, templateAt("d", "v4", epoch.Add(ResultRetention+time.Second)))
		late := state.Apply(8, templateAt("a", "v1", epoch.Add(ResultRetention+time.Second))).Change
		if late.Repeated {
			t.Errorf("%s: a resend after the retention time got the first result", name)
		}
	}
}
