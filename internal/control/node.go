// Package control implements the control process, a replica of the system's
// state: it commits commands, grants serving leases to entries and answers
// members and operators.
package control

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/lease"
	"rosereach/core/replica"
	"rosereach/core/rollout"
	"rosereach/core/state"
	"rosereach/internal/metrics"
	"rosereach/io/disk"
	"rosereach/io/member"
)

const (
	// tickInterval is how often the replica checks its timeouts.
	tickInterval = 20 * time.Millisecond

	// electionTimeout tolerates two lost packets between regions, each of which
	// the kernel retransmits after about 250 ms.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond

	// Limits of one append message, and of the unacknowledged entries per peer.
	maxAppendEntries = 4096
	maxAppendBytes   = 1 << 20
	sendWindow       = 32_768

	// maxQueued bounds the proposals and the message batches that wait for the
	// loop.
	maxQueued = 1024
)

type (
	// Config holds the settings of a control process. If none of Peers, Join,
	// Standby and Seeds is set, a control with an empty folder founds a group of
	// one.
	Config struct {
		ID string

		// ForgetQuarantine starts this control without what it had listed.
		ForgetQuarantine bool

		// Folder is the data folder.
		Folder string

		// Address is the host:port at which others reach this control.
		Address string

		Region string
		Zone   string

		// Peers are the first controls of a new group: the address at which this
		// control reaches each, by id.
		Peers map[string]string

		// Join are addresses of controls whose group this one joins.
		Join []string

		// Standby makes a control without a group wait until one adopts it.
		Standby bool

		// Seeds let the control found or join a group without an operator.
		Seeds *Seeds

		// MinVoters is how many voters the group needs before routing plans and
		// roll-outs are acknowledged.
		MinVoters int

		// Exposure bounds the requests that an unproven release gets in a roll-out.
		Exposure rollout.Budget

		// MemberKey authenticates members, OperatorKey the first operator.
		MemberKey   string
		OperatorKey string

		// Terms configures the leases that this control grants.
		Terms lease.Config

		// TLS is the TLS configuration for other controls, nil for plain TCP.
		TLS *tls.Config

		Clock  clock.Clock
		Logger log.Logger
	}

	// Seeds are the well-known controls through which a control finds its group.
	Seeds struct {
		// Addresses returns the current host:port of each seed.
		Addresses func() []string

		// MayFound permits this control to found the group, if its address is the
		// lowest of the seeds' and its folder is empty.
		MayFound bool

		// MinVoters is the number of voters that the group needs to tolerate
		// failures. It never goes below by removing a silent voter by itself.
		MinVoters int
	}

	// Node is one control: a replica of the group's state and, while it leads,
	// the grantor of leases.
	Node struct {
		cfg         Config
		metrics     *metrics.Set
		textMetrics *textMetrics
		store       *disk.Store
		save        func(replica.Write) error
		self        replica.Identity

		// Events for the loop, except writes, which the loop sends to the disk
		// writer. A value on flushRequests makes the loop flush.
		proposals     chan *proposal
		inbox         chan []replica.Message
		writes        chan replica.Write
		synced        chan uint64
		snapshots     chan snapshot
		flushRequests chan struct{}

		// listedChanged makes the writer of the quarantine store it.
		listedChanged chan struct{}

		links *links

		// joinMu serializes founding and joining a group.
		joinMu sync.Mutex

		mu      sync.Mutex
		replica *replica.Replica
		state   *state.State

		// applied is the index of the newest applied log entry, snapshotIndex
		// that of the newest snapshot.
		applied       uint64
		snapshotIndex uint64

		// changesSinceSnapshot counts the changes applied since the last snapshot started.
		changesSinceSnapshot int

		// writing is set while a write is in progress, snapshotting while a
		// snapshot is encoded.
		writing      bool
		snapshotting bool

		// diskFullErr is the error of the last write when the disk is full.
		diskFullErr error

		// pending are the proposed commands that are not committed yet, by log
		// index.
		pending map[uint64]pendingCommand

		// watchers are the connections that entries and controls opened.
		watchers map[*member.Conn]bool

		// leadership is nil while this control doesn't lead, except that founding a
		// group creates it before the first election.
		leadership *leadership

		// inForceChanged is closed and replaced when a revision may have come into force.
		inForceChanged chan struct{}

		fleet         *fleet
		rolloutClocks map[string]rolloutClock

		// featuresTriedAt is when features were last to be enabled in advance.
		featuresTriedAt time.Time

		// runID identifies this run of the process; it grows with each start.
		runID uint64

		// bytesSinceSnapshot counts the bytes of the log entries applied since the last
		// snapshot started.
		bytesSinceSnapshot int
	}
)

