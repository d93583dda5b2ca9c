package control

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/health"
	"rosereach/core/pacing"
	"rosereach/core/quarantine"
	"rosereach/core/replica"
	"rosereach/core/roster"
	"rosereach/core/speed"
	"rosereach/core/warmup"
	"rosereach/io/member"
)

const (
	// watchMaxWait is the longest time until a watch is answered.
	watchMaxWait = time.Second

	// watchTimeout ends a connection whose watch gets no answer. The answer is
	// due after watchMaxWait plus a round trip between regions.
	watchTimeout = 2 * time.Second

	// watchPause is the pause between two watches of another control, so that a
	// burst of changes takes few messages.
	watchPause = 50 * time.Millisecond

	// presenceTTL is how long an entry counts as live after its last presence.
	// An entry sends it to three controls every second, and each passes it on.
	presenceTTL = 2 * time.Second

	// serverSilentAfter is when a backend server counts as silent, which is after
	// about three missed announcements; serverRemoveAfter is when it is dropped.
	serverSilentAfter = 4 * time.Second
	serverRemoveAfter = 60 * time.Second
)

type (
	// fleet is a control's view of the entries and backend servers. It is soft
	// state, which they keep refreshing.
	fleet struct {
		roster *roster.Roster

		// entries and reports are by entry id, peers by the address of the control.
		entries map[string]presence
		reports map[string]report
		peers   map[string]*peerView

		// openVersion changes with the entries that take requests.
		openVersion uint64

		// direct counts the presences and reports that entries sent to this control
		// themselves.
		direct uint64

		// pool combines what the watching entries see of the backend servers, and
		// verdicts is its result at verdictsVersion.
		pool            *health.Pool
		verdicts        []health.Verdict
		verdictsVersion uint64

		// loads are the load reports of all servers as of loadsAt.
		loads   *member.Loads
		loadsAt time.Time

		// parts combines what entries had at servers that ended. PartsVersion is the version
		// of its listed and suspected parts for entries, partsSeen what that is based on, and
		// evidence what other controls get. HasPeerNews is set until these are told.
		parts        *quarantine.Pool
		partsVersion uint64
		partsSeen    [2]uint64
		evidence     []evidence
		hasPeerNews  bool

		// limits are the limits that servers name, and since is when this control started:
		// it shares them out once it has heard of all entries.
		limits *pacing.Pool
		since  time.Time

		// warmups are the servers that warm up, and rankings the positions of the entries
		// that may use them, as of rankedAt. EvacuatedZones are those of the documents
		// that warmups takes account of.
		warmups        *warmup.Table
		rankings       map[string]warmup.Ranking
		rankedAt       time.Time
		evacuatedZones []string

		// speeds are the lasting speeds of the servers.
		speeds *speed.Pool

		// changed is closed and replaced when the watchers have to be answered,
		// judged when only entries have to, as the verdicts changed.
		changed chan struct{}
		judged  chan struct{}

		// isCurrent is set while this control has contact with a leader.
		isCurrent bool
	}

	// presence is the newest presence of an entry.
	presence struct {
		latest member.Presence

		// lastReceived is when it arrived, from the entry or through another control;
		// lastDirect is when one last arrived from the entry itself, with the number
		// directVersion.
		lastReceived  time.Time
		lastDirect    time.Time
		directVersion uint64
	}

	// report is the newest report of an entry. Its directVersion is 0 unless it came
	// from the entry itself.
	report struct {
		latest        member.Report
		directVersion uint64
	}

	// peerView holds the next watch request to another control, with the positions
	// up to which that control's view was received.
	peerView struct {
		next member.WatchRequest
		stop context.CancelFunc
		// features are those that the other control knows, nil until it was reached.
		features []change.Feature
	}
)

func newFleet(now time.Time, start uint64) *fleet {
	return &fleet{
		roster:  roster.New(roster.Config{SilentAfter: serverSilentAfter, RemoveAfter: serverRemoveAfter}, start),
		entries: make(map[string]presence),
		reports: make(map[string]report),
		peers:   make(map[string]*peerView),
		pool:    health.NewPool(),
		parts:   quarantine.NewPool(),
		limits:  pacing.NewPool(),
		since:   now,
		warmups: warmup.NewTable(),
		speeds:  speed.NewPool(),
		changed: make(chan struct{}),
		judged:  make(chan struct{}),
	}
}

// wakeWatchers makes all watches check for news.
func (f *fleet) wakeWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Announce processes a backend server's announcement.
func (n *Node) Announce(a backend.Announcement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, remaining := n.cfg.Clock.Now(), a.Warmup
	a.Warmup = 0
	news := n.fleet.roster.Observe(now, a)
	n.observeWarmup(now, a, remaining)
	n.textMetrics.countAnnouncement(news)
	if news {
		n.cfg.Logger.Log("msg", "Backend server changes.", "server", a.ID, "state", a.State, "service", a.Service, "release", a.Release)
		n.fleet.wakeWatchers()
	}
}

