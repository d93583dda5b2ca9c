package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosereach/core/change"
)

// AnswerHorizon is how long the result of a change is kept for resends with the same
// id, by the times of the changes. A later resend counts as a new change.
const AnswerHorizon = 7 * 24 * time.Hour

type (
	// answers holds the results of recent changes by change id. The order lists
	// the ids by age, oldest first.
	answers struct {
		known map[string]answer
		order []string
	}

	// answer is the result of a change, with the hash of the change and the log
	// index at which it was applied.
	answer struct {
		Hash   string        `json:"hash"`
		Index  uint64        `json:"index"`
		At     time.Time     `json:"at"`
		Result change.Result `json:"result"`
	}
)

func newAnswers() *answers { return &answers{known: make(map[string]answer)} }

// restoreAnswers returns the results of a snapshot.
func restoreAnswers(known map[string]answer) *answers {
	a := newAnswers()
	maps.Copy(a.known, known)
	a.order = slices.SortedFunc(maps.Keys(known), func(x, y string) int {
		return cmp.Compare(known[x].Index, known[y].Index)
	})
	return a
}

// find returns the result of the change with the id, if it is kept.
func (a *answers) find(id string) (answer, bool) {
	first, ok := a.known[id]
	return first, ok
}

// add adds a result and drops those that are past the retention time.
func (a *answers) add(id string, first answer) {
	a.known[id] = first
	a.order = append(a.order, id)
	for first.At.Sub(a.known[a.order[0]].At) > AnswerHorizon {
		delete(a.known, a.order[0])
		a.order = a.order[1:]
	}
}

// repeat returns the result for a resend, or a refusal if the resend's hash shows
// another change.
func (a answer) repeat(hash string) change.Result {
	if a.Hash != hash {
		return change.RefuseFor("change_id", "was used for another change", "a new id")
	}
	r := a.Result
	r.Repeated = true
	return r
}
