// Package upstream is an HTTP/1.1 client that sends requests to backend servers
// byte for byte and reads their answers. It never sends a request twice and
// never attributes bytes of one answer to another.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
)

const (
	// connectTimeout bounds one attempt to connect. It allows for several round
	// trips between regions. A second attempt recovers from a lost SYN sooner
	// than the kernel, which retransmits it only after a second.
	connectTimeout = 300 * time.Millisecond
	connectTries   = 2

	// idleLife is how long an idle connection is kept when the server sends no
	// Keep-Alive timeout. idleMargin is subtracted from a timeout that it sends,
	// so that the client closes the connection first.
	idleLife   = 4 * time.Second
	idleMargin = 500 * time.Millisecond

	// readBuffer is the size of a connection's read buffer: the head of an
	// answer and a few events.
	readBuffer = 4 << 10

	// inlineBody is the largest body in bytes that is written before the answer
	// is read. Larger ones are written while the answer is read.
	inlineBody = 16 << 10

	// userTimeout closes connections on which sent data stays unacknowledged,
	// because the peer's machine is down or unreachable.
	userTimeout = 3 * time.Second
)

// The causes of errors, for errors.Is.
const (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.ConstError("the request was not sent")
	// ErrBadAnswer means that the head of the answer is malformed or cut off.
	ErrBadAnswer = errors.ConstError("no proper answer")
)

type (
	// Call is one request to one server.
	Call struct {
		Address string // host:port
		Method  string
		Host    string
		// Target is the path and query, sent without normalization.
		Target string
		// Header is sent unchanged; Do adds Host and Content-Length.
		Header map[string][]string
		Body   []byte
		// Fresh requires a new connection in place of an idle one.
		Fresh bool
	}

	// Answer is the head of an answer and a reader of its body. Close must be
	// called. It reuses the connection only if the whole body was read.
	Answer struct {
		Status int
		Header http.Header
		// Length is the length of the body in bytes, or -1 if it is unknown.
		Length int64

		body    io.ReadCloser
		conn    *conn
		client  *Client
		address string
		// keep is set when the server allows the connection to be reused.
		keep bool
		// whole is set when the body was read to its end.
		whole bool
		// stop detaches the connection from the request's context.
		stop func() bool
		// wrote gets the result of writing the request.
		wrote chan error
	}

	// Client pools connections to servers. It is safe for concurrent use.
	Client struct {
		clock clock.Clock

		mu   sync.Mutex
		idle map[string][]*conn
		// Dials is called before each new connection if it is not nil. It must
		// be set before the first request.
		Dials func()
	}

	conn struct {
		net.Conn
		reader *bufio.Reader
		// until is when an idle connection expires.
		until time.Time
	}
)

// NewClient returns a client without connections.
func NewClient(c clock.Clock) *Client {
	return &Client{clock: c, idle: make(map[string][]*conn)}
}

