package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	"rosereach/core/version"
)

// A stalled answer ends only if its caller has a use for that: the last attempt waits for
// an engine that pauses for longer than stallTimeout.
func TestStalledAnswerIsWaitedFor(t *testing.T) {
	for name, mayEnd := range map[string]bool{"another attempt may follow": true, "none may follow": false} {
		t.Run(name, func(t *testing.T) {
			c := testclock.NewClock(time.Now())
			resume := make(chan struct{})
			address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRun, "run-1")
				fmt.Fprintf(w, "%s\n\n", token0)
				http.NewResponseController(w).Flush()
				select {
				case <-resume:
					fmt.Fprintf(w, "%s\n\n%s\n\n%s\n\n", token1, end2, done)
				case <-r.Context().Done():
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			asked := make(chan struct{}, 1)
			var text strings.Builder
			ended := make(chan error, 1)
			got := make(chan struct{}, 2)
			go func() {
				_, err := NewClient(c, 4).Stream(ctx, ChatCall{
					Address: address, RequestID: "a", Version: version.Ref{Model: "small", Version: "v1"},
					OnStall: func() bool { asked <- struct{}{}; return mayEnd },
				}, func(p Piece) error {
					text.WriteString(p.Text)
					got <- struct{}{}
					return nil
				})
				ended <- err
			}()
			<-got
			c.Advance(stallTimeout)
			<-asked
			if !mayEnd {
				close(resume)
			}
			err := <-ended
			if isStalled := errors.Is(err, ErrStalled); isStalled != mayEnd {
				t.Fatalf("%q, %v", text.String(), err)
			}
			if !mayEnd && (err != nil || text.String() != "xy") {
				t.Fatalf("%q, %v", text.String(), err)
			}
		})
	}
}
