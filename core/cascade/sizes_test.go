package cascade_test

import (
	"testing"

	"rosereach/core/cascade"
)

func TestAnswersOfLowConfidenceAreEscalatedWhileThereIsTime(t *testing.T) {
	var s cascade.SizeCascade
	for _, c := range []struct {
		name       string
		confidence int
		late       float64
		queued     float64
		want       bool
	}{
		{"low confidence, no queue", 30, 0, 0, true},
		{"high confidence, no queue", 80, 0, 0, false},
		{"low confidence, certain to be late", 30, 1, 0, false},
		{"no confidence, certain to be late", 0, 1, 0, false},
		{"no confidence, some risk", 0, 0.4, 0, true},
		{"medium confidence, some risk", 55, 0.4, 0, false},
		{"medium confidence, no queue", 60, 0, 0, true},
		{"medium confidence, queued requests", 60, 0, 3, false},
		{"low confidence, queued requests", 30, 0, 3, true},
		{"low confidence, very long queues", 10, 0, 100, true},
		{"unknown confidence", -1, 0, 0, false},
	} {
		if got := s.ShouldEscalate(c.confidence, c.late, c.queued); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestSizeCascadeReturnsSmallestAndLargest(t *testing.T) {
	var s cascade.SizeCascade
	models := []string{"m0", "m1", "m2"}
	if s.First(models) != "m0" || s.First(nil) != "" {
		t.Error("the first model is not the smallest")
	}
	if m, ok := s.Largest(models, "m0"); !ok || m != "m2" {
		t.Error("the next model is not the largest")
	}
	if _, ok := s.Largest(models, "m2"); ok {
		t.Error("the largest model is returned although it was asked")
	}
}
