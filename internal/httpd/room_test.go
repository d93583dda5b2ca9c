package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/overload"
	"rosereach/internal/httpd"
)

// An answer takes room beyond the size of an ordinary one, and yields it once it has stalled while
// others need it.
func TestAnswersTakeRoom(t *testing.T) {
	l := overload.Limits{Bytes: 100 << 10, SmallBytes: 1 << 10, Connections: 10, StallTime: 100 * time.Millisecond, SendStallTime: time.Minute}
	type step struct {
		ctx  context.Context
		done chan struct{}
	}
	requests := make(chan step)
	address := startServer(t, httpd.Server{Guard: httpd.NewGuard(l, clock.WallClock, log.NewNopLogger()), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s := step{r.Context(), make(chan struct{})}
		requests <- s
		<-s.done
	})})
	ask := func() (net.Conn, step) {
		c := dial(t, address)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return c, <-requests
	}
	c, first := ask()
	_, second := ask()
	defer close(second.done)
	ended := make(chan struct{})
	stalled := httpd.NewAnswerRoom(first.ctx, func() { close(ended) })
	other := httpd.NewAnswerRoom(second.ctx, func() {})
	defer other.Close()
	if !stalled.Add(90<<10) || !other.Add(4<<10) {
		t.Fatal("no room in calm")
	}
	if other.Add(80 << 10) {
		t.Error("an answer gets the room of another that goes on")
	}
	other.Add(-80 << 10)
	time.Sleep(2 * l.StallTime)
	if !other.Add(80 << 10) {
		t.Error("no room beside an answer that has stalled")
	}
	<-ended
	if stalled.Add(1) {
		t.Error("an answer that has yielded goes on")
	}
	stalled.Close()
	other.Keep()
	close(first.done)
	if status := statusOf(t, bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	_, third := ask()
	defer close(third.done)
	if httpd.NewAnswerRoom(third.ctx, func() {}).Add(90 << 10) {
		t.Error("an answer gets the room of one that its request keeps")
	}
}
