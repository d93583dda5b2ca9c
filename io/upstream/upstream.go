// Package upstream is an HTTP/1.1 client that sends requests to backend servers
// byte for byte and reads their answers. It never sends a request twice and
// never attributes bytes of one answer to another.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/framing"
)

const (
	// connectTimeout bounds one attempt to connect. It allows for several round
	// trips between regions. A second attempt recovers from a lost SYN sooner
	// than the kernel, which retransmits it only after a second.
	connectTimeout     = 300 * time.Millisecond
	maxConnectAttempts = 2

	// defaultIdleTimeout is how long an idle connection is kept when the server sends no
	// Keep-Alive timeout. idleMargin is subtracted from a timeout that it sends,
	// so that the client closes the connection first.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = 500 * time.Millisecond

	// readBufferBytes is the size of a connection's read buffer: the head of an
	// answer and a few events.
	readBufferBytes = 4 << 10

	// maxQuotedBytes bounds what an error quotes of an answer.
	maxQuotedBytes = 200

	// maxInlineBodyBytes is the largest body in bytes that is written before the answer
	// is read. Larger ones are written while the answer is read.
	maxInlineBodyBytes = 16 << 10

	// unackedTimeout closes connections on which sent data stays unacknowledged,
	// because the peer's machine is down or unreachable.
	unackedTimeout = 3 * time.Second
)

// The causes of errors, for errors.Is.
const (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.ConstError("the request was not sent")
	// ErrBadAnswer means that the head of the answer is malformed or cut off.
	ErrBadAnswer = errors.ConstError("no proper answer")
	// ErrNoRoom means that Call.Hold had no room for the head of the answer.
	ErrNoRoom = errors.ConstError("there is no room for the head of the answer")
	// ErrForeign means that no answer followed one of another request.
	ErrForeign = errors.ConstError("the answer belongs to another request")
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
		// Body is sent in pieces, in order, and not copied.
		Body forward.Body
		// NewConn requires a new connection instead of an idle one, and UnusedConn one on which no
		// request was sent before.
		NewConn, UnusedConn bool
		// Via restricts the regions of other instances that the connection may pass
		// through. It is nil for no restriction.
		Via func(region string) bool
		// Hold takes room for n bytes of memory more that the head of the answer takes, and
		// reports whether there was room. It is nil for no account.
		Hold func(n int64) bool
		// IsForeign reports whether an answer belongs to another request, or to none. Such answers
		// are read past where forward.Foreign allows that. It is nil if any answer is that to the
		// request.
		IsForeign func(status int, header http.Header) bool
	}

	// Answer is the head of an answer and a reader of its body. Close must be
	// called. It reuses the connection only if the whole body was read.
	Answer struct {
		Status int
		Header http.Header
		// Length is the length of the body in bytes, or -1 if it is unknown.
		Length int64
		// Framing says what marks the end of the body.
		Framing framing.Mark
		// Foreign is the number of answers of other requests that were read past.
		Foreign int

		body    io.ReadCloser
		conn    *conn
		client  *Client
		address string
		// keepAlive is set when the server allows the connection to be reused.
		keepAlive bool
		// complete is set when the body was read to its end.
		complete bool
		// detach detaches the connection from the request's context.
		detach func() bool
		// writeResult gets the result of writing the request, and written is set when it
		// was written completely.
		writeResult chan error
		written     bool
	}

	// Client pools connections to servers. It is safe for concurrent use.
	Client struct {
		clock clock.Clock

		mu   sync.Mutex
		idle map[string][]*conn
		// OnDial is called before each new connection if it is not nil. It must
		// be set before the first request.
		OnDial func()
		// DialContext opens a connection to a server, by default with Dial. It must be set
		// before the first request. Via is that of the call. A connection with a method
		// IsStale() bool that returns true is not used for another request, and one with
		// a method Via() string only for calls that allow that region. If a method
		// IsOrphaned() bool returns true, its end is not that of an answer.
		DialContext func(ctx context.Context, address string, via func(region string) bool) (net.Conn, error)
	}

	conn struct {
		net.Conn
		reader *bufio.Reader
		source *headReader // that reader reads from
		// expiresAt is when an idle connection expires.
		expiresAt time.Time
		// used is set when a request was sent on the connection.
		used bool
	}
)

