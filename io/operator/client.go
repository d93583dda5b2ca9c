package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/change"
	"rosereach/core/ledger"
	"rosereach/io/bounded"
)

// maxAnswerBytes is the maximum size of an answer: a page of audit events with their documents.
const maxAnswerBytes = 32 << 20

// Client calls a control with an operator's key.
type Client struct {
	Address string // host:port
	TLS     bool
	Key     string
	// HTTP is bounded.Client if it is nil. With TLS it must trust the
	// control's certificate.
	HTTP *http.Client
}

// Change sends a change. With wait, the control replies once the change is in
// force everywhere or a timeout has passed; see Answer.InForce. An error other
// than a *Problem means that the outcome is unknown; the same change can be sent
// again.
func (c Client) Change(ctx context.Context, ch change.Change, wait bool) (Answer, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	var a Answer
	path := fmt.Sprintf("/v1/changes?wait=%t", wait)
	return a, c.do(ctx, http.MethodPost, path, body, &a)
}

// Preview returns the answer that the change would get and the effects that it would
// have, without making it.
func (c Client) Preview(ctx context.Context, ch change.Change) (Answer, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	var a Answer
	return a, c.do(ctx, http.MethodPost, "/v1/changes?dry_run=true", body, &a)
}

// Documents returns the newest documents, without secrets.
func (c Client) Documents(ctx context.Context) (Documents, error) {
	var d Documents
	return d, c.do(ctx, http.MethodGet, "/v1/documents", nil, &d)
}

// Bills returns the bills after the sequence number, at most MaxPageItems.
func (c Client) Bills(ctx context.Context, after uint64) ([]ledger.Bill, error) {
	var bills []ledger.Bill
	return bills, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/bills?after=%d", after), nil, &bills)
}

// FullTrail returns the audit events after the sequence number as one page: all of
// those that the control still keeps.
func (c Client) FullTrail(ctx context.Context, after uint64) (audit.Page, error) {
	whole, err := c.Trail(ctx, after)
	for err == nil && len(whole.Events) > 0 {
		var next audit.Page
		next, err = c.Trail(ctx, whole.Events[len(whole.Events)-1].Sequence)
		if len(next.Events) == 0 {
			break
		}
		whole.Events = append(whole.Events, next.Events...)
	}
	return whole, err
}

// Trail returns the audit events after the sequence number, at most MaxPageItems.
func (c Client) Trail(ctx context.Context, after uint64) (audit.Page, error) {
	var page audit.Page
	return page, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/audit?after=%d", after), nil, &page)
}

// Request returns the ledger's record of a request, without the answer's text.
func (c Client) Request(ctx context.Context, k ledger.Key) (ledger.Record, error) {
	var r ledger.Record
	q := url.Values{"workspace": {k.Workspace}, "id": {k.RequestID}}
	return r, c.do(ctx, http.MethodGet, "/v1/requests?"+q.Encode(), nil, &r)
}

// Status returns the control's view of the fleet.
func (c Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// do sends a request and decodes the answer into result. The error is a *Problem
// if the control returned one.
func (c Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	scheme := "http://"
	if c.TLS {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	client := c.HTTP
	if client == nil {
		client = bounded.Client
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Annotatef(err, "control at %s", c.Address)
	}
	defer resp.Body.Close()
	answer := json.NewDecoder(bounded.Body(resp, maxAnswerBytes))
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		p := &Problem{Status: resp.StatusCode}
		if err := answer.Decode(p); err != nil {
			return errors.Trace(err)
		}
		return p
	}
	return errors.Annotatef(answer.Decode(result), "answer of %s", c.Address)
}
