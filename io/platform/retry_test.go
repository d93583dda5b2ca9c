package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"rosereach/core/version"
	"rosereach/io/platform"
)

// The delay after a rate limit is read like any other Retry-After.
func TestLoadRetryDelay(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "0": time.Second, "-1": time.Second, "": time.Second, "soon": time.Second,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", value)
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		wait, err := platform.Client{}.LoadWeights(t.Context(), strings.TrimPrefix(s.URL, "http://"), version.Ref{})
		if !errors.Is(err, platform.ErrRateLimited) || wait != want {
			t.Errorf("%q: %v, %v", value, wait, err)
		}
		s.Close()
	}
}
