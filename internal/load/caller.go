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
	// maxSends bounds how often a caller sends the same request.
	maxSends = 6

	// lostRetryDelay is the wait before a request whose connection failed is
	// sent again; it doubles with each time.
	lostRetryDelay = 100 * time.Millisecond

	// askTimeout bounds the wait for one entry's list of addresses.
	askTimeout = time.Second

	// shortestTTL keeps a caller from asking for addresses at every request.
	shortestTTL = 100 * time.Millisecond
)

type (
	// Caller sends the requests of one workspace as a well-behaved client: it
	// keeps the list of entries for its time to live, connects to them
	// directly, sends a request again under the same id when its answer was
	// lost, and waits for as long as a refusal says.
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

	// Send is one sending of a request to the client's entry.
	Send func(ctx context.Context, client caller.Client) (caller.Reply, error)

	// Final is what a caller knows at the end of a request. Err is set when the
	// last connection failed.
	Final struct {
		Reply caller.Reply
		Err   error
		Sends int
	}
)

// Do sends a request until its answer is final, its context ends or it was
// sent too often.
func (c *Caller) Do(ctx context.Context, send Send) Final { return c.DoFrom(ctx, 0, send) }

// DoFrom is Do, beginning with the entry at a place in the list of addresses.
func (c *Caller) DoFrom(ctx context.Context, first int, send Send) Final {
	var f Final
	delay := lostRetryDelay
	for f.Sends = 1; ; f.Sends++ {
		address := c.address(ctx, first+f.Sends-1)
		f.Reply, f.Err = send(ctx, caller.Client{Address: address, Key: c.Key, HTTP: c.HTTP})
		wait, again := c.next(address, f)
		if !again || f.Sends >= maxSends {
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

// Outcome returns what the caller knows of its request.
func (f Final) Outcome() request.Outcome {
	if f.Err != nil {
		return request.Unknown
	}
	return f.Reply.Outcome()
}

// IsCut reports whether the answer ended without its end and without an error.
func (f Final) IsCut() bool {
	return f.Err == nil && f.Reply.Problem == nil && !f.Reply.Whole
}

// next returns whether to send again and after what time; 0 leaves the time to
// the caller.
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

// address returns the entry to use for the n-th sending. The list is asked for
// again shortly before its time to live has passed, beside the requests; only
// a caller without a list that still counts waits for the answer.
func (c *Caller) address(ctx context.Context, n int) string {
	list, expires := c.current()
	now := c.Clock.Now()
	switch {
	case len(list) == 0 || !now.Before(expires):
		c.asking.Do("", c.askOnce(ctx)) //nolint:errcheck // the known entries are used instead
		list, _ = c.current()
	case expires.Sub(now) < c.ttl()/4:
		c.asking.DoChan("", c.askOnce(context.WithoutCancel(ctx)))
	}
	if len(list) == 0 {
		list = c.Known
	}
	return list[n%len(list)]
}

// askOnce returns a function that gets a new list from the first entry that
// answers.
func (c *Caller) askOnce(ctx context.Context) func() (any, error) {
	return func() (any, error) {
		old, _ := c.current()
		var last error
		for _, address := range append(old, c.Known...) {
			got, err := c.ask(ctx, address)
			if err == nil && len(got.Addresses) > 0 {
				c.keep(got.Addresses, max(time.Duration(got.TTLMs)*time.Millisecond, shortestTTL))
				return nil, nil
			}
			last = err
		}
		return nil, errors.Annotate(last, "no entry gave addresses")
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
	at := slices.Index(c.list, address)
	if at < 0 {
		return
	}
	c.list = append(slices.Delete(slices.Clone(c.list), at, at+1), address)
}
