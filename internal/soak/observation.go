package soak

import (
	"slices"
	"sync"
	"time"

	"rosereach/platform"
)

const (
	// contactTime is how long before a request a disruption excuses its loss.
	contactTime = 4 * time.Second

	// lossSlack is the time after its last byte within which a request may cross the
	// close of its connection.
	lossSlack = 200 * time.Millisecond

	// backOffTime is the time after a refusal with Retry-After within which an entry
	// has to stop sending.
	backOffTime = 500 * time.Millisecond

	// maxHeldOffArrivals is the number of requests that one entry may send to a server
	// that wants none.
	maxHeldOffArrivals = 2

	// limitWindow is the time in which a server that named a limit gets limitFactor times
	// what it allows and limitSlack requests at most.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

type (
	// arrivals are the requests that reached the servers.
	arrivals struct {
		mu   sync.Mutex
		byID map[string][]arrival
	}

	// arrival is one request that reached a server, and how the server answered it. The end of
	// the server's work is zero while it lasts.
	arrival struct {
		requestID string
		server    string
		at, end   time.Time
		answerPlan
	}

	// disruption is a disruption of a process by the soak. The end is zero while it
	// lasts.
	disruption struct {
		kind       disruptionKind
		begin, end time.Time
	}

	disruptionKind int

	// observation is all that callers and servers saw in a run, the disruptions of entries by
	// address, and the time between SIGTERM and SIGKILL.
	observation struct {
		outcomes []requestOutcome
		arrivals []arrival
		entries  map[string][]disruption
		grace    time.Duration
	}

	// entryServer is an entry as a server sees it.
	entryServer struct{ entry, server string }
)

// A planned disruption is a stop with SIGTERM.
const (
	planned disruptionKind = iota
	killed
	frozen
)

// begin records an arrival. The returned function records the end of the server's work; the
// first call counts.
func (a *arrivals) begin(one arrival) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := len(a.byID[one.requestID])
	a.byID[one.requestID] = append(a.byID[one.requestID], one)
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.byID[one.requestID][i].end = time.Now()
	})
}

// of returns the arrivals of a request in order of time.
func (a *arrivals) of(id string) []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.byID[id])
}

// runs returns how often a request ran, summed over all servers.
func (a *arrivals) runs(id string) int {
	n := 0
	for _, one := range a.of(id) {
		if one.fault != 1 {
			n++
		}
	}
	return n
}

// all returns all arrivals in order of time.
func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []arrival
	for _, some := range a.byID {
		list = append(list, some...)
	}
	slices.SortFunc(list, func(x, y arrival) int { return x.at.Compare(y.at) })
	return list
}

// disrupted reports whether a disruption of one of the kinds falls into the given time.
func (o observation) disrupted(entry string, from, to time.Time, kinds ...disruptionKind) bool {
	return slices.ContainsFunc(o.entries[entry], func(d disruption) bool {
		return slices.Contains(kinds, d.kind) && d.begin.Before(to) && (d.end.IsZero() || d.end.After(from))
	})
}

// byRequest returns the outcomes by request ID.
func (o observation) byRequest() map[string]requestOutcome {
	outcomes := make(map[string]requestOutcome, len(o.outcomes))
	for _, one := range o.outcomes {
		outcomes[one.id] = one
	}
	return outcomes
}

// outlasts reports whether the work on the arrival ended last, of two in order of time. A server
// without a processor sees an attempt that the entry has given up after the next one has begun.
func (a arrival) outlasts(before arrival) bool {
	return a.end.IsZero() || !before.end.IsZero() && !a.end.Before(before.end)
}

// checkLost checks that no entry closes a connection without a complete answer to a
// request that it has passed on to a server, or read. Excused are an unplanned
// disruption of the entry, a server that broke the answer off, a deadline that was
// reached, and a request that is still running when a planned stop has to end.
func (v *violations) checkLost(o observation) {
	last, worked := make(map[string]arrival), make(map[string]arrival)
	for _, a := range o.arrivals {
		last[a.requestID] = a
		if before, ok := worked[a.requestID]; a.fault != 1 && (!ok || a.outlasts(before)) {
			worked[a.requestID] = a
		}
	}
	for _, r := range o.outcomes {
		a, passedOn := last[r.id]
		switch {
		case !r.closed || r.writtenAt.IsZero() || !passedOn && r.endedAt.Sub(r.writtenAt) <= lossSlack:
		case a.fault > 1 || r.endedAt.Sub(r.sentAt) >= r.timeLeft:
		case o.disrupted(r.entry, r.sentAt.Add(-contactTime), r.endedAt, killed, frozen) || o.outlivesStop(r, worked[r.id]):
		default:
			v.add("no answer lost", r.id, "%s request sent to %s at %s: connection closed after %s without a complete answer (head: %v); last at server %q, at work from %s to %s; %+v",
				r.kind, r.entry, clockTime(r.sentAt), r.endedAt.Sub(r.sentAt), !r.headAt.IsZero(), a.server, clockTime(a.at), clockTime(a.end), r.script)
		}
	}
}

