// Package entry implements the process that callers and backend servers connect
// to. It admits requests, dispatches them to backend servers and returns the
// answers.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/cascade"
	"rosereach/core/catalog"
	"rosereach/core/drain"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/limit"
	"rosereach/core/placement"
	"rosereach/core/registry"
	"rosereach/core/retry"
	iobackend "rosereach/io/backend"
	"rosereach/io/member"
)

const (
	// backendLease is how long an announcement stays valid.
	backendLease = 3 * time.Second

	// defaultDrainTime is how long a planned stop may take.
	defaultDrainTime = 10 * time.Minute

	// drainInterval is how often Drain checks whether requests are still running.
	drainInterval = 20 * time.Millisecond

	// maxIdleConns bounds the idle connections to one backend server.
	maxIdleConns = 256
)

type (
	// Config holds the settings of an entry process.
	Config struct {
		ID          string
		Incarnation uint64
		Region      string
		Zone        string
		Address     string
		Controls    []string
		MemberKey   string
		BackendKey  string
		Terms       lease.Config
		AddressTTL  time.Duration // how long callers may use a list of addresses
		Timeout     time.Duration // of requests that set no deadline
		DrainTime   time.Duration // how long Drain may take, 0 for defaultDrainTime
		MaxBody     int64         // bytes of a request's body
		MaxRunning  int           // requests, in each admission queue
		MaxWaiting  int           // requests, in each admission queue
		Seed        uint64        // of random choices
		// TLS returns the settings for connections to controls. Connections are
		// in plain text when it is nil or returns nil.
		TLS    func() (*tls.Config, error)
		Clock  clock.Clock
		Logger log.Logger
		// Forwarding makes the entry forward requests unchanged and watch
		// several controls. When nil, the entry serves its own API.
		Forwarding *Forwarding
	}

	// Entry is one entry process.
	Entry struct {
		cfg           Config
		ctx           context.Context
		stop          context.CancelFunc
		link          *link
		ledgerBatcher *batcher
		relay         *relay
		executions    *executionTable
		backends      *iobackend.Client
		catalog       atomic.Pointer[catalog.Catalog]
		hasPlan       chan struct{} // closed when there is a routing plan
		hasPlanOnce   sync.Once
		draining      atomic.Bool // removed from the address list
		stopping      *stopping   // its planned stop
		stopLog       *stopLog
		inFlight      atomic.Int64 // requests being answered

		mu              sync.Mutex
		registry        *registry.Registry
		tracker         *placement.Tracker
		unwritten       unwrittenAttempts
		prefixHints     *placement.PrefixIndex
		random          *rand.Rand
		modelPolicy     cascade.Policy
		placementPolicy placement.Policy
		engineAdmission *admission // for requests to engines
		plainAdmission  *admission // for calls to plain services
		concurrency     *limit.Adaptive
		retryBudgets    *retry.Budgets
		meter           *meter
		leaseHolder     lease.Holder
		peers           []lease.Entry // entries that hold a lease
		peerListID      uint64        // identifies the list in peers
		forwarder       *forwarder    // nil unless Config.Forwarding is set
	}
)

// New returns an entry. It connects to no control until Run is called.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg:             cfg,
		executions:      newExecutionTable(),
		hasPlan:         make(chan struct{}),
		stopping:        newStopping(),
		backends:        iobackend.NewClient(cfg.Clock, maxIdleConns),
		retryBudgets:    retry.NewBudgets(retry.EntryBudgetConfig, retry.WorkspaceBudgetConfig),
		registry:        registry.New(backendLease).WithSubset(cfg.ID, cfg.Incarnation, subsetSize),
		tracker:         placement.NewTracker(placement.DefaultCosts().PrefillPerToken),
		prefixHints:     placement.NewPrefixIndex(maxHintKeys, hintTTL),
		unwritten:       make(unwrittenAttempts),
		random:          rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		modelPolicy:     cascade.NewLearned(cascade.DefaultLearnedConfig()),
		placementPolicy: placement.NewPredicted(),
		engineAdmission: newAdmission(cfg.fairShare()),
		plainAdmission:  newAdmission(cfg.fairShare()),
		concurrency:     limit.NewAdaptive(cfg.MaxRunning, 1, cfg.MaxRunning, queueTarget),
	}
	e.catalog.Store(catalog.New(catalog.Documents{}))
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.link = newLink(e)
	e.relay = newRelay(e)
	e.ledgerBatcher = &batcher{propose: e.link.propose, pause: e.backOff, queue: make(chan *submission, maxQueuedRecords)}
	e.meter = newMeter(e)
	e.stopLog = newStopLog(e)
	if cfg.Forwarding != nil {
		e.forwarder = newForwarder(e)
	}
	return e
}

// Run maintains the lease and the documents, delivers records to the ledger and
// queries other entries for backend servers, until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.stop()
	g, ctx := errgroup.WithContext(ctx)
	if e.forwarder != nil {
		g.Go(func() error { return e.forwarder.watcher.run(ctx) })
	}
	if e.forwarder != nil && e.cfg.Forwarding.FailOpen {
		return g.Wait()
	}
	g.Go(func() error { return e.link.run(ctx) })
	g.Go(func() error { return e.ledgerBatcher.run(ctx) })
	g.Go(func() error { return e.relay.run(ctx) })
	return g.Wait()
}

// Ready reports whether the entry holds a valid lease and may dispatch requests.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseHolder.IsLive(e.cfg.Clock.Now())
}

// Drain removes the entry from the address list, refuses new requests shortly before callers'
// copies of the list expire, and returns when these have expired and all running requests have
// ended.
func (e *Entry) Drain(ctx context.Context) error {
	now := e.cfg.Clock.Now()
	schedule := e.stopping.begin(drain.Settings{
		Grace: cmp.Or(e.cfg.DrainTime, defaultDrainTime), ListLife: e.cfg.AddressTTL + e.cfg.Terms.Duration,
	}.Begin(now))
	e.draining.Store(true)
	e.link.renewNow()
	select {
	case <-e.cfg.Clock.After(schedule.HangsUp().Sub(now)):
	case <-ctx.Done():
	}
	for e.isBusy() {
		select {
		case <-e.cfg.Clock.After(drainInterval):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for running requests to end")
		}
	}
	// A lease that cannot be released expires by itself.
	if err := e.link.release(ctx); err != nil {
		level.Warn(e.cfg.Logger).Log("msg", "Failed to release the lease; it will expire.", "err", err)
	}
	return nil
}

// isBusy reports whether any request is running, waiting for its end record or
// being answered.
func (e *Entry) isBusy() bool { return e.executions.len() > 0 || e.inFlight.Load() > 0 }

func (e *Entry) owner() ledger.Owner {
	return ledger.Owner{Entry: e.cfg.ID, Incarnation: e.cfg.Incarnation}
}

// addresses returns the addresses of entries that accept callers, ordered by
// distance and then by load.
func (e *Entry) addresses(region, zone string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return orderAddresses(e.peers, region, zone)
}

// peer returns the identity that the entry presents to other members.
func (c Config) peer() member.Peer { return member.Peer{ID: c.ID, Region: c.Region, Zone: c.Zone} }
