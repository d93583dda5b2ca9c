package placement

import "time"

// historyKept is how far back own counts are known; older load reports are
// compared with the oldest count.
const historyKept = 5 * time.Second

type (
	// Tracker counts one entry's own requests on each backend server. It is
	// not safe for concurrent use.
	Tracker struct {
		prefill time.Duration
		servers map[string]*tracked
	}

	tracked struct {
		inFlight int
		history  []count
		backlog  float64
		at       time.Time
	}

	count struct {
		at       time.Time
		inFlight int
	}
)

// NewTracker returns a tracker for servers that read one prompt token in the
// given time.
func NewTracker(prefillPerToken time.Duration) *Tracker {
	return &Tracker{prefill: prefillPerToken, servers: make(map[string]*tracked)}
}

// Start counts a request that the server gets, with the prompt tokens that it
// has to read.
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

// End counts a request as ended.
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

// Total returns the requests on all servers.
func (t *Tracker) Total() int {
	sum := 0
	for _, s := range t.servers {
		sum += s.inFlight
	}
	return sum
}

// InFlight returns the requests on the server now.
func (t *Tracker) InFlight(server string) int {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	return s.inFlight
}

// InFlightAt returns the requests that were on the server at a time within the
// last seconds.
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

// Backlog returns the prompt tokens that the server has still to read.
func (t *Tracker) Backlog(now time.Time, server string) int64 {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	return int64(t.drained(now, s))
}

// forget drops the servers that have no request and had none for a while.
func (t *Tracker) forget(now time.Time) {
	for id, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.history[len(s.history)-1].at) > historyKept {
			delete(t.servers, id)
		}
	}
}

func (t *Tracker) drained(now time.Time, s *tracked) float64 {
	read := now.Sub(s.at).Seconds() / max(t.prefill.Seconds(), 1e-9)
	return max(s.backlog-read, 0)
}

func (s *tracked) change(now time.Time, by int) {
	s.inFlight = max(s.inFlight+by, 0)
	s.history = append(s.history, count{at: now, inFlight: s.inFlight})
	old := 0
	for old+1 < len(s.history) && now.Sub(s.history[old+1].at) > historyKept {
		old++
	}
	s.history = s.history[old:]
}
