package health_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosereach/core/health"
)

func TestLeavingServerStaysRestrained(t *testing.T) {
	r := health.NewRestraints()
	if !r.Hear(start, "s", 1, health.Word{Leaving: true, RequestID: "a"}) {
		t.Fatal("the first word is no news")
	}
	if r.Hear(start, "s", 1, health.Word{Leaving: true, RequestID: "b"}) {
		t.Fatal("the second word is news")
	}
	later := start.Add(time.Hour)
	r.Retain(later, func(string) bool { return true })
	if r.Check(later, "s", 1) != health.Leaves || r.Check(later, "s", 2) != "" || r.Check(later, "other", 1) != "" {
		t.Fatalf("%q, %q, %q", r.Check(later, "s", 1), r.Check(later, "s", 2), r.Check(later, "other", 1))
	}
	if got, _ := r.Get("s", 1); got.LeavingBy != "a" || !got.LeavingSince.Equal(start) {
		t.Fatalf("%+v", got)
	}
	if _, ok := r.TakesWorkAt(later, "s", 1); ok {
		t.Fatal("a leaving server is expected to take work again")
	}
}

// A server that announces a second start under its id is a new one.
func TestWordBelongsToIncarnation(t *testing.T) {
	r := health.NewRestraints()
	r.Hear(start, "s", 2, health.Word{HoldOff: time.Minute})
	r.Hear(start, "s", 1, health.Word{Leaving: true})
	if got := r.Check(start, "s", 2); got != health.HeldOff {
		t.Fatalf("the late word of the incarnation before counts: %q", got)
	}
	if got := r.Check(start, "s", 1); got != health.Leaves {
		t.Fatalf("the incarnation before one that has spoken may get requests: %q", got)
	}
	r.Hear(start, "s", 3, health.Word{Leaving: true})
	if r.Check(start, "s", 3) != health.Leaves || r.Check(start, "s", 4) != "" {
		t.Fatal("the word of a new incarnation does not count")
	}
}

func TestShorterHoldOffTakesNothingBack(t *testing.T) {
	r := health.NewRestraints()
	r.Hear(start, "s", 1, health.Word{HoldOff: 5 * time.Second})
	if r.Hear(start.Add(time.Second), "s", 1, health.Word{HoldOff: time.Second}) {
		t.Fatal("a shorter hold-off is news")
	}
	if at, ok := r.TakesWorkAt(start.Add(3*time.Second), "s", 1); !ok || !at.Equal(start.Add(5*time.Second)) {
		t.Fatalf("%v, %v", at, ok)
	}
	if got := r.Check(start.Add(5*time.Second), "s", 1); got != "" {
		t.Fatalf("the hold-off does not end: %q", got)
	}
}

// The load pattern is a burst at the end of a hold-off. In each round, all requests that
// the server may get are sent and answered.
func TestServerGetsFewRequestsAfterHoldOff(t *testing.T) {
	r := health.NewRestraints()
	r.Hear(start, "s", 1, health.Word{HoldOff: time.Second})
	if counted, reason := r.Begin(start, "s", 1); counted || reason != health.HeldOff {
		t.Fatalf("%v, %q", counted, reason)
	}
	now := start.Add(time.Second)
	for _, want := range []int{2, 4, 8, 16} {
		sent := 0
		for ; r.Check(now, "s", 1) == ""; sent++ {
			if counted, _ := r.Begin(now, "s", 1); !counted {
				t.Fatal("a request after the hold-off is not counted")
			}
		}
		if sent != want {
			t.Fatalf("%d requests in a round, want %d", sent, want)
		}
		for range sent {
			r.End("s", 1, true)
		}
	}
	if counted, reason := r.Begin(now, "s", 1); counted || reason != "" {
		t.Fatalf("the server is still restrained: %v, %q", counted, reason)
	}
	r.Retain(now.Add(10*time.Minute), func(string) bool { return false })
	if _, ok := r.Get("s", 1); ok {
		t.Fatal("a hold-off that is over is kept for a server that is gone")
	}
}

