package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/catalog"
	"rosereach/core/roster"
	"rosereach/io/member"
)

const (
	// feedCount is how many controls an entry follows at once: one may be down
	// and another cut off from the rest.
	feedCount = 3

	// feedTimeout ends a connection whose answer stays out. It is due after a
	// second.
	feedTimeout = 2 * time.Second

	// feedPause keeps a storm of changes from becoming a storm of messages.
	feedPause = 50 * time.Millisecond

	// farDelay is how long a control in another region, or zone, is not asked
	// for documents that a nearer one will have as well: a follower learns of a
	// commit with the leader's next heartbeat.
	farDelay = 150 * time.Millisecond

	// fetchTimeout bounds one control's answer with documents, after which
	// another control is asked.
	fetchTimeout = 700 * time.Millisecond

	// strayAfter is how long a control may be without leader until the entry
	// follows another one.
	strayAfter = 2 * time.Second

	// serverForget is how long a server that is gone is remembered, so that a
	// late word of a control does not revive it.
	serverForget = time.Minute
)

// feeds keep the entry told by several controls at once.
type feeds struct {
	entry *Entry

	mu       sync.Mutex
	known    []string
	used     map[string]*member.Conn
	near     map[string]int
	sequence uint64
	entries  int
	fetching bool
}

// feed is what one followed control has told.
type feed struct {
	source  uint64
	roster  uint64
	current time.Time
	far     int
}

func newFeeds(e *Entry) *feeds {
	return &feeds{entry: e, used: make(map[string]*member.Conn), near: make(map[string]int), entries: 1}
}

// run follows controls until the context ends.
func (f *feeds) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range feedCount {
		g.Go(func() error {
			f.follow(ctx)
			return nil
		})
	}
	return g.Wait()
}

// follow keeps one connection, each time to a control that is not followed yet.
func (f *feeds) follow(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		address := f.claim(next)
		if address != "" {
			err := f.serve(ctx, address)
			f.release(address)
			if err != nil && ctx.Err() == nil {
				f.entry.cfg.Logger.Log("msg", "Control is not followed any more.", "control", address, "err", err)
			}
		}
		select {
		case <-f.entry.cfg.Clock.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// claim returns a control that no other feed follows, empty when there is none.
// Near ones go first, as far as they are known, and entries begin with
// different ones.
func (f *feeds) claim(next int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Concat(f.known, f.entry.cfg.Forwarding.Controls())
	slices.Sort(all)
	all = slices.Compact(all)
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.near[a], f.near[b]),
			cmp.Compare(xxhash.Sum64String(f.entry.cfg.ID+a), xxhash.Sum64String(f.entry.cfg.ID+b)))
	})
	for i := range all {
		address := all[(next+i)%len(all)]
		if _, taken := f.used[address]; !taken {
			f.used[address] = nil
			return address
		}
	}
	return ""
}

func (f *feeds) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.used, address)
}

