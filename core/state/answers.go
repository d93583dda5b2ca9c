package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosereach/core/change"
)

// AnswerHorizon is how long a change id gets its first answer again, in the
// changes' own time. A resend after that counts as a new change.
const AnswerHorizon = 7 * 24 * time.Hour

type (
	// answers are the first answers to changes, kept for resends.
	answers struct {
		known map[string]answer
		order []string
	}

	// answer is the first answer to a change.
	answer struct {
		Hash   string        `json:"hash"`
		Index  uint64        `json:"index"`
		At     time.Time     `json:"at"`
		Result change.Result `json:"result"`
	}
)

func newAnswers() *answers { return &answers{known: make(map[string]answer)} }

// restoreAnswers returns the answers of a snapshot.
func restoreAnswers(known map[string]answer) *answers {
	a := newAnswers()
	maps.Copy(a.known, known)
	a.order = slices.SortedFunc(maps.Keys(known), func(x, y string) int {
		return cmp.Compare(known[x].Index, known[y].Index)
	})
	return a
}

// find returns the first answer to the change with the id.
func (a *answers) find(id string) (answer, bool) {
	first, ok := a.known[id]
	return first, ok
}

// add keeps an answer and drops those that are older than the horizon.
func (a *answers) add(id string, first answer) {
	a.known[id] = first
	a.order = append(a.order, id)
	for first.At.Sub(a.known[a.order[0]].At) > AnswerHorizon {
		delete(a.known, a.order[0])
		a.order = a.order[1:]
	}
}

// repeat returns the first answer, unless the change differs.
func (a answer) repeat(hash string) change.Result {
	if a.Hash != hash {
		return change.RefuseFor("change_id", "was used for another change", "a new id")
	}
	r := a.Result
	r.Repeated = true
	return r
}
