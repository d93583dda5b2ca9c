package placement

import (
	"math"
	"time"
)

const (
	// slownessMemory is how fast what was seen of a server fades, so that one
	// that was slow is tried again.
	slownessMemory = 5 * time.Second

	// slownessGain is the weight of one answer.
	slownessGain = 0.25

	// mostSlowness bounds the ratio that is learned.
	mostSlowness = 10

	// lineMemory is the weight of older answers of a group at each new one: some
	// hundred count.
	lineMemory = 0.99

	// leastExpected keeps ratios finite.
	leastExpected = time.Millisecond
)

type (
	// Slowness learns how long answers take beside what was predicted: for each
	// group, what is added to and multiplied with the prediction, and for each
	// server how much longer it takes than that. It is not safe for concurrent
	// use.
	Slowness struct {
		groups  map[string]*line
		servers map[string]*ratio
	}

	// line is a straight line through predicted and measured seconds, in which
	// older points count less.
	line struct {
		n, x, y, xx, xy float64
	}

	// ratio is the logarithm of measured over expected time.
	ratio struct {
		log float64
		at  time.Time
	}
)

// NewSlowness returns one that has seen nothing.
func NewSlowness() *Slowness {
	return &Slowness{groups: make(map[string]*line), servers: make(map[string]*ratio)}
}

// Learn takes an answer's predicted and measured time. The group is what is
// predicted alike, such as a model.
func (s *Slowness) Learn(now time.Time, group, server string, predicted, measured time.Duration) {
	if measured <= 0 {
		return
	}
	expected := s.Expect(now, group, server, predicted)
	one, ok := s.servers[server]
	if !ok {
		one = &ratio{at: now}
		s.servers[server] = one
	}
	one.fade(now)
	one.log += slownessGain * math.Log(min(max(measured.Seconds()/expected.Seconds(), 1.0/mostSlowness), mostSlowness))
	one.log = min(max(one.log, -math.Log(mostSlowness)), math.Log(mostSlowness))
	s.line(group).add(predicted.Seconds(), measured.Seconds()/math.Exp(one.log))
}

// Expect returns the time that an answer takes at the server, given what was
// predicted for a usual one.
func (s *Slowness) Expect(now time.Time, group, server string, predicted time.Duration) time.Duration {
	usual := max(s.line(group).at(predicted.Seconds()), leastExpected.Seconds())
	return time.Duration(usual * s.Of(now, server) * float64(time.Second))
}

// Of returns how much longer the server takes than others do.
func (s *Slowness) Of(now time.Time, server string) float64 {
	one, ok := s.servers[server]
	if !ok {
		return 1
	}
	one.fade(now)
	return math.Exp(one.log)
}

func (s *Slowness) line(group string) *line {
	l, ok := s.groups[group]
	if !ok {
		// Until something is known the prediction stands.
		l = &line{}
		for _, x := range []float64{0.05, 0.2, 0.5, 1} {
			l.add(x, x)
		}
		s.groups[group] = l
	}
	return l
}

func (l *line) add(x, y float64) {
	l.n = l.n*lineMemory + 1
	l.x = l.x*lineMemory + x
	l.y = l.y*lineMemory + y
	l.xx = l.xx*lineMemory + x*x
	l.xy = l.xy*lineMemory + x*y
}

// at returns the line's value; it never falls with what is predicted.
func (l *line) at(x float64) float64 {
	meanX, meanY := l.x/l.n, l.y/l.n
	slope := max((l.xy/l.n-meanX*meanY)/max(l.xx/l.n-meanX*meanX, 1e-6), 0)
	return meanY + slope*(x-meanX)
}

// Keep forgets all servers but those that are known.
func (s *Slowness) Keep(isKnown func(server string) bool) {
	for id := range s.servers {
		if !isKnown(id) {
			delete(s.servers, id)
		}
	}
}

func (r *ratio) fade(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.log *= math.Exp(-passed.Seconds() / slownessMemory.Seconds())
		r.at = now
	}
}
