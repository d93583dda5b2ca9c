package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/overload"
	"rosereach/io/upstream"
)

// unended returns a function that reads one request, writes the text and then nothing.
func unended(text string) func(net.Conn) {
	return func(c net.Conn) {
		answer(text)(c)
		io.Copy(io.Discard, c)
	}
}

// A head of many short lines takes many times its size, and is given up before it has an end.
func TestManyLinesAreNoHead(t *testing.T) {
	var lines strings.Builder
	for i := range 300 {
		fmt.Fprintf(&lines, "X%d:\r\n", i)
	}
	interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n", 100)
	for name, text := range map[string]string{"lines": "HTTP/1.1 200 OK\r\n" + lines.String(), "interim answers": interim} {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		c := upstream.NewClient(clock.WallClock)
		_, err := c.Do(ctx, upstream.Call{Address: server(t, unended(text)), Method: "GET", Host: "h", Target: "/"}, func() error { return nil })
		if !errors.Is(err, upstream.ErrBadAnswer) {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
	}
}

// The error of a malformed line does not hold the whole line.
func TestMalformedLineIsQuotedInPart(t *testing.T) {
	_, err := do(t, upstream.NewClient(clock.WallClock), server(t, answer("HTTP/1.1 200 OK\r\n"+strings.Repeat("x", 32<<10)+"\r\n\r\n")))
	if err == nil || len(err.Error()) > 1<<10 {
		t.Errorf("%.300v", err)
	}
}

// A head takes room as it arrives, and the body that is read with it takes none.
func TestHeadTakesRoom(t *testing.T) {
	head := "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
	address := server(t, answer(head+strings.Repeat("\n", 2000)), answer(head+strings.Repeat("\n", 2000)))
	var held int64
	room := int64(1 << 20)
	call := upstream.Call{Address: address, Method: "GET", Host: "h", Target: "/", NewConn: true, Hold: func(n int64) bool {
		held += n
		return held <= room
	}}
	c := upstream.NewClient(clock.WallClock)
	a, err := c.Do(t.Context(), call, func() error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if body, err := io.ReadAll(a); len(body) != 2000 || err != nil {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	if want := overload.HeadCost([]byte(head)); held != want {
		t.Errorf("%d bytes are held, want %d", held, want)
	}
	held, room = 0, 100
	if _, err := c.Do(t.Context(), call, func() error { return nil }); !errors.Is(err, upstream.ErrNoRoom) {
		t.Errorf("without room: %v", err)
	}
}
