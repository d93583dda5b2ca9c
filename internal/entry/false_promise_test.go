package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"rosereach/core/forward"
	"rosereach/core/health"
	"rosereach/core/route"
)

// promises are the statuses after which callers send any request again, as it has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against a second run: a server ran a request that must not be repeated, answered with a
// status that promises that it had not, and the caller, who got it unchanged, sent the request
// again. Such an answer is a failure of its server, on all routes.
func TestFalsePromiseOfAServerIsNotPassedOn(t *testing.T) {
	for _, status := range append([]int{http.StatusInternalServerError}, promises...) {
		for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
			for _, resumable := range []bool{false, true} {
				for _, way := range []string{"direct", "detour"} {
					t.Run(fmt.Sprintf("%d/%s/resumable %v/%s", status, kind, resumable, way), func(t *testing.T) {
						t.Parallel()
						r := newHarness(t)
						r.plan()
						if !resumable {
							r.withoutResumption()
						}
						watch := &watchState{recorder: health.NewRecorder()}
						r.entry.forwarder.addEvidenceSource(watch)
						var runs atomic.Int64
						for _, id := range []string{"a", "b", "c"} {
							r.server(id, func(w http.ResponseWriter, _ *http.Request) {
								runs.Add(1)
								w.WriteHeader(status)
							})
						}
						if way == "detour" {
							r.relayed()
						}
						got, err := r.send(kind)
						mayRepeat := kind == route.Safe || kind == route.Streaming && resumable
						switch {
						case mayRepeat && (err != nil || got.status != status):
							t.Errorf("a request that may run again gets %d, %v", got.status, err)
						case !mayRepeat && status != http.StatusInternalServerError && (got.status != 0 || codeOf(err) != forward.AnswerLost):
							t.Errorf("a request that runs once gets %d, %v", got.status, err)
						case !mayRepeat && runs.Load() != 1:
							t.Errorf("%d runs", runs.Load())
						}
						if n := failures(watch); int64(n) != runs.Load() {
							t.Errorf("%d failures are counted of %d runs", n, runs.Load())
						}
					})
				}
			}
		}
	}
}

// Guards against the same behind a server that says in truth that it did not run the request: the
// next one runs it.
func TestFalsePromiseAfterATrueOneIsNotPassedOn(t *testing.T) {
	for _, status := range promises {
		r := newHarness(t)
		r.plan()
		var sends, runs atomic.Int64
		for _, id := range []string{"a", "b"} {
			r.server(id, func(w http.ResponseWriter, _ *http.Request) {
				if sends.Add(1) == 1 {
					w.Header().Set("Refused", "1")
				} else {
					runs.Add(1)
				}
				w.WriteHeader(status)
			})
		}
		if got, err := r.send(route.Unsafe); got.status != 0 || codeOf(err) != forward.AnswerLost || runs.Load() != 1 {
			t.Errorf("%d after a refusal: %d, %v after %d runs", status, got.status, err, runs.Load())
		}
	}
}
