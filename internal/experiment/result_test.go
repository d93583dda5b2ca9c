package experiment

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRowBounds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		row    Row
		median float64
		held   bool
	}{
		{"no bound", NewRow("a", "ms", 3, 1, 2), 2, true},
		{"even number of seeds", NewRow("a", "ms", 4, 1, 2, 3), 2.5, true},
		{"one seed above", NewRow("a", "ms", 1, 1, 5).WithAtMost(4), 1, false},
		{"all at the bound", NewRow("a", "ms", 4, 4).WithAtMost(4), 4, true},
		{"one seed below", NewRow("a", "ms", 1, 5, 5).WithAtLeast(4), 5, false},
		{"all above the least", NewRow("a", "ms", 4, 5).WithAtLeast(4), 4.5, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.row.Median != tc.median || tc.row.Held != tc.held {
				t.Errorf("row %+v", tc.row)
			}
		})
	}
}

func TestResultWrite(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "report")
	r := Result{
		Experiment: "sample", Seeds: 1,
		Rows:  []Row{NewRow("first token", "ms", 7).WithAtMost(5), NewRow("cost", "EUR", 1234567)},
		Plots: []Plot{{Name: "latency", Lines: []Line{{Name: "a", Points: []Point{{X: 0, Y: 1}, {X: 1, Y: 2}}}}}},
	}
	if err := r.Write(folder); err != nil {
		t.Fatal(err)
	}
	var got Result
	data, err := os.ReadFile(filepath.Join(folder, "sample.json"))
	if err != nil || json.Unmarshal(data, &got) != nil || len(got.Missed()) != 1 {
		t.Errorf("JSON: %v, %+v", err, got)
	}
	text, err := os.ReadFile(filepath.Join(folder, "sample.txt"))
	if err != nil || !strings.Contains(string(text), "1234567") || !strings.Contains(string(text), "<= 5   NO") {
		t.Errorf("table: %v\n%s", err, text)
	}
	picture, err := os.ReadFile(filepath.Join(folder, "sample-latency.png"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := png.DecodeConfig(bytes.NewReader(picture)); err != nil {
		t.Error(err)
	}
}
