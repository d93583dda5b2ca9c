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

	// mostSlowness bounds the ratio that one answer may show.
	mostSlowness = 10
)

type (
	// Slowness learns how much longer servers take than predicted: those that
	// are slow, full of others' work, or quicker than the rest. It is not safe
	// for concurrent use.
	Slowness struct {
		groups  map[string]*ratio
		servers map[string]*ratio
	}

	// ratio is the logarithm of measured over predicted time.
	ratio struct {
		log float64
		at  time.Time
	}
)

// NewSlowness returns one that has seen nothing.
func NewSlowness() *Slowness {
	return &Slowness{groups: make(map[string]*ratio), servers: make(map[string]*ratio)}
}

// Learn takes an answer's predicted and measured time. The group is what is
// predicted alike, such as a model.
func (s *Slowness) Learn(now time.Time, group, server string, predicted, measured time.Duration) {
	if predicted <= 0 || measured <= 0 {
		return
	}
	log := math.Log(min(max(measured.Seconds()/predicted.Seconds(), 1.0/mostSlowness), mostSlowness))
	g := find(s.groups, group, now)
	one := find(s.servers, server, now)
	one.fade(now)
	one.log += slownessGain * (log - g.log - one.log)
	g.log += slownessGain / 4 * (log - g.log)
}

// Group returns how much longer answers of the group take than predicted.
func (s *Slowness) Group(group string) float64 {
	if g, ok := s.groups[group]; ok {
		return math.Exp(g.log)
	}
	return 1
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

func find(m map[string]*ratio, id string, now time.Time) *ratio {
	r, ok := m[id]
	if !ok {
		r = &ratio{at: now}
		m[id] = r
	}
	return r
}
