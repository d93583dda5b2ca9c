// Package caller is the HTTP interface towards callers: chat completions,
// plain services, sessions and addresses.
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/clock"
	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"

	"rosereach/core/request"
	"rosereach/core/version"
)

// The headers that callers and entries exchange.
const (
	HeaderRequestID = "Idempotency-Key"
	HeaderSession   = "X-Session"
	HeaderPriority  = "X-Priority"
	HeaderTimeout   = "X-Timeout-Ms"
	HeaderOutcome   = "X-Outcome"
	HeaderVersion   = "X-Model-Version"
	HeaderRepeated  = "X-Repeated"
)

// maxRequestID bounds a request id given by a caller, in bytes.
const maxRequestID = 128

type (
	// Sink takes the tokens of an answer, in order and without gaps. Offset is
	// the index of the first one.
	Sink interface {
		Text(ref version.Ref, offset int64, tokens []string) error
	}

	// Router is what the interface needs of an entry. Errors that the caller
	// shall see are *request.Refusal.
	Router interface {
		Owner(key string) (string, error)
		Complete(ctx context.Context, req request.Request, sink Sink) (request.Answer, error)
		Call(ctx context.Context, req request.Request) (request.Answer, error)
		OpenSession(ctx context.Context, req request.Request) (string, error)
		Resume(req request.Request, token string) (request.Request, error)
		Addresses(region, zone string) ([]string, error)
	}

	// Options are the settings of the interface.
	Options struct {
		MaxBody    int64
		Timeout    time.Duration
		AddressTTL time.Duration
		Clock      clock.Clock
	}

	server struct {
		router Router
		opts   Options
	}

	workspaceKey struct{}
)

// Mount adds the interface's routes to the router.
func Mount(r chi.Router, router Router, opts Options) {
	s := &server{router: router, opts: opts}
	r.Get("/v1/addresses", s.getAddresses)
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Post("/v1/chat/completions", s.postChat)
		r.Post("/v1/sessions", s.postSession)
		r.HandleFunc("/v1/services/{service}", s.anyService)
		r.HandleFunc("/v1/services/{service}/*", s.anyService)
	})
}

func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			writeRefusal(w, request.NewNotRun(request.CodeUnauthorized, "give the workspace's key as bearer token"))
			return
		}
		workspace, err := s.router.Owner(key)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), workspaceKey{}, workspace)))
	})
}

// newRequest returns what all kinds of request have in common.
func (s *server) newRequest(w http.ResponseWriter, r *http.Request) (request.Request, error) {
	workspace, ok := r.Context().Value(workspaceKey{}).(string)
	if !ok {
		return request.Request{}, errors.New("request without a workspace")
	}
	id := r.Header.Get(HeaderRequestID)
	if len(id) > maxRequestID || !isVisible(id) {
		return request.Request{}, request.NewNotRun(request.CodeBadRequest, "Idempotency-Key: give at most 128 visible ASCII characters")
	}
	named := id != ""
	if !named {
		id = ulid.Make().String()
	}
	w.Header().Set(HeaderRequestID, id)
	body, err := readBody(w, r, s.opts.MaxBody)
	if err != nil {
		return request.Request{}, err
	}
	timeout, err := positiveHeader(r, HeaderTimeout, s.opts.Timeout.Milliseconds())
	if err != nil {
		return request.Request{}, err
	}
	priority, err := positiveHeader(r, HeaderPriority, 0)
	if err != nil {
		return request.Request{}, err
	}
	deadline := s.opts.Clock.Now().Add(min(time.Duration(timeout)*time.Millisecond, s.opts.Timeout))
	return request.Request{
		ID: id, IDFromCaller: named, Workspace: workspace, Priority: int(priority), Deadline: deadline, Body: body,
	}, nil
}

func (s *server) anyService(w http.ResponseWriter, r *http.Request) {
	req, err := s.newRequest(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	req.Kind = request.Plain
	req.Service = chi.URLParam(r, "service")
	req.Method = r.Method
	req.Path = "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.ContentType = r.Header.Get("Content-Type")
	answer, err := s.router.Call(r.Context(), req)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	setAnswerHeaders(w.Header(), answer)
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body) //nolint:errcheck // the caller has gone; the answer is recorded
}

func (s *server) getAddresses(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	list, err := s.router.Addresses(q.Get("region"), q.Get("availability_zone"))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Addresses{Addresses: list, TTLMs: s.opts.AddressTTL.Milliseconds()})
}

func setAnswerHeaders(h http.Header, a request.Answer) {
	h.Set(HeaderOutcome, string(a.Outcome))
	if a.Version != (version.Ref{}) {
		h.Set(HeaderVersion, a.Version.String())
	}
	if a.Repeated {
		h.Set(HeaderRepeated, "true")
	}
}

func isVisible(s string) bool {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
