package audit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxEvents and maxBytes limit the events that a trail retains. The hash
	// chain continues across dropped events.
	maxEvents = 65_536
	maxBytes  = 24 << 20

	// segmentEvents is the number of events that are dropped at a time.
	segmentEvents = 1024

	// eventBytes is the estimated size of an event without its documents and
	// texts.
	eventBytes = 512
)

type (
	// Trail retains the newest events of a chain. Older events are dropped in
	// segments; the newest dropped event of each document is kept as the base,
	// so that the documents at the oldest retained event can be rebuilt. It is
	// not safe for concurrent use.
	Trail struct {
		chain Chain
		// startHash is the hash of the event before the oldest retained one.
		startHash string
		// base holds the newest dropped event of each document, by subject.
		base   map[string]Event
		events []Event
		// totalBytes is the estimated size of the events.
		totalBytes int
	}

	// Snapshot is the stored form of a whole trail.
	Snapshot struct {
		// StartHash is the hash of the event before the first one.
		StartHash string `json:"start"`
		// Base holds the newest dropped event of each document.
		Base   []Event `json:"base"`
		Events []Event `json:"events"`
	}

	// Page is a range of a trail's events.
	Page struct {
		// PreviousHash is the hash of the event before the first one.
		PreviousHash string `json:"previous"`
		// Base holds the newest dropped event of each document. It is set only
		// when the page starts at the oldest retained event.
		Base   []Event `json:"base,omitempty"`
		Events []Event `json:"events"`
	}
)

// NewTrail returns an empty trail.
func NewTrail() *Trail { return &Trail{base: make(map[string]Event)} }

// RestoreTrail rebuilds a trail from a snapshot.
func RestoreTrail(s Snapshot) *Trail {
	t := NewTrail()
	t.startHash = s.StartHash
	t.chain.Hash = s.StartHash
	for _, e := range s.Base {
		t.base[e.Subject] = e.normalized()
		t.chain.Sequence = max(t.chain.Sequence, e.Sequence)
	}
	for _, e := range s.Events {
		e = e.normalized()
		t.events = append(t.events, e)
		t.totalBytes += e.estimatedBytes()
		t.chain = Chain{Sequence: e.Sequence, Hash: e.Hash}
	}
	return t
}

// Snapshot returns a copy of the whole trail for storage.
func (t *Trail) Snapshot() Snapshot {
	return Snapshot{StartHash: t.startHash, Base: t.baseEvents(), Events: slices.Clone(t.events)}
}

// Append adds an event and returns it with its sequence and hash. It truncates
// the time to whole seconds in UTC, so that all replicas hash the same text.
func (t *Trail) Append(e Event) Event {
	e.At = e.At.Truncate(time.Second)
	e = t.chain.Append(e.normalized())
	t.events = append(t.events, e)
	t.totalBytes += e.estimatedBytes()
	for len(t.events) > maxEvents || t.totalBytes > maxBytes && len(t.events) > segmentEvents {
		t.dropOldest(min(segmentEvents, len(t.events)-1))
	}
	return e
}

// Head returns the sequence and hash of the last event.
func (t *Trail) Head() Chain { return t.chain }

// Page returns at most limit events that follow the sequence after. When some of
// them have been dropped, it starts at the oldest retained event.
func (t *Trail) Page(after uint64, limit int) Page {
	first := t.firstSequence()
	if after+1 < first || after == 0 {
		page := Page{PreviousHash: t.startHash, Base: t.baseEvents()}
		page.Events = slices.Clone(t.events[:min(len(t.events), limit)])
		return page
	}
	skip := min(int(after+1-first), len(t.events))
	page := Page{PreviousHash: t.startHash}
	if skip > 0 {
		page.PreviousHash = t.events[skip-1].Hash
	}
	rest := t.events[skip:]
	page.Events = slices.Clone(rest[:min(len(rest), limit)])
	return page
}

// firstSequence returns the sequence of the oldest retained event.
func (t *Trail) firstSequence() uint64 { return t.chain.Sequence + 1 - uint64(len(t.events)) }

// dropOldest removes the n oldest events and updates the base.
func (t *Trail) dropOldest(n int) {
	for _, e := range t.events[:n] {
		if len(e.After) > 0 {
			t.base[e.Subject] = e
		}
		t.totalBytes -= e.estimatedBytes()
	}
	t.startHash = t.events[n-1].Hash
	t.events = slices.Clone(t.events[n:])
}

func (t *Trail) baseEvents() []Event {
	return slices.SortedFunc(maps.Values(t.base), func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
}

// Documents returns the state of each document at the given time, as JSON by
// subject, and the sequence of the last event that it includes.
func (p Page) Documents(at time.Time) (map[string][]byte, uint64) {
	documents := make(map[string][]byte)
	for _, e := range p.Base {
		documents[e.Subject] = e.After
	}
	last := -1
	for i, e := range p.Events {
		if !e.At.After(at) {
			last = i
		}
	}
	var sequence uint64
	for _, e := range p.Events[:last+1] {
		sequence = e.Sequence
		if len(e.After) > 0 {
			documents[e.Subject] = e.After
		}
	}
	return documents, sequence
}

// Revisions returns the newest revision accepted by the given time, and the
// newest one recorded as in force at every entry by then.
func (p Page) Revisions(at time.Time) (accepted, inForce uint64) {
	for _, e := range slices.Concat(p.Base, p.Events) {
		switch {
		case e.At.After(at):
		case e.Kind == InForce:
			inForce = max(inForce, e.Revision)
		case e.Kind == Changed || e.Kind == Held:
			accepted = max(accepted, e.Revision)
		}
	}
	return accepted, inForce
}

// HasHash reports whether the page contains the event with the hash.
func (p Page) HasHash(hash string) bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Hash == hash })
}

// normalized returns the event in the form that it has after encoding and decoding,
// so that a restored trail computes the same hashes.
func (e Event) normalized() Event {
	e.At = e.At.UTC()
	if len(e.Before) == 0 {
		e.Before = nil
	}
	if len(e.After) == 0 {
		e.After = nil
	}
	return e
}

// estimatedBytes returns the event's estimated size in bytes.
func (e Event) estimatedBytes() int {
	return eventBytes + len(e.Before) + len(e.After) + len(e.Detail) + len(e.Subject) + len(e.ChangeID)
}
