// Package platform is the HTTP interface to the platform around rosereach: orders
// to model engines, the rating service and the weight store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"rosereach/core/retry"
	"rosereach/core/version"
	"rosereach/io/bounded"
)

// The paths of the platform's services.
const (
	PathOrders  = "/v1/orders"
	PathRatings = "/v1/ratings"
	PathWeights = "/v1/weights/"
)

// maxReplyBytes is the maximum size of an answer.
const maxReplyBytes = 4 << 20

// defaultRetryDelay is the delay after a rate limit that states none.
const defaultRetryDelay = time.Second

// The causes of errors, for errors.Is.
const (
	// ErrFenced means that the engine has seen a newer fencing number.
	ErrFenced = errors.ConstError("the engine refused an old fencing number")

	// ErrRateLimited means that the weight store rejected a load because of its
	// rate limit.
	ErrRateLimited = errors.ConstError("the weight store is at its rate limit")
)

type (
	// Fence is the fencing number of an order: the leader's term and a sequence
	// number within it.
	Fence struct {
		Term     uint64 `json:"term"`
		Sequence uint64 `json:"sequence"`
	}

	// Order sets the versions that an engine keeps loaded. It is idempotent.
	Order struct {
		Fence    Fence         `json:"fence"`
		Versions []version.Ref `json:"versions"`
	}

	// Sample is an answer to be rated.
	Sample struct {
		// Collector is the name under which the rating is collected.
		Collector string      `json:"collector"`
		RequestID string      `json:"request_id"`
		Workspace string      `json:"workspace"`
		Class     string      `json:"class"`
		Version   version.Ref `json:"version"`
		Prompt    string      `json:"prompt"`
		Answer    string      `json:"answer"`
	}

	// Rating is the rating of one answer.
	Rating struct {
		RequestID string      `json:"request_id"`
		Workspace string      `json:"workspace"`
		Class     string      `json:"class"`
		Version   version.Ref `json:"version"`
		Quality   float64     `json:"quality"` // 0 to 1
	}

	// Client calls the platform's services over HTTP.
	Client struct {
		// HTTP is bounded.Client if it is nil.
		HTTP *http.Client
	}
)

// IsOlderThan reports whether f precedes other, so that an engine that has seen
// other must refuse an order with f.
func (f Fence) IsOlderThan(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}

// Order sends an order to the engine at the address. The error's cause is
// ErrFenced if the engine refused the fencing number. After any other error the
// engine may have accepted the order.
func (c Client) Order(ctx context.Context, address string, o Order) error {
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+PathOrders, o)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Annotatef(ErrFenced, "engine at %s, order %d.%d", address, o.Fence.Term, o.Fence.Sequence)
	}
	return errors.Errorf("engine at %s: status %d", address, resp.StatusCode)
}

// SubmitSample sends an answer to the rating service at the address.
func (c Client) SubmitSample(ctx context.Context, address string, s Sample) error {
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+PathRatings, s)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return errors.Errorf("rating service at %s: status %d", address, resp.StatusCode)
	}
	return nil
}

// CollectRatings returns the ratings that are ready for the collector. The service
// returns each rating once.
func (c Client) CollectRatings(ctx context.Context, address, collector string) ([]Rating, error) {
	target := "http://" + address + PathRatings + "?collector=" + url.QueryEscape(collector)
	resp, err := c.do(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("rating service at %s: status %d", address, resp.StatusCode)
	}
	var ratings []Rating
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&ratings)
	return ratings, errors.Annotate(err, "decode ratings")
}

// LoadWeights requests a version's weights from the weight store. If the error's cause
// is ErrRateLimited, wait is the time before the next attempt.
func (c Client) LoadWeights(ctx context.Context, address string, ref version.Ref) (wait time.Duration, err error) {
	resp, err := c.do(ctx, http.MethodGet, "http://"+address+PathWeights+url.PathEscape(ref.String()), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return retryDelay(resp.Header), errors.Annotatef(ErrRateLimited, "weights of %s", ref)
	}
	return 0, errors.Errorf("weight store at %s: status %d", address, resp.StatusCode)
}

// do sends a request with the message, which may be nil, as its body.
func (c Client) do(ctx context.Context, method, target string, message any) (*http.Response, error) {
	var body bytes.Buffer
	if message != nil {
		if err := json.NewEncoder(&body).Encode(message); err != nil {
			return nil, errors.Trace(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, target, &body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	client := c.HTTP
	if client == nil {
		client = bounded.Client
	}
	resp, err := client.Do(req)
	return resp, errors.Annotatef(err, "platform at %s", target)
}

// retryDelay returns the delay that the answer asks for, as retry.ParseAfter reads it, or
// defaultRetryDelay when it asks for none or can't be read: a rate limit without a delay
// must not be run into again at once.
func retryDelay(h http.Header) time.Duration {
	if delay, err := retry.ParseAfter(h.Values("Retry-After")); err == nil && delay > 0 {
		return delay
	}
	return defaultRetryDelay
}
