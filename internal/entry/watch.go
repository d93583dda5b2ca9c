package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/catalog"
	"rosereach/core/health"
	"rosereach/core/roster"
	"rosereach/core/speed"
	"rosereach/io/member"
)

const (
	// watchedControls is the number of controls that an entry watches at once:
	// one may be down and another partitioned from the rest.
	watchedControls = 3

	// watchTimeout bounds the wait for a reply, which is due after a second.
	// The connection is closed when it expires.
	watchTimeout = 2 * time.Second

	// watchPause is the pause between watch requests. It keeps a burst of
	// changes from causing a burst of messages.
	watchPause = 50 * time.Millisecond

	// distanceDelay, multiplied by the distance, is the delay before documents
	// are fetched from a control in another availability zone or region. By
	// then a nearer control usually has them too, as followers receive a commit
	// with the leader's next heartbeat.
	distanceDelay = 150 * time.Millisecond

	// distantRegion is the distance of a control in another region.
	distantRegion = 2

	// fetchTimeout bounds the wait for documents from one control, after which
	// another is asked.
	fetchTimeout = 700 * time.Millisecond

	// noLeaderTimeout is how long a control may be without a leader until the
	// entry watches another control instead.
	noLeaderTimeout = 2 * time.Second

	// serverRemoveAfter is how long the roster keeps a server that is gone, so
	// that a late message from a control does not make it available again.
	serverRemoveAfter = time.Minute
)

// watcher watches several controls at once for documents and backend servers.
type watcher struct {
	entry *Entry

	mu               sync.Mutex
	knownControls    []string                // addresses of controls, as reported by one
	conns            map[string]*member.Conn // by address of a watched control, nil until connected
	distances        map[string]int          // distance by address of a control
	positions        map[string]position     // by address of a control, while it is current
	presenceSequence uint64                  // of the last presence
	liveEntries      int                     // number of live entries
	openOthers       int                     // number of other live entries that take requests
	knowsOthers      bool                    // openOthers was reported
	fetching         bool
	planConfirmed    atomic.Bool // a control with a majority has named the revision in force, or an older one
}

// position is how far a control's roster was received. It outlasts a connection: a
// fleet that connects again after a cut would otherwise request all servers from each
// control at once, which keeps the controls from answering in time.
type position struct {
	controlRun    uint64 // run of the control that the versions refer to
	rosterVersion uint64 // version of the roster received
	openVersion   uint64 // version of the entries that take requests
}

// watchState is the state of watching one control over one connection.
type watchState struct {
	position
	address     string
	lastCurrent time.Time // when the control last had a leader with a majority
	distance    int       // 0 to 2, see watcher.distance

	recorder        *health.Recorder // attempts not yet reported to the control
	verdictsVersion uint64           // version of verdicts
	verdicts        []health.Verdict // the control's
	partsVersion    uint64           // version of the control's listed and suspected prompt parts
	limitsVersion   uint64           // version of the control's limits of servers
	warmupsVersion  uint64           // version of the control's servers that warm up
	speedsVersion   uint64           // version of the control's speeds of servers
	speeds          *speed.Recorder  // times of answers not yet reported to the control
}

func newWatcher(e *Entry) *watcher {
	return &watcher{entry: e, conns: make(map[string]*member.Conn), distances: make(map[string]int), positions: make(map[string]position), liveEntries: 1}
}

// run watches controls until the context ends.
func (w *watcher) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range watchedControls {
		g.Go(func() error {
			w.watchOne(ctx)
			return nil
		})
	}
	return g.Wait()
}

// watchOne maintains one connection, always to a control that is not watched
// yet.
func (w *watcher) watchOne(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		address := w.claimControl(next)
		if address != "" {
			err := w.serve(ctx, address)
			w.releaseControl(address)
			if err != nil && ctx.Err() == nil {
				w.entry.cfg.Logger.Log("msg", "Control is not followed any more.", "control", address, "err", err)
			}
		}
		select {
		case <-w.entry.cfg.Clock.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// claimControl reserves a control that is not watched yet and returns its
// address, empty if there is none. Controls known to be near come first. Those
// at the same distance are in a different order at each entry, to spread the
// load.
func (w *watcher) claimControl(next int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.Concat(w.knownControls, w.entry.cfg.Forwarding.Controls())
	slices.Sort(all)
	all = slices.Compact(all)
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.distances[a], w.distances[b]),
			cmp.Compare(xxhash.Sum64String(w.entry.cfg.ID+a), xxhash.Sum64String(w.entry.cfg.ID+b)))
	})
	for i := range all {
		address := all[(next+i)%len(all)]
		if _, taken := w.conns[address]; !taken {
			w.conns[address] = nil
			return address
		}
	}
	return ""
}

