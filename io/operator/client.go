package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/change"
	"rosereach/core/ledger"
)

// Client talks to a control. The zero HTTP client is http.DefaultClient.
type Client struct {
	Address string
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

// WholeTrail returns all audit events that the control keeps, in order.
func (c Client) WholeTrail(ctx context.Context) ([]audit.Event, error) {
	var (
		all   []audit.Event
		after uint64
	)
	for {
		page, err := c.Trail(ctx, after)
		if err != nil || len(page) == 0 {
			return all, err
		}
		all = append(all, page...)
		after = page[len(page)-1].Sequence
	}
}

// Trail returns the audit events after the sequence, at most MaxPage.
func (c Client) Trail(ctx context.Context, after uint64) ([]audit.Event, error) {
	var events []audit.Event
	return events, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/audit?after=%d", after), nil, &events)
}

// Status returns what the control knows of the fleet.
func (c Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Error gives code and detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

func (c Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
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
