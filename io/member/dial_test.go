package member

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/coder/websocket"
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

// A message without an end from a peer that has not proved the key ends the handshake early.
func TestEndlessHandshakeMessageIsGivenUp(t *testing.T) {
	const most = 32 << 20
	sent := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer ws.CloseNow()
		message, err := ws.Writer(r.Context(), websocket.MessageBinary)
		n, piece := 0, make([]byte, 64<<10)
		for err == nil && n < most {
			_, err = message.Write(piece)
			n += len(piece)
		}
		sent <- n
	}))
	defer server.Close()
	if c, err := Dial(t.Context(), server.Listener.Addr().String(), "k", Peer{ID: "p"}, nil); err == nil {
		c.Close()
		t.Error("the peer is accepted")
	}
	if n := <-sent; n >= most {
		t.Errorf("%d bytes were taken", n)
	}
}
