package warmup

import (
	"rosereach/core/pacing"
)

// Ranking is the position of each entry among those that may use a server.
type Ranking map[string]int

// RankAll ranks the entries for a server, as pacing.Order orders them.
func RankAll(server string, members []pacing.Member) Ranking {
	ranking := make(Ranking, len(members))
	for i, m := range pacing.Order(server, members) {
		if i == MaxRank {
			break
		}
		ranking[m.ID] = i
	}
	return ranking
}

// Of returns the position of an entry, MaxRank if it is too far behind or unknown.
func (r Ranking) Of(entry string) int {
	if rank, ok := r[entry]; ok {
		return rank
	}
	return MaxRank
}
