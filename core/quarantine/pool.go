package quarantine

import (
	"slices"
	"time"
)

const (
	// evidenceTime is how long the end of a server counts.
	evidenceTime = time.Minute

	// maxEnds bounds the ends of servers that are kept. The oldest ones yield.
	maxEnds = 256

	// minSuspectEnds is the number of ends that make a part a suspect, maxSuspects the
	// number of suspects that entries are asked about, and suspectTime how long they have
	// to answer.
	minSuspectEnds = 2
	maxSuspects    = 48
	suspectTime    = 350 * time.Millisecond
)

type (
	// Pool combines the evidence of all entries. It answers requests that crash each
	// server that begins to answer them: each crash is seen as the failure of a server, at
	// another entry and another server than the one before, so that neither the health of
	// servers nor one entry's attempts tell what causes it. It is not safe for concurrent
	// use.
	//
	// A part is judged by a likelihood ratio test of its requests: the servers that ended
	// under them against the sound answers to them, compared with the other requests of
	// the service. Ends that a listed part explains don't count against other parts, which
	// belong to requests that merely ran beside it.
	Pool struct {
		list     *List
		ends     map[endKey]*pooledEnd
		sound    map[Key]map[string]float64 // by sender
		suspects map[Key]time.Time          // since when
		version  uint64                     // of the suspects
		changed  bool                       // evidence arrived since the last judgment

		repeats   map[Key]*repeat // by digest
		repeatsOf map[uint64]int  // their number by workspace
		slots     map[string]*trialSlot
		answered  map[string]recentAnswers // by service
	}

	endKey struct {
		server      string
		incarnation uint64
	}

	// serviceLoss is what was lost and answered at a service.
	serviceLoss struct {
		ends     []*pooledEnd
		requests map[uint64]bool // lost with a server
		answered float64
	}

	pooledEnd struct {
		service  string
		at       time.Time
		requests map[uint64]Request
	}
)

// NewPool returns a pool without evidence.
func NewPool() *Pool {
	return &Pool{
		list: NewList(), ends: make(map[endKey]*pooledEnd), sound: make(map[Key]map[string]float64), suspects: make(map[Key]time.Time),
		repeats: make(map[Key]*repeat), repeatsOf: make(map[uint64]int), slots: make(map[string]*trialSlot), answered: make(map[string]recentAnswers),
	}
}

// List returns the list of parts.
func (p *Pool) List() *List { return p.list }

// Add adds a report and reports whether it holds a server's end or a listing that is new.
func (p *Pool) Add(now time.Time, r Report) bool {
	news := false
	for _, e := range r.Ends {
		news = p.addEnd(now, e) || news
	}
	for _, s := range r.Sound {
		// Only what was asked for is kept, which bounds it.
		if _, asked := p.suspects[s.Key]; !asked {
			continue
		}
		if p.sound[s.Key] == nil {
			p.sound[s.Key] = make(map[string]float64)
		}
		p.changed = p.changed || p.sound[s.Key][r.Sender] != s.Answers
		p.sound[s.Key][r.Sender] = s.Answers
	}
	for _, t := range r.Trials {
		news = p.addTrial(now, t) || news
	}
	for _, s := range r.Listed {
		news = p.list.Add(now, s) || news
	}
	p.changed = p.changed || news
	return news
}

func (p *Pool) addEnd(now time.Time, e End) bool {
	key := endKey{server: e.Server, incarnation: e.Incarnation}
	known, ok := p.ends[key]
	if !ok {
		p.makeRoom()
		known = &pooledEnd{service: e.Service, at: now, requests: make(map[uint64]Request)}
		p.ends[key] = known
	}
	news := false
	for _, r := range e.Requests {
		if _, ok := known.requests[r.ID]; !ok && len(r.Parts) <= maxParts {
			known.requests[r.ID] = r
			p.addRepeat(now, e.Service, key, r)
			news = true
		}
	}
	return news
}

func (p *Pool) makeRoom() {
	if len(p.ends) < maxEnds {
		return
	}
	var oldest endKey
	var at time.Time
	for k, e := range p.ends {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = k, e.at
		}
	}
	delete(p.ends, oldest)
}

