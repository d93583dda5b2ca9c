package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"rosereach/core/forward"
)

// forwardRepeat sends a request that is the same each time but for its id, and the last part
// of its prompt if it has one.
func forwardRepeat(e *Entry, n int, what string, hasPrompt bool) error {
	req := forward.Request{
		ID: fmt.Sprintf("%s-%s-%d", e.cfg.ID, what, n), Method: http.MethodGet, Host: "h", Path: "/safe/" + what, Target: "/safe/" + what,
		Key: "k", Arrived: time.Now(),
	}
	if hasPrompt {
		req.Prompt = []forward.Part{{ID: "common", Tokens: 10}, {ID: "subject", Tokens: 10}, {ID: req.ID, Tokens: 1}}
	}
	return e.Forward(context.Background(), req, &recordingSink{})
}

// boundAfter returns the time from which the bound on arrivals holds: the contact time after the
// given end, zero before it.
func (s *crashingServers) boundAfter(end int, contact time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ends) < end {
		return time.Time{}
	}
	return s.ends[end-1].Add(contact)
}

// arrivalsAfter returns the number of crashing requests that reached servers later.
func (s *crashingServers) arrivalsAfter(bound time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrivals {
		if at.After(bound) {
			n++
		}
	}
	return n
}

// A request crashes each server that begins to answer it, and comes again at any entry, beside
// polls that are the same each time as well. Later than the contact time after the third end
// it reaches servers three times at most, and all polls are served, also those that share all
// parts of its prompt but the last.
func TestRepeatedRequestEndsFewServers(t *testing.T) {
	for name, hasPrompt := range map[string]bool{"plain": false, "prompt": true} {
		t.Run(name, func(t *testing.T) {
			const contact = 4 * time.Second
			s, entries := newCrashingServers(t, 3, 4)
			for n := 0; ; n++ {
				for i, e := range entries {
					forwardRepeat(e, n, fmt.Sprint("poll-", (n+i)%8), hasPrompt)
				}
				forwardRepeat(entries[n%len(entries)], n, crashingPart, hasPrompt)
				time.Sleep(20 * time.Millisecond)
				if bound := s.boundAfter(3, contact); !bound.IsZero() && time.Now().After(bound) {
					break
				}
			}
			served := 0
			for n := range 60 {
				e := entries[n%len(entries)]
				forwardRepeat(e, 1000+n, crashingPart, hasPrompt)
				if forwardRepeat(e, 1000+n, fmt.Sprint("poll-", n%8), hasPrompt) == nil {
					served++
				}
				time.Sleep(20 * time.Millisecond)
			}
			if late := s.arrivalsAfter(s.boundAfter(3, contact)); late > 3 || served < 60 {
				t.Errorf("%d requests reached servers later than %v after the third end; %d of 60 polls are served", late, contact, served)
			}
		})
	}
}