// Withdraw marks a backend server as leaving, at its own request. Incarnation 0
// stands for the newest known one.
func (n *Node) Withdraw(id string, incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleet.roster.MarkLeaving(n.cfg.Clock.Now(), id, incarnation) {
		n.cfg.Logger.Log("msg", "Backend server goes.", "server", id)
		n.fleet.wakeWatchers()
	}
}

// serveWatch answers a watch as soon as there is news for the watcher, and after
// watchMaxWait in any case. A control's watch is answered on every wake-up.
func (n *Node) serveWatch(ctx context.Context, r member.WatchRequest) (member.WatchReply, error) {
	n.receiveWatch(r)
	n.textMetrics.countWatch(r.Entry != nil)
	timeout := n.cfg.Clock.NewTimer(watchMaxWait)
	defer timeout.Stop()
	for {
		n.mu.Lock()
		changed, judged, news := n.fleet.changed, n.fleet.judged, n.hasNews(r)
		n.mu.Unlock()
		if news {
			break
		}
		if r.Entry == nil {
			judged = nil
		}
		select {
		case <-judged:
			continue
		case <-changed:
			if r.Entry != nil {
				continue
			}
		case <-timeout.Chan():
		case <-ctx.Done():
			return member.WatchReply{}, errors.Trace(ctx.Err())
		}
		break
	}
	return n.watchReply(r), nil
}

// hasNews reports whether this control's roster differs from the one that the
// watcher has or, for an entry, the documents or the verdicts on backend servers
// differ from the watcher's, or the listed and suspected prompt parts, or the servers'
// limits or warm-ups, or, for one that stops or is cut off, which entries take requests. A watcher
// that has the roster of another run always gets news. Callers hold n.mu.
func (n *Node) hasNews(r member.WatchRequest) bool {
	if r.RunID != n.runID || r.RosterVersion != n.fleet.roster.Version() {
		return true
	}
	if r.Entry != nil && r.OpenVersion != 0 && r.OpenVersion != n.fleet.openVersion {
		if p := n.fleet.entries[r.Entry.ID].latest; p.Draining || p.CutOff {
			return true
		}
	}
	return r.Entry != nil && (r.WarmupsVersion != 0 && n.fleet.warmups.Version() != r.WarmupsVersion || n.state.Documents().Revision > r.DocumentsRevision || n.fleet.verdictsVersion != r.VerdictsVersion || n.fleet.partsVersion != r.PartsVersion || n.fleet.limits.Version() != r.LimitsVersion)
}

// watchReply returns the reply to a watch: what changed since the watcher's roster
// version and, for a control, what this one received directly since its last reply.
// It answers a rolling restart, in which each entry and server wakes all controls: a
// reply that repeated everything would grow with the fleet as their number does.
func (n *Node) watchReply(r member.WatchRequest) member.WatchReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	reply := member.WatchReply{RunID: n.runID, Current: n.fleet.isCurrent, EntryCount: n.liveEntries(now)}
	if r.RunID != n.runID {
		r.RosterVersion, r.SightingsVersion, r.DirectVersion, r.SpeedsVersion = 0, 0, 0, 0
	}
	reply.Roster = n.fleet.roster.Delta(r.RosterVersion)
	for _, m := range n.groupLocked().Members.All() {
		reply.Controls = append(reply.Controls, m.Address)
	}
	reply.DocumentsRevision = n.state.Documents().Revision
	if r.Entry != nil {
		n.addEvidence(now, r, &reply)
		n.addParts(now, r, &reply)
		n.addShares(now, r.Entry.ID, &reply)
		n.addWarmups(now, r.Entry.ID, &reply)
		reply.SpeedsVersion, reply.Speeds = n.fleet.speeds.Version(), n.fleet.speeds.Since(r.SpeedsVersion)
		reply.OpenOthers, reply.OpenVersion = n.fleet.openOthers(now, r.Entry.ID), n.fleet.openVersion
		if r.WantsRelays {
			reply.Relays, reply.RelayRegions = n.fleet.relaysFor(now, *r.Entry)
			reply.LeavingRelays = n.fleet.leavingRelays(now)
		}
		return reply
	}
	if r.RunID != n.runID {
		// The other control may have started anew.
		reply.Listed = n.fleet.parts.List().All(now)
	}
	since := now.Add(-2 * watchMaxWait)
	reply.Roster.Sightings = n.fleet.roster.SightingsSince(since, r.SightingsVersion)
	reply.Roster.SightingsVersion = n.fleet.roster.SightingsVersion()
	reply.DirectVersion = n.fleet.direct
	for _, p := range n.fleet.entries {
		if p.directVersion > r.DirectVersion && p.lastDirect.After(since) {
			reply.Presences = append(reply.Presences, p.latest)
		}
	}
	for _, rep := range n.fleet.reports {
		if rep.directVersion > r.DirectVersion {
			reply.Reports = append(reply.Reports, rep.latest)
		}
	}
	reply.Limits = n.fleet.limits.Words(now)
	reply.Warmups = n.fleet.warmups.DirectNotices(now)
	for _, e := range n.fleet.evidence {
		if e.directVersion > r.DirectVersion {
			reply.Evidence = append(reply.Evidence, e.report)
		}
	}
	return reply
}

