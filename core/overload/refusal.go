package overload

import "time"

// Refusal is the error with which a body ends that is not read to its end. The request did not
// run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the client may come back, 0 for no advice.
	RetryAfter time.Duration
}

// Error describes the reason.
func (r *Refusal) Error() string {
	switch r.Reason {
	case TooSlow:
		return "the request was not complete in time; it did not run"
	case Stopping:
		return "this server stops before the request is complete; it did not run"
	}
	return "there is no room for the request now; it did not run"
}
