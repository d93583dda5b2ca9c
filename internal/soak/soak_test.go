package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// A short run of the real programs reports no violation. Longer runs with other
// seeds are started by hand: rosereach soak --seed N --for 3m.
func TestShortSoak(t *testing.T) {
	folder := t.TempDir()
	binary := filepath.Join(folder, "rosereach")
	if out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	report, err := Run(context.Background(), Config{Binary: binary, Folder: folder, Seed: 1, Duration: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Violations {
		t.Errorf("%s: request %s: %s", b.Guarantee, b.ID, b.Detail)
	}
	if report.Answered == 0 || len(report.Faults) == 0 {
		t.Errorf("%d answers, %d faults", report.Answered, len(report.Faults))
	}
}

// Three controls, of which some are removed without notice beside their successors while another
// one loses its disk, lose nothing that was acknowledged and go on.
func TestSoakOfThreeControls(t *testing.T) {
	folder := t.TempDir()
	binary := filepath.Join(folder, "rosereach")
	if out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	report, err := Run(context.Background(), Config{Binary: binary, Folder: folder, Controls: 3, Seed: 3, Duration: 8 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Violations {
		t.Errorf("%s: request %s: %s", b.Guarantee, b.ID, b.Detail)
	}
	if faults := strings.Join(report.Faults, "; "); !strings.Contains(faults, "remove control") {
		t.Errorf("no control was removed: %s", faults)
	}
}

// While processes of the build in production are replaced by this one, in the order in which
// faults reach them, the guarantees hold. It is skipped where the older build can't be made,
// as in a checkout without its commit.
func TestTwoBuildsSideBySide(t *testing.T) {
	folder := t.TempDir()
	older, current := filepath.Join(folder, "older"), filepath.Join(folder, "current")
	deploy, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"`).FindSubmatch(deploy)
	if match == nil {
		t.Fatal("the deploy file names no build in production")
	}
	sources := filepath.Join(folder, "sources")
	steps := fmt.Sprintf("mkdir %[1]s && git -C ../.. archive %[2]s | tar -x -C %[1]s && cd %[1]s && go build -o %[3]s .", sources, match[1], older)
	if out, err := exec.Command("sh", "-c", steps).CombinedOutput(); err != nil {
		t.Skipf("the build in production can't be made: %v\n%s", err, out)
	}
	if out, err := exec.Command("go", "build", "-o", current, "../..").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	report, err := Run(context.Background(), Config{Binary: current, OlderBinary: older, Folder: folder, Seed: 3, Duration: 8 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Violations {
		t.Errorf("%s: request %s: %s", b.Guarantee, b.ID, b.Detail)
	}
	if report.Answered == 0 {
		t.Error("nothing was answered")
	}
}

// The checks report wrong, incomplete and unexecuted answers, repeated unsafe
// requests and false not-run refusals, and nothing else.
func TestChecksFindViolations(t *testing.T) {
	completeStream := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\nid: 7\ndata: 7\n\nid: 8\ndata: 8\n\n"
	for name, c := range map[string]struct {
		e    requestOutcome
		ran  int
		want bool
	}{
		"complete answer":             {requestOutcome{kind: "unsafe", id: "a", status: http.StatusOK, body: "a"}, 1, false},
		"answer of another request":   {requestOutcome{kind: "unsafe", id: "a", status: http.StatusOK, body: "b"}, 1, true},
		"ran twice":                   {requestOutcome{kind: "unsafe", id: "a", status: http.StatusBadGateway}, 2, true},
		"run after a not-run refusal": {requestOutcome{kind: "unsafe", id: "a", status: http.StatusServiceUnavailable}, 1, true},
		"run with an unknown outcome": {requestOutcome{kind: "unsafe", id: "a", status: http.StatusBadGateway}, 1, false},
		"complete stream":             {requestOutcome{kind: "streaming", id: "a", status: http.StatusOK, body: completeStream}, 2, false},
		"truncated stream":            {requestOutcome{kind: "streaming", id: "a", status: http.StatusOK, body: completeStream[:len(completeStream)-15]}, 1, true},
		"answer without a run":        {requestOutcome{kind: "safe", id: "a", status: http.StatusOK, body: "a"}, 0, true},
	} {
		var b violations
		b.checkAnswer(c.e)
		b.checkRuns(c.e, c.ran)
		if got := len(b.all()) > 0; got != c.want {
			t.Errorf("%s: %v", name, b.all())
		}
	}
}
