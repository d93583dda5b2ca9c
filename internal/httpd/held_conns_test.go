package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Connections that the kernel held for a listener were reset at the stop if it doesn't tell their number.
func TestHeldConnectionsOfAnyListenerAreAccepted(t *testing.T) {
	tcp := listenTCP(t)
	l := struct {
		net.Listener
		deadliner
	}{tcp, tcp}
	l.SetDeadline(time.Unix(1, 0))
	var conns []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		conns = append(conns, c)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Serve(ctx, l, http.NotFoundHandler()); err != nil {
		t.Error(err)
	}
	for _, c := range conns {
		if answer, err := io.ReadAll(c); err != nil || len(answer) == 0 {
			t.Errorf("%q, %v", answer, err)
		}
	}
}
