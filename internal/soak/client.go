package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"rosereach/platform"
)

// requestOutcome is the outcome of a request as its caller saw it; the status
// is 0 when no complete answer arrived.
type requestOutcome struct {
	kind   string
	id     string
	status int
	body   string

	// script is what the caller wanted of the server, and timeLeft the deadline that it set.
	script   script
	timeLeft time.Duration

	// entry is the address of the entry, and server the server whose answer it passed
	// on, empty for none.
	entry, server string

	// sentAt is when the caller began to send, writtenAt when the request was written,
	// headAt when the head of an answer arrived. The latter two are zero for never.
	sentAt, writtenAt, headAt, endedAt time.Time

	// closed is true when the connection ended without a complete answer.
	closed bool
}

// isStream reports whether the answer is a stream of events.
func (o requestOutcome) isStream() bool {
	return o.kind == "streaming" || o.kind == platform.SimulatedEngineKind
}

// slowConn is a connection of a caller that takes its answers slowly.
type slowConn struct{ net.Conn }

const (
	// slowReadPause is the pause of a slow caller before each read, and slowBufferBytes the size of
	// the kernel's buffer for what it has not read. An event of an engine holds tokensPerEvent.
	slowReadPause   = 5 * time.Millisecond
	slowBufferBytes = 4 << 10
	tokensPerEvent  = 5

	// insistentPause is the pause of an insistent caller after an answer.
	insistentPause = 20 * time.Millisecond
)

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return c.Conn.Read(p)
}

// newCallerClient returns a client that keeps one connection to each entry open for as
// long as the entry does.
func newCallerClient(timeLeft time.Duration) *http.Client {
	return &http.Client{Timeout: timeLeft + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// newSlowClient is newCallerClient for a caller that takes its answers slowly.
func newSlowClient(timeLeft time.Duration) *http.Client {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes) //nolint:errcheck // it only reads faster then
		})
	}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return slowConn{conn}, nil
	}
	return &http.Client{Timeout: timeLeft + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: dial}}
}

// insist calls send until the context ends: at once after a refusal, which another entry should get,
// and after a pause otherwise.
func insist(ctx context.Context, send func() requestOutcome) {
	for ctx.Err() == nil {
		if send().status != http.StatusServiceUnavailable {
			sleep(ctx, insistentPause)
		}
	}
}

// sendForStatus sends a request and returns its status, or 0 when no complete
// response arrived.
func sendForStatus(c *http.Client, r *http.Request) int {
	status, _ := send(c, r)
	return status
}

// send sends a request and returns the status and body; the status is 0 when no
// complete response arrived.
func send(c *http.Client, r *http.Request) (int, []byte) {
	status, _, body, err := exchange(c, r, func() {})
	if err != nil {
		return 0, nil
	}
	return status, body
}

// exchange sends a request and returns what arrived of its answer. It calls onHead
// when the head has arrived.
func exchange(c *http.Client, r *http.Request, onHead func()) (int, http.Header, []byte, error) {
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	onHead()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

// send sends the request with a key and records its outcome, none if it has no address.
func (o *requestOutcome) send(c *http.Client, key string) {
	if o.entry == "" {
		return
	}
	r, err := platform.NewCallerRequest(o.entry, o.kind, o.id, key, o.timeLeft)
	if err != nil {
		return
	}
	r.GetBody = nil // keeps Go's client from resending the request on its own
	r.URL.RawQuery = o.script.query()
	if o.kind == platform.SimulatedEngineKind {
		platform.SetOutputTokens(r, tokensPerEvent*o.script.eventCount())
	}
	o.observe(c, r, platform.AnsweringServer)
}

// observe sends a request and records its outcome.
func (o *requestOutcome) observe(c *http.Client, r *http.Request, server func(http.Header) string) {
	var written atomic.Pointer[time.Time] // the request may be written while its answer is read
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if now := time.Now(); i.Err == nil {
			written.Store(&now)
		}
	}}
	o.sentAt = time.Now()
	status, header, body, err := exchange(c, r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), func() { o.headAt = time.Now() })
	o.endedAt = time.Now()
	if at := written.Load(); at != nil {
		o.writtenAt = *at
	}
	o.server = server(header)
	if err == nil {
		o.status, o.body = status, string(body)
		return
	}
	var timeout net.Error
	o.closed = !errors.As(err, &timeout) || !timeout.Timeout()
}
