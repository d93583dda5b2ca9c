// Package upstream sends requests to backend servers byte for byte and reads
// their answers. It never sends a request twice and never joins two answers.
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
	// connectTimeout bounds one try to open a connection: several round trips
	// between regions. A lost opening packet is made up by another try, as the
	// kernel would repeat it only after a second.
	connectTimeout = 300 * time.Millisecond
	connectTries   = 2

	// idleLife is how long an unused connection is kept when the server does
	// not say; margin is taken off what it says.
	idleLife   = 4 * time.Second
	idleMargin = 500 * time.Millisecond

	// readBuffer holds the head of an answer and a few events.
	readBuffer = 4 << 10

	// inlineBody is the size up to which a body is written before the answer
	// is read.
	inlineBody = 16 << 10

	// userTimeout ends connections to machines that answer nothing any more.
	userTimeout = 3 * time.Second
)

// The causes of errors that callers tell apart.
const (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.ConstError("the request was not sent")
	// ErrBadAnswer means that the bytes are no answer to this request.
	ErrBadAnswer = errors.ConstError("no proper answer")
)

type (
	// Call is one request for one server. Target is the path and query, as they
	// are. Header is sent as it is, except for the length of the body.
	Call struct {
		Address string
		Method  string
		Host    string
		Target  string
		Header  map[string][]string
		Body    []byte
		Fresh   bool
	}

	// Answer is the head of an answer and its body. Close must be called; the
	// connection is used again only if the whole body was read.
	Answer struct {
		Status  int
		Header  http.Header
		Length  int64
		body    io.ReadCloser
		conn    *conn
		client  *Client
		address string
		keep    bool
		whole   bool
		stop    func() bool
		wrote   chan error
	}

	// Client keeps connections to servers. It is safe for concurrent use.
	Client struct {
		clock clock.Clock

		mu    sync.Mutex
		idle  map[string][]*conn
		Dials func()
	}

	conn struct {
		net.Conn
		reader *bufio.Reader
		until  time.Time
	}
)

// NewClient returns a client without connections.
func NewClient(c clock.Clock) *Client {
	return &Client{clock: c, idle: make(map[string][]*conn)}
}

// Do sends the request and reads the head of its answer. When the context ends
// the connection is closed. The error's cause is ErrNotSent when no byte of the
// request was written; after any other the request may have run. Sent is called
// just before the first byte; its error keeps the request from being sent.
func (c *Client) Do(ctx context.Context, call Call, sent func() error) (*Answer, error) {
	conn, err := c.take(ctx, call)
	if err != nil {
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	if err := sent(); err != nil {
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

// CloseIdle closes the idle connections to servers that are not kept.
func (c *Client) CloseIdle(isKept func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for address, list := range c.idle {
		var kept []*conn
		for _, one := range list {
			if isKept(address) && now.Before(one.until) {
				kept = append(kept, one)
				continue
			}
			one.end()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

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

// readHead reads the first lines of the final answer. The body stays open for
// the caller.
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

// Read reads the body. It returns io.EOF only when the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the use of the answer. A connection whose answer was not read to
// its end, or on which more has come, is closed.
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

// Discard closes the connection, so that the server stops its work.
func (a *Answer) Discard() {
	a.stop()
	a.conn.end()
}

func (c *Client) take(ctx context.Context, call Call) (*conn, error) {
	for !call.Fresh {
		one := c.pop(call.Address)
		if one == nil {
			break
		}
		if one.isQuiet() {
			return one, nil
		}
		one.end()
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

// connect opens a connection. A server that resets it is not asked again.
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

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	list := c.idle[address]
	for len(list) > 0 {
		one := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		if now.Before(one.until) {
			return one
		}
		one.end()
	}
	return nil
}

func (c *Client) give(address string, one *conn) {
	if !c.clock.Now().Before(one.until) {
		one.end()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], one)
}

// end closes the connection. What a failed close would say is of no use to
// anybody.
func (c *conn) end() { c.Close() } //nolint:errcheck // see above

// isQuiet reports whether an idle connection is still open and has brought
// nothing: what comes unasked belongs to no request.
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

// idleOf returns how long the server keeps an idle connection.
func idleOf(h http.Header) time.Duration {
	const word = "timeout="
	for _, v := range h.Values("Keep-Alive") {
		for _, part := range splitList(v) {
			if len(part) > len(word) && part[:len(word)] == word {
				if n, err := strconv.Atoi(part[len(word):]); err == nil {
					return max(time.Duration(n)*time.Second-idleMargin, 0)
				}
			}
		}
	}
	return idleLife
}

func splitList(v string) []string {
	var parts []string
	for _, part := range bytes.Split([]byte(v), []byte(",")) {
		parts = append(parts, string(bytes.TrimSpace(part)))
	}
	return parts
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without it only finds dead machines later.
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds())) //nolint:errcheck // see above
	})
}
