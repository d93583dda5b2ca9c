// Package residency decides in which regions the data of a request may be handled. It
// answers data that must not leave a country: a retry, a resumed stream or a connection
// through another instance must not carry a request over a border that its first attempt
// keeps.
package residency

import (
	"slices"
	"strings"
)

// Homes are the regions in which a request may be handled. The zero value allows all
// regions. It is immutable.
type Homes struct {
	restricted bool
	regions    []string // sorted
}

// Of returns the homes of a list of regions. An empty list allows all regions: plans name
// one for everything that has no homes.
func Of(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Homes{restricted: true, regions: slices.Compact(sorted)}
}

// And returns the regions that both allow, which may be none.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.restricted:
		return other
	case !other.restricted:
		return h
	}
	both := Homes{restricted: true}
	for _, r := range h.regions {
		if slices.Contains(other.regions, r) {
			both.regions = append(both.regions, r)
		}
	}
	return both
}

// Allows reports whether the request may be handled in the region.
func (h Homes) Allows(region string) bool {
	return !h.restricted || slices.Contains(h.regions, region)
}

// IsRestricted reports whether any region is forbidden.
func (h Homes) IsRestricted() bool { return h.restricted }

// String returns the regions, separated by commas, "any" without restriction and "none" if
// no region is left.
func (h Homes) String() string {
	switch {
	case !h.restricted:
		return "any"
	case len(h.regions) == 0:
		return "none"
	}
	return strings.Join(h.regions, ",")
}
