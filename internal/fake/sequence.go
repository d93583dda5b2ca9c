package fake

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rosereach/core/request"
	"rosereach/core/version"
)

// The states of a sequence.
const (
	waiting sequenceState = iota
	running
	whole
	canceled
)

type (
	sequenceState int32

	// sequence is one answer in the making. Its texts follow from version and
	// seed, so only the number of tokens is kept. Skip tokens came before it, as
	// the prefix of another run.
	sequence struct {
		id       string
		run      string
		ref      version.Ref
		attempt  int
		priority int
		arrival  uint64
		prompt   []request.Message
		skip     int64
		want     int64
		seed     uint64
		prefill  time.Duration
		usage    request.Usage
		logPlace int
		received time.Time
		endedAt  time.Time

		made  atomic.Int64
		state atomic.Int32

		mu      sync.Mutex
		streams []chan struct{}
		left    time.Time
	}
)

// grow makes the next token and reports whether it was the last.
func (s *sequence) grow() bool {
	last := s.made.Add(1) >= s.want
	if last {
		s.state.Store(int32(whole))
	}
	s.notify()
	return last
}

// text appends the n-th token of the whole answer. It names token, version and
// run, so that an answer put together from two runs can be told.
func (s *sequence) text(b []byte, n int64) []byte {
	b = append(b, 't')
	b = strconv.AppendInt(b, n, 10)
	b = append(b, '.')
	b = append(b, s.ref.String()...)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(uint16(s.seed)), 16)
	return append(b, ' ')
}

// end returns the number of tokens that the whole answer has by now.
func (s *sequence) end() int64 { return s.skip + s.made.Load() }

func (s *sequence) is(state sequenceState) bool { return sequenceState(s.state.Load()) == state }

// attach adds a stream, which hears of every new token.
func (s *sequence) attach() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved := make(chan struct{}, 1)
	s.streams = append(s.streams, moved)
	s.left = time.Time{}
	return moved
}

// detach removes a stream and notes when the last one left.
func (s *sequence) detach(moved chan struct{}, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = slices.DeleteFunc(s.streams, func(c chan struct{}) bool { return c == moved })
	if len(s.streams) == 0 {
		s.left = now
	}
}

// isAbandoned reports whether no stream has read for the given time.
func (s *sequence) isAbandoned(now time.Time, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.left.IsZero() && now.Sub(s.left) >= window
}

func (s *sequence) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, moved := range s.streams {
		select {
		case moved <- struct{}{}:
		default:
		}
	}
}

// goesBefore orders sequences by priority, then by arrival.
func goesBefore(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
}
