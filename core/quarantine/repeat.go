package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// repeatRetention is how long the evidence against a request counts: it may come again
	// after minutes.
	repeatRetention = 10 * time.Minute

	// maxRepeatsPerWorkspace bounds the requests of one workspace that are known to have
	// been at servers that ended. Those with the fewest ends yield.
	maxRepeatsPerWorkspace = 256

	// maxPerRepeat bounds the ends, requests and trials that are kept of one request.
	maxPerRepeat = 64

	// minSuspectRequests is the number of times that a request has to have come to be a
	// suspect, and maxSuspectRepeats the number of such suspects that entries are told.
	minSuspectRequests = 2
	maxSuspectRepeats  = 64

	// lifeMargin is how long after the end of a server its announcements may still arrive
	// through other members, and confirmationTime how long a server that lives may take to
	// show it.
	lifeMargin       = 1300 * time.Millisecond
	confirmationTime = 4 * time.Second

	// priorLossRate and priorComparisons are what is assumed of the service's other
	// requests before anything is known of them, and recentTime is the time constant with
	// which their answers and losses lose weight: a release that crashes on anything was
	// preceded by one that answered.
	priorLossRate    = 0.1
	priorComparisons = 2
	recentTime       = 4 * time.Second

	// maxCandidates is the number of requests of a service that may be taken to crash its
	// servers at the same time.
	maxCandidates = 3
)

type (
	// Trial is the outcome of a suspected request that ran while no other suspect did.
	Trial struct {
		_       struct{} `cbor:",toarray"`
		Digest  Key
		Service string
		// ID is the RequestID of its id.
		ID uint64
		// Server and Incarnation tell where it ran, and Ended whether that server ended.
		Server      string
		Incarnation uint64
		Ended       bool
	}

	// repeat is what is known of a request that was at servers that ended, and comes again.
	repeat struct {
		service   string
		workspace uint64
		ends      map[endKey]time.Time
		requests  map[uint64]bool
		trials    []trialRecord // the latest ones, in order
		lastEnd   time.Time
		lastSound time.Time // a trial with a sound answer
	}

	// recentAnswers is a number of answers that loses weight since a time.
	recentAnswers struct {
		n  float64
		at time.Time
	}

	trialRecord struct {
		id       uint64
		at       time.Time
		ended    bool
		end      endKey
		lossRate float64 // of the service's other requests at that time
	}
)

// addRepeat adds a request that was at a server that ended.
func (p *Pool) addRepeat(now time.Time, service string, end endKey, r Request) {
	if r.Digest == 0 {
		return
	}
	known, ok := p.repeats[r.Digest]
	if !ok {
		p.makeRoomForRepeat(r.Workspace)
		known = &repeat{
			service: service, workspace: r.Workspace, ends: make(map[endKey]time.Time), requests: make(map[uint64]bool),
		}
		p.repeats[r.Digest] = known
		p.repeatsOf[r.Workspace]++
	}
	known.addEnd(now, end, r.ID)
}

// addEnd adds an end that the request with an id was at.
func (r *repeat) addEnd(now time.Time, end endKey, id uint64) {
	if len(r.requests) < maxPerRepeat {
		r.requests[id] = true
	}
	if _, ok := r.ends[end]; ok {
		return
	}
	if r.lastEnd = now; len(r.ends) < maxPerRepeat {
		r.ends[end] = now
	}
}

// addTrial adds the outcome of a trial and reports whether it is new.
func (p *Pool) addTrial(now time.Time, t Trial) bool {
	r, ok := p.repeats[t.Digest]
	if !ok {
		return false
	}
	if slices.ContainsFunc(r.trials, func(known trialRecord) bool { return known.id == t.ID }) {
		return false
	}
	record := trialRecord{id: t.ID, at: now, ended: t.Ended, end: endKey{server: t.Server, incarnation: t.Incarnation}}
	if t.Ended {
		r.addEnd(now, record.end, t.ID)
	} else {
		r.lastSound = now
	}
	if len(r.trials) >= maxPerRepeat {
		r.trials = slices.Delete(r.trials, 0, 1)
	}
	r.trials = append(r.trials, record)
	// The request may have become a candidate, which explains ends.
	r.trials[len(r.trials)-1].lossRate = p.lossRate(now, r.service)
	return true
}

func (p *Pool) makeRoomForRepeat(workspace uint64) {
	if p.repeatsOf[workspace] < maxRepeatsPerWorkspace {
		return
	}
	var least Key
	for k, r := range p.repeats {
		if r.workspace != workspace {
			continue
		}
		if l := p.repeats[least]; l == nil || len(r.ends) < len(l.ends) || len(r.ends) == len(l.ends) && r.lastEnd.Before(l.lastEnd) {
			least = k
		}
	}
	p.dropRepeat(least)
}

func (p *Pool) dropRepeat(k Key) {
	r, ok := p.repeats[k]
	if !ok {
		return
	}
	delete(p.repeats, k)
	if p.repeatsOf[r.workspace]--; p.repeatsOf[r.workspace] <= 0 {
		delete(p.repeatsOf, r.workspace)
	}
}

