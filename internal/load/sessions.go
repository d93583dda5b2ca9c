package load

import (
	"context"
	"fmt"
	"sync"

	"rosereach/core/request"
	"rosereach/io/caller"
)

type (
	// sessions opens each session of a source at its first request, and reopens
	// it after the system has ended it.
	sessions struct {
		name string

		mu  sync.Mutex
		all map[int]*session
	}

	// session is one conversation. The generation counts how often it was
	// opened. It is part of the request id, so that retries of one opening
	// stay idempotent.
	session struct {
		mu    sync.Mutex
		life  int
		token string
	}
)

func newSessions(name string) *sessions { return &sessions{name: name, all: make(map[int]*session)} }

// open returns the session's token and opens the session if necessary.
func (s *sessions) open(ctx context.Context, client caller.Client, number int) (string, error) {
	sess := s.get(number)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.token != "" {
		return sess.token, nil
	}
	id := fmt.Sprintf("%s-session-%d-%d", s.name, number, sess.life)
	token, err := client.OpenSession(ctx, request.AutoModel, caller.CallOptions{RequestID: id})
	sess.token = token
	return token, err
}

// end discards the token of a session that the system has ended, so that the
// next request opens a new one.
func (s *sessions) end(number int, token string) {
	sess := s.get(number)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.token != token {
		return
	}
	sess.token = ""
	sess.life++
}

func (s *sessions) get(number int) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess, ok := s.all[number]
	if !ok {
		sess = &session{}
		s.all[number] = sess
	}
	return sess
}
