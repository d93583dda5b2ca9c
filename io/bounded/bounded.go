// Package bounded bounds what HTTP clients hold of the answers of servers and other processes, and
// which answers they take.
package bounded

import (
	"io"
	"net/http"
)

// MaxHeadBytes is the largest head of an answer, with the informational answers (1xx) before it.
// That of net/http is 10 MiB.
const MaxHeadBytes = 16 << 10

// Client is http.DefaultClient with bounds.
var Client = &http.Client{Transport: defaultTransport()}

func defaultTransport() RoundTripper {
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		return Transport(t.Clone())
	}
	return Transport(&http.Transport{Proxy: http.ProxyFromEnvironment})
}

// Transport sets the bounds of a transport that is not in use yet, and returns it with checks.
func Transport(t *http.Transport) RoundTripper {
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return RoundTripper{t}
}

// Body returns a reader of an answer's body. Its error is an *http.MaxBytesError when the body has
// more than n bytes.
func Body(r *http.Response, n int64) io.Reader { return http.MaxBytesReader(nil, r.Body, n) }
