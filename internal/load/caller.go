package load

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"

	"rosereach/core/request"
	"rosereach/io/caller"
)

const (
	// maxSends is the maximum number of times that a caller sends the same request.
	maxSends = 6

	// connRetryDelay is the delay before the first retry of a request whose
	// connection failed. It doubles with each retry.
	connRetryDelay = 100 * time.Millisecond

	// addressTimeout limits the request for one entry's list of addresses.
	addressTimeout = time.Second

	// minAddressTTL is the lower bound of the list's time to live. It prevents a
	// caller from fetching the addresses for every request.
	minAddressTTL = 100 * time.Millisecond
)

type (
	// Caller sends the requests of one workspace as a well-behaved client. It
	// caches the list of entries for its time to live, connects to them
	// directly, retries a request under the same id when its answer was lost,
	// and honors the retry delay of a refusal. BootstrapEntries are used until
	// a list was fetched.
	Caller struct {
		BootstrapEntries []string
		Key              string
		Region           string
		Zone             string
		HTTP             *http.Client
		Clock            clock.Clock

		refreshing singleflight.Group

		mu         sync.Mutex
		addresses  []string
		addressTTL time.Duration
		expires    time.Time
	}

	// SendFunc sends a request once to the client's entry.
	SendFunc func(ctx context.Context, client caller.Client) (caller.Reply, error)

	// Result is the final state of a request as its caller sees it. Err is set
	// when the last connection failed.
	Result struct {
		Reply caller.Reply
		Err   error
		Sends int
	}
)

// Do sends a request until its answer is final, its context ends or maxSends
// is reached.
func (c *Caller) Do(ctx context.Context, send SendFunc) Result { return c.DoFrom(ctx, 0, send) }

// DoFrom is like Do, but starts with the entry at index first of the address
// list.
func (c *Caller) DoFrom(ctx context.Context, first int, send SendFunc) Result {
	var r Result
	delay := connRetryDelay
	for r.Sends = 1; ; r.Sends++ {
		address := c.address(ctx, first+r.Sends-1)
		r.Reply, r.Err = send(ctx, caller.Client{Address: address, Key: c.Key, HTTP: c.HTTP})
		wait, retry := c.retryAfter(address, r)
		if !retry || r.Sends >= maxSends {
			return r
		}
		if wait == 0 {
			wait = delay
			delay *= 2
		}
		select {
		case <-c.Clock.After(wait):
		case <-ctx.Done():
			return r
		}
	}
}

// Outcome returns the outcome of the request as far as the caller knows it.
func (r Result) Outcome() request.Outcome {
	if r.Err != nil {
		return request.Unknown
	}
	return r.Reply.Outcome()
}

// IsTruncated reports whether the answer ended without an end marker and without an
// error.
func (r Result) IsTruncated() bool {
	return r.Err == nil && r.Reply.Problem == nil && !r.Reply.Complete
}

// retryAfter reports whether to send the request again, and after which delay. A
// delay of 0 means the exponential backoff of DoFrom.
func (c *Caller) retryAfter(address string, r Result) (time.Duration, bool) {
	if r.Err != nil || r.IsTruncated() {
		c.moveToEnd(address)
		return 0, true
	}
	p := r.Reply.Problem
	if p == nil {
		return 0, false
	}
	if len(p.Addresses) > 0 {
		c.storeAddresses(p.Addresses, minAddressTTL)
	}
	wait := time.Duration(p.RetryAfterMs) * time.Millisecond
	return wait, wait > 0 || len(p.Addresses) > 0
}

// address returns the entry to use for the n-th attempt. In the last quarter of
// its time to live, the list is refreshed in the background; a request waits
// for the refresh only if there is no unexpired list.
func (c *Caller) address(ctx context.Context, n int) string {
	list, expires := c.cachedAddresses()
	now := c.Clock.Now()
	switch {
	case len(list) == 0 || !now.Before(expires):
		c.refreshing.Do("", c.refreshFunc(ctx)) //nolint:errcheck // falls back to BootstrapEntries
		list, _ = c.cachedAddresses()
	case expires.Sub(now) < c.ttl()/4:
		c.refreshing.DoChan("", c.refreshFunc(context.WithoutCancel(ctx)))
	}
	if len(list) == 0 {
		list = c.BootstrapEntries
	}
	return list[n%len(list)]
}

// refreshFunc returns a function that fetches a new list from the first entry that
// answers.
func (c *Caller) refreshFunc(ctx context.Context) func() (any, error) {
	return func() (any, error) {
		old, _ := c.cachedAddresses()
		var lastErr error
		for _, address := range append(old, c.BootstrapEntries...) {
			reply, err := c.fetchAddresses(ctx, address)
			if err == nil && len(reply.Addresses) > 0 {
				c.storeAddresses(reply.Addresses, max(time.Duration(reply.TTLMs)*time.Millisecond, minAddressTTL))
				return nil, nil
			}
			lastErr = err
		}
		return nil, errors.Annotate(lastErr, "no entry returned a list of addresses")
	}
}

func (c *Caller) fetchAddresses(ctx context.Context, address string) (caller.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	return caller.Client{Address: address, Key: c.Key, HTTP: c.HTTP}.FindAddresses(ctx, c.Region, c.Zone)
}

func (c *Caller) cachedAddresses() ([]string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses), c.expires
}

func (c *Caller) ttl() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addressTTL
}

func (c *Caller) storeAddresses(addresses []string, ttl time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	c.addressTTL = ttl
	c.expires = c.Clock.Now().Add(ttl)
}

// moveToEnd moves an entry whose connection failed to the end of the list.
func (c *Caller) moveToEnd(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.addresses, address)
	if i < 0 {
		return
	}
	c.addresses = append(slices.Delete(slices.Clone(c.addresses), i, i+1), address)
}
