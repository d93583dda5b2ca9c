package explain

import (
	"strings"
	"time"
)

// traces is what the lines about a request name: the backend servers, revisions, processes
// prompt parts and digest, and the time that they span.
type traces struct {
	servers, plans, sources, parts map[string]bool
	first, last                    time.Time
	signals                        map[string]time.Time // of planned stops, by source
}

func newTraces() *traces {
	return &traces{servers: make(map[string]bool), plans: make(map[string]bool), sources: make(map[string]bool), parts: make(map[string]bool), signals: make(map[string]time.Time)}
}

// add adds what a line about the request names.
func (t *traces) add(line Line) {
	t.sources[line.Source] = true
	t.servers[line.Get(fieldServer)] = true
	t.plans[line.Get(fieldPlan)] = true
	if at, ok := line.signaledAt(); ok {
		t.signals[line.Source] = at
	}
	for _, part := range append(strings.Split(line.Get(fieldPrompt), ","), line.Get(fieldDigest)) {
		t.parts[part] = part != ""
	}
	if t.first.IsZero() || line.At.Before(t.first) {
		t.first = line.At
	}
	if line.At.After(t.last) {
		t.last = line.At
	}
}

// concerns reports whether a line is about something that the request's lines name.
func (t *traces) concerns(line Line) bool {
	if line.At.After(t.last) {
		return false
	}
	recent := line.At.After(t.first.Add(-stateLookback))
	aboutServer := recent && t.servers[line.Get(fieldSubject)] && line.Get(fieldSubject) != ""
	aboutWord := t.sources[line.Source] && t.servers[line.Get(fieldSubject)] && line.holdsAt(t.first)
	aboutPlan := t.sources[line.Source] && line.Get(fieldRevision) != "" && t.plans[line.Get(fieldRevision)]
	aboutPart := line.Get(fieldID) == "" && (t.parts[line.Get(fieldPrompt)] || t.parts[line.Get(fieldDigest)])
	aboutLoad := recent && t.sources[line.Source] && line.Get(fieldUnfinished) != ""
	aboutStop := t.sources[line.Source] && line.isPhase() && (recent || t.isSameStop(line))
	return aboutStop || aboutServer || aboutWord || aboutPlan || aboutPart || aboutLoad
}

// isSameStop reports whether a line is about a planned stop that touched the request.
func (t *traces) isSameStop(line Line) bool {
	at, ok := line.signaledAt()
	signal, touched := t.signals[line.Source]
	return ok && touched && at.Sub(signal).Abs() < stopSlack
}
