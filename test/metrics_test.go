package test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"rosereach/internal/metrics"
	"rosereach/io/caller"
)

// An entry's metrics count finished requests and show its lease, its revision and
// its connection to the control. Every variable of entry and control is listed on
// the page about them.
func TestMetricsOfProcesses(t *testing.T) {
	t.Setenv("ROSEREACH_METRICS_LISTEN", "127.0.0.1:0")
	f := startFleet(t, 1)
	f.startEngine("engine-1", "small@v1")
	key := f.setUpDocuments("small@v1")
	if _, err := f.client(0, key).Chat(context.Background(), chat("auto", 4, true), caller.CallOptions{RequestID: "c-1"}); err != nil {
		t.Fatal(err)
	}
	shown := regexp.MustCompile(`Metrics are shown." address=(\S+)`).FindStringSubmatch(f.entries[0].stderr.String())
	if shown == nil {
		t.Fatalf("no metrics address in the log:\n%s", f.entries[0].stderr)
	}
	status, body := sendRequest(t, http.MethodGet, shown[1], metrics.Path, "", "")
	var vars struct {
		Finished map[string]int      `json:"finished_by_outcome"`
		Record   metrics.Percentiles `json:"ledger_record"`
		Revision uint64              `json:"revision"`
		Lease    int64               `json:"lease_remaining_ms"`
		Sent     int64               `json:"link_bytes_sent"`
		Servers  int                 `json:"backend_servers"`
	}
	if err := json.Unmarshal([]byte(body), &vars); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, %v\n%s", status, err, body)
	}
	if vars.Finished["done"] != 1 || vars.Record.Count != 1 || vars.Revision == 0 || vars.Lease <= 0 || vars.Sent == 0 || vars.Servers != 1 {
		t.Errorf("%+v", vars)
	}
	entryVars := body
	status, body = sendRequest(t, http.MethodGet, f.controls[0].address, metrics.Path, f.operator.Key, "")
	if status != http.StatusOK || !strings.Contains(body, `"audit_sequence"`) || !strings.Contains(body, `"entry-1"`) {
		t.Errorf("metrics of the control: status %d\n%s", status, body)
	}
	page, err := os.ReadFile(filepath.Join("..", "docs", "operate", "watching.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{entryVars, body} {
		var all map[string]json.RawMessage
		if err := json.Unmarshal([]byte(text), &all); err != nil {
			t.Fatal(err)
		}
		for name := range all {
			if !strings.Contains(string(page), "| `"+name+"` |") {
				t.Errorf("metrics variable %s is not listed on the page", name)
			}
		}
	}
	if code, out := runProgram(t, "entry", "--metrics-listen", "0.0.0.0:0"); code != 2 || !strings.Contains(out, "--metrics-listen: not on loopback") {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if code, out := f.runOperatorCommand("status"); code != 0 || !strings.Contains(out, "entry-1") || !strings.Contains(out, "nothing needs a person") {
		t.Errorf("exit code %d\n%s", code, out)
	}
}
