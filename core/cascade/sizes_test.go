package cascade_test

import (
	"testing"

	"rosereach/core/cascade"
)

func TestDoubtedAnswersAreAskedAgainWhileThereIsTime(t *testing.T) {
	var s cascade.Sizes
	for _, c := range []struct {
		name       string
		confidence int
		late       float64
		crowd      float64
		want       bool
	}{
		{"doubted, calm", 30, 0, 0, true},
		{"sure, calm", 80, 0, 0, false},
		{"doubted, the answer would surely be late", 30, 1, 0, false},
		{"worthless, the answer would surely be late", 0, 1, 0, false},
		{"worthless, some risk", 0, 0.4, 0, true},
		{"a little doubted, some risk", 55, 0.4, 0, false},
		{"a little doubted, calm", 60, 0, 0, true},
		{"a little doubted, each engine has a queue", 60, 0, 3, false},
		{"doubted, each engine has a queue", 30, 0, 3, true},
		{"doubted, the queues are endless", 10, 0, 100, true},
		{"unknown", -1, 0, 0, false},
	} {
		if got := s.IsWorthAsking(c.confidence, c.late, c.crowd); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestSizesNameSmallestAndLargest(t *testing.T) {
	var s cascade.Sizes
	models := []string{"m0", "m1", "m2"}
	if s.First(models) != "m0" || s.First(nil) != "" {
		t.Error("not the smallest first")
	}
	if m, ok := s.Larger(models, "m0"); !ok || m != "m2" {
		t.Error("not the largest next")
	}
	if _, ok := s.Larger(models, "m2"); ok {
		t.Error("the largest is asked twice")
	}
}
