package test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rosereach/internal/load"
)

// The load command sends all requests of its schedule, its reports agree with the
// bills, and two reports can be compared.
func TestLoadOverProcesses(t *testing.T) {
	f := startFleet(t, 2)
	f.startEngine("engine-1", "small@v1", "--capacity", "64")
	f.startService("ledger-1", "ledger")
	key := f.setUpDocuments("small@v1")
	folder := t.TempDir()
	for _, name := range []string{"a", "b"} {
		code, out := runProgram(t, "load", "--entries", f.entryAddresses(), "--keys", "terminalna="+key,
			"--rate", "40", "--duration", "2s", "--seed", "1"+map[string]string{"a": "1", "b": "2"}[name], "--report", folder, "--name", name)
		if code != 0 {
			t.Fatalf("exit code %d\n%s", code, out)
		}
	}
	sum := 0
	for _, name := range []string{"a", "b"} {
		r, err := load.ReadReport(filepath.Join(folder, name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		if r.Planned == 0 || r.Counts.Ended != r.Planned || r.Counts.Done != r.Planned || r.Counts.Cut != 0 {
			t.Errorf("report %s: planned %d, %+v, %v", name, r.Planned, r.Counts, r.Codes)
		}
		if page, err := os.ReadFile(filepath.Join(folder, name+".html")); err != nil || !strings.Contains(string(page), "data:image/png;base64,") {
			t.Errorf("HTML page of report %s: %v", name, err)
		}
		sum += r.Counts.Done
	}
	bills, err := f.operator.Bills(context.Background(), 0)
	if err != nil || len(bills) != sum {
		t.Errorf("%d bills for %d done requests, %v", len(bills), sum, err)
	}
	code, out := runProgram(t, "load", "compare", filepath.Join(folder, "a.json"), filepath.Join(folder, "b.json"))
	if code != 0 || !strings.Contains(out, "all first_token p99 ms") {
		t.Errorf("compare: exit code %d\n%s", code, out)
	}
}
