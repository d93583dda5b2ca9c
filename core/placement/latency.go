package placement

import (
	"math"
	"time"
)

const (
	// slownessMemory is the time constant with which a server's ratio decays to
	// 1, so that a slow server is tried again.
	slownessMemory = 5 * time.Second

	// slownessGain is the weight of one answer in a server's ratio.
	slownessGain = 0.25

	// mostSlowness is the maximum ratio, and its inverse the minimum.
	mostSlowness = 10

	// pointMemory is the factor applied to the weight of a group's older answers
	// at each new one, so that about the last hundred count.
	pointMemory = 0.99

	// ownSpread and waitVariance regularize the fit: they are added to the variances
	// of the two inputs, in square seconds, so that the slopes stay stable where
	// the points of a group differ little. They stand for 1 ms and 50 ms.
	ownSpread  = 1e-6
	waitSpread = 0.05 * 0.05

	// leastExpected is the minimum expected time, which keeps ratios finite.
	leastExpected = time.Millisecond
)

type (
	// Slowness corrects predicted latencies by measured ones. For each group of
	// requests it fits an offset and two slopes, for the request's own time and
	// for its wait; for each server it tracks the ratio of measured to fitted
	// times. It is not safe for concurrent use.
	Slowness struct {
		groups  map[string]*plane
		servers map[string]*ratio
	}

	// plane is a least-squares fit of measured seconds y to predicted seconds: x
	// of the request's own time and w of its wait. Its fields are the weighted
	// sums, in which older points count less.
	plane struct {
		n, x, w, y, xx, xw, ww, xy, wy float64
	}

	// ratio is the logarithm of a server's measured over expected time.
	ratio struct {
		log float64
		at  time.Time
	}
)

// NewSlowness returns a model without measurements: predictions are not corrected.
func NewSlowness() *Slowness {
	return &Slowness{groups: make(map[string]*plane), servers: make(map[string]*ratio)}
}

// Learn records the predicted and the measured time of an answer. A group is a set
// of requests with a common cost model, such as those for one model.
func (s *Slowness) Learn(now time.Time, group, server string, predicted Estimate, measured time.Duration) {
	if measured <= 0 {
		return
	}
	expected := s.Expect(now, group, server, predicted)
	r, ok := s.servers[server]
	if !ok {
		r = &ratio{at: now}
		s.servers[server] = r
	}
	r.fade(now)
	r.log += slownessGain * math.Log(min(max(measured.Seconds()/expected.Seconds(), 1.0/mostSlowness), mostSlowness))
	r.log = min(max(r.log, -math.Log(mostSlowness)), math.Log(mostSlowness))
	s.plane(group).add(predicted.Own.Seconds(), predicted.Wait.Seconds(), measured.Seconds()/math.Exp(r.log))
}

// Expect returns the corrected time of an answer at the server. The prediction is
// for a server of average speed.
func (s *Slowness) Expect(now time.Time, group, server string, predicted Estimate) time.Duration {
	return time.Duration(s.Usual(group, predicted).Seconds() * s.Of(now, server) * float64(time.Second))
}

// Usual returns the corrected time of an answer at a server of average speed.
func (s *Slowness) Usual(group string, predicted Estimate) time.Duration {
	fitted := s.plane(group).at(predicted.Own.Seconds(), predicted.Wait.Seconds())
	return max(time.Duration(fitted*float64(time.Second)), leastExpected)
}

// Reading returns the corrected time of work that depends on the prompt's length,
// without the constant offset of each request.
func (s *Slowness) Reading(group string, predicted time.Duration) time.Duration {
	own, _ := s.plane(group).slopes()
	return time.Duration(own * float64(predicted))
}

// Of returns the ratio of the server's times to those of an average server, 1 for
// an unknown server.
func (s *Slowness) Of(now time.Time, server string) float64 {
	r, ok := s.servers[server]
	if !ok {
		return 1
	}
	r.fade(now)
	return math.Exp(r.log)
}

// plane returns the fit of the group, which is created when it is missing.
func (s *Slowness) plane(group string) *plane {
	p, ok := s.groups[group]
	if !ok {
		// These points leave predictions unchanged until answers are measured.
		p = &plane{}
		for _, x := range []float64{0.05, 0.2, 0.5, 1} {
			p.add(x, 0, x)
		}
		s.groups[group] = p
	}
	return p
}

// add adds a point and reduces the weight of older ones.
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

// at returns the fitted time, which never decreases with x or w.
func (p *plane) at(x, w float64) float64 {
	own, wait := p.slopes()
	return p.y/p.n + own*(x-p.x/p.n) + wait*(w-p.w/p.n)
}

// slopes returns the slopes for the request's own time and for its wait, each 0 or
// more.
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

// Keep removes all servers for which isKnown returns false.
func (s *Slowness) Keep(isKnown func(server string) bool) {
	for id := range s.servers {
		if !isKnown(id) {
			delete(s.servers, id)
		}
	}
}

// fade moves the ratio back towards 1 with time.
func (r *ratio) fade(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.log *= math.Exp(-elapsed.Seconds() / slownessMemory.Seconds())
		r.at = now
	}
}