// outlivesStop reports whether a request was sent early in a planned stop and the server that worked
// on it last, if any, was still at work in the last sixth of the grace time.
func (o observation) outlivesStop(r requestOutcome, last arrival) bool {
	if last.at.IsZero() {
		return false
	}
	workedUntil := last.end
	if workedUntil.IsZero() {
		workedUntil = r.endedAt
	}
	return slices.ContainsFunc(o.entries[r.entry], func(d disruption) bool {
		lastSixth, end := d.begin.Add(o.grace*5/6), d.begin.Add(o.grace)
		return d.kind == planned && r.sentAt.Sub(d.begin) <= 3*time.Second && r.endedAt.Before(end.Add(time.Second)) &&
			last.at.Before(end) && !workedUntil.Before(lastSixth)
	})
}

// checkLeaving checks that a server gets no request from an entry that was sent later
// than the drain bound after the entry had passed on an answer of the server that said
// that it leaves. A restart of the entry excuses.
func (v *violations) checkLeaving(o observation) {
	outcomes := o.byRequest()
	passedOn := make(map[entryServer]time.Time)
	for _, a := range o.arrivals {
		r, ok := outcomes[a.requestID]
		if !ok || !a.leaving || a.server != r.server {
			continue
		}
		key := entryServer{r.entry, a.server}
		if at, ok := passedOn[key]; !ok || r.headAt.Before(at) {
			passedOn[key] = r.headAt
		}
	}
	late := make(map[entryServer][]requestOutcome)
	for _, a := range o.arrivals {
		r, ok := outcomes[a.requestID]
		key := entryServer{r.entry, a.server}
		at, told := passedOn[key]
		if ok && told && r.sentAt.Sub(at) > platform.SimulatedDrainTime && !o.disrupted(r.entry, at, a.at, planned, killed) {
			late[key] = append(late[key], r)
		}
	}
	for key, list := range late {
		v.add("nothing for a leaving server", list[0].id, "%s got %d requests from %s too late; this one was sent at %s, %s after the first answer with Server-Leaving",
			key.server, len(list), key.entry, clockTime(list[0].sentAt), list[0].sentAt.Sub(passedOn[key]).Round(time.Millisecond))
	}
}

// checkHeldOff checks that a server that turned a request of an entry away with
// Retry-After gets two more requests from it at most, from backOffTime on until that
// time is over. A restart or pause of the entry excuses.
func (v *violations) checkHeldOff(o observation) {
	outcomes := o.byRequest()
	groups := make(map[entryServer][]arrival)
	for _, a := range o.arrivals {
		if r, ok := outcomes[a.requestID]; ok {
			key := entryServer{r.entry, a.server}
			groups[key] = append(groups[key], a)
		}
	}
	for key, list := range groups {
		var reportedUntil time.Time
		for i, refused := range list {
			from, to := refused.at.Add(backOffTime), refused.at.Add(refused.retryAfter)
			if refused.retryAfter == 0 || from.Before(reportedUntil) {
				continue
			}
			within := slices.DeleteFunc(slices.Clone(list[i+1:]), func(a arrival) bool { return a.at.Before(from) || a.at.After(to) })
			if len(within) <= maxHeldOffArrivals || o.disrupted(key.entry, refused.at, within[maxHeldOffArrivals].at, planned, killed, frozen) {
				continue
			}
			reportedUntil = to
			v.add("a server's Retry-After is kept", within[maxHeldOffArrivals].requestID, "%s got %d requests from %s in the %s that it wanted none, 0.5 s and more after its refusal of %s at %s",
				key.server, len(within), key.entry, refused.retryAfter.Round(time.Millisecond), refused.requestID, clockTime(refused.at))
		}
	}
}

// checkLimits checks that a server that names a limit gets no more requests than the bound
// in any limitWindow, from contactTime after it first named one on, from all entries that
// had passed on such an answer backOffTime before. A disruption of an entry since then
// excuses its requests.
func (v *violations) checkLimits(o observation) {
	outcomes := o.byRequest()
	told := make(map[entryServer]time.Time)
	named := make(map[string]time.Time)
	counted := make(map[string][]arrival)
	for _, a := range o.arrivals {
		r, ok := outcomes[a.requestID]
		key := entryServer{r.entry, a.server}
		if a.limit == 0 {
			delete(named, a.server)
			delete(counted, a.server)
			delete(told, key)
		}
		if !ok || a.limit == 0 {
			continue
		}
		if _, known := named[a.server]; !known {
			named[a.server] = a.at
		}
		if at, known := told[key]; known && a.at.Sub(at) >= backOffTime && a.at.Sub(named[a.server]) >= contactTime && !o.disrupted(key.entry, at, a.at, planned, killed, frozen) {
			list := slices.DeleteFunc(append(counted[a.server], a), func(b arrival) bool { return a.at.Sub(b.at) > limitWindow })
			counted[a.server] = list
			if bound := int(limitFactor*a.limit*limitWindow.Seconds()) + limitSlack; len(list) > bound {
				v.add("a server's limit is kept", a.requestID, "%s got %d requests in %s at a limit of %v a second, bound %d", a.server, len(list), limitWindow, a.limit, bound)
				delete(counted, a.server)
			}
		}
		if _, known := told[key]; !known && a.server == r.server && !r.headAt.IsZero() {
			told[key] = r.headAt
		}
	}
}

// clockTime formats a time like the logs of the processes.
func clockTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }
