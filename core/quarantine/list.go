package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// listingTime is how long a part stays listed. Nothing is tried meanwhile, as a trial
	// would end another server; a mended release or data are rolled out within that time.
	listingTime = time.Hour

	// minListingLeft is the time left below which a listing of another member is not
	// adopted, so that members don't revive each other's listings as they end.
	minListingLeft = 10 * time.Second

	// maxListings bounds a list. One that is full keeps what it has.
	maxListings = 256
)

type (
	// List holds listed parts. It is not safe for concurrent use.
	List struct {
		parts   map[Key]listed
		version uint64
	}

	listed struct {
		Listing
		until time.Time
	}
)

// NewList returns an empty list.
func NewList() *List { return &List{parts: make(map[Key]listed)} }

// Add adds a listing and reports whether it is new. What is listed already stays as it is.
func (l *List) Add(now time.Time, s Listing) bool {
	l.expire(now)
	if _, ok := l.parts[s.Key]; ok || s.Left < minListingLeft || len(l.parts) >= maxListings {
		return false
	}
	s.Left = min(s.Left, listingTime)
	l.parts[s.Key] = listed{Listing: s, until: now.Add(s.Left)}
	l.version++
	return true
}

// Find returns the listing of the first of the parts that is listed.
func (l *List) Find(now time.Time, parts []Key) (Listing, bool) {
	for _, k := range parts {
		if p, ok := l.parts[k]; ok && now.Before(p.until) {
			p.Left = p.until.Sub(now)
			return p.Listing, true
		}
	}
	return Listing{}, false
}

// All returns the listings, ordered by key.
func (l *List) All(now time.Time) []Listing {
	l.expire(now)
	all := make([]Listing, 0, len(l.parts))
	for _, p := range l.parts {
		p.Left = p.until.Sub(now)
		all = append(all, p.Listing)
	}
	slices.SortFunc(all, func(a, b Listing) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Len returns the number of listed parts.
func (l *List) Len() int { return len(l.parts) }

// Version increases with each added listing.
func (l *List) Version() uint64 { return l.version }

func (l *List) expire(now time.Time) {
	for k, p := range l.parts {
		if !now.Before(p.until) {
			delete(l.parts, k)
		}
	}
}