func (w *watcher) releaseControl(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, address)
}

// serve watches one control until the connection fails, the control has been
// without a leader for too long, or the context ends.
func (w *watcher) serve(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cfg := w.entry.cfg
	security, err := cfg.security()
	if err != nil {
		return err
	}
	conn, err := member.DialTLS(ctx, address, cfg.MemberKey, cfg.peer(), w, security)
	if err != nil {
		return err
	}
	defer conn.Close()
	cfg.Logger.Log("msg", "Follows a control.", "control", address)
	w.mu.Lock()
	w.conns[address] = conn
	distance := w.distance(conn.Peer())
	w.distances[address] = distance
	reached := w.positions[address]
	w.mu.Unlock()
	state := &watchState{position: reached, address: address, distance: distance, lastCurrent: cfg.Clock.Now(), recorder: health.NewRecorder(), speeds: speed.NewRecorder()}
	w.entry.forwarder.addEvidenceSource(state)
	defer w.entry.forwarder.removeEvidenceSource(state)
	w.entry.forwarder.reportListed(ctx, address)
	for {
		if err := w.poll(ctx, conn, state); err != nil {
			return err
		}
		if cfg.Clock.Now().Sub(state.lastCurrent) > noLeaderTimeout {
			return errors.New("the control has had no leader for too long")
		}
		select {
		case <-cfg.Clock.After(watchPause):
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *watcher) poll(ctx context.Context, conn *member.Conn, state *watchState) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	e := w.entry
	request := member.WatchRequest{
		RunID: state.controlRun, RosterVersion: state.rosterVersion, DocumentsRevision: e.catalog.Load().Revision(), Entry: w.presence(), Report: e.forwarder.rolloutReport(),
	}
	e.forwarder.addSamples(&request, state)
	e.forwarder.addWarmups(&request, state)
	e.forwarder.addSpeeds(&request, state)
	request.OpenVersion = state.openVersion
	request.WantsRelays = e.forwarder.detours.wantsRelays(e.cfg.Clock.Now())
	var reply member.WatchReply
	if err := conn.Call(ctx, member.KindWatch, request, &reply); err != nil {
		return err
	}
	w.applyReply(ctx, reply, state)
	err := w.fetch(ctx, conn, reply.DocumentsRevision, state.distance)
	w.confirmPlan(reply)
	return err
}

// distance returns 0 for a control in the entry's availability zone, 1 in its
// region, and distantRegion elsewhere.
func (w *watcher) distance(p member.Peer) int {
	switch cfg := w.entry.cfg; {
	case p.Zone == cfg.Zone:
		return 0
	case p.Region == cfg.Region:
		return 1
	}
	return distantRegion
}

// fetch requests newer documents, one request at a time for all watched controls.
// Older documents never replace newer ones.
func (w *watcher) fetch(ctx context.Context, conn *member.Conn, revision uint64, distance int) error {
	e := w.entry
	if revision <= e.catalog.Load().Revision() {
		return nil
	}
	if distance > 0 && e.catalog.Load().Revision() > 0 {
		select {
		case <-e.cfg.Clock.After(time.Duration(distance) * distanceDelay):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	if revision <= e.catalog.Load().Revision() || !w.beginFetch() {
		return nil
	}
	defer w.endFetch()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply member.DocumentsReply
	have := e.catalog.Load().Revision()
	if err := conn.Call(ctx, member.KindDocuments, member.DocumentsRequest{KnownRevision: have, AllowFollower: true}, &reply); err != nil {
		return err
	}
	if reply.Documents != nil {
		e.applyDocuments(reply.Documents)
	}
	return nil
}

func (w *watcher) beginFetch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fetching {
		return false
	}
	w.fetching = true
	return true
}

func (w *watcher) endFetch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetching = false
}

// applyReply applies a control's reply. A report that a server is silent is
// ignored unless the control follows a leader that a majority follows.
func (w *watcher) applyReply(ctx context.Context, reply member.WatchReply, state *watchState) {
	e := w.entry
	now := e.cfg.Clock.Now()
	runBefore := state.controlRun
	state.controlRun, state.rosterVersion, state.openVersion = reply.RunID, reply.Roster.Version, reply.OpenVersion
	if reply.Current {
		state.lastCurrent = now
	} else {
		for i := range reply.Roster.Records {
			reply.Roster.Records[i].Silent = false
		}
	}
	// The warm-ups come first, so that no request is sent to a new server before.
	e.forwarder.applyWarmups(now, reply, state)
	e.forwarder.applySpeeds(reply, state, runBefore != reply.RunID)
	e.forwarder.updateRoster(now, reply.Roster)
	e.forwarder.applyEvidence(now, reply, state)
	e.forwarder.applyParts(ctx, now, reply, state)
	e.forwarder.applyLimits(now, reply, state)
	if len(reply.Relays) > 0 {
		e.forwarder.detours.setRelays(now, reply.Relays, reply.RelayRegions)
	} else {
		e.forwarder.detours.dropRelays(reply.LeavingRelays)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Current {
		w.positions[state.address] = state.position
	} else {
		// What was ignored above has to be sent again.
		delete(w.positions, state.address)
	}
	if len(reply.Controls) > 0 {
		w.knownControls = reply.Controls
	}
	if reply.Current && reply.EntryCount > 0 {
		w.liveEntries = reply.EntryCount
	}
	if reply.Current && reply.OpenVersion > 0 {
		w.openOthers, w.knowsOthers = reply.OpenOthers, true
	}
}

// applyDocuments puts documents into force unless newer ones are in force
// already.
func (e *Entry) applyDocuments(docs *catalog.Documents) {
	next := catalog.New(*docs)
	for {
		old := e.catalog.Load()
		if old.Revision() >= next.Revision() {
			return
		}
		if e.catalog.CompareAndSwap(old, next) {
			added, removed := next.Routes().KeyChanges(old.Routes())
			if next.Routes() != nil {
				e.hasPlanOnce.Do(func() { close(e.hasPlan) })
			}
			e.forwarder.startWarmups(old, next)
			e.cfg.Logger.Log("msg", "Documents come into force.", "revision", next.Revision(), "before", old.Revision(), "keys_added", added, "keys_removed", removed)
			return
		}
	}
}

// presence returns the state that the entry reports to controls.
func (w *watcher) presence() *member.Presence {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.presenceSequence++
	cfg := w.entry.cfg
	return &member.Presence{
		ID: cfg.ID, Incarnation: cfg.Incarnation, Sequence: w.presenceSequence, Address: cfg.Address, Region: cfg.Region, Zone: cfg.Zone,
		AppliedRevision: w.entry.catalog.Load().Revision(), Draining: w.entry.draining.Load() || !w.entry.isServing(),
		Relay: cfg.Forwarding.RelayAddress, CutOff: w.entry.forwarder.detours.isCutOff(),
		Cores: cfg.Forwarding.Cores, LinkMbps: cfg.Forwarding.LinkMbps,
	}
}

// isAlone reports whether no other entry takes requests, as last reported.
func (w *watcher) isAlone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.knowsOthers {
		return w.openOthers == 0
	}
	return w.liveEntries <= 1
}

// liveEntryCount returns the number of live entries as last reported, at least
// 1.
func (w *watcher) liveEntryCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.liveEntries, 1)
}

