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
	completed
	canceled
)

type (
	sequenceState int32

	// sequence is one answer that the engine generates. Its texts follow from
	// version and seed, so only the number of tokens is stored. prefixTokens
	// counts the tokens of the whole answer that another run generated before.
	sequence struct {
		id           string
		runID        string
		ref          version.Ref
		attempt      int
		priority     int
		ordinal      uint64
		prompt       []request.Message
		prefixTokens int64
		maxTokens    int64
		seed         uint64
		prefillTime  time.Duration
		usage        request.Usage
		logIndex     int
		received     time.Time
		endedAt      time.Time

		generated atomic.Int64
		state     atomic.Int32

		mu        sync.Mutex
		streams   []chan struct{}
		idleSince time.Time
	}
)

// addToken generates the next token and reports whether it was the last.
func (s *sequence) addToken() bool {
	last := s.generated.Add(1) >= s.maxTokens
	if last {
		s.state.Store(int32(completed))
	}
	s.notify()
	return last
}

// appendToken appends the n-th token of the whole answer. The token contains its
// number, the version and the low 16 bits of the run's seed, so that an answer
// combined from two runs can be recognized.
func (s *sequence) appendToken(b []byte, n int64) []byte {
	b = append(b, 't')
	b = strconv.AppendInt(b, n, 10)
	b = append(b, '.')
	b = append(b, s.ref.String()...)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(uint16(s.seed)), 16)
	return append(b, ' ')
}

// tokenCount returns the number of tokens of the whole answer so far.
func (s *sequence) tokenCount() int64 { return s.prefixTokens + s.generated.Load() }

func (s *sequence) inState(state sequenceState) bool { return sequenceState(s.state.Load()) == state }

// attach adds a stream and returns the channel that signals new tokens to it.
func (s *sequence) attach() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	updated := make(chan struct{}, 1)
	s.streams = append(s.streams, updated)
	s.idleSince = time.Time{}
	return updated
}

// detach removes a stream and records when the last one was removed.
func (s *sequence) detach(updated chan struct{}, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = slices.DeleteFunc(s.streams, func(c chan struct{}) bool { return c == updated })
	if len(s.streams) == 0 {
		s.idleSince = now
	}
}

// isAbandoned reports whether there has been no stream for the given time.
func (s *sequence) isAbandoned(now time.Time, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.idleSince.IsZero() && now.Sub(s.idleSince) >= window
}

func (s *sequence) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, updated := range s.streams {
		select {
		case updated <- struct{}{}:
		default:
		}
	}
}

// compareSequences compares sequences by descending priority, then by arrival.
func compareSequences(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.ordinal, b.ordinal))
}
