package quarantine

import (
	"cmp"
	"maps"
	"time"
)

const (
	// slotTime bounds a trial whose outcome is not reported.
	slotTime = 5 * time.Second

	// waiterTime is how long a request that asked for the slot counts as waiting for one.
	waiterTime = 300 * time.Millisecond

	// maxWaiters bounds the requests that wait for the slot of one service.
	maxWaiters = 256
)

// The answers to a request that asks to run.
const (
	// RunFreely means that the request is no suspect.
	RunFreely Permission = "freely"
	// RunAlone means that the request may run once, as the only suspect at its service. The
	// outcome is to be reported.
	RunAlone Permission = "alone"
	// Wait means that the request may not run now.
	Wait Permission = "wait"
)

type (
	// Permission tells whether a request may run.
	Permission string

	// trialSlot lets suspects run one after the other at a service.
	//
	// It answers a small service whose servers are all down for seconds, again and again:
	// all that waited meanwhile comes back at once, and the crashing request with it, at many
	// entries. Whoever has been at the fewest ends goes first, so that bystanders are cleared
	// before the request that crashes servers takes the next one down.
	trialSlot struct {
		holder  Key
		id      uint64
		until   time.Time
		waiters map[Key]time.Time
	}
)

// Acquire decides whether a request may run now. A suspect that has to wait asks again.
func (p *Pool) Acquire(now time.Time, service string, digest Key, id uint64) Permission {
	if _, listed := p.list.Find(now, []Key{digest}); listed {
		return Wait
	}
	r, ok := p.repeats[digest]
	if !ok || !r.isSuspect() {
		return RunFreely
	}
	if r.isUnconfirmed(now) {
		return Wait
	}
	t, ok := p.slots[service]
	if !ok {
		t = &trialSlot{waiters: make(map[Key]time.Time)}
		p.slots[service] = t
	}
	maps.DeleteFunc(t.waiters, func(k Key, at time.Time) bool { return now.Sub(at) > waiterTime || !p.mayWait(now, k) })
	if len(t.waiters) < maxWaiters {
		t.waiters[digest] = now
	}
	if now.Before(t.until) {
		return Wait
	}
	for other := range t.waiters {
		if other != digest && p.compareEnds(other, digest) < 0 {
			return Wait
		}
	}
	t.holder, t.id, t.until = digest, id, now.Add(slotTime)
	delete(t.waiters, digest)
	return RunAlone
}

// Release ends a trial, of which the outcome is added separately if there is one.
func (p *Pool) Release(service string, digest Key, id uint64) {
	if t, ok := p.slots[service]; ok && t.holder == digest && t.id == id {
		t.until = time.Time{}
	}
}

func (p *Pool) mayWait(now time.Time, k Key) bool {
	r, ok := p.repeats[k]
	return ok && r.isSuspect() && !r.isUnconfirmed(now)
}

// compareEnds orders suspects by the number of ends that they were at.
func (p *Pool) compareEnds(a, b Key) int {
	return cmp.Or(cmp.Compare(len(p.repeats[a].ends), len(p.repeats[b].ends)), cmp.Compare(a, b))
}
