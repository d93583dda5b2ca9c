package placement

import "time"

// historyKept is how long past request counts are kept. Older load reports are
// compared with the oldest count.
const historyKept = 5 * time.Second

type (
	// Tracker counts one entry's own requests on each backend server. It is
	// not safe for concurrent use.
	Tracker struct {
		prefill time.Duration // time to read one prompt token
		servers map[string]*tracked
	}

	// tracked is the state of one server.
	tracked struct {
		inFlight int
		history  []count
		backlog  float64   // unread prompt tokens
		at       time.Time // when backlog was last updated
	}

	// count is the number of requests from a time on.
	count struct {
		at       time.Time
		inFlight int
	}
)

// NewTracker returns a tracker for servers that read one prompt token in
// prefillPerToken.
func NewTracker(prefillPerToken time.Duration) *Tracker {
	return &Tracker{prefill: prefillPerToken, servers: make(map[string]*tracked)}
}

// Start records a request sent to the server and the number of prompt tokens that
// the server has to read for it.
func (t *Tracker) Start(now time.Time, server string, tokens int64) {
	s, ok := t.servers[server]
	if !ok {
		t.forget(now)
		s = &tracked{at: now}
		t.servers[server] = s
	}
	s.backlog = t.drained(now, s) + float64(tokens)
	s.at = now
	s.change(now, 1)
}

// End records the end of a request.
func (t *Tracker) End(now time.Time, server string) {
	s, ok := t.servers[server]
	if !ok {
		return
	}
	s.change(now, -1)
	if s.inFlight == 0 {
		s.backlog = 0
	}
}

// Total returns the number of requests on all servers.
func (t *Tracker) Total() int {
	sum := 0
	for _, s := range t.servers {
		sum += s.inFlight
	}
	return sum
}

// InFlight returns the current number of requests on the server.
func (t *Tracker) InFlight(server string) int {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	return s.inFlight
}

// InFlightAt returns the number of requests on the server at a past time, within
// the kept history.
func (t *Tracker) InFlightAt(server string, at time.Time) int {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	n := 0
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		n = c.inFlight
	}
	return n
}

// Backlog returns the estimated number of prompt tokens that the server has not
// read yet.
func (t *Tracker) Backlog(now time.Time, server string) int64 {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	return int64(t.drained(now, s))
}

// forget deletes the servers without requests within the kept history.
func (t *Tracker) forget(now time.Time) {
	for id, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.history[len(s.history)-1].at) > historyKept {
			delete(t.servers, id)
		}
	}
}

// drained returns the backlog less the tokens read since its last update.
func (t *Tracker) drained(now time.Time, s *tracked) float64 {
	read := now.Sub(s.at).Seconds() / max(t.prefill.Seconds(), 1e-9)
	return max(s.backlog-read, 0)
}

// change adds to the number of requests and drops history that is too old.
func (s *tracked) change(now time.Time, by int) {
	s.inFlight = max(s.inFlight+by, 0)
	s.history = append(s.history, count{at: now, inFlight: s.inFlight})
	old := 0
	for old+1 < len(s.history) && now.Sub(s.history[old+1].at) > historyKept {
		old++
	}
	s.history = s.history[old:]
}
