package forward

import "rosereach/core/route"

// minFailureStatus is the least status by which a server says that it failed.
const minFailureStatus = 500

// MayPassOn reports whether an answer may reach the caller of a request of which so many
// attempts may have run. Callers send a request again after a status that promises that it
// has not run; on a route whose requests run once at most the promise has to be true.
//
// It answers servers that run a request and then reject it: each such answer that is passed on
// is a second run.
func MayPassOn(r route.Route, h Head, runs int) bool {
	return !h.PromisesNotRun || runs == 0 || r.IsRetryable()
}

// IsFailure reports whether a server that ran the request has failed it. A rejection comes
// without a run, so that one after a run is a failure like any other.
func (h Head) IsFailure() bool {
	return !h.Refused && (h.Status >= minFailureStatus || h.PromisesNotRun)
}
