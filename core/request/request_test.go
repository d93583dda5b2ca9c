package request

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever the sequence of triggers, a request can end as not_run only while every
// attempt is proven not to have run.
func TestNotRunNeedsProof(t *testing.T) {
	triggers := []Trigger{Enqueue, Dispatch, Stream, Requeue, Retry, Finish, Refuse, Lose}
	rapid.Check(t, func(t *rapid.T) {
		state := Chart.Initial()
		var open, mayHaveRun bool
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			trigger := rapid.SampledFrom(triggers).Draw(t, "trigger")
			next, err := Chart.Next(state, trigger)
			if err != nil {
				continue
			}
			switch trigger {
			case Dispatch:
				open = true
			case Requeue:
				open = false
			case Stream, Retry:
				open, mayHaveRun = false, true
			}
			state = next
			if proven := !open && !mayHaveRun; state.Outcome() == NotRun && !proven || state == State(NotRun) && !proven {
				t.Fatalf("state %q allows not_run though an attempt may have run", state)
			}
		}
	})
}

func TestOutcomeOfState(t *testing.T) {
	for state, want := range map[State]Outcome{
		Admitted: NotRun, Queued: NotRun, Dispatched: Unknown, Streaming: Unknown, Retrying: Unknown, Redispatched: Unknown,
	} {
		if got := state.Outcome(); got != want {
			t.Errorf("%s ends as %s, want %s", state, got, want)
		}
	}
}