func TestRequestWithoutAnswerGivesRoomBack(t *testing.T) {
	r := health.NewRestraints()
	r.Hear(start, "s", 1, health.Word{HoldOff: time.Second})
	now := start.Add(time.Second)
	for range 2 {
		r.Begin(now, "s", 1)
	}
	if got := r.Check(now, "s", 1); got != health.Recovers {
		t.Fatalf("%q", got)
	}
	r.End("s", 1, false)
	if counted, reason := r.Begin(now, "s", 1); !counted || reason != "" {
		t.Fatalf("%v, %q", counted, reason)
	}
	if got := r.Check(now, "s", 1); got != health.Recovers {
		t.Fatalf("a request without an answer makes room: %q", got)
	}
}

func TestRestraintsAreForgotten(t *testing.T) {
	r := health.NewRestraints()
	r.Hear(start, "gone", 1, health.Word{Leaving: true})
	r.Hear(start, "long", 1, health.Word{HoldOff: time.Hour})
	unknown := func(string) bool { return false }
	r.Retain(start.Add(9*time.Minute), unknown)
	if r.Check(start.Add(9*time.Minute), "gone", 1) != health.Leaves {
		t.Fatal("a server that a late message may bring back is forgotten")
	}
	r.Retain(start.Add(10*time.Minute), unknown)
	if leaving, heldOff := r.Count(start.Add(10 * time.Minute)); leaving != 0 || heldOff != 1 {
		t.Fatalf("%d leaving, %d held off", leaving, heldOff)
	}
}

// heard is the plain account of one incarnation's words that the property compares with.
type heard struct {
	leaving bool
	until   time.Time
}

// In any order of words, restarts, requests, cleanups and steps of time, a server gets no
// request that its words rule out, no word of another incarnation counts, and whatever is
// ruled out becomes possible again with the end of the time.
func TestRestraintsKeepEveryWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := health.NewRestraints()
		now := start
		words := make(map[uint64]heard)
		newest, spoken := uint64(1), uint64(0)
		var open []uint64 // incarnations of the requests that were counted
		t.Repeat(map[string]func(*rapid.T){
			"word": func(t *rapid.T) {
				incarnation := rapid.Uint64Range(1, newest).Draw(t, "incarnation")
				w := health.Word{
					Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					HoldOff: time.Duration(rapid.IntRange(-1, 5).Draw(t, "hold-off")) * time.Second,
				}
				r.Hear(now, "s", incarnation, w)
				if !w.Leaving && w.HoldOff <= 0 {
					return
				}
				spoken = max(spoken, incarnation)
				h := words[incarnation]
				h.leaving = h.leaving || w.Leaving
				if until := now.Add(w.HoldOff); w.HoldOff > 0 && until.After(h.until) {
					h.until = until
				}
				words[incarnation] = h
			},
			"restart": func(*rapid.T) { newest++ },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"cleanup": func(*rapid.T) { r.Retain(now, func(string) bool { return true }) },
			"request": func(t *rapid.T) {
				incarnation := rapid.Uint64Range(1, newest).Draw(t, "incarnation")
				counted, reason := r.Begin(now, "s", incarnation)
				if counted {
					open = append(open, incarnation)
				}
				h := words[incarnation]
				if reason == "" && (h.leaving || now.Before(h.until)) {
					t.Fatalf("a request is sent against %+v at %v", h, now)
				}
			},
			"answer": func(t *rapid.T) {
				if len(open) > 0 {
					r.End("s", open[0], rapid.Bool().Draw(t, "accepted"))
					open = open[1:]
				}
			},
			"answers": func(*rapid.T) {
				for range 40 {
					if counted, _ := r.Begin(now, "s", newest); counted {
						r.End("s", newest, true)
					}
				}
			},
			"": func(t *rapid.T) {
				h := words[newest]
				reason := r.Check(now, "s", newest)
				at, ok := r.TakesWorkAt(now, "s", newest)
				switch {
				case h.leaving:
					if reason != health.Leaves || ok {
						t.Fatalf("a leaving server: %q, %v", reason, ok)
					}
				case now.Before(h.until):
					if reason != health.HeldOff || !ok || !at.Equal(h.until) {
						t.Fatalf("held off until %v: %q, %v, %v", h.until, reason, at, ok)
					}
				case spoken < newest && reason != "":
					t.Fatalf("an incarnation that has said nothing: %q", reason)
				case reason == health.Recovers && len(open) == 0, reason != "" && reason != health.Recovers:
					t.Fatalf("nothing is left of %+v but %q", h, reason)
				}
			},
		})
	})
}
