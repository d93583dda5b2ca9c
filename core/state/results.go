package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosereach/core/change"
)

// ResultRetention is how long the result of a change is kept for resends with the
// same id, measured by the times of later changes. A resend after that counts as a
// new change.
const ResultRetention = 7 * 24 * time.Hour

type (
	// results holds the results of recent changes by change id. The order lists
	// the ids by age, oldest first.
	results struct {
		byID  map[string]storedResult
		order []string
	}

	// storedResult is the result of a change, with the hash of the change and the log
	// index at which it was applied.
	storedResult struct {
		Hash   string        `json:"hash"`
		Index  uint64        `json:"index"`
		At     time.Time     `json:"at"`
		Result change.Result `json:"result"`
	}
)

func newResults() *results { return &results{byID: make(map[string]storedResult)} }

// restoreResults returns the results of a snapshot.
func restoreResults(known map[string]storedResult) *results {
	a := newResults()
	maps.Copy(a.byID, known)
	a.order = slices.SortedFunc(maps.Keys(known), func(x, y string) int {
		return cmp.Compare(known[x].Index, known[y].Index)
	})
	return a
}

// find returns the result of the change with the id, if it is kept.
func (r *results) find(id string) (storedResult, bool) {
	first, ok := r.byID[id]
	return first, ok
}

// add adds a result and drops those that are past the retention time.
func (r *results) add(id string, first storedResult) {
	r.byID[id] = first
	r.order = append(r.order, id)
	for first.At.Sub(r.byID[r.order[0]].At) > ResultRetention {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

// forResend returns the result for a resend, or a refusal if the hash differs,
// which means that the id was used for another change.
func (s storedResult) forResend(hash string) change.Result {
	if s.Hash != hash {
		return change.RefuseFor("change_id", "was used for another change", "a new id")
	}
	r := s.Result
	r.Repeated = true
	return r
}
