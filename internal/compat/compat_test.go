// Package compat_test checks that this build and the one in production understand each other:
// entries and controls of both run side by side while instances are replaced one by one.
package compat_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// production is the folder with what the build in production encodes.
const production = "testdata/3a9a490"

// recorded returns the recorded messages by name.
func recorded(t *testing.T) map[string][]byte {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(production, "*.cbor"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no recorded messages: %v", err)
	}
	all := make(map[string][]byte)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		name := filepath.Base(file)
		all[name[:len(name)-len(".cbor")]] = data
	}
	return all
}

// This build decodes each message and record of the build in production, and every value that
// was in it: it encodes them again, perhaps with others beside.
func TestMessagesOfProductionAreUnderstood(t *testing.T) {
	current := messages()
	for name, data := range recorded(t) {
		m, ok := current[name]
		if !ok {
			t.Errorf("%s: this build does not know the message", name)
			continue
		}
		if err := cbor.Unmarshal(data, m); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		again, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if lost := difference(decode(t, data), decode(t, again), name); lost != "" {
			t.Errorf("lost: %s", lost)
		}
	}
}

// The build in production finds what it knows in the messages of this one, as it ignores fields
// whose names it does not know: each value is where it was, of the same type, and positions in
// arrays have not moved.
func TestMessagesAreUnderstoodByProduction(t *testing.T) {
	current := messages()
	for name, data := range recorded(t) {
		m, ok := current[name]
		if !ok {
			continue
		}
		fill(reflect.ValueOf(m).Elem(), name, 0)
		now, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if lost := difference(decode(t, data), decode(t, now), name); lost != "" {
			t.Errorf("not as the build in production expects it: %s", lost)
		}
	}
}

func decode(t *testing.T, data []byte) any {
	t.Helper()
	var v any
	if err := cbor.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// difference returns the first value of the old message that the new one lacks or holds
// otherwise. Maps may have further keys; arrays must have the same length.
func difference(old, now any, path string) string {
	switch o := old.(type) {
	case map[any]any:
		n, ok := now.(map[any]any)
		if !ok {
			return fmt.Sprintf("%s is a %T", path, now)
		}
		for key, value := range o {
			other, ok := n[key]
			if !ok {
				return fmt.Sprintf("%s.%v is gone", path, key)
			}
			if d := difference(value, other, fmt.Sprintf("%s.%v", path, key)); d != "" {
				return d
			}
		}
		return ""
	case []any:
		n, ok := now.([]any)
		if !ok || len(n) != len(o) {
			return fmt.Sprintf("%s has another number of elements", path)
		}
		for i := range o {
			if d := difference(o[i], n[i], fmt.Sprintf("%s.%d", path, i)); d != "" {
				return d
			}
		}
		return ""
	case []byte:
		if n, ok := now.([]byte); !ok || !bytes.Equal(o, n) {
			return fmt.Sprintf("%s is %v, was %v", path, now, old)
		}
		return ""
	}
	if !reflect.DeepEqual(old, now) {
		return fmt.Sprintf("%s is %v (%T), was %v (%T)", path, now, now, old, old)
	}
	return ""
}