// Handle accepts change notifications, which need no action here, and refuses all
// other messages from controls.
func (w *watcher) Handle(_ context.Context, _ *member.Conn, kind member.Kind, _ cbor.RawMessage) (any, error) {
	if kind == member.KindDocumentsChanged {
		return nil, nil
	}
	return nil, &member.Problem{Code: member.CodeRefused, Detail: "unknown message " + string(kind)}
}

func newEntryRoster(start uint64) *roster.Roster {
	return roster.New(roster.Config{RemoveAfter: serverRemoveAfter}, start)
}

// IsDraining reports whether the entry is shutting down.
func (e *Entry) IsDraining() bool { return e.draining.Load() }

// announcePresence sends the entry's presence to the watched controls
// immediately.
func (w *watcher) announcePresence(ctx context.Context) {
	for _, address := range w.watched() {
		w.notify(ctx, address, member.KindPresence, w.presence())
	}
}

// notifyAll sends a message to all watched controls.
func (w *watcher) notifyAll(ctx context.Context, kind member.Kind, message any) {
	for _, address := range w.watched() {
		w.notify(ctx, address, kind, message)
	}
}

// notify sends a message to a control if it is watched.
func (w *watcher) notify(ctx context.Context, address string, kind member.Kind, message any) {
	w.mu.Lock()
	conn := w.conns[address]
	w.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.Notify(ctx, kind, message); err != nil {
		level.Debug(w.entry.cfg.Logger).Log("msg", "Failed to notify a control.", "control", address, "kind", kind, "err", err)
	}
}

// watched returns the addresses of the controls to which a connection is open.
func (w *watcher) watched() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var addresses []string
	for address, c := range w.conns {
		if c != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
