// Package control is the process that keeps the replicated state: it commits
// commands, grants serving leases and answers members and operators.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/catalog"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/internal/metrics"
	"rosereach/io/disk"
	"rosereach/io/member"
)

const (
	// maxBatch bounds the commands that are synced together.
	maxBatch = 4096

	// snapshotEvery is how many commands lie between snapshots.
	snapshotEvery = 50_000

	// expireInterval is how often ended leases are looked for.
	expireInterval = 500 * time.Millisecond
)

type (
	// Config are the settings of a control process.
	Config struct {
		ID          string
		Folder      string
		MemberKey   string
		OperatorKey string
		Terms       lease.Terms
		Clock       clock.Clock
		Logger      log.Logger
	}

	// Node is one control. It stands alone: it is the leader of a group of one.
	Node struct {
		cfg       Config
		metrics   *metrics.Set
		store     *disk.Store
		proposals chan proposal

		mu       sync.Mutex
		state    *state.State
		grantor  *lease.Grantor
		commits  []commit
		saved    uint64
		watchers map[*member.Conn]bool
		inForce  chan struct{}
	}

	// proposal is a batch of commands on its way to the disk.
	proposal struct {
		commands []state.Command
		done     chan outcome
	}

	// outcome answers a proposal.
	outcome struct {
		results []state.Result
		err     error
	}

	// commit remembers when a revision of the documents was committed.
	commit struct {
		revision uint64
		at       time.Time
	}
)

// Open reads the data folder and returns the node, which Run sets to work.
func Open(cfg Config) (*Node, error) {
	store, err := disk.Open(cfg.Folder)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, store: store,
		proposals: make(chan proposal),
		grantor:   lease.NewGrantor(cfg.Terms),
		watchers:  make(map[*member.Conn]bool),
		inForce:   make(chan struct{}),
	}
	n.metrics = newMetrics(n)
	if err := n.recover(); err != nil {
		store.Close()
		return nil, err
	}
	return n, nil
}

// Run commits proposals until the context ends, then closes the folder.
func (n *Node) Run(ctx context.Context) error {
	defer n.store.Close()
	go n.ensureSealKey(ctx)
	expire := n.cfg.Clock.NewTimer(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.Chan():
			n.expireLeases(ctx)
			expire.Reset(expireInterval)
		case p := <-n.proposals:
			if err := n.commit(ctx, n.gather(p)); err != nil {
				return err
			}
		}
	}
}

// Propose commits commands and returns their results, in order.
func (n *Node) Propose(ctx context.Context, commands ...state.Command) ([]state.Result, error) {
	p := proposal{commands: commands, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	select {
	case o := <-p.done:
		return o.results, o.err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}

// Catalog returns the newest committed documents.
func (n *Node) Catalog() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Catalog()
}

// View runs f with the replicated state, which f must not change or keep.
func (n *Node) View(f func(*state.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
}

// WaitInForce waits until every entry with a live lease applies the revision.
func (n *Node) WaitInForce(ctx context.Context, revision uint64) error {
	for {
		n.mu.Lock()
		done := n.grantor.InForce(n.cfg.Clock.Now(), revision)
		moved := n.inForce
		n.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (n *Node) recover() error {
	snapshot, entries, err := n.store.Load()
	if err != nil {
		return err
	}
	n.state = state.New()
	if len(snapshot) > 0 {
		if n.state, err = state.Decode(snapshot); err != nil {
			return err
		}
	}
	for _, e := range entries {
		var c state.Command
		if err := cbor.Unmarshal(e.Data, &c); err != nil {
			return errors.Annotatef(err, "log entry %d in %s: repair this replica", e.Index, n.cfg.Folder)
		}
		n.state.Apply(e.Index, c)
	}
	n.saved = n.state.Index()
	return nil
}

// gather adds the proposals that wait already, so that one sync serves all.
func (n *Node) gather(first proposal) []proposal {
	batch := []proposal{first}
	size := len(first.commands)
	for size < maxBatch {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			size += len(p.commands)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) commit(ctx context.Context, batch []proposal) error {
	n.mu.Lock()
	next := n.state.Index()
	n.mu.Unlock()
	var entries []disk.Entry
	for _, p := range batch {
		for _, c := range p.commands {
			next++
			data, err := cbor.Marshal(c)
			if err != nil {
				return errors.Trace(err)
			}
			entries = append(entries, disk.Entry{Index: next, Data: data})
		}
	}
	if err := n.store.Append(entries); err != nil {
		return err
	}
	n.apply(ctx, batch)
	return n.compact()
}

func (n *Node) apply(ctx context.Context, batch []proposal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.state.Catalog().Revision()
	for _, p := range batch {
		var o outcome
		for _, c := range p.commands {
			o.results = append(o.results, n.state.Apply(n.state.Index()+1, c))
		}
		p.done <- o
	}
	if revision := n.state.Catalog().Revision(); revision != before {
		n.commits = append(n.commits, commit{revision: revision, at: n.cfg.Clock.Now()})
		n.tellWatchers(ctx, revision)
	}
}

func (n *Node) compact() error {
	n.mu.Lock()
	index := n.state.Index()
	if index-n.saved < snapshotEvery {
		n.mu.Unlock()
		return nil
	}
	data, err := n.state.Encode()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.saved = index
	return n.store.SaveSnapshot(index, data)
}

// tellWatchers says that there are newer documents. Callers hold n.mu.
func (n *Node) tellWatchers(ctx context.Context, revision uint64) {
	for c := range n.watchers {
		go c.Notify(ctx, member.KindChanged, member.Changed{Revision: revision}) //nolint:errcheck // a lost notice is made up by the next lease
	}
}

// grant decides on a lease request.
func (n *Node) grant(r lease.Request) lease.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	g := n.grantor.Grant(now, 1, n.overdue(now), r)
	g.Entries = n.grantor.Live(now)
	n.wakeWaiters()
	return g
}

// overdue returns the newest revision committed longer ago than the terms'
// lag. Callers hold n.mu.
func (n *Node) overdue(now time.Time) uint64 {
	var revision uint64
	for _, c := range n.commits {
		if now.Sub(c.at) < n.cfg.Terms.Lag {
			break
		}
		revision = c.revision
	}
	return revision
}

func (n *Node) release(r member.Released) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.grantor.Release(r.Entry, r.Incarnation)
	n.wakeWaiters()
}

func (n *Node) expireLeases(ctx context.Context) {
	n.mu.Lock()
	now := n.cfg.Clock.Now()
	ended := n.grantor.Expire(now)
	n.wakeWaiters()
	n.mu.Unlock()
	for _, e := range ended {
		n.cfg.Logger.Log("msg", "Lease ended.", "entry", e.ID)
		settle := state.Settle{Owner: ledger.Owner{Entry: e.ID, Incarnation: e.Incarnation}, At: now.UTC()}
		go n.Propose(ctx, state.Command{Settle: &settle}) //nolint:errcheck // proposed again after a restart
	}
}

// wakeWaiters lets those who wait for a revision look again. Callers hold n.mu.
func (n *Node) wakeWaiters() {
	close(n.inForce)
	n.inForce = make(chan struct{})
}
