package fake

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/clock"
	"golang.org/x/time/rate"

	"rosereach/io/platform"
)

type (
	// StoreConfig holds the settings of a fake weight store. It serves at most
	// PerSecond loads per second, with the given burst. Each takes LoadTime.
	StoreConfig struct {
		PerSecond float64
		Burst     int
		LoadTime  time.Duration
		Clock     clock.Clock
	}

	// Store is a fake weight store with a rate limit.
	Store struct {
		cfg     StoreConfig
		limiter *rate.Limiter
		Log     RunLog
	}
)

// NewStore returns a fake weight store.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.PerSecond), cfg.Burst)}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.PathWeights+"{ref}", s.getWeights)
	return r
}

func (s *Store) getWeights(w http.ResponseWriter, r *http.Request) {
	now := s.cfg.Clock.Now()
	if !s.limiter.AllowN(now, 1) {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		http.Error(w, "load rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	index := s.Log.Start(Run{Method: r.Method, Path: r.URL.Path, StartedAt: now})
	select {
	case <-s.cfg.Clock.After(s.cfg.LoadTime):
		s.Log.Finish(index, 0, true)
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}