// Do sends the request and reads the head of its answer. It calls beforeSend
// just before it writes the first byte, and sends nothing if that fails. When
// the context ends, the connection is closed. The error's cause is ErrNotSent
// when no byte of the request was written; after any other error the request
// may have run.
func (c *Client) Do(ctx context.Context, call Call, beforeSend func() error) (*Answer, error) {
	conn, err := c.take(ctx, call)
	if err != nil {
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	if err := beforeSend(); err != nil {
		c.give(call.Address, conn)
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	stop := context.AfterFunc(ctx, conn.end)
	answer, err := c.exchange(conn, call)
	if err != nil {
		stop()
		conn.end()
		if ctx.Err() != nil {
			return nil, errors.Trace(context.Cause(ctx))
		}
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// CloseIdle closes idle connections that have expired, and those to servers for
// which isKept returns false.
func (c *Client) CloseIdle(isKept func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for address, conns := range c.idle {
		var kept []*conn
		for _, conn := range conns {
			if isKept(address) && now.Before(conn.until) {
				kept = append(kept, conn)
				continue
			}
			conn.end()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// exchange writes the request and reads the head of the answer.
func (c *Client) exchange(conn *conn, call Call) (*Answer, error) {
	head := headOf(call)
	wrote := make(chan error, 1)
	if len(call.Body) <= inlineBody {
		n, err := conn.Write(append(head, call.Body...))
		if err != nil && n == 0 {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		wrote <- err
	} else {
		go func() {
			_, err := conn.Write(append(head, call.Body...))
			wrote <- err
		}()
	}
	resp, err := readHead(conn.reader, call.Method) //nolint:bodyclose // Answer.Close ends the connection, and with it the body
	if err != nil {
		return nil, err
	}
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body,
		conn: conn, client: c, address: call.Address, wrote: wrote,
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.StatusCode == http.StatusNoContent
	a.keep = framed && !resp.Close
	conn.until = c.clock.Now().Add(idleOf(resp.Header))
	return a, nil
}

// readHead reads the status line and header of the final answer and skips
// informational ones (1xx). The caller closes the body.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Annotatef(ErrBadAnswer, "%v", err)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
		resp.Body.Close()
	}
}

// Read reads the body. It returns io.EOF only when the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close releases the answer's connection for reuse. It closes the connection
// instead if the body was not read to its end, if the request was not written
// completely, or if more bytes follow the answer.
func (a *Answer) Close() {
	if !a.stop() || !a.keep || !a.whole || a.conn.reader.Buffered() > 0 {
		a.conn.end()
		return
	}
	select {
	case err := <-a.wrote:
		if err != nil {
			a.conn.end()
			return
		}
	default:
		a.conn.end()
		return
	}
	a.client.give(a.address, a.conn)
}

// Discard closes the connection, so that the server stops working on the
// request.
func (a *Answer) Discard() {
	a.stop()
	a.conn.end()
}

// take returns an idle connection to the server, or a new one.
func (c *Client) take(ctx context.Context, call Call) (*conn, error) {
	for !call.Fresh {
		idle := c.pop(call.Address)
		if idle == nil {
			break
		}
		if idle.isQuiet() {
			return idle, nil
		}
		idle.end()
	}
	if c.Dials != nil {
		c.Dials()
	}
	raw, err := connect(ctx, call.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// connect opens a connection. It retries after a timeout only, not when the
// server refuses or resets the connection.
func connect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: setUserTimeout}
	var raw net.Conn
	var err error
	for range connectTries {
		raw, err = d.DialContext(ctx, "tcp", address)
		var timeout net.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			break
		}
	}
	return raw, err
}

// pop removes and returns the idle connection that was used last, or nil. It
// closes expired ones.
func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	conns := c.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		if now.Before(last.until) {
			return last
		}
		last.end()
	}
	return nil
}

// give returns a connection to the pool, or closes it if it has expired.
func (c *Client) give(address string, conn *conn) {
	if !c.clock.Now().Before(conn.until) {
		conn.end()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], conn)
}

// end closes the connection and ignores the error, which no caller can act on.
func (c *conn) end() { c.Close() } //nolint:errcheck // see above

// isQuiet reports whether an idle connection is still open and has no data to
// read. Unsolicited data belongs to no request.
func (c *conn) isQuiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// headOf encodes the request line and header.
func headOf(call Call) []byte {
	var b bytes.Buffer
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleOf returns how long an idle connection may be reused, by the server's
// Keep-Alive header.
func idleOf(h http.Header) time.Duration {
	const prefix = "timeout="
	for _, v := range h.Values("Keep-Alive") {
		for _, part := range splitList(v) {
			if len(part) > len(prefix) && part[:len(prefix)] == prefix {
				if n, err := strconv.Atoi(part[len(prefix):]); err == nil {
					return max(time.Duration(n)*time.Second-idleMargin, 0)
				}
			}
		}
	}
	return idleLife
}

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	var parts []string
	for _, part := range bytes.Split([]byte(v), []byte(",")) {
		parts = append(parts, string(bytes.TrimSpace(part)))
	}
	return parts
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is in
// milliseconds.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without the option only detects unreachable peers later.
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds())) //nolint:errcheck // see above
	})
}
