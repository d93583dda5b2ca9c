package entry

import (
	"net/http"
	"testing"

	"rosereach/core/forward"
	"rosereach/core/route"
	"rosereach/platform"
)

// All words count as the platform's servers write them.
func TestWordsInThePlatformsHeaders(t *testing.T) {
	for name, header := range map[string]http.Header{
		"leaving":  {"Server-Leaving": {"1"}, "X-Rosereach-Not-Executed": {"1"}},
		"brittle":  {"Server-Brittle": {"2"}, "X-Rosereach-Not-Executed": {"1"}},
		"held off": {"Retry-After": {"30.5"}, "X-Rosereach-Not-Executed": {"1"}},
	} {
		r := newHarness(t)
		r.entry.cfg.Forwarding.Dialect = platform.Dialect{}
		r.plan()
		a := r.counted("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Rosereach-Attempt-Id", "id-1")
			for name, values := range header {
				w.Header()[name] = values
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		for range 3 {
			if _, err := r.send(route.Unsafe); codeOf(err) != forward.NoServer {
				t.Fatal(err)
			}
		}
		if n := a.n.Load(); n != 1 {
			t.Errorf("%s: %d requests", name, n)
		}
	}
}
