package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/overload"
	"rosereach/internal/httpd"
)

// An event that was dropped for want of room was seen: an answer that ends without it is not whole.
func TestDroppedEventsWereSeen(t *testing.T) {
	l := overload.Limits{Bytes: 100 << 10, SmallBytes: 1 << 10, Connections: 10, StallTime: time.Minute, SendStallTime: time.Minute}
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan context.Context)
	server := httpd.Server{Guard: httpd.NewGuard(l, clock.WallClock, log.NewNopLogger()), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests <- r.Context()
		<-ctx.Done()
	})}
	server.Timeouts.Shutdown = func() time.Duration { return 0 }
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	defer func() { cancel(); <-ended }()
	ask := func() *httpd.AnswerRoom {
		go func() {
			if r, err := http.Get("http://" + listener.Addr().String()); err == nil {
				r.Body.Close()
			}
		}()
		return httpd.NewAnswerRoom(<-requests, func() {})
	}
	other := ask()
	defer other.Close()
	if !other.Add(90 << 10) {
		t.Fatal("no room in calm")
	}
	x := &activeRequest{lastEventID: 6}
	s := heldSplitter{room: ask()}
	defer s.room.Close()
	events, err := s.push([]byte("id: 7\ndata: " + strings.Repeat("x", 50<<10) + "\n\n"))
	if len(events) != 0 || !errors.Is(err, errNoRoom) {
		t.Fatalf("%d events, %v", len(events), err)
	}
	x.recordRest(&s, nil, err)
	if !x.moreSeen() {
		t.Error("the dropped event was not seen")
	}
}
