package fake

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/clock"

	"rosereach/core/backend"
	iobackend "rosereach/io/backend"
)

// AnnounceInterval is how often a backend server announces itself.
const AnnounceInterval = time.Second

// Announcer announces a backend server to entries, again every second.
// Describe returns what it says. Reach, if set, returns the address that it
// names to the entry at the given one.
type Announcer struct {
	Entries  []string
	Key      string
	Clock    clock.Clock
	Describe func() backend.Announcement
	Reach    func(entry string) string

	sequence atomic.Uint64
}

// Run announces until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		a.Now(ctx)
		select {
		case <-a.Clock.After(AnnounceInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// Now announces once to every entry. An entry out of reach is passed over: the
// next announcement tries it again.
func (a *Announcer) Now(ctx context.Context) {
	sequence := a.sequence.Add(1)
	ctx, cancel := context.WithTimeout(ctx, AnnounceInterval)
	defer cancel()
	var all sync.WaitGroup
	for _, entry := range a.Entries {
		said := a.Describe()
		said.Sequence = sequence
		if a.Reach != nil {
			said.Address = a.Reach(entry)
		}
		all.Go(func() {
			iobackend.Announce(ctx, http.DefaultClient, entry, a.Key, said) //nolint:errcheck // tried again each second
		})
	}
	all.Wait()
}
