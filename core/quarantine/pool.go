package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// evidenceTime is how long the end of a server counts.
	evidenceTime = time.Minute

	// maxEnds bounds the ends of servers that are kept. The oldest ones yield.
	maxEnds = 256

	// A part is listed only for minEnds servers that ended under as many requests with
	// it, in minEpisodes of time that begin at least episodeTime apart. Servers that fail
	// with a rack, an availability zone or a release end at the same time.
	minEnds     = 3
	minEpisodes = 3
	episodeTime = 300 * time.Millisecond

	// crashRate is the assumed share of requests with a crashing part that end their
	// server: not each one needs to. The share of requests of a service that are at a
	// server when it ends is assumed to be within minLossRate and maxLossRate.
	// It is estimated as if unknownLost of unknownRequests more requests had been lost.
	// listingLogLikelihood is the log-likelihood ratio from which a part is listed.
	crashRate            = 0.8
	minLossRate          = 0.05
	maxLossRate          = 0.6
	unknownLost          = 2
	unknownRequests      = 4
	listingLogLikelihood = 4.5

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
	}

	endKey struct {
		server      string
		incarnation uint64
	}

	pooledEnd struct {
		service  string
		at       time.Time
		requests map[uint64]Request
	}

	// charge is what speaks for and against one part.
	charge struct {
		key       Key
		service   string
		ends      []time.Time
		requests  map[uint64]bool
		position  int // the sum of its positions in the prompts
		placed    int
		soundness float64
		score     float64
	}
)

// NewPool returns a pool without evidence.
func NewPool() *Pool {
	return &Pool{
		list: NewList(), ends: make(map[endKey]*pooledEnd), sound: make(map[Key]map[string]float64), suspects: make(map[Key]time.Time),
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

// Suspects returns the parts that entries are asked about, and the version of this list.
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
	if !p.changed {
		return nil
	}
	p.changed = false
	var added []Listing
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
}

// charges returns what speaks for and against each part that is not listed, in the
// order in which they are judged. Ends that a listed part explains are left out.
func (p *Pool) charges(now time.Time) []*charge {
	byKey := make(map[Key]*charge)
	lost := make(map[string]map[uint64]bool) // requests that were at a server when it ended, by service
	for _, e := range p.ends {
		if p.isExplained(now, e) {
			continue
		}
		if lost[e.service] == nil {
			lost[e.service] = make(map[uint64]bool)
		}
		seen := make(map[Key]bool)
		for id, r := range e.requests {
			lost[e.service][id] = true
			for i, k := range r.Parts {
				c, ok := byKey[k]
				if !ok {
					c = &charge{key: k, service: e.service, requests: make(map[uint64]bool)}
					byKey[k] = c
				}
				c.requests[id] = true
				c.position, c.placed = c.position+i, c.placed+1
				if !seen[k] {
					seen[k] = true
					c.ends = append(c.ends, e.at)
				}
			}
		}
	}
	charges := make([]*charge, 0, len(byKey))
	for _, c := range byKey {
		c.soundness = p.answers(c.key)
		others := max(float64(len(lost[c.service])-len(c.requests)), 0)
		answered := max(p.answers(KeyOf(c.service, ""))-c.soundness, 0)
		c.score = logLikelihood(c.weight(), c.soundness, (others+unknownLost)/(others+answered+unknownRequests))
		charges = append(charges, c)
	}
	slices.SortFunc(charges, compareCharges)
	return charges
}

// compareCharges puts the charge that explains more ends first. Of two that explain as many
// the part with fewer sound answers, in fewer requests, and then the one later in the
// prompt, is the more specific.
func compareCharges(a, b *charge) int {
	return cmp.Or(
		cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.soundness, b.soundness), cmp.Compare(len(a.requests), len(b.requests)),
		cmp.Compare(b.position*a.placed, a.position*b.placed), cmp.Compare(a.key, b.key),
	)
}

// logLikelihood returns the log-likelihood ratio of a part that ends servers against one
// whose requests are lost as often as others.
func logLikelihood(ends int, answers, lossRate float64) float64 {
	lossRate = min(max(lossRate, minLossRate), maxLossRate)
	return float64(ends)*math.Log(crashRate/lossRate) + answers*math.Log((1-crashRate)/(1-lossRate))
}

func (p *Pool) isExplained(now time.Time, e *pooledEnd) bool {
	for _, r := range e.requests {
		if _, ok := p.list.Find(now, r.Parts); ok {
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
	return Listing{Key: c.key, Service: c.service, Left: listingTime, Ends: len(c.ends), Requests: len(c.requests), Sound: c.soundness}, true
}

func (c *charge) suffices() bool {
	return c.score >= listingLogLikelihood && c.weight() >= minEnds && episodes(c.ends) >= minEpisodes
}

// episodes returns the number of episodes that the times fall into.
func episodes(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var start time.Time
	for _, at := range times {
		if n == 0 || at.Sub(start) >= episodeTime {
			n, start = n+1, at
		}
	}
	return n
}

// suspect updates the suspects: the parts under which most servers ended and all requests of their services.
func (p *Pool) suspect(now time.Time, charges []*charge) {
	next := make(map[Key]time.Time)
	for _, c := range charges {
		if len(next) >= maxSuspects || c.weight() < minSuspectEnds {
			break
		}
		for _, k := range []Key{c.key, KeyOf(c.service, "")} {
			next[k] = now
			if since, ok := p.suspects[k]; ok {
				next[k] = since
			}
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

// weight is the number of ends that different requests may have caused.
func (c *charge) weight() int { return min(len(c.ends), len(c.requests)) }

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
