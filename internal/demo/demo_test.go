package demo

import (
	"context"
	"testing"
)

func TestRunKeepsPromises(t *testing.T) {
	summary, err := Run(context.Background(), Options{Requests: 200, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	if broken := summary.Broken(); len(broken) > 0 || summary.Sent != 200 || summary.Done == 0 {
		t.Errorf("broken: %v\n%s", broken, summary)
	}
}
