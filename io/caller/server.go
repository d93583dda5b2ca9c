// Package caller is the HTTP interface of an entry to callers, for chat
// completions, plain services, sessions and addresses, and the client for it.
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

	"rosereach/core/framing"
	"rosereach/core/request"
	"rosereach/core/version"
)

// The headers of requests and answers.
const (
	HeaderRequestID = "Idempotency-Key"
	HeaderSession   = "X-Session"
	HeaderPriority  = "X-Priority"
	HeaderTimeout   = "X-Timeout-Ms"
	HeaderOutcome   = "X-Outcome"
	HeaderVersion   = "X-Model-Version"
	HeaderRepeated  = "X-Repeated"
)

// maxRequestIDBytes is the maximum length of a caller's request ID in bytes.
const maxRequestIDBytes = 128

type (
	// Sink receives the tokens of an answer, in order and without gaps.
	Sink interface {
		// WriteTokens receives consecutive tokens. Offset is the index of the first
		// one in the whole answer.
		WriteTokens(ref version.Ref, offset int64, tokens []string) error
	}

	// Router is the part of an entry that the interface uses. Errors that are
	// shown to the caller are *request.Refusal.
	Router interface {
		// WorkspaceByKey returns the workspace to which the key belongs.
		WorkspaceByKey(key string) (string, error)

		// Complete runs a chat completion and passes its tokens to the sink.
		Complete(ctx context.Context, req request.Request, sink Sink) (request.Answer, error)

		// Call calls a plain service.
		Call(ctx context.Context, req request.Request) (request.Answer, error)

		// OpenSession opens a session for the request's model and returns its
		// token.
		OpenSession(ctx context.Context, req request.Request) (string, error)

		// Resume returns the request as part of the token's session.
		Resume(req request.Request, token string) (request.Request, error)

		// Addresses returns the host:port of the entries that a caller in the
		// availability zone should use, in order of preference.
		Addresses(region, zone string) ([]string, error)
	}

	// Options are the settings of the interface.
	Options struct {
		// MaxBody is the maximum size of a request's body in bytes.
		MaxBody int64
		// Timeout is the default and the maximum of a caller's timeout.
		Timeout time.Duration
		// AddressTTL is how long callers may cache the list of entries.
		AddressTTL time.Duration
		Clock      clock.Clock
	}

	server struct {
		router Router
		opts   Options
	}

	// workspaceKey is the context key of the caller's workspace.
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
		r.HandleFunc("/v1/services/{service}", s.callService)
		r.HandleFunc("/v1/services/{service}/*", s.callService)
	})
}

// authenticate stores the workspace of the caller's key in the request's context.
func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			writeRefusal(w, request.NewNotRun(request.CodeUnauthorized, "give the workspace's key as bearer token"))
			return
		}
		workspace, err := s.router.WorkspaceByKey(key)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), workspaceKey{}, workspace)))
	})
}

// newRequest reads the parts that all kinds of request have in common. It
// generates a request ID if the caller sends none.
func (s *server) newRequest(w http.ResponseWriter, r *http.Request) (request.Request, error) {
	workspace, ok := r.Context().Value(workspaceKey{}).(string)
	if !ok {
		return request.Request{}, errors.New("request has no workspace")
	}
	id := r.Header.Get(HeaderRequestID)
	if len(id) > maxRequestIDBytes || !isVisibleASCII(id) {
		return request.Request{}, request.NewNotRun(request.CodeBadRequest, "Idempotency-Key: give at most 128 visible ASCII characters")
	}
	fromCaller := id != ""
	if !fromCaller {
		id = ulid.Make().String()
	}
	w.Header().Set(HeaderRequestID, id)
	body, err := readBody(w, r, s.opts.MaxBody)
	if err != nil {
		return request.Request{}, err
	}
	timeout, err := nonNegativeHeader(r, HeaderTimeout, s.opts.Timeout.Milliseconds())
	if err != nil {
		return request.Request{}, err
	}
	priority, err := nonNegativeHeader(r, HeaderPriority, 0)
	if err != nil {
		return request.Request{}, err
	}
	deadline := s.opts.Clock.Now().Add(min(time.Duration(timeout)*time.Millisecond, s.opts.Timeout))
	return request.Request{
		ID: id, IDFromCaller: fromCaller, Workspace: workspace, Priority: int(priority), Deadline: deadline, Body: body,
	}, nil
}

func (s *server) callService(w http.ResponseWriter, r *http.Request) {
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
	if !framing.IsFinal(answer.Status) { // recorded by another entry, or in an earlier release
		writeRefusal(w, &request.Refusal{Outcome: answer.Outcome, Code: request.CodeAnswerNotKept, Detail: "the request is done; its server's answer has no valid status"})
		return
	}
	setAnswerHeaders(w.Header(), answer)
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body) //nolint:errcheck // the caller has disconnected; the answer is recorded
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

// isVisibleASCII reports whether s consists of visible ASCII characters.
func isVisibleASCII(s string) bool {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
