package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"rosereach/core/backend"
	"rosereach/core/route"
)

// A server that is killed in the middle of an answer without a length ends it in order: the part is
// passed on as a success, though the route allows another attempt at a sound server.
func TestKilledServersAnswerWithoutLengthIsAskedForAgain(t *testing.T) {
	r := newHarness(t)
	r.plan()
	first := make(chan bool, 1)
	first <- true
	for _, id := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		r.announce(id, l.Addr().String(), 1, backend.Serving)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\npart")
					select {
					case <-first:
						l.Close()
					default:
						io.WriteString(conn, " and rest")
					}
				}
				conn.Close()
			}
		}()
	}
	if got, err := r.sendID("id-1", route.Safe); err != nil || got.text() != "part and rest" {
		t.Errorf("%q, %v", got.text(), err)
	}
}

// A whole answer without a length is passed on: its server goes on, or it went right behind the answer to
// a request that may not run again.
func TestWholeAnswerWithoutLengthIsPassedOn(t *testing.T) {
	for _, tc := range []struct {
		kind   route.Kind
		leaves bool
	}{{route.Safe, false}, {route.Unsafe, false}, {route.Unsafe, true}} {
		r := newHarness(t)
		r.plan()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		r.announce("a", l.Addr().String(), 1, backend.Serving)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					if tc.leaves {
						l.Close()
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\nwhole")
				}
				conn.Close()
			}
		}()
		if got, err := r.sendID("id-1", tc.kind); err != nil || got.text() != "whole" {
			t.Errorf("%+v: %q, %v", tc, got.text(), err)
		}
	}
}
