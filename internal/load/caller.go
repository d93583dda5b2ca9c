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
	// maxSends is how many times a caller sends the same request at most.
	maxSends = 6

	// lostRetryDelay is the delay before the first retry of a request whose
	// connection failed. It doubles with each retry.
	lostRetryDelay = 100 * time.Millisecond

	// askTimeout limits the request for one entry's list of addresses.
	askTimeout = time.Second

	// shortestTTL is the lower bound of the list's time to live. It prevents a
	// caller from fetching the addresses for every request.
	shortestTTL = 100 * time.Millisecond
)

type (
	// Caller sends the requests of one workspace as a well-behaved client. It
	// caches the list of entries for its time to live, connects to them
	// directly, retries a request under the same id when its answer was lost,
	// and honors the retry delay of a refusal. BootstrapEntries are used until
	// a list was fetched.
	Caller struct {
		Known  []string
		Key    string
		Region string
		Zone   string
		HTTP   *http.Client
		Clock  clock.Clock

		asking singleflight.Group

		mu      sync.Mutex
		list    []string
		kept    time.Duration
		expires time.Time
	}

	// Send sends a request once to the client's entry.
	Send func(ctx context.Context, client caller.Client) (caller.Reply, error)

	// Final is the final state of a request as its caller sees it. Err is set
	// when the last connection failed.
	Final struct {
		Reply caller.Reply
		Err   error
		Sends int
	}
)

// Do sends a request until its answer is final, its context ends or maxSends
// is reached.
func (c *Caller) Do(ctx context.Context, send Send) Final { return c.DoFrom(ctx, 0, send) }

// DoFrom is like Do, but starts with the entry at index first of the address
// list.
func (c *Caller) DoFrom(ctx context.Context, first int, send Send) Final {
	var f Final
	delay := lostRetryDelay
	for f.Sends = 1; ; f.Sends++ {
		address := c.address(ctx, first+f.Sends-1)
		f.Reply, f.Err = send(ctx, caller.Client{Address: address, Key: c.Key, HTTP: c.HTTP})
		wait, retry := c.next(address, f)
		if !retry || f.Sends >= maxSends {
			return f
		}
		if wait == 0 {
			wait = delay
			delay *= 2
		}
		select {
		case <-c.Clock.After(wait):
		case <-ctx.Done():
			return f
		}
	}
}

// Outcome returns the outcome of the request as far as the caller knows it.
func (f Final) Outcome() request.Outcome {
	if f.Err != nil {
		return request.Unknown
	}
	return f.Reply.Outcome()
}

// IsCut reports whether the answer ended without an end marker and without an
// error.
func (f Final) IsCut() bool {
	return f.Err == nil && f.Reply.Problem == nil && !f.Reply.Whole
}

// next reports whether to send the request again, and after which delay. A
// delay of 0 means the exponential backoff of DoFrom.
func (c *Caller) next(address string, f Final) (time.Duration, bool) {
	if f.Err != nil || f.IsCut() {
		c.forget(address)
		return 0, true
	}
	p := f.Reply.Problem
	if p == nil {
		return 0, false
	}
	if len(p.Addresses) > 0 {
		c.keep(p.Addresses, shortestTTL)
	}
	wait := time.Duration(p.RetryAfterMs) * time.Millisecond
	return wait, wait > 0 || len(p.Addresses) > 0
}

// address returns the entry to use for the n-th attempt. In the last quarter of
// its time to live, the list is refreshed in the background; a request waits
// for the refresh only if there is no unexpired list.
func (c *Caller) address(ctx context.Context, n int) string {
	list, expires := c.current()
	now := c.Clock.Now()
	switch {
	case len(list) == 0 || !now.Before(expires):
		c.asking.Do("", c.askOnce(ctx)) //nolint:errcheck // falls back to BootstrapEntries
		list, _ = c.current()
	case expires.Sub(now) < c.ttl()/4:
		c.asking.DoChan("", c.askOnce(context.WithoutCancel(ctx)))
	}
	if len(list) == 0 {
		list = c.Known
	}
	return list[n%len(list)]
}

// askOnce returns a function that fetches a new list from the first entry that
// answers.
func (c *Caller) askOnce(ctx context.Context) func() (any, error) {
	return func() (any, error) {
		old, _ := c.current()
		var lastErr error
		for _, address := range append(old, c.Known...) {
			reply, err := c.ask(ctx, address)
			if err == nil && len(reply.Addresses) > 0 {
				c.keep(reply.Addresses, max(time.Duration(reply.TTLMs)*time.Millisecond, shortestTTL))
				return nil, nil
			}
			lastErr = err
		}
		return nil, errors.Annotate(lastErr, "no entry returned a list of addresses")
	}
}

func (c *Caller) ask(ctx context.Context, address string) (caller.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return caller.Client{Address: address, Key: c.Key, HTTP: c.HTTP}.FindAddresses(ctx, c.Region, c.Zone)
}

func (c *Caller) current() ([]string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.list), c.expires
}

func (c *Caller) ttl() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept
}

func (c *Caller) keep(addresses []string, ttl time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = addresses
	c.kept = ttl
	c.expires = c.Clock.Now().Add(ttl)
}

// forget moves an entry whose connection failed to the end of the list.
func (c *Caller) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.list, address)
	if i < 0 {
		return
	}
	c.list = append(slices.Delete(slices.Clone(c.list), i, i+1), address)
}
