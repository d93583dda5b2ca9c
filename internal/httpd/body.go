package httpd

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// bodyEndTime bounds the wait for the rest of a body whose request was answered.
	bodyEndTime = 5 * time.Second

	// inlineBodyBytes is the largest body that is read before an answer which does not need it.
	// It arrives with the head, and the connection stays in use.
	inlineBodyBytes = 16 << 10
)

// requestBody is the body of a request. It knows whether the body was read to its end.
type requestBody struct {
	io.ReadCloser
	hasEnded bool
	onEnd    func()
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.hasEnded {
		b.hasEnded = true
		b.onEnd()
	}
	return n, err
}

// serveBodies returns a handler that answers a request whose body it does not need without waiting
// for the body. By itself, http.Server reads on before it sends an answer, for as long as the
// client likes.
func serveBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		body := &requestBody{ReadCloser: r.Body, onEnd: func() {}}
		if !isInline(r) && !expectsContinue(r) && rc.EnableFullDuplex() == nil {
			body.onEnd = closeUntil(w.Header())
		}
		wrapped := *r // http.Server looks at its own request for what was read of the body
		wrapped.Body = body
		h.ServeHTTP(w, &wrapped)
		if !body.hasEnded {
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
