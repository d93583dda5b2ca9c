package member

import (
	"context"
	"net"
	"testing"
)

// One attempt to connect that is answered must end the others, and a refused one must
// be reported at once.
func TestConnectStaggered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := connectStaggered(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	l.Close()
	if conn, err := connectStaggered(t.Context(), "tcp", l.Addr().String()); err == nil {
		conn.Close()
		t.Fatal("a closed port is connected to")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if conn, err := connectStaggered(ended, "tcp", l.Addr().String()); err == nil {
		conn.Close()
		t.Fatal("an ended context still connects")
	}
}
