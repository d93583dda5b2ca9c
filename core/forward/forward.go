// Package forward holds what is decided about a request that is passed on as
// it is: what an attempt's outcome proves, whether another may follow, and how
// a request that failed is answered.
package forward

import (
	"time"

	"rosereach/core/route"
)

// What is known of an attempt that brought no answer to pass on.
const (
	// NotSent means that no byte of the request left.
	NotSent Outcome = "not_sent"
	// NotRun means that the backend server said that it did not run it.
	NotRun Outcome = "not_run"
	// Failed means that the backend server answered that it failed.
	Failed Outcome = "failed"
	// Unknown means that it was sent and may have run.
	Unknown Outcome = "unknown"
	// Broken means that an answer began and did not end.
	Broken Outcome = "broken"
)

// How a request ends that is not answered by a backend server.
const (
	// NotReady: this entry knows no routing plan yet. Not run.
	NotReady Code = "not_ready"
	// NoRoute: no route fits host and path.
	NoRoute Code = "no_route"
	// Unauthorized: the key belongs to no workspace.
	Unauthorized Code = "unauthorized"
	// TooLarge: the body is over the limit.
	TooLarge Code = "too_large"
	// HeaderTooLarge: the header is over the limit.
	HeaderTooLarge Code = "header_too_large"
	// BadRequest: the request cannot be read.
	BadRequest Code = "bad_request"
	// Overloaded: there is no room for it now. Not run.
	Overloaded Code = "overloaded"
	// NoServer: no backend server took it. Not run.
	NoServer Code = "no_server"
	// Draining: this entry stops. Not run.
	Draining Code = "draining"
	// Gateway: it may have run, and its answer is lost.
	Gateway Code = "gateway"
	// TimedOut: it may have run, and there is no time left.
	TimedOut Code = "timed_out"
	// Gone: the caller left.
	Gone Code = "gone"
)

type (
	// Outcome is what is known of an attempt.
	Outcome string

	// Code is why a request ends without a backend server's answer.
	Code string

	// Part is a piece of a prompt that requests may share, by id.
	Part struct {
		ID     string
		Tokens int64
	}

	// Request is a caller's request, which is passed on as it is. ID is the
	// caller's own and new for each of its attempts. Target is path and query
	// as they came. Header holds what is passed on. AnyModel says that the
	// caller leaves the choice of the model open. After is the last event that
	// the caller has, 0 for none.
	Request struct {
		ID       string
		Method   string
		Host     string
		Target   string
		Path     string
		Header   map[string][]string
		Body     []byte
		Key      string
		Arrived  time.Time
		Deadline time.Time
		Session  string
		Model    string
		AnyModel bool
		Input    int64
		Output   int64
		Prompt   []Part
		After    uint64
	}

	// Attempt is what the system adds to a request for one backend server.
	// Workspace is empty for public routes, Model where there is no choice.
	// Priority is -1 when the server is to use its default.
	Attempt struct {
		Server    string
		Workspace string
		Model     string
		Left      time.Duration
		Priority  int
		After     uint64
	}

	// Head is what the first lines of an answer say. Echo is the id of the
	// request that it belongs to. Refused says that the server did not run it;
	// Wrong that the server is not the one that was meant. Confidence is -1
	// when it is not told. Running and Waiting are its load, Slots 0 when it is
	// not told.
	Head struct {
		Status     int
		Echo       string
		Refused    bool
		Wrong      bool
		Stamped    bool
		Confidence int
		Running    int
		Waiting    int
		Slots      int
	}

	// Failure is the end of a request without a backend server's answer. It is
	// an error. RetryAfter is set when it pays to come back.
	Failure struct {
		Code       Code
		Detail     string
		RetryAfter time.Duration
	}
)

// Error gives code and detail.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Detail }

// IsNotRun reports whether the failure promises that the request did not run.
func (f *Failure) IsNotRun() bool {
	switch f.Code {
	case NotReady, Overloaded, NoServer, Draining:
		return true
	}
	return false
}

// DidNotRun reports whether the outcome proves that the attempt did not run.
func (o Outcome) DidNotRun() bool { return o == NotSent || o == NotRun }

// MayFollow reports whether another attempt may follow one with the outcome.
// Runs counts the attempts that may have run.
func MayFollow(r route.Route, o Outcome, runs int) bool {
	if o.DidNotRun() {
		return true
	}
	return r.MayRepeat() && runs < r.Attempts
}

// FailureOf tells how a request ends when nothing more is tried: with a
// promise only when no attempt can have run.
func FailureOf(last Outcome, runs int, expired bool) *Failure {
	switch {
	case runs == 0 && last.DidNotRun():
		return &Failure{Code: NoServer, Detail: "no backend server took the request"}
	case expired:
		return &Failure{Code: TimedOut, Detail: "the time is over; the request may have run"}
	}
	return &Failure{Code: Gateway, Detail: "the answer is lost; the request may have run"}
}

// Sink takes an answer on its way to the caller. Length is -1 when it is not
// known. Write passes a part on at once.
type Sink interface {
	Begin(status int, header map[string][]string, length int64)
	Write(p []byte) error
}
