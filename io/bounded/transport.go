package bounded

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"

	"rosereach/core/framing"
)

const (
	// maxQuotedBytes bounds what an error quotes of an answer.
	maxQuotedBytes = 200

	protocolHTTP2 = "h2"
)

// ErrBadAnswer is the cause when an answer has no valid version or status, or switches to another
// protocol unasked. The request may have run.
const ErrBadAnswer = errors.ConstError("no proper answer")

// RoundTripper is a transport with bounds that returns proper answers only: net/http takes any
// number of three characters for a status.
type RoundTripper struct{ *http.Transport }

// RoundTrip sends a request. The connection of an answer that is none is not used again.
func (t RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	onConn := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), onConn)))
	if err != nil {
		return nil, err //nolint:wrapcheck // callers get the errors of net/http
	}
	if isProper(resp, r) {
		return resp, nil
	}
	if conn != nil {
		conn.Close() //nolint:errcheck // the answer is dropped
	}
	resp.Body.Close() //nolint:errcheck // see above
	return nil, errors.Annotatef(ErrBadAnswer, "its status line is %.*q", maxQuotedBytes, resp.Proto+" "+resp.Status)
}

// isProper reports whether an answer ends the request, or switches protocols as it asked.
func isProper(resp *http.Response, r *http.Request) bool {
	isNegotiated := resp.TLS != nil && resp.TLS.NegotiatedProtocol == protocolHTTP2
	status, ok := framing.ParseStatus(resp.Status)
	return ok && (isNegotiated || framing.IsVersion(resp.Proto)) &&
		(framing.IsFinal(status) || status == http.StatusSwitchingProtocols && r.Header.Get("Upgrade") != "")
}
