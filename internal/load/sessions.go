package load

import (
	"context"
	"fmt"
	"sync"

	"rosereach/core/request"
	"rosereach/io/caller"
)

type (
	// sessions opens each session of a source at its first request, and again
	// after the system ended it.
	sessions struct {
		name string

		mu  sync.Mutex
		all map[int]*session
	}

	// session is one conversation. Life counts its openings; it is part of the
	// key, so that one life is opened once however often it is asked for.
	session struct {
		mu    sync.Mutex
		life  int
		token string
	}
)

func newSessions(name string) *sessions { return &sessions{name: name, all: make(map[int]*session)} }

// open returns the session's token.
func (s *sessions) open(ctx context.Context, client caller.Client, number int) (string, error) {
	one := s.get(number)
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.token != "" {
		return one.token, nil
	}
	id := fmt.Sprintf("%s-session-%d-%d", s.name, number, one.life)
	token, err := client.OpenSession(ctx, request.AutoModel, caller.CallOptions{RequestID: id})
	one.token = token
	return token, err
}

// end forgets a session that takes no more work, so that the next request
// opens a new one.
func (s *sessions) end(number int, token string) {
	one := s.get(number)
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.token != token {
		return
	}
	one.token = ""
	one.life++
}

func (s *sessions) get(number int) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.all[number]
	if !ok {
		one = &session{}
		s.all[number] = one
	}
	return one
}
