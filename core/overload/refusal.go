package overload

import "time"

// retryAfter is when a rejected client may come back: requests that bring nothing have yielded by
// then.
const retryAfter = stallTime / 2

// Refusal is the error with which a body ends that is not read to its end. The request did not
// run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the client may come back, 0 for no advice.
	RetryAfter time.Duration
}

// NewRefusal returns the refusal for the reason.
func NewRefusal(r Reason) *Refusal {
	if r == TooSlow {
		return &Refusal{Reason: r}
	}
	return &Refusal{Reason: r, RetryAfter: retryAfter}
}

// Error describes the reason.
func (r *Refusal) Error() string {
	switch r.Reason {
	case TooSlow:
		return "the request was not complete in time; it did not run"
	case HeadTooLarge:
		return "the head of the request is over the limit"
	}
	return "there is no room for the request now; it did not run"
}
