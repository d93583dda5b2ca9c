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

// pastDeadline is by how much an answer can come after its deadline.
const pastDeadline = 200 * time.Millisecond

type (
	// ServiceConfig are the settings of a fake plain service.
	ServiceConfig struct {
		ID          string
		Incarnation uint64
		Region      string
		Zone        string
		Service     string
		Capacity    int
		Behaviour   Behaviour
		Clock       clock.Clock
	}

	// Behaviour is how a service answers. Every call is carried out at once;
	// its answer waits for Delay, or until after the call's deadline.
	Behaviour struct {
		Delay        time.Duration
		PastDeadline bool
	}

	// Service is a fake register or ledger. It answers every call with a
	// receipt and does not recognize repeated calls.
	Service struct {
		cfg ServiceConfig
		Log RunLog

		mu        sync.Mutex
		behaviour Behaviour
		leaving   bool
		busy      int
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

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, behaviour: cfg.Behaviour}
}

// Behave changes how the service answers the calls that come from now on.
func (s *Service) Behave(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
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

// Announcement returns what the service says about itself now.
func (s *Service) Announcement(address string) backend.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := backend.Announcement{
		ID: s.cfg.ID, Incarnation: s.cfg.Incarnation, Region: s.cfg.Region, Zone: s.cfg.Zone, Kind: backend.Plain,
		Service: s.cfg.Service, Capacity: s.cfg.Capacity, State: backend.Serving, Address: address,
		Load: backend.Load{MeasuredAt: s.cfg.Clock.Now(), Running: s.busy},
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
	place := s.Log.Start(Run{
		Backend: s.cfg.ID, RequestID: id, Attempt: int(numberIn(r, iobackend.HeaderAttempt)),
		Method: r.Method, Path: r.URL.Path, Bytes: len(body), ReceivedAt: received, StartedAt: s.cfg.Clock.Now(),
	})
	s.count(1)
	defer s.count(-1)
	w.Header().Set("Content-Type", "application/json")
	receipt := s.receipt(Run{RequestID: id, Method: r.Method, Path: r.URL.Path, Bytes: len(body)})
	s.Log.Finish(place, 0, true)
	if !s.hold(r) {
		return
	}
	json.NewEncoder(w).Encode(receipt) //nolint:errcheck // the entry has gone
}

// receipt returns the answer to a call.
func (s *Service) receipt(r Run) Receipt {
	return Receipt{Service: s.cfg.Service, RequestID: r.RequestID, Method: r.Method, Path: r.Path, Bytes: r.Bytes}
}

// lookup tells what became of a call, with its receipt when it is done.
func (s *Service) lookup(id string) iobackend.Lookup {
	runs := s.Log.Of(id)
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

// hold delays an answer as the service's behaviour says, and reports whether
// the entry still waits.
func (s *Service) hold(r *http.Request) bool {
	s.mu.Lock()
	b := s.behaviour
	s.mu.Unlock()
	wait := b.Delay
	if deadline := numberIn(r, iobackend.HeaderDeadline); b.PastDeadline && deadline > 0 {
		wait = time.UnixMilli(deadline).Add(pastDeadline).Sub(s.cfg.Clock.Now())
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

func (s *Service) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += n
}
