package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/juju/clock"

	"rosereach/core/request"
)

// statusRouter answers calls to services with a status.
type statusRouter struct {
	stubRouter
	status int
}

func (r statusRouter) Call(context.Context, request.Request) (request.Answer, error) {
	return request.Answer{Outcome: request.Done, Status: r.status, Body: []byte("body")}, nil
}

// An answer that was recorded with a status that is none was written to the caller: net/http panics
// under 100, and writes a success of its own behind one under 200.
func TestStatusThatIsNoneIsNotWritten(t *testing.T) {
	for status, want := range map[int]int{
		200: 200, 204: 204, 404: 404, 599: 599,
		0: http.StatusConflict, 99: http.StatusConflict, 101: http.StatusConflict, 103: http.StatusConflict, 600: http.StatusConflict, 999: http.StatusConflict,
	} {
		mux := chi.NewRouter()
		Mount(mux, statusRouter{stubRouter{t}, status}, Options{MaxBody: 1 << 10, Clock: clock.WallClock})
		s := httptest.NewServer(mux)
		reply, err := Client{Address: s.Listener.Addr().String(), Key: "k"}.Service(t.Context(), "s", http.MethodPost, "/x", nil, CallOptions{})
		if err != nil || reply.Status != want || (reply.Problem != nil) != (want == http.StatusConflict) || reply.Outcome() != request.Done {
			t.Errorf("%d: %+v, %v", status, reply, err)
		}
		s.Close()
	}
}