// NewClient returns a client without connections.
func NewClient(c clock.Clock) *Client {
	return &Client{clock: c, idle: make(map[string][]*conn), DialContext: func(ctx context.Context, address string, _ func(string) bool) (net.Conn, error) {
		return Dial(ctx, address)
	}}
}

// Do sends the request and reads the head of its answer. It calls beforeSend
// just before it writes the first byte, and sends nothing if that fails. When
// the context ends, the connection is closed. The error's cause is ErrNotSent
// when no byte of the request was written; after any other error the request
// may have run.
func (c *Client) Do(ctx context.Context, call Call, beforeSend func() error) (*Answer, error) {
	conn, err := c.acquire(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", err, ErrNotSent)
	}
	if err := beforeSend(); err != nil {
		c.release(call.Address, conn)
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	stop := context.AfterFunc(ctx, conn.discard)
	answer, err := c.exchange(conn, call)
	if err != nil {
		stop()
		conn.discard()
		if ctx.Err() != nil {
			return nil, errors.Trace(context.Cause(ctx))
		}
		return nil, err
	}
	answer.detach = stop
	return answer, nil
}

// Connect opens a new connection to the server and keeps it for the next request there. It
// proves that the server can be reached now, which an idle connection does not.
func (c *Client) Connect(ctx context.Context, address string, via func(region string) bool) error {
	conn, err := c.dial(ctx, address, via)
	if err != nil {
		return err
	}
	c.keep(address, conn)
	return nil
}

// Keep keeps a connection to the server, opened by the caller, for the next request there.
func (c *Client) Keep(address string, raw net.Conn) { c.keep(address, newConn(raw)) }

func (c *Client) keep(address string, conn *conn) {
	conn.expiresAt = c.clock.Now().Add(defaultIdleTimeout)
	c.release(address, conn)
}

// IsRefused reports whether the server refuses connections: its machine is there and no
// process listens. If one does, the connection is kept for the next request.
func (c *Client) IsRefused(ctx context.Context, address string) bool {
	return errors.Is(c.Connect(ctx, address, nil), syscall.ECONNREFUSED)
}

// HasIdle reports whether an idle connection to the server is open.
func (c *Client) HasIdle(address string, via func(region string) bool) bool {
	for idle := c.popIdle(address, via, false); idle != nil; idle = c.popIdle(address, via, false) {
		if idle.isReusable() {
			c.release(address, idle)
			return true
		}
		idle.discard()
	}
	return false
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
			if isKept(address) && now.Before(conn.expiresAt) {
				kept = append(kept, conn)
				continue
			}
			conn.discard()
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
	head, reused := encodeHead(call), conn.used
	conn.used = true
	wrote := make(chan error, 1)
	if call.Body.Len() <= maxInlineBodyBytes {
		n, err := conn.Write(append(head, bytes.Join(call.Body, nil)...))
		if err != nil && n == 0 {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		wrote <- err
	} else {
		go func() {
			wrote <- conn.writeAll(head, call.Body)
		}()
	}
	conn.source.expect(call.Hold)
	resp, foreign, err := conn.readAnswer(call, reused) //nolint:bodyclose // Answer.Close ends the connection, and with it the body
	if err != nil {
		return nil, err
	}
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: markOf(resp), Foreign: foreign, body: resp.Body,
		conn: conn, client: c, address: call.Address, writeResult: wrote,
	}
	a.keepAlive = a.Framing != framing.ByClose && !resp.Close && foreign == 0
	conn.expiresAt = c.clock.Now().Add(idleTimeout(resp.Header))
	return a, nil
}

// readAnswer reads the head of the call's answer, behind a number of foreign ones. The caller closes
// the body.
func (c *conn) readAnswer(call Call, reused bool) (resp *http.Response, foreign int, err error) {
	f := forward.Foreign{Reused: reused}
	resp, err = c.readHead(call.Method)
	for ; err == nil && call.IsForeign != nil && call.IsForeign(resp.StatusCode, resp.Header); f.Before++ {
		f.Mark, f.Length, f.Closes = markOf(resp), resp.ContentLength, resp.Close
		maxBytes, ok := f.MayReadPast()
		if !ok {
			return resp, f.Before, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBytes+1))
		resp.Body.Close()
		if err != nil || n > maxBytes {
			return nil, f.Before, errors.Annotatef(ErrForeign, "reading past %d bytes: %v", n, err)
		}
		f.BytesBefore += n
		if resp, err = c.readHead(call.Method); err != nil {
			return nil, f.Before, fmt.Errorf("%w: %w", ErrForeign, err)
		}
	}
	return resp, f.Before, err
}