// Refute takes back ends of servers that go on announcing themselves: an instance that is
// partitioned from a server can't tell that from its end. LastSeen returns when a start of a
// server was last heard of.
func (p *Pool) Refute(lastSeen func(server string, incarnation uint64) time.Time) {
	lives := func(end endKey, at time.Time) bool {
		return lastSeen(end.server, end.incarnation).After(at.Add(lifeMargin))
	}
	for k, e := range p.ends {
		if lives(k, e.at) {
			delete(p.ends, k)
			p.changed = true
		}
	}
	for k, r := range p.repeats {
		before := len(r.ends) + len(r.trials)
		maps.DeleteFunc(r.ends, lives)
		r.trials = slices.DeleteFunc(r.trials, func(t trialRecord) bool { return t.ended && lives(t.end, t.at) })
		p.changed = p.changed || len(r.ends)+len(r.trials) != before
		if len(r.ends) == 0 {
			p.dropRepeat(k)
		}
	}
}

func (p *Pool) expireRepeats(now time.Time) {
	for k, r := range p.repeats {
		if now.Sub(r.lastEnd) > repeatRetention {
			p.dropRepeat(k)
		}
	}
}

// isSuspect reports whether the request may run only by turns: it came at least twice when
// servers ended, and no trial since the last end had a sound answer.
func (r *repeat) isSuspect() bool {
	return len(r.requests) >= minSuspectRequests && len(r.ends) >= minSuspectEnds && !r.lastSound.After(r.lastEnd)
}

// isUnconfirmed reports whether a server ended in a trial that may still show to live.
func (r *repeat) isUnconfirmed(now time.Time) bool {
	for _, t := range r.trials {
		if t.ended && now.Sub(t.at) < confirmationTime {
			return true
		}
	}
	return false
}

// score is the log-likelihood ratio of a request that ends the servers that run it against
// one whose server ends for another reason, as those of other requests do. Only trials count:
// as no other suspect runs meanwhile, bystanders get sound answers.
func (r *repeat) score(now time.Time) float64 {
	score := 0.0
	for _, t := range r.trials {
		switch {
		case !t.ended:
			score += math.Log((1 - crashRate) / (1 - t.lossRate))
		case now.Sub(t.at) >= confirmationTime:
			score += math.Log(crashRate / t.lossRate)
		}
	}
	return score
}

// lossRate returns the recent share of the requests to a service that are lost with servers
// whose end no candidate explains.
func (p *Pool) lossRate(now time.Time, service string) float64 {
	candidates := p.candidates(service)
	lost := 0.0
	for end, e := range p.ends {
		if e.service != service || p.isExplained(now, e) || slices.ContainsFunc(candidates, func(r *repeat) bool { return r.wasAt(end) }) {
			continue
		}
		lost += float64(len(e.requests)) * recency(now.Sub(e.at))
	}
	answered := 0.0
	if a, ok := p.answered[service]; ok {
		answered = a.n * recency(now.Sub(a.at))
	}
	return min(max((lost+priorLossRate*priorComparisons)/(lost+answered+priorComparisons), minLossRate), crashRate)
}

// candidates returns the requests to a service whose trials ended servers and had no sound
// answer. Many of them are no candidates: the service crashes on anything then.
func (p *Pool) candidates(service string) []*repeat {
	var candidates []*repeat
	for _, r := range p.repeats {
		if r.service == service && r.isCandidate() {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) > maxCandidates {
		return nil
	}
	return candidates
}

func (r *repeat) isCandidate() bool {
	ended := false
	for _, t := range r.trials {
		if !t.ended {
			return false
		}
		ended = true
	}
	return ended
}

func (r *repeat) wasAt(end endKey) bool {
	_, ok := r.ends[end]
	return ok
}

// AddAnswers adds answers of a service, of any request.
func (p *Pool) AddAnswers(now time.Time, service string, n float64) {
	a := p.answered[service]
	p.answered[service] = recentAnswers{n: a.n*recency(now.Sub(a.at)) + n, at: now}
}

// recency is the weight of what happened some time ago.
func recency(age time.Duration) float64 { return math.Exp(-age.Seconds() / recentTime.Seconds()) }

// listRepeats lists the requests that trials show to crash servers, and returns them.
func (p *Pool) listRepeats(now time.Time) []Listing {
	var added []Listing
	for _, k := range p.suspectRepeats() {
		r := p.repeats[k]
		if len(r.ends) < minEnds || r.score(now) < listingLogLikelihood {
			continue
		}
		s := Listing{Key: k, Service: r.service, Left: listingTime, Ends: len(r.ends), Requests: len(r.requests), Repeat: true}
		if p.list.Add(now, s) {
			p.changed = true
			p.dropRepeat(k)
			added = append(added, s)
		}
	}
	return added
}

// suspectRepeats returns the suspected requests, those with the most ends first.
func (p *Pool) suspectRepeats() []Key {
	var keys []Key
	for k, r := range p.repeats {
		if r.isSuspect() {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return p.compareEnds(b, a) })
	return keys[:min(len(keys), maxSuspectRepeats)]
}