// Open reads the data folder and returns the node. Call Run to start it.
func Open(cfg Config) (*Node, error) {
	store, err := disk.Open(cfg.Folder)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, store: store, save: store.Save,
		self:           replica.Identity{ID: cfg.ID, Incarnation: store.Meta().Incarnation},
		proposals:      make(chan *proposal, maxQueued),
		inbox:          make(chan []replica.Message, maxQueued),
		writes:         make(chan replica.Write, 1),
		synced:         make(chan uint64, 1),
		snapshots:      make(chan snapshot, 1),
		flushRequests:  make(chan struct{}, 1),
		listedChanged:  make(chan struct{}, 1),
		state:          state.New(),
		pending:        make(map[uint64]pendingCommand),
		watchers:       make(map[*member.Conn]bool),
		inForceChanged: make(chan struct{}),
		rolloutClocks:  make(map[string]rolloutClock),
		runID:          uint64(cfg.Clock.Now().UnixNano()), //nolint:gosec // a time after 1970
	}
	n.fleet = newFleet(cfg.Clock.Now(), n.runID)
	n.metrics = newMetrics(n)
	n.textMetrics = newTextMetrics(n)
	n.links = newLinks(n)
	if err := n.loadQuarantine(); err != nil {
		store.Close()
		return nil, err
	}
	if err := n.load(); err != nil {
		store.Close()
		return nil, err
	}
	return n, nil
}

// selfPeer describes this control to other members.
func (n *Node) selfPeer() member.Peer {
	return member.Peer{ID: n.cfg.ID, Region: n.cfg.Region, Zone: n.cfg.Zone, Incarnation: n.self.Incarnation, Features: change.Features()}
}

// Run runs the control until the context ends. It then transfers its leadership,
// if it leads, and closes the folder.
func (n *Node) Run(ctx context.Context) error {
	defer n.store.Close()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return n.runWriter(runCtx) })
	g.Go(func() error { return n.runQuarantineWriter(runCtx) })
	g.Go(func() error { return n.joinGroup(runCtx) })
	g.Go(func() error { return n.maintainFleet(runCtx) })
	g.Go(func() error {
		defer stop()
		return n.loop(ctx, runCtx)
	})
	return g.Wait()
}

// Catalog returns the newest committed documents.
func (n *Node) Catalog() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Catalog()
}

// View calls f with the replicated state, which f must neither change nor keep.
func (n *Node) View(f func(*state.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
}

// IsLeader reports whether this control leads and has applied all that was
// committed before its term.
func (n *Node) IsLeader() bool { return n.group().Ready }

// Term returns the term of the group, which grows with every election.
func (n *Node) Term() uint64 { return n.group().Term }

// group returns the replica's view of its group.
func (n *Node) group() replica.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groupLocked()
}

// groupLocked is group for callers that hold n.mu.
func (n *Node) groupLocked() replica.Status {
	if n.replica == nil {
		return replica.Status{Self: n.self}
	}
	return n.replica.Status()
}

// load starts the replica of a folder that has a group. With an empty folder it
// starts a group of one, unless the settings name other controls.
func (n *Node) load() error {
	if n.store.Meta().Group != "" {
		return n.startReplica()
	}
	if len(n.cfg.Join) == 0 && len(n.otherPeers()) == 0 && !n.cfg.Standby && n.cfg.Seeds == nil {
		return n.foundGroup()
	}
	return nil
}

// foundGroup starts a new group with this control alone.
func (n *Node) foundGroup() error {
	n.cfg.Logger.Log("msg", "Founds a new group.", "id", n.cfg.ID)
	first := replica.Bootstrap(replica.Member{Identity: n.self, Address: n.cfg.Address})
	if err := n.enterGroup(rand.Text(), first); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership = &leadership{term: first.HardState.Term + 1, newGroup: true}
	return nil
}

// enterGroup binds the folder to a group, with its first log and membership, and
// starts the replica.
func (n *Node) enterGroup(group string, first replica.PersistentState) error {
	if err := n.store.JoinGroup(group, first); err != nil {
		return err
	}
	return n.startReplica()
}

// startReplica starts the replica from the folder's contents.
func (n *Node) startReplica() error {
	saved, err := n.store.Load()
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.restore(saved.Snapshot); err != nil {
		return err
	}
	n.replica = replica.New(replica.Config{
		Group: n.store.Meta().Group, Self: n.self, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		MaxAppendEntries: maxAppendEntries, MaxMessageBytes: maxAppendBytes, MaxInflightEntries: sendWindow, Random: newRandom(),
	}, n.cfg.Clock.Now(), saved)
	n.permitHalfElections()
	return nil
}

// permitHalfElections permits them to the replica once the group has enabled the feature.
// Callers hold n.mu.
func (n *Node) permitHalfElections() {
	if n.hasFeature(change.HalfElections) {
		n.replica.PermitHalfElections()
	}
}

// restore replaces the state by that of a snapshot. Callers hold n.mu.
func (n *Node) restore(s replica.Snapshot) error {
	n.state = state.New()
	n.applied, n.snapshotIndex, n.changesSinceSnapshot = s.Index, s.Index, 0
	if len(s.Data) == 0 {
		return nil
	}
	restored, err := state.Decode(s.Data)
	if err != nil {
		return errors.Annotatef(err, "snapshot %d in %s: repair this replica from the others", s.Index, n.cfg.Folder)
	}
	n.state = restored
	return nil
}

func newRandom() *mathrand.Rand {
	var seed [16]byte
	rand.Read(seed[:]) //nolint:errcheck // it never fails
	return mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}
