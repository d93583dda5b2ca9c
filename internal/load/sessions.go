package load

import (
	"context"
	"fmt"
	"sync"

	"rosereach/core/request"
	"rosereach/io/caller"
)

type (
	// sessionSet opens each session of a source at its first request, and reopens
	// it after the system has ended it.
	sessionSet struct {
		name string

		mu       sync.Mutex
		byNumber map[int]*session
	}

	// session is one conversation. The generation counts how often it was
	// opened. It is part of the request id, so that retries of one opening
	// stay idempotent.
	session struct {
		mu         sync.Mutex
		generation int
		token      string
	}
)

func newSessionSet(name string) *sessionSet {
	return &sessionSet{name: name, byNumber: make(map[int]*session)}
}

// open returns the session's token and opens the session if necessary.
func (s *sessionSet) open(ctx context.Context, client caller.Client, number int) (string, error) {
	sess := s.get(number)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.token != "" {
		return sess.token, nil
	}
	id := fmt.Sprintf("%s-session-%d-%d", s.name, number, sess.generation)
	token, err := client.OpenSession(ctx, request.AutoModel, caller.CallOptions{RequestID: id})
	sess.token = token
	return token, err
}

// end discards the token of a session that the system has ended, so that the
// next request opens a new one.
func (s *sessionSet) end(number int, token string) {
	sess := s.get(number)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.token != token {
		return
	}
	sess.token = ""
	sess.generation++
}

func (s *sessionSet) get(number int) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess, ok := s.byNumber[number]
	if !ok {
		sess = &session{}
		s.byNumber[number] = sess
	}
	return sess
}
