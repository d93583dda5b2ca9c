// Package operator is the HTTP interface of a control to operators, and the client
// for it.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/evacuation"
	"rosereach/core/key"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/operator"
	"rosereach/core/overload"
	"rosereach/core/request"
	"rosereach/core/service"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/warmup"
	"rosereach/core/workspace"
)

const (
	// MaxChangeBytes is the maximum size of a change.
	MaxChangeBytes = 1 << 20

	// MaxPageItems is the maximum number of bills or audit events in a page.
	MaxPageItems = 10_000

	// maxWait bounds how long a request waits until its change is in force.
	maxWait = 30 * time.Second
)

type (
	// Backend is the part of a control that the interface uses.
	Backend interface {
		ControlsBackend
		Change(ctx context.Context, c change.Change) (change.Result, error)
		WaitInForce(ctx context.Context, revision uint64) error
		Documents() Documents
		// Bills and Trail return at most limit items after the sequence number.
		Bills(after uint64, limit int) []ledger.Bill
		Trail(after uint64, limit int) audit.Page
		Request(key ledger.Key) (ledger.Record, bool)
		// OperatorByKey returns the operator to whom the key belongs.
		OperatorByKey(key string) (operator.Operator, error)
		// RecordAuditEvent appends an event to the audit trail.
		RecordAuditEvent(ctx context.Context, e audit.Event) error
		Status(ctx context.Context) Status
	}

	// Documents are the documents at one revision, without secrets.
	Documents struct {
		Revision   uint64                         `json:"revision"`
		Templates  map[string]template.Template   `json:"templates"`
		Workspaces map[string]workspace.Workspace `json:"workspaces"`
		Versions   map[string]version.Version     `json:"versions"`
		Services   map[string]service.Service     `json:"services"`
		Operators  map[string]operator.Operator   `json:"operators"`
		// Evacuations are by availability zone, and Homes the home regions of the routing
		// plan's routes and workspaces, as "route NAME" or "workspace NAME".
		Evacuations map[string]evacuation.Order `json:"evacuations,omitempty"`
		Homes       map[string][]string         `json:"homes,omitempty"`
	}

	// Status is a control's view of the fleet.
	Status struct {
		Control  string        `json:"control"`
		Leader   string        `json:"leader"`
		Index    uint64        `json:"index"`
		Revision uint64        `json:"revision"`
		Entries  []lease.Entry `json:"entries"`
		// Warming are the backend servers that warm up.
		Warming []warmup.Notice `json:"warming,omitempty"`
	}

	// Answer is the answer to a change.
	Answer struct {
		change.Result
		// InForce is set when the client waited and the change is in force
		// everywhere.
		InForce bool `json:"in_force"`
		DryRun  bool `json:"dry_run,omitempty"`
		// Effects is set for a dry run only.
		Effects []catalog.Effect `json:"effects,omitempty"`
	}

	// Problem is an error as application/problem+json.
	Problem struct {
		Status int    `json:"status"`
		Code   string `json:"code"`
		Detail string `json:"detail"`
	}

	server struct {
		opts          Options
		bootstrapHash string
		backend       Backend
		refusals      *refusalRecorder
	}
)

// Mount adds the interface's routes to the router.
func Mount(r chi.Router, opts Options, b Backend) {
	s := &server{opts: opts, bootstrapHash: key.Hash(opts.BootstrapKey), backend: b, refusals: newRefusalRecorder(opts.Clock, b)}
	c := &controlsHandler{backend: b}
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate(operator.Change))
		r.Post("/v1/changes", s.postChange)
		r.Post("/v1/controls", c.add)
		r.Delete("/v1/controls/{id}", c.remove)
	})
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate(operator.Read))
		r.Get("/v1/documents", s.getDocuments)
		r.Get("/v1/status", s.getStatus)
		r.Get("/v1/controls", c.get)
		r.Get("/debug/vars", opts.Metrics.ServeHTTP)
	})
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate(operator.Audit))
		r.Get("/v1/bills", s.getBills)
		r.Get("/v1/audit", s.getTrail)
		r.Get("/v1/requests", s.getRequest)
	})
}

// Catalog converts the documents to the type that applies changes.
func (d Documents) Catalog() catalog.Documents {
	return catalog.Documents{
		Revision: d.Revision, Templates: d.Templates, Workspaces: d.Workspaces, Versions: d.Versions,
		Services: d.Services, Operators: d.Operators, Evacuations: d.Evacuations,
	}
}

func (s *server) postChange(w http.ResponseWriter, r *http.Request) {
	var c change.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxChangeBytes)).Decode(&c); err != nil {
		writeProblem(w, bodyProblem(err))
		return
	}
	c.From, c.Actor = r.RemoteAddr, actorName(r, c.Actor)
	if r.URL.Query().Get("dry_run") == "true" {
		p := s.backend.Documents().Catalog().Preview(c)
		writeJSON(w, httpStatus(p.Result), Answer{Result: p.Result, DryRun: true, Effects: p.Effects})
		return
	}
	result, err := s.backend.Change(r.Context(), c)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusServiceUnavailable, Code: "unknown", Detail: err.Error() + "; send the same change again"})
		return
	}
	answer := Answer{Result: result}
	if result.Status == change.Accepted && r.URL.Query().Get("wait") != "false" {
		ctx, cancel := context.WithTimeout(r.Context(), maxWait)
		defer cancel()
		answer.InForce = s.backend.WaitInForce(ctx, result.Revision) == nil
	}
	writeJSON(w, httpStatus(result), answer)
}

// bodyProblem returns why a change can't be read.
func bodyProblem(err error) Problem {
	var refusal *overload.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Reason == overload.TooSlow:
		return Problem{Status: http.StatusRequestTimeout, Code: "too_slow", Detail: err.Error()}
	case refusal != nil:
		return Problem{Status: http.StatusServiceUnavailable, Code: "overloaded", Detail: err.Error() + "; send the same change again"}
	}
	return Problem{Status: http.StatusBadRequest, Code: "bad_request", Detail: err.Error()}
}

func (s *server) getDocuments(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Documents())
}

func (s *server) getBills(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Bills(afterParam(r), MaxPageItems))
}

func (s *server) getTrail(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Trail(afterParam(r), MaxPageItems))
}

func (s *server) getRequest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	record, ok := s.backend.Request(ledger.Key{Workspace: q.Get("workspace"), RequestID: q.Get("id")})
	if !ok {
		writeProblem(w, Problem{Status: http.StatusNotFound, Code: "not_found", Detail: "the ledger has no such request; it may have passed its horizon"})
		return
	}
	record.Answer = withoutBody(record.Answer)
	writeJSON(w, http.StatusOK, record)
}

// withoutBody returns a copy of the answer without its body, which is the
// caller's data.
func withoutBody(a *request.Answer) *request.Answer {
	if a == nil {
		return nil
	}
	redacted := *a
	redacted.Body = nil
	return &redacted
}

func (s *server) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Status(r.Context()))
}

// afterParam returns the query parameter "after", or 0 if it is missing or invalid.
func afterParam(r *http.Request) uint64 {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return 0
	}
	return after
}

// httpStatus returns the HTTP status for the result of a change.
func httpStatus(r change.Result) int {
	switch r.Status {
	case change.Accepted:
		return http.StatusOK
	case change.Conflict:
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the operator has disconnected
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p) //nolint:errcheck // the operator has disconnected
}
