package httpd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"rosereach/core/overload"
)

const (
	// bodyTimeout bounds the time in which a body arrives, unless its handler sets a deadline.
	bodyTimeout = 30 * time.Second

	// bodyEndTime bounds the wait for the rest of a body whose request was answered.
	bodyEndTime = 5 * time.Second

	// inlineBodyBytes is the largest body that is read before an answer which does not need it.
	// It arrives with the head, and the connection stays in use.
	inlineBodyBytes = 16 << 10

	// growingBytes is how much of a body is read into buffers that grow.
	growingBytes = 64 << 10
)

type (
	// connKey is the context key of a request's connection.
	connKey struct{}

	// requestBody is the body of a request. It counts what it brings.
	requestBody struct {
		io.ReadCloser
		conn     *trackedConn
		cost     int64 // memory that a byte takes
		size     int64 // bytes so far
		rc       *http.ResponseController
		header   http.Header // of the answer
		hasEnded bool
		onEnd    func()
		refusal  *overload.Refusal
	}
)

// withConn adds the connection to the context of its requests, which the connection can end.
func withConn(ctx context.Context, c net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, c)
	if t, ok := c.(*trackedConn); ok {
		ctx, t.endRequests = context.WithCancelCause(ctx)
	}
	return ctx
}

// Read implements io.Reader. The error is an *overload.Refusal when the request is shed or too
// slow.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.refusal != nil {
		return 0, b.refusal
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case n > 0 && !b.take(int64(n)):
		b.refusal = b.conn.guard.refusal(overload.NoRoom)
	case err == io.EOF && b.end():
	case err != nil && b.conn.isShed():
		b.refusal = b.conn.guard.refusal(overload.Stalled)
	case err != nil && b.conn.isStopped():
		b.conn.guard.recordShed(overload.Stopping)
		b.refusal = b.conn.guard.refusal(overload.Stopping)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.guard.recordShed(overload.TooSlow)
		b.refusal = b.conn.guard.refusal(overload.TooSlow)
	}
	if b.refusal != nil {
		b.answerFirst()
		return 0, b.refusal
	}
	return n, err
}

// isAwaited reports whether the rest of the body may still come, and is read so that the answer is
// not lost to a reset.
func (b *requestBody) isAwaited() bool {
	return !b.hasEnded && (b.refusal == nil || b.refusal.Reason == overload.NoRoom)
}

// answerFirst lets the answer be sent before the rest of the body is read, and the connection be
// closed after it.
func (b *requestBody) answerFirst() {
	if err := b.rc.EnableFullDuplex(); err == nil {
		b.onEnd = closeUntil(b.header)
	}
}

// take takes memory for n bytes. The first ones are read into buffers that grow, so that they take
// twice their size.
func (b *requestBody) take(n int64) bool {
	bytes := b.cost * n
	if b.size += n; b.size <= growingBytes {
		bytes += n
	}
	return b.conn.guard.take(b.conn.held, bytes)
}

// end records that the body was read to its end, and reports whether the request goes on.
func (b *requestBody) end() bool {
	if b.hasEnded {
		return true
	}
	if !b.conn.guard.complete(b.conn.held) {
		return false
	}
	b.hasEnded = true
	b.conn.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only on a closed connection
	b.onEnd()
	return true
}

// serveRequests returns the server's handler. An answer that its handler aborts does not look whole,
// also where nothing but the end of the connection marks its end.
func (s Server) serveRequests() http.Handler {
	h := s.serveBodies()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*trackedConn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		conn.setRunning(true)
		conn.concludeAnswer(0) // the last one's client goes on
		conn.answer.begin()
		conn.beginAnswer(func() bool { return endsByClose(w, r) })
		returned := false
		defer func() {
			if !returned && endsByClose(w, r) {
				conn.resetIfRunning() // over TLS, http.Server would say that the answer has ended
			}
			conn.setRunning(false)
			conn.answer.returned(returned && !conn.isHijacked())
			if v := recover(); v != nil {
				conn.guard.recordPanic(conn.answer.requestName(), v)
				panic(v) // http.Server ends the connection
			}
		}()
		h.ServeHTTP(w, r)
		// A write that a close has ended leaves a part, which must not end in order.
		if endsByClose(w, r) && http.NewResponseController(w).Flush() == nil {
			conn.SetLinger(-1) //nolint:errcheck // fails only on a closed connection
		}
		returned = true
	})
}

// endsByClose reports whether the end of the connection may mark the end of the answer.
func endsByClose(w http.ResponseWriter, r *http.Request) bool {
	return !r.ProtoAtLeast(1, 1) || w.Header().Get("Transfer-Encoding") == "identity"
}

// serveBodies returns the server's handler for requests with bodies. It answers a request whose
// body it does not need without waiting for the body: by itself, http.Server reads on before it
// sends an answer, for as long as the client likes.
func (s Server) serveBodies() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*trackedConn)
		if !ok || r.ContentLength == 0 {
			if ok && !conn.guard.complete(conn.held) {
				panic(http.ErrAbortHandler) // it was closed meanwhile
			}
			s.Handler.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		body := &requestBody{ReadCloser: r.Body, conn: conn, cost: s.bodyCost(), rc: rc, header: w.Header(), onEnd: func() {}}
		if !isInline(r) && !expectsContinue(r) {
			body.answerFirst()
		}
		rc.SetReadDeadline(time.Now().Add(bodyTimeout)) //nolint:errcheck // fails only on a closed connection

		// http.Server looks at its own request for what was read of the body.
		wrapped := *r
		wrapped.Body = body
		s.Handler.ServeHTTP(w, &wrapped)
		if body.isAwaited() {
			rc.SetReadDeadline(time.Now().Add(bodyEndTime)) //nolint:errcheck // fails only on a closed connection
		}
	})
}

// closeUntil announces that the connection is closed after the answer, until the function that it
// returns is called: what is left of a body must not be taken for the next request.
func closeUntil(h http.Header) func() {
	closing := []string{"close"}
	h["Connection"] = closing
	return func() {
		if v := h["Connection"]; len(v) == 1 && &v[0] == &closing[0] {
			delete(h, "Connection")
		}
	}
}

func isInline(r *http.Request) bool {
	return r.ContentLength > 0 && r.ContentLength <= inlineBodyBytes
}

// expectsContinue reports whether the client sends the body only after it was asked to.
// http.Server closes the connection after an answer that does not ask for it.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
