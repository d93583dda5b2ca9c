package demo

import (
	"context"
	"testing"
)

func TestRunKeepsGuarantees(t *testing.T) {
	summary, err := Run(context.Background(), Options{Requests: 200, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	if violated := summary.Violated(); len(violated) > 0 || summary.Sent != 200 || summary.Done == 0 {
		t.Errorf("violated: %v\n%s", violated, summary)
	}
}
