package request

import (
	"fmt"
	"time"
)

// The codes that callers receive with a refusal or an error. They are stable.
const (
	CodeBadRequest        Code = "bad_request"
	CodeUnauthorized      Code = "unauthorized"
	CodeNotPermitted      Code = "not_permitted"
	CodeUnknownModel      Code = "unknown_model"
	CodeUnknownService    Code = "unknown_service"
	CodeTooLarge          Code = "body_too_large"
	CodeWithdrawn         Code = "version_withdrawn"
	CodeSessionEnded      Code = "session_ended"
	CodeBadSession        Code = "bad_session"
	CodeNoLease           Code = "no_lease"
	CodeDraining          Code = "draining"
	CodeOverloaded        Code = "overloaded"
	CodeRateLimited       Code = "rate_limited"
	CodeNoBackend         Code = "no_backend_server"
	CodeDeadlinePassed    Code = "deadline_passed"
	CodeIDReused          Code = "request_id_reused"
	CodeIDExpired         Code = "request_id_expired"
	CodeLedgerUnavailable Code = "ledger_unavailable"
	CodeBackendFailed     Code = "backend_server_failed"
	CodeAnswerCut         Code = "answer_cut"
	CodeAnswerNotKept     Code = "answer_not_kept"
	CodeRunningElsewhere  Code = "running_elsewhere"
	CodeCallerGone        Code = "caller_gone"
)

type (
	// Code is a stable name of the cause of a refusal or an error.
	Code string

	// Refusal is the error that ends a request without a complete answer.
	Refusal struct {
		Outcome Outcome
		Code    Code
		// Detail is a text for the caller.
		Detail string
		// RetryAfter is how long to wait before a retry. It is zero when a retry
		// would not help.
		RetryAfter time.Duration
		// Addresses are those of other entries to use.
		Addresses []string
	}
)

// Error returns the code, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// NewNotRun returns a refusal of a request that provably did not run.
func NewNotRun(code Code, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Code: code, Detail: detail}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(code Code, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Code: code, Detail: detail}
}

// WithRetryAfter returns the refusal with the time to wait before a retry.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// WithAddresses returns the refusal with the addresses of other entries to use.
func (r Refusal) WithAddresses(addresses []string) *Refusal {
	r.Addresses = addresses
	return &r
}
