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
)

// Client talks to a control. The zero HTTP client is http.DefaultClient. With
// TLS the HTTP client must trust the control's certificate.
type Client struct {
	Address string
	TLS     bool
	Key     string
	HTTP    *http.Client
}

// Change sends a change. With wait it returns once the change is in force
// everywhere. An error means that the outcome is unknown: send it again.
func (c Client) Change(ctx context.Context, ch change.Change, wait bool) (Answer, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	var a Answer
	path := fmt.Sprintf("/v1/changes?wait=%t", wait)
	return a, c.do(ctx, http.MethodPost, path, body, &a)
}

// Preview returns what the change would answer and do, without making it.
func (c Client) Preview(ctx context.Context, ch change.Change) (Answer, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	var a Answer
	return a, c.do(ctx, http.MethodPost, "/v1/changes?dry_run=true", body, &a)
}

// Documents returns the newest documents.
func (c Client) Documents(ctx context.Context) (Documents, error) {
	var d Documents
	return d, c.do(ctx, http.MethodGet, "/v1/documents", nil, &d)
}

// Bills returns the bills after the sequence, at most MaxPage.
func (c Client) Bills(ctx context.Context, after uint64) ([]ledger.Bill, error) {
	var bills []ledger.Bill
	return bills, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/bills?after=%d", after), nil, &bills)
}

// WholeTrail returns all audit events that the control keeps, after the
// sequence, as one page.
func (c Client) WholeTrail(ctx context.Context, after uint64) (audit.Page, error) {
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

// Trail returns the audit events after the sequence, at most MaxPage.
func (c Client) Trail(ctx context.Context, after uint64) (audit.Page, error) {
	var page audit.Page
	return page, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/audit?after=%d", after), nil, &page)
}

// Request returns what the ledger knows of a request, without its answer's text.
func (c Client) Request(ctx context.Context, k ledger.Key) (ledger.Record, error) {
	var r ledger.Record
	q := url.Values{"workspace": {k.Workspace}, "id": {k.RequestID}}
	return r, c.do(ctx, http.MethodGet, "/v1/requests?"+q.Encode(), nil, &r)
}

// Status returns what the control knows of the fleet.
func (c Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Error gives code and detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

func (c Client) do(ctx context.Context, method, path string, body []byte, into any) error {
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
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Annotatef(err, "control at %s", c.Address)
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		p := &Problem{Status: resp.StatusCode}
		if err := json.NewDecoder(resp.Body).Decode(p); err != nil {
			return errors.Trace(err)
		}
		return p
	}
	return errors.Annotatef(json.NewDecoder(resp.Body).Decode(into), "answer of %s", c.Address)
}
