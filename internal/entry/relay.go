package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"rosereach/core/backend"
	"rosereach/core/encoding"
	"rosereach/core/registry"
	"rosereach/internal/httpd"
	"rosereach/io/member"
)

const (
	// subsetSize is the number of servers of a version or a plain service that an
	// entry routes to.
	subsetSize = 8

	// relayInterval is how often other entries are queried about servers of the
	// subset. A server's lease covers the interval of its announcements and two
	// rounds.
	relayInterval = time.Second

	// idleRounds is the number of rounds between queries to an entry that no
	// server of the subset announces itself to.
	idleRounds = 5

	// maxConcurrentQueries is the maximum number of concurrent queries to other
	// entries.
	maxConcurrentQueries = 32

	// registryRemoveAfter is how long the registry keeps a server that is gone,
	// so that a late announcement does not make it available again.
	registryRemoveAfter = 10 * time.Minute
)

type (
	// relay queries other entries for the backend servers that announce themselves
	// there, and answers such queries of theirs.
	relay struct {
		entry *Entry

		mu    sync.Mutex
		conns map[string]peerConn
	}

	// peerConn is the connection to another entry. Cancel closes it.
	peerConn struct {
		*member.Conn
		cancel context.CancelFunc
	}
)

func newRelay(e *Entry) *relay { return &relay{entry: e, conns: make(map[string]peerConn)} }

// run queries the other entries periodically until the context ends.
func (r *relay) run(ctx context.Context) error {
	for round := 0; ; round++ {
		r.runRound(ctx, round)
		select {
		case <-r.entry.cfg.Clock.After(relayInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// runRound queries each entry that holds servers of the subset, and a rotating
// part of the others.
func (r *relay) runRound(ctx context.Context, round int) {
	peers, queries := r.planQueries()
	r.closeDeparted(peers)
	ctx, cancel := context.WithTimeout(ctx, relayInterval)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	position := 0
	for id, query := range queries {
		position++
		if len(query.Indices) == 0 && query.KnownVersion != 0 && (position+round)%idleRounds != 0 {
			continue
		}
		g.Go(func() error {
			if err := r.queryPeer(ctx, id, peers[id], query); err != nil {
				r.closeConn(id)
			}
			return nil
		})
	}
	g.Wait() //nolint:errcheck // an unreachable entry is queried again in the next round
}

// planQueries returns the addresses of the other entries and the query for
// each, by ID.
func (r *relay) planQueries() (map[string]string, map[string]registry.Query) {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make(map[string]string, len(e.peers))
	peerIDs := make([]string, 0, len(e.peers))
	for _, p := range e.peers {
		if p.ID == e.cfg.ID {
			continue
		}
		peers[p.ID] = p.Address
		peerIDs = append(peerIDs, p.ID)
	}
	e.registry.Expire(e.cfg.Clock.Now(), registryRemoveAfter)
	e.registry.Retain(peerIDs)
	return peers, e.registry.Queries(peerIDs)
}

func (r *relay) queryPeer(ctx context.Context, id, address string, query registry.Query) error {
	conn, err := r.connect(id, address) //nolint:contextcheck // a connection outlives the round that opens it
	if err != nil {
		return err
	}
	sent := r.entry.cfg.Clock.Now()
	var reply registry.Reply
	if err := conn.Call(ctx, member.KindServers, query, &reply); err != nil {
		return err
	}
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	r.entry.registry.ApplyReply(sent, id, reply)
	return nil
}

// connect returns the connection to an entry and opens one if there is none.
func (r *relay) connect(id, address string) (peerConn, error) {
	r.mu.Lock()
	conn, ok := r.conns[id]
	r.mu.Unlock()
	if ok {
		return conn, nil
	}
	cfg := r.entry.cfg
	security, err := cfg.security()
	if err != nil {
		return conn, err
	}
	ctx, cancel := context.WithCancel(r.entry.ctx)
	opened, err := member.DialTLS(ctx, address, cfg.MemberKey, cfg.peer(), r, security)
	if err != nil {
		cancel()
		return conn, err
	}
	conn = peerConn{Conn: opened, cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[id] = conn
	return conn, nil
}

// closeDeparted closes the connections to entries that no longer hold a lease.
func (r *relay) closeDeparted(peers map[string]string) {
	r.mu.Lock()
	var gone []string
	for id := range r.conns {
		if _, ok := peers[id]; !ok {
			gone = append(gone, id)
		}
	}
	r.mu.Unlock()
	for _, id := range gone {
		r.closeConn(id)
	}
}

func (r *relay) closeConn(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if conn, ok := r.conns[id]; ok {
		conn.cancel()
		delete(r.conns, id)
	}
}

// serve accepts connections from other entries.
func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	member.Accept(w, req, r.entry.cfg.MemberKey, r.entry.cfg.peer(), r, func(ctx context.Context, _ *member.Conn) func() {
		httpd.Established(ctx)
		return func() {}
	})
}

// Handle answers another entry's query for backend servers.
func (r *relay) Handle(_ context.Context, _ *member.Conn, kind member.Kind, body cbor.RawMessage) (any, error) {
	if kind != member.KindServers {
		return nil, &member.Problem{Code: member.CodeRefused, Detail: "unknown message " + string(kind)}
	}
	var query registry.Query
	if err := encoding.Unmarshal(body, &query); err != nil {
		return nil, &member.Problem{Code: member.CodeRefused, Detail: err.Error()}
	}
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Answer(e.cfg.Clock.Now(), query), nil
}

// recordAnnouncement records a backend server's announcement.
func (e *Entry) recordAnnouncement(a backend.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registry.Observe(e.cfg.Clock.Now(), 0, a)
}
