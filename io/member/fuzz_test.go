package member

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"rosereach/core/lease"
	"rosereach/core/registry"
	"rosereach/core/state"
)

// Any data either fails to decode as a frame, or the frame survives encoding and
// decoding. The same holds for its body as each type of message.
func FuzzFrame(f *testing.F) {
	for _, message := range []any{
		lease.Request{Entry: "entry-1", Incarnation: 1},
		ProposeRequest{Commands: []state.Command{{}}},
		DocumentsRequest{KnownRevision: 3},
		registry.Query{KnownVersion: 1, Indices: []uint16{1, 2}},
		registry.Reply{Updates: []registry.Update{{Place: 1, Sequence: 2}}},
		ReleaseNotice{Entry: "entry-1"},
	} {
		body, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		data, err := cbor.Marshal(frame{ID: 1, Kind: KindLease, Body: body})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x64})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in frame
		if cbor.Unmarshal(data, &in) != nil {
			return
		}
		again, err := cbor.Marshal(in)
		if err != nil {
			t.Fatalf("frame %+v: %v", in, err)
		}
		var out frame
		if err := cbor.Unmarshal(again, &out); err != nil || out.ID != in.ID || out.Kind != in.Kind {
			t.Errorf("frame %+v became %+v, %v", in, out, err)
		}
		for _, message := range []any{
			&lease.Request{}, &ProposeRequest{}, &DocumentsRequest{}, &registry.Query{}, &registry.Reply{}, &ReleaseNotice{}, &OutcomesRequest{}, &OutcomesReply{},
		} {
			if in.decodeBody(message) != nil {
				continue
			}
			if _, err := cbor.Marshal(message); err != nil {
				t.Errorf("%T: %v", message, err)
			}
		}
	})
}
