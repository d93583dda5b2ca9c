// Package forward holds the rules for requests that are proxied unchanged: what an
// attempt's outcome proves, whether another attempt may follow, and how a request
// without an answer fails.
package forward

import (
	"time"

	"rosereach/core/framing"
	"rosereach/core/pacing"
	"rosereach/core/route"
)

// The outcomes of an attempt without an answer to pass on.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Outcome = "not_sent"
	// NotRun means that the backend server reported that it did not run the request.
	NotRun Outcome = "not_run"
	// Failed means that the backend server answered with a failure.
	Failed Outcome = "failed"
	// Unknown means that the request was sent and may have run.
	Unknown Outcome = "unknown"
	// Incomplete means that an answer began but was not completed.
	Incomplete Outcome = "broken"
)

// The reasons why a request ends without a backend server's answer. "Not run"
// guarantees that no backend server ran it.
const (
	// NotReady: this entry has no routing plan yet. Not run.
	NotReady Code = "not_ready"
	// NoRoute: no route matches host and path.
	NoRoute Code = "no_route"
	// Unauthorized: the key belongs to no workspace.
	Unauthorized Code = "unauthorized"
	// TooSlow: the body was not complete when the request's time was over. Not run.
	TooSlow Code = "too_slow"
	// TooLarge: the body is over the limit.
	TooLarge Code = "too_large"
	// HeaderTooLarge: the header is over the limit.
	HeaderTooLarge Code = "header_too_large"
	// BadRequest: the request cannot be parsed.
	BadRequest Code = "bad_request"
	// Overloaded: admission control rejected the request. Not run.
	Overloaded Code = "overloaded"
	// NoServer: no backend server accepted the request. Not run.
	NoServer Code = "no_server"
	// Draining: this entry is shutting down. Not run.
	Draining Code = "draining"
	// Quarantined: the request, or a part of its prompt, has crashed backend servers, or
	// may have. Not run.
	Quarantined Code = "quarantined"
	// AnswerLost: the answer is lost; the request may have run.
	AnswerLost Code = "gateway"
	// TimedOut: the deadline passed; the request may have run.
	TimedOut Code = "timed_out"
	// CallerGone: the caller disconnected.
	CallerGone Code = "gone"
)

type (
	// Outcome is the outcome of an attempt.
	Outcome string

	// Code is why a request ends without a backend server's answer.
	Code string

	// Part is a part of a prompt. Requests with a part of the same id share it.
	Part struct {
		ID     string
		Tokens int64
	}

	// Request is a caller's request, which is proxied unchanged.
	Request struct {
		// ID is set by the caller, a new one for each of its attempts.
		ID     string
		Method string
		Host   string
		// Target is the path and query as received.
		Target string
		Path   string
		// Header holds the header fields to pass on.
		Header   map[string][]string
		Body     Body
		Key      string
		Arrived  time.Time
		Deadline time.Time
		Session  string
		Model    string
		// AnyModel means that the caller leaves the choice of the model open.
		AnyModel bool
		// InputTokens and OutputTokens are the numbers of input and output tokens,
		// 0 when the caller does not announce them.
		InputTokens  int64
		OutputTokens int64
		Prompt       []Part
		// LastEventID is the id of the last event that the caller received, 0 for none.
		LastEventID uint64
	}

	// Attempt is what is added to a request for one backend server.
	Attempt struct {
		Server string
		// Workspace is empty for public routes.
		Workspace string
		// Model is the model to run, empty on routes without a choice of models.
		Model string
		// TimeLeft is the time left until the request's deadline.
		TimeLeft time.Duration
		// Priority is -1 for the server's default.
		Priority int
		// LastEventID is the id of the last event that the caller received, 0 for none.
		LastEventID uint64
	}

	// Head is the decoded status line and header of an answer.
	Head struct {
		Status int
		// RequestID is the id of the request that the answer belongs to.
		RequestID string
		// Refused means that the server did not run the request.
		Refused bool
		// PromisesNotRun means that the status tells callers that the request did not run and
		// never will, whether or not the server says so itself.
		PromisesNotRun bool
		// Misdirected means that the request reached another server than intended.
		Misdirected bool
		// Stamped means that the answer has a server stamp.
		Stamped bool
		// Confidence is the model's confidence in the answer, 0 to 100, or -1 when
		// it is not reported.
		Confidence int
		// Running and Waiting are the server's load.
		Running int
		Waiting int
		// Slots is the server's capacity, 0 when the load is not reported.
		Slots int
		// Slowdown is how long work takes on the server's machine at this moment, relative to
		// its usual time, 0 when it is not reported. It changes many times a second: it
		// explains the answer that it came with, and forecasts nothing.
		Slowdown float64
		// Leaving means that the server wants no further requests: it is about to stop.
		Leaving bool
		// HoldOff is how long the server wants no further requests, 0 for not at all.
		HoldOff time.Duration
		// Limit is what the answer says about the requests a second that the server takes.
		Limit pacing.Statement
		// Brittle is what the answer says about the rejections a second that the server
		// bears.
		Brittle pacing.Statement
		// Warmup is how much longer the server warms up, 0 if it does not say so.
		Warmup time.Duration
		// Unreadable describes what the server says of itself but can't be read, empty
		// for nothing.
		Unreadable string
	}

	// Failure ends a request without a backend server's answer. It is an error.
	Failure struct {
		Code   Code
		Detail string
		// RetryAfter is the delay for a retry, 0 when a retry is not advised.
		RetryAfter time.Duration
	}
)

