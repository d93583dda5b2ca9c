package httpd_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"rosereach/internal/httpd"
)

// Over TLS, the close of a connection says that the answer has ended. An answer without a length
// that its handler aborted looked whole.
func TestAbortedAnswerWithoutLengthIsNotWholeOverTLS(t *testing.T) {
	certificates := httptest.NewTLSServer(http.NotFoundHandler())
	defer certificates.Close()
	s := startStoppable(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})}, func(l net.Listener) net.Listener {
		return tls.NewListener(l, &tls.Config{Certificates: certificates.TLS.Certificates})
	})
	for range 20 {
		c := tls.Client(dial(t, s.address), &tls.Config{InsecureSkipVerify: true})
		io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		if answer, err := io.ReadAll(c); err == nil {
			t.Errorf("%q ends in order", answer)
		}
		c.Close()
	}
}
