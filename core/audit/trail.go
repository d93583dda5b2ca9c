package audit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxEvents and maxBytes bound the events that a trail keeps. The chain of
	// hashes goes on beyond them.
	maxEvents = 65_536
	maxBytes  = 24 << 20

	// segmentEvents is how many events are dropped together.
	segmentEvents = 1024

	// eventBytes is what an event takes besides its documents and texts.
	eventBytes = 512
)

type (
	// Trail holds the newest events of a chain. Older ones are dropped in
	// segments; of them it keeps the newest for each document, from which the
	// documents at the horizon can be rebuilt. It is not safe for concurrent use.
	Trail struct {
		chain  Chain
		start  string
		base   map[string]Event
		events []Event
		bytes  int
	}

	// Snapshot is a whole trail in the form in which it is stored.
	Snapshot struct {
		Start  string  `json:"start"`
		Base   []Event `json:"base"`
		Events []Event `json:"events"`
	}

	// Page is a part of a trail. Previous is the hash before the first event.
	// Base is set when the page starts at the trail's horizon: the newest
	// dropped event of each document.
	Page struct {
		Previous string  `json:"previous"`
		Base     []Event `json:"base,omitempty"`
		Events   []Event `json:"events"`
	}
)

// NewTrail returns an empty trail.
func NewTrail() *Trail { return &Trail{base: make(map[string]Event)} }

// RestoreTrail returns the trail of a snapshot.
func RestoreTrail(s Snapshot) *Trail {
	t := NewTrail()
	t.start = s.Start
	t.chain.Hash = s.Start
	for _, e := range s.Base {
		t.base[e.Subject] = e.normal()
		t.chain.Sequence = max(t.chain.Sequence, e.Sequence)
	}
	for _, e := range s.Events {
		e = e.normal()
		t.events = append(t.events, e)
		t.bytes += e.size()
		t.chain = Chain{Sequence: e.Sequence, Hash: e.Hash}
	}
	return t
}

// Snapshot returns the whole trail.
func (t *Trail) Snapshot() Snapshot {
	return Snapshot{Start: t.start, Base: t.baseEvents(), Events: slices.Clone(t.events)}
}

// Append adds an event and returns it with its sequence and hash. Times are
// kept in whole seconds of UTC, so that all replicas hash the same text.
func (t *Trail) Append(e Event) Event {
	e.At = e.At.Truncate(time.Second)
	e = t.chain.Append(e.normal())
	t.events = append(t.events, e)
	t.bytes += e.size()
	for len(t.events) > maxEvents || t.bytes > maxBytes && len(t.events) > segmentEvents {
		t.drop(min(segmentEvents, len(t.events)-1))
	}
	return e
}

// Head returns the chain's end.
func (t *Trail) Head() Chain { return t.chain }

// Page returns at most limit events after the sequence.
func (t *Trail) Page(after uint64, limit int) Page {
	first := t.first()
	if after+1 < first || after == 0 {
		page := Page{Previous: t.start, Base: t.baseEvents()}
		page.Events = slices.Clone(t.events[:min(len(t.events), limit)])
		return page
	}
	skip := min(int(after+1-first), len(t.events))
	page := Page{Previous: t.start}
	if skip > 0 {
		page.Previous = t.events[skip-1].Hash
	}
	rest := t.events[skip:]
	page.Events = slices.Clone(rest[:min(len(rest), limit)])
	return page
}

// first returns the sequence of the oldest event that is kept.
func (t *Trail) first() uint64 { return t.chain.Sequence + 1 - uint64(len(t.events)) }

func (t *Trail) drop(n int) {
	for _, e := range t.events[:n] {
		if len(e.After) > 0 {
			t.base[e.Subject] = e
		}
		t.bytes -= e.size()
	}
	t.start = t.events[n-1].Hash
	t.events = slices.Clone(t.events[n:])
}

func (t *Trail) baseEvents() []Event {
	return slices.SortedFunc(maps.Values(t.base), func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
}

// Documents returns the newest document of each subject as it was at the time,
// as JSON by subject, and the sequence of the last event that it counts.
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

// Revisions returns the newest revision that was accepted by the time, and the
// newest one that the trail says was in force everywhere by then.
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

// Has reports whether an event of the page has the hash.
func (p Page) Has(hash string) bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Hash == hash })
}

// normal returns the event as it is after encoding and decoding.
func (e Event) normal() Event {
	e.At = e.At.UTC()
	if len(e.Before) == 0 {
		e.Before = nil
	}
	if len(e.After) == 0 {
		e.After = nil
	}
	return e
}

func (e Event) size() int {
	return eventBytes + len(e.Before) + len(e.After) + len(e.Detail) + len(e.Subject) + len(e.ChangeID)
}
