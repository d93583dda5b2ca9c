// Package spread divides callers among entries of different size.
package spread

import "math"

// maxRepeats bounds how often one address is named.
const maxRepeats = 4

// Entry is an entry that callers may be given, with what its instance can do. Cores and
// LinkMbps are 0 if that is unknown.
type Entry struct {
	Address  string
	Cores    float64
	LinkMbps float64
}

// Addresses returns the addresses of the entries, at most limit, each as often as its entry is
// larger than the smallest one: callers pick one of them at random. An entry is as large as
// the scarcer of its processor and its link allows. Entries of one size, and entries of
// which one is of unknown size, are named once each.
//
// It answers entries of 0.144 and of 0.48 of a core that get equal numbers of callers: the
// small ones delay theirs while the large ones are idle.
func Addresses(entries []Entry, limit int) []string {
	smallest := Entry{Cores: math.Inf(1), LinkMbps: math.Inf(1)}
	for _, e := range entries {
		smallest.Cores = math.Min(smallest.Cores, e.Cores)
		smallest.LinkMbps = math.Min(smallest.LinkMbps, e.LinkMbps)
	}
	repeats := make([]int, len(entries))
	total := 0
	for i, e := range entries {
		repeats[i] = repeatsOf(e, smallest)
		total += repeats[i]
	}
	var addresses []string
	for round := range maxRepeats {
		for i, e := range entries {
			if round < repeats[i] && (total <= limit || round == 0) && len(addresses) < limit {
				addresses = append(addresses, e.Address)
			}
		}
	}
	return addresses
}

func repeatsOf(e, smallest Entry) int {
	if smallest.Cores <= 0 || smallest.LinkMbps <= 0 {
		return 1
	}
	size := math.Min(e.Cores/smallest.Cores, e.LinkMbps/smallest.LinkMbps)
	return int(math.Min(math.Max(math.Round(size), 1), maxRepeats))
}
