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
)

const (
	// dialTimeout bounds the wait for a connection; one that does not come in
	// time proves that the attempt did not run.
	dialTimeout = time.Second

	// stallTimeout is the longest pause between two tokens of an answer.
	stallTimeout = 3 * time.Second

	// askTimeout bounds a question about a request, or its cancellation.
	askTimeout = 2 * time.Second
)

type (
	// Client calls backend servers over HTTP. Calls that may be repeated share
	// connections. Every other call has one of its own: on a reused connection,
	// Go's transport sends some requests a second time by itself, and a
	// connection that its server closed meanwhile leaves the outcome unknown.
	Client struct {
		pooled *http.Client
		single *http.Client
		clock  clock.Clock
	}

	// onceOnly is a body that Go's transport cannot take for empty or rewind,
	// so that it never sends a request twice.
	onceOnly struct{ io.ReadCloser }
)

// NewClient returns a client that keeps at most idle connections to each
// backend server.
func NewClient(c clock.Clock, idle int) *Client {
	dial := dialGated((&net.Dialer{Timeout: dialTimeout}).DialContext)
	return &Client{
		pooled: newHTTP(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: idle, DisableCompression: true}),
		single: newHTTP(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}),
		clock:  c,
	}
}

// newHTTP returns a client that passes redirections on instead of sending the
// request again.
func newHTTP(t *http.Transport) *http.Client {
	keep := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: keep}
}

// Ask returns what a backend server knows of a request.
func (c *Client) Ask(ctx context.Context, address, requestID string) (Lookup, error) {
	var found Lookup
	body, err := c.about(ctx, http.MethodGet, address, requestID)
	if err != nil {
		return found, err
	}
	return found, errors.Annotatef(json.Unmarshal(body, &found), "backend server at %s", address)
}

// Cancel ends the run of a request whose answer nobody waits for.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.about(ctx, http.MethodDelete, address, requestID)
	return err
}

func (c *Client) about(ctx context.Context, method, address, requestID string) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.clock.AfterFunc(askTimeout, cancel)
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

// do sends the request. An error before a connection stood is not_run, and so
// is one of the gate: no byte of the attempt was written.
func (c *Client) do(ctx context.Context, client *http.Client, req *http.Request, gate Gate) (*http.Response, error) {
	p := &passage{gate: gate}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, p.trace())))
	if err == nil {
		return resp, nil
	}
	if proof := p.proof(err); proof != nil {
		return nil, notRun(proof)
	}
	return nil, unknown(err)
}
