package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/io/upstream"
)

// Guards against statuses under 100 that are waited out as informational ones, against those over
// 599 and other versions that are taken for an answer.
func TestStatusThatIsNoneFailsAtOnce(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 X", "001": "HTTP/1.1 001 X", "099": "HTTP/1.1 099 X", "+20": "HTTP/1.1 +20 X", "-20": "HTTP/1.1 -20 X",
		"600": "HTTP/1.1 600 X", "999": "HTTP/1.1 999", "20": "HTTP/1.1 20 X", "2000": "HTTP/1.1 2000 X",
		"HTTP/2.0": "HTTP/2.0 200 OK", "HTTP/0.9": "HTTP/0.9 200 OK", "ICY": "ICY 200 OK", "HTTP/1.10": "HTTP/1.10 200 OK",
		"000 after an interim answer": "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 X", "101 unasked": "HTTP/1.1 101 X",
	} {
		for rest, text := range map[string]string{
			"no body": "\r\nContent-Length: 0\r\n\r\n", "a body that does not come": "\r\nContent-Length: 9\r\n\r\n",
			"no mark": "\r\n\r\nbody", "an answer behind it": "\r\nContent-Length: 0\r\n\r\n" + ok,
		} {
			t.Run(name+"/"+rest, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				a, err := upstream.NewClient(clock.WallClock).Do(ctx, upstream.Call{
					Address: server(t, unended(line+text)), Method: "GET", Host: "h", Target: "/",
				}, func() error { return nil })
				if !errors.Is(err, upstream.ErrBadAnswer) {
					t.Fatalf("%+v, %v", a, err)
				}
			})
		}
	}
}

// Answers whose status line is odd and sound are read.
func TestOddStatusLinesAreRead(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.2 599 X", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 404 No"} {
		body, err := do(t, upstream.NewClient(clock.WallClock), server(t, answer(line+"\r\nContent-Length: 2\r\n\r\nok")))
		if err != nil || body != "ok" {
			t.Errorf("%q: %q, %v", line, body, err)
		}
	}
}

// What follows an answer that has no body, or an informational answer behind the final one, is
// no part of the next answer on the connection.
func TestBytesBehindAnswerAreNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct{ text, want string }{
		"204 with a body":        {"HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\nbody", ""},
		"204 in chunks":          {"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""},
		"304 with a body":        {"HTTP/1.1 304 X\r\nContent-Length: 4\r\n\r\nbody", ""},
		"103 behind the answer":  {ok + "HTTP/1.1 103 Early\r\n\r\n", "ok"},
		"000 behind the answer":  {ok + "HTTP/1.1 000 X\r\n\r\n", "ok"},
		"204 with a late answer": {"HTTP/1.1 204 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := server(t, func(conn net.Conn) { unended(c.text)(conn) }, answer(ok))
			client := upstream.NewClient(clock.WallClock)
			if body, err := do(t, client, address); err != nil || body != c.want {
				t.Errorf("the answer: %q, %v", body, err)
			}
			if body, err := do(t, client, address); err != nil || body != "ok" {
				t.Errorf("the next one: %q, %v", body, err)
			}
		})
	}
}
