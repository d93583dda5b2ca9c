package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// request is one client attempt and its answer.
	request struct {
		id      string
		method  string
		path    string
		entry   string
		session string
		key     string
		sentAt  time.Duration
		status  int // 0 for no complete answer
		stamp   string
		body    string
	}

	// clients send requests on connections that they keep, one at a time on each.
	clients struct {
		d *deployment
		// next returns the next request of a client, with method and path.
		next func() request
		// pause is the mean pause of a client between two requests.
		pause time.Duration

		mu   sync.Mutex
		sent []request
	}
)

const (
	host     = "shop.example"
	deadline = 6 * time.Second
)

// run runs n clients at each entry until the context ends.
func (c *clients) run(ctx context.Context, n int) {
	var running sync.WaitGroup
	for _, e := range c.d.entries {
		for range n {
			running.Go(func() { c.client(ctx, e) })
		}
	}
	running.Wait()
}

// client sends requests to one entry.
func (c *clients) client(ctx context.Context, e *process) {
	var conn net.Conn
	var in *bufio.Reader
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(c.pause))) //nolint:gosec // traffic
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", e.at(portCallers), time.Second); err != nil {
				conn = nil
				sleep(ctx, 100*time.Millisecond)
				continue
			}
			in = bufio.NewReader(conn)
		}
		r := c.next()
		r.entry, r.id = e.name, fmt.Sprintf("%016x", rand.Uint64()) //nolint:gosec // it only has to differ
		if !c.exchange(conn, in, &r) {
			conn.Close() //nolint:errcheck // it is not used again
			conn = nil
		}
		c.d.rec.add("client: %s %s, key %q, attempt %s, sent to %s at %.4f s: status %d, stamp %q, body %q", r.method, r.path, r.key, r.id, r.entry, r.sentAt.Seconds(), r.status, r.stamp, r.body)
		c.mu.Lock()
		c.sent = append(c.sent, r)
		c.mu.Unlock()
	}
	if conn != nil {
		conn.Close() //nolint:errcheck // it is not used again
	}
}

// exchange sends a request and reads its answer. It reports whether the connection may be
// used again.
func (c *clients) exchange(conn net.Conn, in *bufio.Reader, r *request) bool {
	conn.SetDeadline(time.Now().Add(deadline)) //nolint:errcheck // fails only on a closed connection
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Rosereach-Attempt-Id: %s\r\nX-Rosereach-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, deadline.Milliseconds())
	if r.session != "" {
		fmt.Fprintf(&b, "Session: %s\r\n", r.session)
	}
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	body := ""
	if r.method == http.MethodPost {
		body = "listing " + r.id
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	r.sentAt = c.d.rec.now()
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: r.method})
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	r.status, r.stamp, r.body = resp.StatusCode, resp.Header.Get("X-Rosereach-Server-Stamp"), string(answer)
	return !resp.Close
}
