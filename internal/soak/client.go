package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
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

// newCallerClient returns a client that keeps one connection to each entry open for as
// long as the entry does.
func newCallerClient() *http.Client {
	return &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
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
