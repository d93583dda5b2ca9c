package fake

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/clock"

	"rosereach/io/platform"
)

type (
	// RaterConfig holds the settings of a fake rating service. Quality is the
	// true mean quality of each version, keyed by model@version. Ratings have
	// Gaussian noise with standard deviation Noise and are ready after Delay.
	RaterConfig struct {
		Quality map[string]float64
		Noise   float64
		Delay   time.Duration
		Seed    uint64
		Clock   clock.Clock
	}

	// Rater is a fake rating service.
	Rater struct {
		cfg RaterConfig

		mu      sync.Mutex
		random  *rand.Rand
		pending []pendingRating
	}

	pendingRating struct {
		rating    platform.Rating
		collector string
		readyAt   time.Time
	}
)

// NewRater returns a fake rating service.
func NewRater(cfg RaterConfig) *Rater {
	return &Rater{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
}

// Submit queues an answer for rating.
func (r *Rater) Submit(s platform.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	quality := r.cfg.Quality[s.Version.String()] + r.random.NormFloat64()*r.cfg.Noise
	r.pending = append(r.pending, pendingRating{
		rating: platform.Rating{
			RequestID: s.RequestID, Workspace: s.Workspace, Class: s.Class, Version: s.Version,
			Quality: min(max(quality, 0), 1),
		},
		collector: s.Collector, readyAt: r.cfg.Clock.Now().Add(r.cfg.Delay),
	})
}

// Collect removes and returns the collector's ratings that are ready.
func (r *Rater) Collect(collector string) []platform.Rating {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	var (
		ready  []platform.Rating
		notDue []pendingRating
	)
	for _, p := range r.pending {
		if p.collector != collector || now.Before(p.readyAt) {
			notDue = append(notDue, p)
			continue
		}
		ready = append(ready, p.rating)
	}
	r.pending = notDue
	return ready
}

// Handler returns the service's HTTP interface: POST submits a sample, GET
// collects the ratings that are ready.
func (r *Rater) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post(platform.PathRatings, func(w http.ResponseWriter, req *http.Request) {
		var s platform.Sample
		if err := json.NewDecoder(req.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Submit(s)
		w.WriteHeader(http.StatusAccepted)
	})
	router.Get(platform.PathRatings, func(w http.ResponseWriter, req *http.Request) {
		writeJSON(w, r.Collect(req.URL.Query().Get("collector")))
	})
	return router
}