// markOf returns what marks the end of an answer's body.
func markOf(resp *http.Response) framing.Mark {
	switch {
	case len(resp.TransferEncoding) > 0:
		return framing.ByChunks
	case resp.ContentLength >= 0 || resp.StatusCode == http.StatusNoContent:
		return framing.ByLength
	}
	return framing.ByClose
}

// readHead reads the status line and header of the final answer and skips
// informational ones (1xx). The caller closes the body.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		if err := c.source.begin(c.reader); err != nil {
			return nil, badHead(err)
		}
		if hasUndefinedFraming(c.reader) {
			return nil, errors.Annotatef(ErrBadAnswer, "it has chunks in HTTP/1.0")
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, badHead(err)
		}
		status, isStatus := framing.ParseStatus(resp.Status)
		switch {
		case !isStatus || !framing.IsVersion(resp.Proto):
			return nil, errors.Annotatef(ErrBadAnswer, "its status line is %.*q", maxQuotedBytes, resp.Proto+" "+resp.Status)
		case framing.IsFinal(status):
			c.source.inHead = false
			return resp, nil
		case status == http.StatusSwitchingProtocols:
			return nil, errors.Annotatef(ErrBadAnswer, "it switches to another protocol unasked")
		}
		resp.Body.Close()
	}
}

// badHead returns the error of a head that could not be read. Errors of net/http quote the line at
// fault, which may be as long as a head.
func badHead(err error) error {
	if errors.Is(err, ErrNoRoom) {
		return err
	}
	return errors.Annotatef(ErrBadAnswer, "%.*v", maxQuotedBytes, err)
}

// hasUndefinedFraming reports whether the answer that is read next is one of HTTP/1.0 with
// chunks (RFC 9112, section 6.1): net/http would read their sizes as a part of the body.
func hasUndefinedFraming(r *bufio.Reader) bool {
	const protocol = "HTTP/1.0"
	if p, err := r.Peek(len(protocol)); err != nil || string(p) != protocol {
		return false
	}
	for n := len(protocol) + 1; n <= r.Size(); n++ {
		head, err := r.Peek(n)
		if err != nil || bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n")) {
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
		}
	}
	return false
}

// Read reads the body. It returns io.EOF only when the body is complete, as far as its
// framing tells.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF && a.Framing == framing.ByClose && (!a.wroteAll() || a.conn.isOrphaned()) {
		// The kernel reports a reset once. If the write of the request got it, a read
		// returns the same as at the end of the connection.
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// EndBy returns how the body ended, by the error with which a read of it did.
func (a *Answer) EndBy(err error) framing.End {
	switch {
	case errors.Is(err, io.EOF) && a.Framing == framing.ByClose:
		return framing.Closed
	case errors.Is(err, io.EOF):
		return framing.Marked
	case errors.Is(err, syscall.ECONNRESET):
		return framing.Reset
	case errors.Is(err, net.ErrClosed):
		return framing.Canceled
	}
	return framing.Truncated
}

// Close releases the answer's connection for reuse. It closes the connection
// instead if the body was not read to its end, if the request was not written
// completely, or if more bytes follow the answer.
func (a *Answer) Close() {
	if !a.detach() || !a.keepAlive || !a.complete || a.conn.reader.Buffered() > 0 {
		a.conn.discard()
		return
	}
	if !a.wroteAll() {
		a.conn.discard()
		return
	}
	a.client.release(a.address, a.conn)
}