// serve asks one control again and again for what is new.
func (f *feeds) serve(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cfg := f.entry.cfg
	security, err := cfg.security()
	if err != nil {
		return err
	}
	conn, err := member.DialTLS(ctx, address, cfg.MemberKey, cfg.peer(), f, security)
	if err != nil {
		return err
	}
	defer conn.Close()
	cfg.Logger.Log("msg", "Follows a control.", "control", address)
	f.mu.Lock()
	f.used[address] = conn
	far := f.distance(conn.Peer())
	f.near[address] = far
	f.mu.Unlock()
	state := &feed{far: far, current: cfg.Clock.Now()}
	for {
		if err := f.ask(ctx, conn, state); err != nil {
			return err
		}
		if cfg.Clock.Now().Sub(state.current) > strayAfter {
			return errors.New("the control follows no leader")
		}
		select {
		case <-cfg.Clock.After(feedPause):
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *feeds) ask(ctx context.Context, conn *member.Conn, state *feed) error {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	e := f.entry
	request := member.WatchRequest{
		Source: state.source, Roster: state.roster, Documents: e.catalog.Load().Revision(), Entry: f.presence(), Report: e.forwarding.report(),
	}
	var reply member.WatchReply
	if err := conn.Call(ctx, member.KindWatch, request, &reply); err != nil {
		return err
	}
	f.learn(reply, state)
	return f.fetch(ctx, conn, reply.Revision, state.far)
}

// distance ranks a control: 0 in the own availability zone, 1 in the region, 2
// elsewhere.
func (f *feeds) distance(p member.Peer) int {
	switch cfg := f.entry.cfg; {
	case p.Zone == cfg.Zone:
		return 0
	case p.Region == cfg.Region:
		return 1
	}
	return 2
}

// fetch asks for newer documents, once for all feeds. Documents only ever
// become newer.
func (f *feeds) fetch(ctx context.Context, conn *member.Conn, revision uint64, far int) error {
	e := f.entry
	if revision <= e.catalog.Load().Revision() {
		return nil
	}
	if far > 0 && e.catalog.Load().Revision() > 0 {
		select {
		case <-e.cfg.Clock.After(time.Duration(far) * farDelay):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	if revision <= e.catalog.Load().Revision() || !f.beginFetch() {
		return nil
	}
	defer f.endFetch()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply member.DocumentsReply
	have := e.catalog.Load().Revision()
	if err := conn.Call(ctx, member.KindDocuments, member.DocumentsRequest{Have: have, Any: true}, &reply); err != nil {
		return err
	}
	if reply.Documents != nil {
		e.takeDocuments(reply.Documents)
	}
	return nil
}

func (f *feeds) beginFetch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching {
		return false
	}
	f.fetching = true
	return true
}

func (f *feeds) endFetch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// learn takes a control's answer. That a server is silent counts only from a
// control that is in touch itself.
func (f *feeds) learn(reply member.WatchReply, state *feed) {
	e := f.entry
	now := e.cfg.Clock.Now()
	state.source, state.roster = reply.Source, reply.Roster.Version
	if reply.Current {
		state.current = now
	} else {
		for i := range reply.Roster.Records {
			reply.Roster.Records[i].Silent = false
		}
	}
	e.forwarding.learn(now, reply.Roster)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(reply.Controls) > 0 {
		f.known = reply.Controls
	}
	if reply.Current && reply.Entries > 0 {
		f.entries = reply.Entries
	}
}

// takeDocuments puts documents in force unless newer ones are.
func (e *Entry) takeDocuments(docs *catalog.Documents) {
	next := catalog.New(*docs)
	for {
		old := e.catalog.Load()
		if old.Revision() >= next.Revision() {
			return
		}
		if e.catalog.CompareAndSwap(old, next) {
			added, removed := next.Routes().KeyChanges(old.Routes())
			e.cfg.Logger.Log("msg", "Documents come into force.", "revision", next.Revision(), "before", old.Revision(), "keys_added", added, "keys_removed", removed)
			return
		}
	}
}

// presence says that this entry serves.
func (f *feeds) presence() *member.Presence {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	cfg := f.entry.cfg
	return &member.Presence{
		ID: cfg.ID, Incarnation: cfg.Incarnation, Sequence: f.sequence, Address: cfg.Address, Region: cfg.Region, Zone: cfg.Zone,
		Applied: f.entry.catalog.Load().Revision(), Draining: f.entry.draining.Load() || !f.entry.isServing(),
	}
}

// fleetSize returns how many entries serve, as last told.
func (f *feeds) fleetSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.entries, 1)
}

// Handle answers a control's questions; it asks none.
func (f *feeds) Handle(_ context.Context, _ *member.Conn, kind member.Kind, _ cbor.RawMessage) (any, error) {
	if kind == member.KindChanged {
		return nil, nil
	}
	return nil, &member.Problem{Code: member.CodeRefused, Detail: "unknown message " + string(kind)}
}

func newEntryRoster(start uint64) *roster.Roster {
	return roster.New(roster.Terms{ForgetAfter: serverForget}, start)
}

// StopListing takes the entry off the list of addresses and waits until callers
// no longer use an old list. From then on it refuses new requests.
func (e *Entry) StopListing(ctx context.Context, listed time.Duration) {
	e.draining.Store(true)
	e.forwarding.feeds.announce(ctx)
	select {
	case <-e.cfg.Clock.After(listed):
	case <-ctx.Done():
	}
	e.closed.Store(true)
}

// IsDraining reports whether the entry stops.
func (e *Entry) IsDraining() bool { return e.draining.Load() }

// announce tells the followed controls at once what this entry says of itself.
func (f *feeds) announce(ctx context.Context) {
	f.mu.Lock()
	var conns []*member.Conn
	for _, c := range f.used {
		if c != nil {
			conns = append(conns, c)
		}
	}
	f.mu.Unlock()
	for _, c := range conns {
		if err := c.Notify(ctx, member.KindPresence, f.presence()); err != nil {
			level.Debug(f.entry.cfg.Logger).Log("msg", "Control was not told; it hears it with the next question.", "err", err)
		}
	}
}
