package fake

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	iobackend "rosereach/io/backend"
)

// A delayed answer does not delay the execution of its call.
func TestServiceBehavior(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		behavior Behavior
		wait     time.Duration
	}{
		{"at once", Behavior{}, 0},
		{"slow", Behavior{Delay: 2 * time.Second}, 2 * time.Second},
		{"past the deadline", Behavior{PastDeadline: true}, 5*time.Second + deadlineOverrun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := testclock.NewClock(start)
			s := NewService(ServiceConfig{ID: "ledger-1", Service: "ledger", Behavior: tc.behavior, Clock: c})
			r := httptest.NewRequest(http.MethodPost, "/invoices", nil)
			r.Header.Set(iobackend.HeaderRequestID, "p")
			r.Header.Set(iobackend.HeaderDeadline, strconv.FormatInt(start.Add(5*time.Second).UnixMilli(), 10))
			w := httptest.NewRecorder()
			answered := make(chan struct{})
			go func() {
				s.Handler().ServeHTTP(w, r)
				close(answered)
			}()
			if tc.wait > 0 {
				if err := c.WaitAdvance(tc.wait-time.Millisecond, 10*time.Second, 1); err != nil {
					t.Fatal(err)
				}
				if runs := s.Log.ByRequest("p"); len(runs) != 1 || !runs[0].Completed || w.Body.Len() != 0 {
					t.Errorf("before the answer: runs %+v, body %s", runs, w.Body)
				}
				c.Advance(time.Millisecond)
			}
			<-answered
			if w.Body.Len() == 0 || c.Now().Sub(start) != tc.wait {
				t.Errorf("body %q after %v", w.Body, c.Now().Sub(start))
			}
		})
	}
}

// A call whose entry has disconnected is logged but not answered.
func TestServiceEntryDisconnects(t *testing.T) {
	s := NewService(ServiceConfig{Behavior: Behavior{Delay: time.Hour}, Clock: testclock.NewClock(time.Unix(0, 0))})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	if len(s.Log.Runs()) != 1 || w.Body.Len() != 0 {
		t.Errorf("runs %+v, body %q", s.Log.Runs(), w.Body)
	}
}
