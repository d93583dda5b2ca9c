package speed

import "math"

type (
	// Table holds the estimates that one entry has from several controls. It is not safe
	// for concurrent use.
	Table struct {
		sources map[string]map[string]Estimate // by control, by server
		merged  map[string]Estimate
	}
)

// NewTable returns a table without estimates.
func NewTable() *Table {
	return &Table{sources: make(map[string]map[string]Estimate), merged: make(map[string]Estimate)}
}

// Apply applies the estimates that changed at a control. Anew means that they replace all
// that is known from it.
func (t *Table) Apply(control string, estimates []Estimate, anew bool) {
	known, ok := t.sources[control]
	if !ok || anew {
		known = make(map[string]Estimate)
		t.sources[control] = known
	}
	for _, e := range estimates {
		known[e.Server] = e
		t.merge(e.Server)
	}
}

// merge updates the estimate of a server: the mean of those that the controls have of its
// newest start. What a control told last stays when it is gone.
func (t *Table) merge(server string) {
	var merged Estimate
	n := 0.0
	for _, known := range t.sources {
		e, ok := known[server]
		switch {
		case !ok || e.Incarnation < merged.Incarnation:
			continue
		case e.Incarnation > merged.Incarnation:
			merged, n = Estimate{Server: server, Incarnation: e.Incarnation}, 0
		}
		merged.LogRatio = (merged.LogRatio*n + e.LogRatio) / (n + 1)
		n++
	}
	t.merged[server] = merged
}

// LogRatio returns the estimate of a start of a server, 0 if none is known.
func (t *Table) LogRatio(server string, incarnation uint64) float64 {
	if e, ok := t.merged[server]; ok && e.Incarnation == incarnation {
		return e.LogRatio
	}
	return 0
}

// Weight returns how much of the work of an average server a server can do, 1 if nothing is
// known of it.
func (t *Table) Weight(server string, incarnation uint64) float64 {
	return math.Exp(-t.LogRatio(server, incarnation))
}

// Retain removes the servers for which isKnown returns false.
func (t *Table) Retain(isKnown func(server string) bool) {
	for _, known := range t.sources {
		for id := range known {
			if !isKnown(id) {
				delete(known, id)
			}
		}
	}
	for id := range t.merged {
		if !isKnown(id) {
			delete(t.merged, id)
		}
	}
}
