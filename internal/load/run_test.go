package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/io/caller"
)

// A request that is sent again keeps its session, also if the system has ended the
// session in between.
func TestResendKeepsItsSession(t *testing.T) {
	var (
		mu       sync.Mutex
		opened   int
		sessions []string
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/addresses"):
			fmt.Fprintf(w, `{"addresses":[%q],"ttl_ms":60000}`, r.Host)
		case strings.HasPrefix(r.URL.Path, "/v1/sessions"):
			opened++
			fmt.Fprintf(w, `{"session":"token-%d"}`, opened)
		default:
			sessions = append(sessions, r.Header.Get(caller.HeaderSession))
			if len(sessions) > 1 {
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusConflict)
			fmt.Fprintf(w, `{"code":%q,"outcome":%q,"retry_after_ms":1}`, request.CodeSessionEnded, request.Unknown)
		}
	}))
	defer server.Close()
	profile := Profile{Name: "talks", Classes: []Class{{
		Name: "talk", Weight: 1, Kind: Chat, Timeout: time.Minute, PromptTokens: Range{1, 1}, AnswerTokens: Range{1, 1}, Turns: 1, Idempotent: true,
	}}}
	observations := NewRunner(Options{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Sources: []Source{{Profile: profile, Rate: 100}},
		Duration: time.Second, MaxRequests: 1, Seed: 1, Clock: clock.WallClock,
	}).Run(t.Context())
	if len(observations) != 1 || observations[0].Result.Sends != 2 {
		t.Fatalf("observations: %+v", observations)
	}
	if want := []string{"token-1", "token-1"}; !slices.Equal(sessions, want) {
		t.Errorf("sessions %v, want %v", sessions, want)
	}
}
