package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/io/bounded"
)

const (
	// dialTimeout bounds connecting to a backend server. An attempt that has no
	// connection by then is known not to have run.
	dialTimeout = time.Second

	// stallTimeout is the maximum pause between two tokens of an answer.
	stallTimeout = 3 * time.Second

	// lookupTimeout bounds the lookup or cancellation of a request.
	lookupTimeout = 2 * time.Second
)

type (
	// Client calls backend servers over HTTP. Idempotent calls reuse connections.
	// Every other call opens its own, because Go's transport retries some
	// requests by itself on a reused connection, and because the outcome is
	// unknown if the server closes an idle connection as the request is sent.
	Client struct {
		pooled   *http.Client
		unpooled *http.Client
		clock    clock.Clock
	}

	// unrepeatableBody is a body that Go's transport can neither rewind nor recognize as
	// empty, so that it never sends the request twice.
	unrepeatableBody struct{ io.ReadCloser }
)

// NewClient returns a client that keeps at most maxIdle idle connections to each
// backend server.
func NewClient(c clock.Clock, maxIdle int) *Client {
	dial := dialGated((&net.Dialer{Timeout: dialTimeout}).DialContext)
	return &Client{
		pooled:   newHTTP(bounded.Transport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdle, DisableCompression: true})),
		unpooled: newHTTP(bounded.Transport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true})),
		clock:    c,
	}
}

// newHTTP returns a client that returns redirects as answers instead of
// following them, which would send the request again.
func newHTTP(t bounded.RoundTripper) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

// LookUp returns the state of a request at a backend server.
func (c *Client) LookUp(ctx context.Context, address, requestID string) (Lookup, error) {
	var lookup Lookup
	body, err := c.callRequest(ctx, http.MethodGet, address, requestID)
	if err != nil {
		return lookup, err
	}
	return lookup, errors.Annotatef(json.Unmarshal(body, &lookup), "backend server at %s", address)
}

// Cancel stops the run of a request whose answer is no longer needed.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.callRequest(ctx, http.MethodDelete, address, requestID)
	return err
}

// callRequest calls the request's resource at a backend server and returns the body.
func (c *Client) callRequest(ctx context.Context, method, address, requestID string) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.clock.AfterFunc(lookupTimeout, cancel)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+PathRequests+url.PathEscape(requestID), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "backend server at %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("backend server at %s: status %d", address, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	return body, errors.Annotatef(err, "backend server at %s", address)
}

// do sends the request. The error's outcome is not_run if there was no
// connection yet or the gate refused the attempt, since no byte of it was
// written then. Otherwise the outcome is unknown.
func (c *Client) do(ctx context.Context, client *http.Client, req *http.Request, gate Gate) (*http.Response, error) {
	attempt := &gatedAttempt{gate: gate}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, attempt.trace())))
	if err == nil {
		return resp, nil
	}
	if cause := attempt.notRunCause(err); cause != nil {
		return nil, notRun(cause)
	}
	return nil, unknown(err)
}