// entryDocuments returns the documents without the parts that entries don't need.
func entryDocuments(docs catalog.Documents) *catalog.Documents {
	docs.Operators = nil
	if docs.Routing != nil {
		plan := *docs.Routing
		plan.Text = nil
		docs.Routing = &plan
	}
	return &docs
}

// maintainFleet maintains the view of the fleet: it watches the other controls,
// marks silent backend servers, and drops expired entries. While this control
// has no contact with a leader it marks no server, as it may itself be cut off.
func (n *Node) maintainFleet(ctx context.Context) error {
	for {
		n.mu.Lock()
		now := n.cfg.Clock.Now()
		n.fleet.isCurrent = n.replica != nil && n.replica.HasLeader(now)
		before := n.fleet.roster.Version()
		if n.fleet.isCurrent {
			n.fleet.roster.Expire(now)
		} else {
			n.fleet.roster.RestartTimeouts(now)
		}
		if n.fleet.roster.Version() != before {
			n.fleet.wakeWatchers()
		}
		n.judgeServers(now)
		n.judgeSpeeds(now)
		n.judgeParts(now)
		n.dropExpiredEntries(now)
		n.startWarmups(now)
		n.fleet.warmups.Expire(now, 0)
		n.startRolloutClocks(now)
		n.watchPeers(ctx)
		n.mu.Unlock()
		select {
		case <-n.cfg.Clock.After(upkeepInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// watchPeers starts and stops watches as controls join and leave the group.
// Callers hold n.mu.
func (n *Node) watchPeers(ctx context.Context) {
	members := n.groupLocked().Members
	wanted := make(map[string]bool)
	for _, m := range members.All() {
		if m.Identity == n.self {
			continue
		}
		wanted[m.Address] = true
		if n.fleet.peers[m.Address] == nil {
			watchCtx, stop := context.WithCancel(ctx)
			view := &peerView{stop: stop}
			n.fleet.peers[m.Address] = view
			go n.watchPeer(watchCtx, m, view)
		}
	}
	for address, view := range n.fleet.peers {
		if !wanted[address] {
			view.stop()
			delete(n.fleet.peers, address)
		}
	}
}

// watchPeer watches another control until ctx ends, dialing again after each
// failure.
func (n *Node) watchPeer(ctx context.Context, m replica.Member, view *peerView) {
	for ctx.Err() == nil {
		conn, err := n.dial(ctx, n.addressOf(m))
		if err != nil {
			n.pause(ctx, redialDelay)
			continue
		}
		n.mu.Lock()
		view.features = conn.Peer().Features
		n.mu.Unlock()
		level.Debug(n.cfg.Logger).Log("msg", "Watches a control.", "control", m.ID)
		for n.pollPeer(ctx, conn, view) == nil {
			n.pause(ctx, watchPause)
		}
		conn.Close()
	}
}

// pollPeer makes one watch call to another control and merges its reply.
func (n *Node) pollPeer(ctx context.Context, conn *member.Conn, view *peerView) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var reply member.WatchReply
	if err := conn.Call(ctx, member.KindWatch, view.next, &reply); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	view.next = reply.Next()
	before := n.fleet.roster.Version()
	n.fleet.roster.ApplyDelta(now, reply.Roster)
	for _, p := range reply.Presences {
		n.mergePresence(now, p, false)
	}
	for _, r := range reply.Reports {
		n.mergeReport(r, false)
	}
	for _, r := range append(reply.Evidence, quarantine.Report{Listed: reply.Listed}) {
		n.fleet.parts.Add(now, r)
	}
	n.mergeLimits(now, reply.Limits)
	n.mergeWarmups(now, reply.Warmups)
	if n.fleet.roster.Version() != before {
		n.fleet.wakeWatchers()
	}
	return nil
}

// pause waits for d or until ctx ends.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	select {
	case <-n.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// handleWatch decodes and answers a watch.
func (n *Node) handleWatch(ctx context.Context, body cbor.RawMessage) (any, error) {
	return decodeAndReply(body, func(r member.WatchRequest) (member.WatchReply, error) { return n.serveWatch(ctx, r) })
}