// Suspects returns the parts that entries are asked about and the requests that may run only
// by turns, and the version of this list.
func (p *Pool) Suspects() ([]Key, uint64) {
	keys := make([]Key, 0, len(p.suspects))
	for k := range p.suspects {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys, p.version
}

// Judge updates the suspects, and lists parts and returns them.
func (p *Pool) Judge(now time.Time) []Listing {
	p.expire(now)
	added := p.listRepeats(now)
	if !p.changed {
		return added
	}
	p.changed = false
	for {
		charges := p.charges(now)
		s, ok := p.convict(now, charges)
		if !ok || !p.list.Add(now, s) {
			p.suspect(now, charges)
			return added
		}
		added = append(added, s)
	}
}

func (p *Pool) expire(now time.Time) {
	for k, e := range p.ends {
		if now.Sub(e.at) > evidenceTime {
			delete(p.ends, k)
			p.changed = true
		}
	}
	p.expireRepeats(now)
}

// charges returns what speaks for and against each part that is not listed, in the
// order in which they are judged. Ends that a listed part explains are left out.
func (p *Pool) charges(now time.Time) []*charge {
	byKey := make(map[Key]*charge)
	totals := make(map[string]*serviceLoss)
	for _, e := range p.ends {
		if p.isExplained(now, e) {
			continue
		}
		t, ok := totals[e.service]
		if !ok {
			t = &serviceLoss{requests: make(map[uint64]bool), answered: p.answers(KeyOf(e.service, ""))}
			totals[e.service] = t
		}
		t.ends = append(t.ends, e)
		for id, r := range e.requests {
			t.requests[id] = true
			if r.Digest != 0 {
				id = uint64(r.Digest)
			}
			for i, k := range r.Parts {
				c, ok := byKey[k]
				if !ok {
					c = &charge{key: k, service: e.service, ends: make(map[*pooledEnd]bool), requests: make(map[uint64]bool), distinct: make(map[uint64]bool)}
					byKey[k] = c
				}
				c.ends[e], c.requests[r.ID], c.distinct[id] = true, true, true
				c.position, c.placed = c.position+i, c.placed+1
			}
		}
	}
	charges := make([]*charge, 0, len(byKey))
	for _, c := range byKey {
		c.answers = p.answers(c.key)
		c.weigh(totals[c.service])
		charges = append(charges, c)
	}
	slices.SortFunc(charges, compareCharges)
	return charges
}

func (p *Pool) isExplained(now time.Time, e *pooledEnd) bool {
	for _, r := range e.requests {
		if _, ok := p.list.Find(now, r.Parts); ok {
			return true
		}
		if _, ok := p.list.Find(now, []Key{r.Digest}); ok {
			return true
		}
	}
	return false
}

func (p *Pool) answers(k Key) float64 {
	var n float64
	for _, answers := range p.sound[k] {
		n += answers
	}
	return n
}

// convict returns the listing of the first part that is not cleared, if the evidence against
// it suffices and the entries have been asked about it. A later one has to wait, as the first
// may explain its ends.
func (p *Pool) convict(now time.Time, charges []*charge) (Listing, bool) {
	i := slices.IndexFunc(charges, func(c *charge) bool { return c.score > 0 })
	if i < 0 || !charges[i].suffices() {
		return Listing{}, false
	}
	c := charges[i]
	if since, asked := p.suspects[c.key]; !asked || now.Sub(since) < suspectTime {
		p.changed = true
		return Listing{}, false
	}
	return Listing{Key: c.key, Service: c.service, Left: listingTime, Ends: len(c.ends), Requests: len(c.requests), Sound: c.answers}, true
}

// suspect updates the suspects: the parts and requests under which most servers ended, and
// all requests of their services.
func (p *Pool) suspect(now time.Time, charges []*charge) {
	next := make(map[Key]time.Time)
	for _, k := range p.suspectRepeats() {
		next[k] = now
	}
	parts := 0
	for _, c := range charges {
		if parts >= maxSuspects || c.weight() < minSuspectEnds {
			break
		}
		next[c.key], next[KeyOf(c.service, "")] = now, now
		parts++
	}
	for k := range next {
		if since, ok := p.suspects[k]; ok {
			next[k] = since
		}
	}
	if !sameKeys(next, p.suspects) {
		p.version++
	}
	p.suspects = next
	for k := range p.sound {
		if _, ok := next[k]; !ok {
			delete(p.sound, k)
		}
	}
}

func sameKeys(a, b map[Key]time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if _, ok := b[k]; !ok {
			return false
		}
	}
	return true
}
