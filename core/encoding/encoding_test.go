package encoding

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

type sample struct {
	Name   string            `json:"name"`
	Number uint64            `json:"number"`
	Labels map[string]string `json:"labels,omitempty"`
	List   []string          `json:"list,omitempty"`
	Inner  *sample           `json:"inner,omitempty"`
	Raw    []byte            `json:"raw,omitempty"`
}

// Guards against a value that one process encodes and no other can decode: each value
// comes back as it was, whatever bytes its strings hold.
func TestWhatIsEncodedCanBeDecoded(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string { return string(rapid.SliceOfN(rapid.Byte(), 0, 12).Draw(t, "bytes")) })
	rapid.Check(t, func(t *rapid.T) {
		in := sample{
			Name: text.Draw(t, "name"), Number: rapid.Uint64().Draw(t, "number"),
			Labels: map[string]string{text.Draw(t, "key"): text.Draw(t, "value")}, List: []string{text.Draw(t, "item")},
			Inner: &sample{Name: text.Draw(t, "inner")}, Raw: []byte{0xe9},
		}
		data, err := Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		var out sample
		if err := Unmarshal(data, &out); err != nil || !reflect.DeepEqual(in, out) {
			t.Fatalf("%+v, %v, want %+v", out, err, in)
		}
		// A value without findings is also readable for builds that decode strictly.
		if strict := cbor.Unmarshal(data, &out); (CheckText(in) == nil) != (strict == nil) {
			t.Fatalf("CheckText gives %v, a strict decoder %v", CheckText(in), strict)
		}
	})
}

// Guards against lists that are encoded whole and refused by their readers for their length.
func TestLongListsCanBeDecoded(t *testing.T) {
	data, err := Marshal(make([]string, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	if err := Unmarshal(data, &out); err != nil || len(out) != 200_000 {
		t.Fatalf("%d items, %v", len(out), err)
	}
}

// Guards against an error that leaves its reader to search for the field.
func TestCheckTextNamesTheField(t *testing.T) {
	err := CheckText(&sample{Inner: &sample{List: []string{"a", "b\xe9"}}})
	if !errors.Is(err, ErrText) || !strings.Contains(err.Error(), "Inner.List.1") {
		t.Fatal(err)
	}
}

// Text is not looked for in the location of a time: the first use of the local time sets its
// name, which the race detector found in a read beside it.
func TestLocationOfTimeIsNotChecked(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.FixedZone("\xff", 0))
	if err := CheckText(struct{ At []time.Time }{[]time.Time{at}}); err != nil {
		t.Fatal(err)
	}
}
