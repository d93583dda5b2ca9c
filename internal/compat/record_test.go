package compat_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// record writes what this build encodes to a folder; see docs/operate/upgrade.md.
var record = flag.String("record", "", "folder to record this build's messages in")

// TestRecord records the messages of this build when it is asked to.
func TestRecord(t *testing.T) {
	if *record == "" {
		return
	}
	if err := os.MkdirAll(*record, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, m := range messages() {
		fill(reflect.ValueOf(m).Elem(), name, 0)
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if err := os.WriteFile(filepath.Join(*record, name+".cbor"), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
