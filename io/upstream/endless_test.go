package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/io/upstream"
)

// endless returns a function that reads one request and writes the start, and then the rest
// again and again until the caller closes the connection.
func endless(start, rest string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		io.WriteString(c, start)
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, rest)
		}
	}
}

// A head without an end is no answer. It is given up before the request's deadline.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	long := strings.Repeat("x", 8<<10)
	for name, serve := range map[string]func(net.Conn){
		"a status line":  endless("HTTP/1.1 200 O", long),
		"a header line":  endless("HTTP/1.1 200 OK\r\nA: ", long),
		"header lines":   endless("HTTP/1.1 200 OK\r\n", "A: "+long+"\r\n"),
		"1xx answers":    endless("", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)),
		"1xx and header": endless("HTTP/1.1 103 Early Hints\r\n", "A: "+long+"\r\n"),
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		c := upstream.NewClient(clock.WallClock)
		_, err := c.Do(ctx, upstream.Call{Address: server(t, serve), Method: "GET", Host: "h", Target: "/"}, func() error { return nil })
		if !errors.Is(err, upstream.ErrBadAnswer) {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
	}
}

// A trailer or the line before a chunk without an end breaks the answer off.
func TestEndlessChunkLineBreaksAnswerOff(t *testing.T) {
	long := strings.Repeat("x", 8<<10)
	for name, serve := range map[string]func(net.Conn){
		"a chunk's line": endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", long),
		"a trailer":      endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: ", long),
	} {
		if _, err := do(t, upstream.NewClient(clock.WallClock), server(t, serve)); err == nil {
			t.Errorf("%s: the answer counts as complete", name)
		}
	}
}

// A head of usual size, after a few informational ones, is read.
func TestLongHeadIsRead(t *testing.T) {
	head := "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"
	text := head + head + "HTTP/1.1 200 OK\r\nB: " + strings.Repeat("x", 16<<10) + "\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("y", 100_000)
	if body, err := do(t, upstream.NewClient(clock.WallClock), server(t, answer(text))); err != nil || len(body) != 100_000 {
		t.Errorf("%d bytes, %v", len(body), err)
	}
}
