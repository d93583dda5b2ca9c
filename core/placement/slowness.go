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

	// pointMemory is the weight of older answers of a group at each new one: some
	// hundred count.
	pointMemory = 0.99

	// ownSpread and waitSpread are the variances, in square seconds, that speak
	// for the prediction as it stands where points of a group differ little: a
	// millisecond's and a twentieth of a second's.
	ownSpread  = 1e-6
	waitSpread = 0.05 * 0.05

	// leastExpected keeps ratios finite.
	leastExpected = time.Millisecond
)

type (
	// Slowness learns how long answers take beside what was predicted: for each
	// group, what is added to and multiplied with a request's own part and with
	// the wait before it, and for each server how much longer it takes than that.
	// It is not safe for concurrent use.
	Slowness struct {
		groups  map[string]*plane
		servers map[string]*ratio
	}

	// plane is fitted to predicted and measured seconds, by least squares in which
	// older points count less: x is the request's own part, w the wait.
	plane struct {
		n, x, w, y, xx, xw, ww, xy, wy float64
	}

	// ratio is the logarithm of measured over expected time.
	ratio struct {
		log float64
		at  time.Time
	}
)

// NewSlowness returns one that has seen nothing.
func NewSlowness() *Slowness {
	return &Slowness{groups: make(map[string]*plane), servers: make(map[string]*ratio)}
}

// Learn takes an answer's predicted and measured time. The group is what is
// predicted alike, such as a model.
func (s *Slowness) Learn(now time.Time, group, server string, predicted Estimate, measured time.Duration) {
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
	s.plane(group).add(predicted.Own.Seconds(), predicted.Wait.Seconds(), measured.Seconds()/math.Exp(one.log))
}

// Expect returns the time that an answer takes at the server, given what was
// predicted for a usual one.
func (s *Slowness) Expect(now time.Time, group, server string, predicted Estimate) time.Duration {
	return time.Duration(s.Usual(group, predicted).Seconds() * s.Of(now, server) * float64(time.Second))
}

// Usual returns the time that an answer takes at a usual server.
func (s *Slowness) Usual(group string, predicted Estimate) time.Duration {
	usual := s.plane(group).at(predicted.Own.Seconds(), predicted.Wait.Seconds())
	return max(time.Duration(usual*float64(time.Second)), leastExpected)
}

// Reading returns how long the group takes for work that was predicted to take
// the given time, without what each request takes beside it.
func (s *Slowness) Reading(group string, predicted time.Duration) time.Duration {
	own, _ := s.plane(group).slopes()
	return time.Duration(own * float64(predicted))
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

func (s *Slowness) plane(group string) *plane {
	p, ok := s.groups[group]
	if !ok {
		// Until something is known the prediction stands.
		p = &plane{}
		for _, x := range []float64{0.05, 0.2, 0.5, 1} {
			p.add(x, 0, x)
		}
		s.groups[group] = p
	}
	return p
}

func (p *plane) add(x, w, y float64) {
	for _, sum := range []struct {
		to *float64
		by float64
	}{
		{&p.n, 1}, {&p.x, x}, {&p.w, w}, {&p.y, y}, {&p.xx, x * x}, {&p.xw, x * w}, {&p.ww, w * w}, {&p.xy, x * y}, {&p.wy, w * y},
	} {
		*sum.to = *sum.to*pointMemory + sum.by
	}
}

// at returns the plane's value; it never falls with what is predicted.
func (p *plane) at(x, w float64) float64 {
	own, wait := p.slopes()
	return p.y/p.n + own*(x-p.x/p.n) + wait*(w-p.w/p.n)
}

// slopes returns by how much the value grows with the own part and with the
// wait, 0 or more.
func (p *plane) slopes() (own, wait float64) {
	meanX, meanW, meanY := p.x/p.n, p.w/p.n, p.y/p.n
	xx, ww := max(p.xx/p.n-meanX*meanX, 0)+ownSpread, max(p.ww/p.n-meanW*meanW, 0)+waitSpread
	xw, xy, wy := p.xw/p.n-meanX*meanW, p.xy/p.n-meanX*meanY, p.wy/p.n-meanW*meanY+waitSpread
	determinant := max(xx*ww-xw*xw, ownSpread*waitSpread)
	own, wait = (xy*ww-wy*xw)/determinant, (wy*xx-xy*xw)/determinant
	switch {
	case own < 0:
		return 0, max(wy/ww, 0)
	case wait < 0:
		return max(xy/xx, 0), 0
	}
	return own, wait
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
