package placement

import "time"

// historyLength is how long past request counts are kept. For a load report from
// before the kept history the count is taken as 0.
const historyLength = 5 * time.Second

type (
	// Tracker counts one entry's own requests on each backend server. It is
	// not safe for concurrent use.
	Tracker struct {
		prefillPerToken time.Duration // time to read one prompt token
		servers         map[string]*serverLoad
	}

	// serverLoad is the state of one server.
	serverLoad struct {
		inFlight       int
		history        []count
		backlog        float64   // unread prompt tokens
		backlogUpdated time.Time // when backlog was last updated
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
	return &Tracker{prefillPerToken: prefillPerToken, servers: make(map[string]*serverLoad)}
}

// Start records a request sent to the server and the number of prompt tokens that
// the server has to read for it.
func (t *Tracker) Start(now time.Time, server string, tokens int64) {
	s, ok := t.servers[server]
	if !ok {
		t.dropIdle(now)
		s = &serverLoad{backlogUpdated: now}
		t.servers[server] = s
	}
	s.backlog = t.currentBacklog(now, s) + float64(tokens)
	s.backlogUpdated = now
	s.addInFlight(now, 1)
}

// End records the end of a request.
func (t *Tracker) End(now time.Time, server string) {
	s, ok := t.servers[server]
	if !ok {
		return
	}
	s.addInFlight(now, -1)
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

// InFlightAt returns the number of requests on the server at a past time, or 0 if
// the time is before the kept history.
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
	return int64(t.currentBacklog(now, s))
}

// dropIdle deletes the servers without requests within the kept history.
func (t *Tracker) dropIdle(now time.Time) {
	for id, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.history[len(s.history)-1].at) > historyLength {
			delete(t.servers, id)
		}
	}
}

// currentBacklog returns the backlog less the tokens read since its last update.
func (t *Tracker) currentBacklog(now time.Time, s *serverLoad) float64 {
	read := now.Sub(s.backlogUpdated).Seconds() / max(t.prefillPerToken.Seconds(), 1e-9)
	return max(s.backlog-read, 0)
}

// addInFlight adds to the number of requests and drops history that is too old.
func (s *serverLoad) addInFlight(now time.Time, by int) {
	s.inFlight = max(s.inFlight+by, 0)
	s.history = append(s.history, count{at: now, inFlight: s.inFlight})
	old := 0
	for old+1 < len(s.history) && now.Sub(s.history[old+1].at) > historyLength {
		old++
	}
	s.history = s.history[old:]
}
