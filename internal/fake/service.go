package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/request"
	iobackend "rosereach/io/backend"
)

// deadlineOverrun is how long after its deadline a late answer is sent.
const deadlineOverrun = 200 * time.Millisecond

type (
	// ServiceConfig holds the settings of a fake plain service.
	ServiceConfig struct {
		ID          string
		Incarnation uint64
		Region      string
		Zone        string
		Service     string
		Capacity    int
		Behavior    Behavior
		Clock       clock.Clock
	}

	// Behavior controls when a service answers. Every call is executed
	// immediately. Its answer is delayed by Delay or, with PastDeadline, until
	// after the call's deadline.
	Behavior struct {
		Delay        time.Duration
		PastDeadline bool
	}

	// Service is a fake register or ledger. It answers every call with a
	// receipt and does not deduplicate repeated calls.
	Service struct {
		cfg ServiceConfig
		Log RunLog

		mu       sync.Mutex
		behavior Behavior
		leaving  bool
		active   int
	}

	// Receipt is the answer to a call.
	Receipt struct {
		Service   string `json:"service"`
		RequestID string `json:"request_id"`
		Method    string `json:"method"`
		Path      string `json:"path"`
		Bytes     int    `json:"bytes"`
	}
)

// NewService returns a fake plain service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, behavior: cfg.Behavior}
}

// SetBehavior sets the behavior for calls that have not yet been executed.
func (s *Service) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Leave makes the service announce that it is leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Log.Runs()) })
	r.Get(iobackend.PathRequests+"{id}", func(w http.ResponseWriter, r *http.Request) {
		id := chi.URLParam(r, "id")
		writeJSON(w, s.lookup(id))
	})
	r.HandleFunc("/*", s.call)
	return r
}

// Announcement returns the service's current announcement.
func (s *Service) Announcement(address string) backend.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := backend.Announcement{
		ID: s.cfg.ID, Incarnation: s.cfg.Incarnation, Region: s.cfg.Region, Zone: s.cfg.Zone, Kind: backend.Plain,
		Service: s.cfg.Service, Capacity: s.cfg.Capacity, State: backend.Serving, Address: address,
		Load: backend.Load{MeasuredAt: s.cfg.Clock.Now(), Running: s.active},
	}
	if s.leaving {
		a.State = backend.Leaving
	}
	return a
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	received := s.cfg.Clock.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(iobackend.HeaderRequestID)
	index := s.Log.Start(Run{
		Backend: s.cfg.ID, RequestID: id, Attempt: int(headerInt(r, iobackend.HeaderAttempt)),
		Method: r.Method, Path: r.URL.Path, Bytes: len(body), ReceivedAt: received, StartedAt: s.cfg.Clock.Now(),
	})
	s.addActive(1)
	defer s.addActive(-1)
	w.Header().Set("Content-Type", "application/json")
	receipt := s.receipt(Run{RequestID: id, Method: r.Method, Path: r.URL.Path, Bytes: len(body)})
	s.Log.Finish(index, 0, true)
	if !s.delayAnswer(r) {
		return
	}
	json.NewEncoder(w).Encode(receipt) //nolint:errcheck // the entry may have disconnected
}

// receipt returns the answer to a call.
func (s *Service) receipt(r Run) Receipt {
	return Receipt{Service: s.cfg.Service, RequestID: r.RequestID, Method: r.Method, Path: r.Path, Bytes: r.Bytes}
}

// lookup returns the outcome of a call, with its receipt if it is done.
func (s *Service) lookup(id string) iobackend.Lookup {
	runs := s.Log.ByRequest(id)
	answer := lookup(id, runs)
	if answer.Outcome != request.Done {
		return answer
	}
	body, err := json.Marshal(s.receipt(runs[0]))
	if err != nil {
		return answer
	}
	answer.Status, answer.ContentType, answer.Body = http.StatusOK, "application/json", body
	return answer
}

// delayAnswer delays an answer according to the service's behavior. It returns
// false if the entry disconnects first.
func (s *Service) delayAnswer(r *http.Request) bool {
	s.mu.Lock()
	b := s.behavior
	s.mu.Unlock()
	wait := b.Delay
	if deadline := headerInt(r, iobackend.HeaderDeadline); b.PastDeadline && deadline > 0 {
		wait = time.UnixMilli(deadline).Add(deadlineOverrun).Sub(s.cfg.Clock.Now())
	}
	if wait <= 0 {
		return true
	}
	select {
	case <-s.cfg.Clock.After(wait):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}
