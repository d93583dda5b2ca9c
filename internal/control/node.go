// Package control is the process that keeps the replicated state: it commits
// commands, grants serving leases and answers members and operators.
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
	"rosereach/core/lease"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/internal/metrics"
	"rosereach/io/disk"
	"rosereach/io/member"
)

const (
	// tickInterval is how often the replica's clock moves.
	tickInterval = 20 * time.Millisecond

	// electionTimeout bears two lost packets between regions, each of which the
	// kernel makes up after some 250 ms.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond

	// The bounds of one message between replicas, and of what is under way.
	maxAppendEntries = 4096
	maxAppendBytes   = 1 << 20
	sendWindow       = 32_768

	// maxQueued bounds what waits for the loop.
	maxQueued = 1024
)

type (
	// Config are the settings of a control process. Address is the host:port at
	// which others reach it. Peers are the first controls of a new group and,
	// by id, the addresses at which this one reaches them. Join are addresses of
	// a group to join; Standby waits until a group adopts this control; Seeds
	// found or find a group without an operator. With none of them an empty
	// folder starts a group of one. Orders are acknowledged only by a group of
	// LeastVoters voters or more.
	Config struct {
		ID          string
		Folder      string
		Address     string
		Region      string
		Zone        string
		Peers       map[string]string
		Join        []string
		Standby     bool
		Seeds       *Seeds
		LeastVoters int
		MemberKey   string
		OperatorKey string
		Terms       lease.Terms
		Security    *tls.Config
		Clock       clock.Clock
		Logger      log.Logger
	}

	// Seeds are the first controls of a group, for those that are told nothing
	// else. Addresses returns their host:port as it is now; Founds says that
	// this control may found the group, if it is the first of them and its
	// folder is empty. KeepVoters is how many voters the group never goes below
	// by itself.
	Seeds struct {
		Addresses  func() []string
		Founds     bool
		KeepVoters int
	}

	// Node is one control: a replica of the group's state and, while it leads,
	// the grantor of leases.
	Node struct {
		cfg       Config
		metrics   *metrics.Set
		text      *textMetrics
		store     *disk.Store
		save      func(replica.Write) error
		self      replica.Identity
		proposals chan *proposal
		inbox     chan []replica.Message
		writes    chan replica.Write
		synced    chan uint64
		snapshots chan snapshot
		kick      chan struct{}
		links     *links
		enrolling sync.Mutex

		mu         sync.Mutex
		replica    *replica.Replica
		state      *state.State
		applied    uint64
		saved      uint64
		changes    int
		writing    bool
		saving     bool
		full       error
		waiting    map[uint64]waiter
		watchers   map[*member.Conn]bool
		leadership *leadership
		inForce    chan struct{}
		fleet      *fleet
		rollouts   map[string]rolloutStart
		run        uint64
		logged     int
	}
)

// Open reads the data folder and returns the node, which Run sets to work.
func Open(cfg Config) (*Node, error) {
	store, err := disk.Open(cfg.Folder)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, store: store, save: store.Save,
		self:      replica.Identity{ID: cfg.ID, Incarnation: store.Meta().Incarnation},
		proposals: make(chan *proposal, maxQueued),
		inbox:     make(chan []replica.Message, maxQueued),
		writes:    make(chan replica.Write, 1),
		synced:    make(chan uint64, 1),
		snapshots: make(chan snapshot, 1),
		kick:      make(chan struct{}, 1),
		state:     state.New(),
		waiting:   make(map[uint64]waiter),
		watchers:  make(map[*member.Conn]bool),
		inForce:   make(chan struct{}),
		rollouts:  make(map[string]rolloutStart),
		run:       uint64(cfg.Clock.Now().UnixNano()), //nolint:gosec // a time after 1970
	}
	n.fleet = newFleet(n.run)
	n.metrics = newMetrics(n)
	n.text = newTextMetrics(n)
	n.links = newLinks(n)
	if err := n.load(); err != nil {
		store.Close()
		return nil, err
	}
	return n, nil
}

// peer says who the control is towards other members.
func (c Config) peer() member.Peer { return member.Peer{ID: c.ID, Region: c.Region, Zone: c.Zone} }

// Run works until the context ends, hands the leadership over and closes the
// folder.
func (n *Node) Run(ctx context.Context) error {
	defer n.store.Close()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return n.write(running) })
	g.Go(func() error { return n.enrol(running) })
	g.Go(func() error { return n.followFleet(running) })
	g.Go(func() error {
		defer stop()
		return n.loop(ctx, running)
	})
	return g.Wait()
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

// IsLeader reports whether this control leads and has applied all that was
// committed before its term.
func (n *Node) IsLeader() bool { return n.group().Ready }

// Term returns the term of the group, which grows with every election.
func (n *Node) Term() uint64 { return n.group().Term }

// group returns what the replica knows of its group.
func (n *Node) group() replica.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groupLocked()
}

func (n *Node) groupLocked() replica.Status {
	if n.replica == nil {
		return replica.Status{Self: n.self}
	}
	return n.replica.Status()
}

// load reads the folder. An empty one starts a group of one unless the
// settings name others.
func (n *Node) load() error {
	if n.store.Meta().Group != "" {
		return n.restart()
	}
	if len(n.cfg.Join) == 0 && len(n.otherPeers()) == 0 && !n.cfg.Standby && n.cfg.Seeds == nil {
		return n.found()
	}
	return nil
}

// found starts a new group with this control alone.
func (n *Node) found() error {
	n.cfg.Logger.Log("msg", "Starts a new group.", "id", n.cfg.ID)
	first := replica.Bootstrap(replica.Member{Identity: n.self, Address: n.cfg.Address})
	if err := n.begin(rand.Text(), first); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership = &leadership{term: first.Hard.Term + 1, fresh: true}
	return nil
}

// begin makes the folder part of a group and starts its replica.
func (n *Node) begin(group string, first replica.Saved) error {
	if err := n.store.Begin(group, first); err != nil {
		return err
	}
	return n.restart()
}

// restart starts the replica from the folder.
func (n *Node) restart() error {
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
		Group: n.store.Meta().Group, Self: n.self, Heartbeat: heartbeatInterval, Election: electionTimeout,
		MaxAppend: maxAppendEntries, MaxBytes: maxAppendBytes, Window: sendWindow, Random: newRandom(),
	}, n.cfg.Clock.Now(), saved)
	return nil
}

// restore takes the state of a snapshot. Callers hold n.mu.
func (n *Node) restore(s replica.Snapshot) error {
	n.state = state.New()
	n.applied, n.saved, n.changes = s.Index, s.Index, 0
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