// Error returns the code and the detail.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Detail }

// Answers reports whether the head is that of a server's answer to the request with the id.
// A faulty server repeats earlier answers on a connection that is in use again, or writes
// other bytes that look like an answer: servers name the request in each answer, and stamp
// those of a request that they ran to a good end.
func (h Head) Answers(requestID string) bool {
	isSuccess := h.Status >= 200 && h.Status < 300
	return h.RequestID == requestID && (h.Stamped || !isSuccess)
}

// IsForeign reports whether the head is that of an answer to another request than the one with the
// id, or to none.
func (h Head) IsForeign(requestID string) bool { return h.RequestID != requestID }

// Continues reports whether the answer can be the rest of a stream that began with the
// status. Anything else, such as an error, does not belong into that stream.
func (h Head) Continues(begun int) bool { return h.Status == begun }

// IsFull reports whether the server turned the request away, for want of room as far as the
// answer tells.
func (h Head) IsFull() bool { return h.Refused && !h.Misdirected }

// IsNotRun reports whether the failure guarantees that the request did not run.
func (f *Failure) IsNotRun() bool {
	switch f.Code {
	case NotReady, Overloaded, NoServer, Draining, Quarantined, TooSlow:
		return true
	}
	return false
}

// DidNotRun reports whether the outcome proves that the attempt did not run.
func (o Outcome) DidNotRun() bool { return o == NotSent || o == NotRun }

// MayRetry reports whether another attempt may follow one with the outcome. Runs is
// the number of attempts that may have run, including that one.
func MayRetry(r route.Route, o Outcome, runs int) bool {
	if o.DidNotRun() {
		return true
	}
	return r.IsRetryable() && runs < r.MaxAttempts
}

// MayChoose reports whether an attempt whose server has not failed may be ended for a better one.
// Runs is the number of attempts that may have run, including that one.
//
// It answers servers that fail or fall silent one after the other while others report low
// confidence: attempts that were spent on larger models were missing when an answer that had begun
// broke off, and only those that remain can complete it. Half of the attempts after the first one
// are left for that.
func MayChoose(r route.Route, runs int) bool {
	return r.IsRetryable() && runs+1+(r.MaxAttempts-1)/2 <= r.MaxAttempts
}

// FailureFor returns the failure of a request after its last attempt. It reports
// that the request did not run only if no attempt can have run.
func FailureFor(last Outcome, runs int, expired bool) *Failure {
	switch {
	case runs == 0 && last.DidNotRun():
		return &Failure{Code: NoServer, Detail: "no backend server took the request"}
	case expired:
		return &Failure{Code: TimedOut, Detail: "the deadline passed; the request may have run"}
	}
	return &Failure{Code: AnswerLost, Detail: "the answer is lost; the request may have run"}
}

// Sink writes an answer to the caller.
type Sink interface {
	// Begin writes the status and the header. The mark is what may mark the end of the
	// body; length is -1 for another one than framing.ByLength. It returns what marks the
	// end for the caller.
	Begin(status int, header map[string][]string, mark framing.Mark, length int64) framing.Mark
	// Write writes a part of the body and flushes it.
	Write(p []byte) error
}