// wroteAll reports whether the request was written completely.
func (a *Answer) wroteAll() bool {
	select {
	case err := <-a.writeResult:
		a.written = err == nil
	default:
	}
	return a.written
}

// Discard closes the connection, so that the server stops working on the
// request.
func (a *Answer) Discard() {
	a.detach()
	a.conn.discard()
}

// acquire returns an idle connection to the server, or a new one.
func (c *Client) acquire(ctx context.Context, call Call) (*conn, error) {
	for !call.NewConn {
		idle := c.popIdle(call.Address, call.Via, call.UnusedConn)
		if idle == nil {
			break
		}
		if idle.isReusable() {
			return idle, nil
		}
		idle.discard()
	}
	return c.dial(ctx, call.Address, call.Via)
}

func (c *Client) dial(ctx context.Context, address string, via func(region string) bool) (*conn, error) {
	if c.OnDial != nil {
		c.OnDial()
	}
	raw, err := c.DialContext(ctx, address, via)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *conn {
	source := &headReader{r: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(source, readBufferBytes), source: source}
}

// Dial opens a connection. It retries after a timeout only, not when the server refuses or
// resets the connection.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var raw net.Conn
	var err error
	for range maxConnectAttempts {
		if raw, err = DialOnce(ctx, address); err == nil || ctx.Err() != nil || !IsTimeout(err) {
			break
		}
	}
	return raw, err
}

// DialOnce opens a connection in one attempt.
func DialOnce(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// IsTimeout reports whether an attempt to connect got no reply in time.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// LimitUnacked closes a connection on which sent data stays unacknowledged, as it does
// connections of Dial.
func LimitUnacked(conn net.Conn) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		setUserTimeout("", "", raw) //nolint:errcheck // see there
	}
}

// popIdle removes and returns the idle connection that was used last among those that
// via allows, or nil, of all connections or of the unused ones. It closes expired ones.
func (c *Client) popIdle(address string, via func(region string) bool, unused bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	conns := c.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		last := conns[i]
		isExpired := !now.Before(last.expiresAt)
		if !isExpired && (!last.isAllowed(via) || unused && last.used) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		c.idle[address] = conns
		if !isExpired {
			return last
		}
		last.discard()
	}
	return nil
}

// isAllowed reports whether a call may use the connection by the region that it passes
// through.
func (c *conn) isAllowed(via func(region string) bool) bool {
	passing, ok := c.Conn.(interface{ Via() string })
	return via == nil || !ok || via(passing.Via())
}

// release returns a connection to the pool, or closes it if it has expired.
func (c *Client) release(address string, conn *conn) {
	if !c.clock.Now().Before(conn.expiresAt) {
		conn.discard()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], conn)
}

// writeAll writes a head and the pieces of a body.
func (c *conn) writeAll(head []byte, body forward.Body) error {
	if _, err := c.Write(head); err != nil {
		return err
	}
	for _, piece := range body {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// discard closes the connection and ignores the error, which no caller can act on.
func (c *conn) discard() { c.Close() } //nolint:errcheck // see above

// isReusable reports whether an idle connection is still open and has no data to
// read. Unsolicited data belongs to no request.
func (c *conn) isReusable() bool {
	if s, ok := c.Conn.(interface{ IsStale() bool }); ok && s.IsStale() {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
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

// isOrphaned reports whether what the connection passes through is gone.
func (c *conn) isOrphaned() bool {
	passing, ok := c.Conn.(interface{ IsOrphaned() bool })
	return ok && passing.IsOrphaned()
}

// encodeHead encodes the request line and header.
func encodeHead(call Call) []byte {
	var b bytes.Buffer
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if call.Body.Len() > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(call.Body.Len()) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTimeout returns how long an idle connection may be reused, by the server's
// Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
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
	return defaultIdleTimeout
}

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	var parts []string
	for _, part := range bytes.Split([]byte(v), []byte(",")) {
		parts = append(parts, string(bytes.TrimSpace(part)))
	}
	return parts
}

// optTCPUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is in
// milliseconds.
const optTCPUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// The error is ignored: on a kernel without the option, an unreachable
		// peer is merely detected later.
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unackedTimeout.Milliseconds())) //nolint:errcheck // see above
	})
}
