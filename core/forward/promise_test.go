package forward

import (
	"fmt"
	"net/http"
	"testing"

	"rosereach/core/route"
)

func ExampleMayPassOn() {
	rejected := Head{Status: http.StatusTooManyRequests, PromisesNotRun: true}
	fmt.Println(MayPassOn(route.Route{Kind: route.Unsafe}, rejected, 1))
	fmt.Println(MayPassOn(route.Route{Kind: route.Safe}, rejected, 1))
	// Output:
	// false
	// true
}

// Guards against a promise that a request has not run, to callers of requests that run once at
// most, where it has.
func TestPromisesAreTrue(t *testing.T) {
	for _, r := range []route.Route{{Kind: route.Safe}, {Kind: route.Unsafe}, {Kind: route.Streaming}, {Kind: route.Streaming, Resumable: true}} {
		for _, promises := range []bool{false, true} {
			for runs := range 3 {
				runsOnce := r.Kind == route.Unsafe || r.Kind == route.Streaming && !r.Resumable
				if got, want := MayPassOn(r, Head{PromisesNotRun: promises}, runs), !promises || !runsOnce || runs == 0; got != want {
					t.Errorf("%+v, promises %v, %d runs: %v", r, promises, runs, got)
				}
			}
		}
	}
}

func TestIsFailure(t *testing.T) {
	for _, tc := range []struct {
		head Head
		want bool
	}{
		{Head{Status: http.StatusOK}, false},
		{Head{Status: http.StatusNotFound}, false},
		{Head{Status: http.StatusInternalServerError}, true},
		{Head{Status: http.StatusServiceUnavailable, PromisesNotRun: true}, true},
		{Head{Status: http.StatusTooManyRequests, PromisesNotRun: true}, true},
		{Head{Status: http.StatusRequestTimeout, PromisesNotRun: true}, true},
		{Head{Status: http.StatusTooManyRequests, PromisesNotRun: true, Refused: true}, false},
	} {
		if got := tc.head.IsFailure(); got != tc.want {
			t.Errorf("%+v: %v", tc.head, got)
		}
	}
}
