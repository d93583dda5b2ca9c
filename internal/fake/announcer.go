package fake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/clock"

	"rosereach/core/backend"
	iobackend "rosereach/io/backend"
	"rosereach/io/bounded"
)

// AnnounceInterval is the interval between announcements of a backend server.
const AnnounceInterval = time.Second

// Announcer announces a backend server to entries every AnnounceInterval.
type Announcer struct {
	Entries []string
	Key     string
	Clock   clock.Clock
	// Describe returns the current announcement.
	Describe func() backend.Announcement
	// AddressFor, if set, returns the address under which the given entry can
	// reach the server.
	AddressFor func(entry string) string

	sequence atomic.Uint64
}

// Run announces the server until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		a.AnnounceOnce(ctx)
		select {
		case <-a.Clock.After(AnnounceInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// AnnounceOnce announces the server once to every entry. Failures are ignored, since
// the next announcement retries them.
func (a *Announcer) AnnounceOnce(ctx context.Context) {
	sequence := a.sequence.Add(1)
	ctx, cancel := context.WithTimeout(ctx, AnnounceInterval)
	defer cancel()
	var wg sync.WaitGroup
	for _, entry := range a.Entries {
		announcement := a.Describe()
		announcement.Sequence = sequence
		if a.AddressFor != nil {
			announcement.Address = a.AddressFor(entry)
		}
		wg.Go(func() {
			iobackend.Announce(ctx, bounded.Client, entry, a.Key, announcement) //nolint:errcheck // retried every second
		})
	}
	wg.Wait()
}
