package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rosereach/core/overload"
	"rosereach/core/request"
)

type (
	// Addresses lists the host:port of the entries to use, in order of
	// preference, and how long a caller may cache the list.
	Addresses struct {
		Addresses []string `json:"addresses"`
		TTLMs     int64    `json:"ttl_ms"`
	}

	// Problem is an error as application/problem+json, with the outcome of the
	// request.
	Problem struct {
		Title        string          `json:"title"`
		Status       int             `json:"status"`
		Detail       string          `json:"detail"`
		Code         request.Code    `json:"code"`
		Outcome      request.Outcome `json:"outcome"`
		RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
		Addresses    []string        `json:"addresses,omitempty"`
	}
)

// Error returns the code and the detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

// httpStatuses maps codes to HTTP statuses. Codes that are not listed map to 503.
var httpStatuses = map[request.Code]int{
	request.CodeBadRequest:       http.StatusBadRequest,
	request.CodeBadSession:       http.StatusBadRequest,
	request.CodeUnauthorized:     http.StatusUnauthorized,
	request.CodeNotPermitted:     http.StatusForbidden,
	request.CodeUnknownModel:     http.StatusNotFound,
	request.CodeUnknownService:   http.StatusNotFound,
	request.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	request.CodeWithdrawn:        http.StatusConflict,
	request.CodeSessionEnded:     http.StatusConflict,
	request.CodeIDReused:         http.StatusConflict,
	request.CodeRunningElsewhere: http.StatusConflict,
	request.CodeAnswerNotKept:    http.StatusConflict,
	request.CodeIDExpired:        http.StatusGone,
	request.CodeRateLimited:      http.StatusTooManyRequests,
	request.CodeOverloaded:       http.StatusTooManyRequests,
	request.CodeDeadlinePassed:   http.StatusGatewayTimeout,
	request.CodeBackendFailed:    http.StatusBadGateway,
	request.CodeAnswerCut:        http.StatusBadGateway,
}

// newProblem converts an error to a problem. The outcome of an error that is not a
// refusal is unknown.
func newProblem(err error) Problem {
	var r *request.Refusal
	if !errors.As(err, &r) {
		r = request.NewUnknown(request.CodeBackendFailed, "internal error")
	}
	status, ok := httpStatuses[r.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return Problem{
		Title: http.StatusText(status), Status: status, Detail: r.Detail, Code: r.Code, Outcome: r.Outcome,
		RetryAfterMs: r.RetryAfter.Milliseconds(), Addresses: r.Addresses,
	}
}

func writeRefusal(w http.ResponseWriter, err error) {
	p := newProblem(err)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfterMs > 0 {
		wait := time.Duration(p.RetryAfterMs) * time.Millisecond
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p) //nolint:errcheck // the caller has disconnected
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller has disconnected
}

// readBody reads the body up to the limit in bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, request.NewNotRun(request.CodeTooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	var refusal *overload.Refusal
	if errors.As(err, &refusal) && refusal.Reason == overload.TooSlow {
		return nil, request.NewNotRun(request.CodeDeadlinePassed, refusal.Error())
	}
	if refusal != nil {
		return nil, request.NewNotRun(request.CodeOverloaded, refusal.Error()).WithRetryAfter(refusal.RetryAfter)
	}
	if err != nil {
		return nil, request.NewNotRun(request.CodeBadRequest, "the body could not be read")
	}
	return body, nil
}

// nonNegativeHeader parses a header with a whole number, 0 or more. It returns the
// fallback if the header is missing.
func nonNegativeHeader(r *http.Request, name string, fallback int64) (int64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseInt(text, 10, 32)
	if err != nil || v < 0 {
		return 0, request.NewNotRun(request.CodeBadRequest, name+": give a whole number, 0 or more")
	}
	return v, nil
}
