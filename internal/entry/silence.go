package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/clock"
)

const (
	// aliveTime is how recently a server has to have sent something on any
	// connection to count as alive: an engine's step takes some tens of
	// milliseconds, and a chunk of a long prompt a hundred.
	aliveTime = 300 * time.Millisecond

	// headFactor and headFloor make the first wait for an answer's first line.
	// Nine of ten come within twice the expected time; under load more take
	// longer, and asking elsewhere then only adds to it.
	headFactor = 4
	headFloor  = 1200 * time.Millisecond

	// stallFactor and stallFloor make the first wait for the next event, as a
	// share of the pause after which the stream is late.
	stallFactor = 1.0
	stallFloor  = time.Second

	// hardFactor is how many times its objective an attempt waits for the first
	// line of a server that is alive.
	hardFactor = 2

	// stallMost and stallMostFactor make the longest wait for the next event of
	// a server that is alive. Callers give up after two seconds or more.
	stallMost       = 1800 * time.Millisecond
	stallMostFactor = 3
)

// patience is how long to wait for a server: Soft when nothing is heard of it
// at all, Hard when it goes on answering others.
type patience struct{ soft, hard time.Duration }

// silence ends an attempt whose server sends nothing. A server that is silent
// towards all requests of this entry has died; one that answers others is busy
// and gets more time.
type silence struct {
	x        *passage
	server   string
	patience patience
	end      func()

	mu       sync.Mutex
	timer    clock.Timer
	extended bool
	dead     bool
}

// watchSilence ends the attempt with the reason when its server is silent.
func (x *passage) watchSilence(cancel context.CancelCauseFunc, reason error, a *attempt, p patience) *silence {
	s := &silence{x: x, server: a.server.ID, patience: p, end: func() { cancel(reason) }}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = x.f.entry.cfg.Clock.AfterFunc(p.soft, s.expired)
	return s
}

func (s *silence) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	early := !s.extended && s.patience.hard > s.patience.soft
	if early && s.x.f.isAlive(s.server) {
		s.extended = true
		s.timer.Reset(s.patience.hard - s.patience.soft)
		return
	}
	s.dead = early
	s.end()
}

// heard starts the wait anew.
func (s *silence) heard() {
	s.x.f.hear(s.server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extended = false
	s.timer.Reset(s.patience.soft)
}

// stop ends the watch.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// isDead reports whether the attempt ended because nothing at all was heard of
// the server.
func (s *silence) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// hear notes that the server sent something.
func (f *forwarding) hear(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardAt[server] = f.entry.cfg.Clock.Now()
}

func (f *forwarding) isAlive(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entry.cfg.Clock.Now().Sub(f.heardAt[server]) < aliveTime
}

// mayFollow reports whether another attempt may follow one that ends after so
// many runs. Silence ends an attempt only then: the last one is worth waiting
// for as long as the caller does.
func (x *passage) mayFollow(runs int) bool {
	return x.route.MayRepeat() && runs < x.route.Attempts && x.sends < x.route.Attempts+extraSends
}

// untilDeadline is how long to wait when nothing else can be tried.
func (x *passage) untilDeadline() patience {
	left := x.deadline.Sub(x.now())
	return patience{soft: left, hard: left}
}

// headPatience is how long to wait for the first line of an attempt.
func (x *passage) headPatience(a *attempt) patience {
	last := x.untilDeadline()
	if !x.mayFollow(x.runs+1) || x.route.Objective <= 0 {
		return last
	}
	hard := hardFactor * x.route.Objective
	soft := max(time.Duration(headFactor*float64(a.expected)), min(headFloor, hard))
	return patience{soft: min(soft, last.soft), hard: min(max(hard, soft), last.hard)}
}

// bodyPatience is how long to wait for the rest of an answer.
func (x *passage) bodyPatience() patience {
	if !x.mayFollow(x.runs) {
		return x.untilDeadline()
	}
	return patience{soft: stallMost, hard: stallMost}
}

// eventPatience is how long to wait for the next event of a stream.
func (x *passage) eventPatience() patience {
	if !x.mayFollow(x.runs) {
		return x.untilDeadline()
	}
	soft := max(time.Duration(stallFactor*float64(x.route.Gap)), stallFloor)
	return patience{soft: soft, hard: max(stallMost, stallMostFactor*x.route.Gap)}
}
