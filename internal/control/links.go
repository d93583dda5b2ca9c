package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/core/replica"
	"rosereach/io/member"
)

const (
	// linkQueueSize bounds the batches queued for a peer. Further ones are dropped:
	// replicas resend what was lost.
	linkQueueSize = 256

	// redialDelay is the pause between two attempts to dial a peer.
	redialDelay = 100 * time.Millisecond
)

type (
	// links are the connections to the group's other replicas.
	links struct {
		node *Node

		mu sync.Mutex

		// peers are the links that this control dials, one to each other member.
		peers map[replica.Identity]*link

		// inbound are links over connections that other replicas dialed.
		inbound map[replica.Identity]*link
	}

	// link sends messages to one replica: over a connection that it dials or, to
	// a replica that is not yet in the local membership, over one accepted from
	// that replica.
	link struct {
		member replica.Member
		queue  chan []replica.Message
		stop   context.CancelFunc

		mu   sync.Mutex
		conn *member.Conn
	}
)

func newLinks(n *Node) *links {
	return &links{node: n, peers: make(map[replica.Identity]*link), inbound: make(map[replica.Identity]*link)}
}

// registerInbound registers the replica that sends over an accepted connection. A new
// replica, whose membership is still empty, answers the leader over it.
func (l *links) registerInbound(ctx context.Context, id replica.Identity, conn *member.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.inbound[id]; old != nil && old.currentConn() == conn {
		return
	}
	in := &link{queue: make(chan []replica.Message, linkQueueSize), conn: conn}
	l.inbound[id] = in
	go in.serve(ctx, conn)
}

// update starts and stops links as the membership changes.
func (l *links) update(ctx context.Context, members []replica.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.peers {
		if !slices.ContainsFunc(members, func(m replica.Member) bool { return m.Identity == id }) {
			p.stop()
			delete(l.peers, id)
		}
	}
	for _, m := range members {
		if m.Identity == l.node.self || l.peers[m.Identity] != nil {
			continue
		}
		linkCtx, stop := context.WithCancel(ctx)
		p := &link{member: m, queue: make(chan []replica.Message, linkQueueSize), stop: stop}
		l.peers[m.Identity] = p
		go p.run(linkCtx, l.node)
	}
}

// send queues each message on its receiver's link, and drops it when there is
// no link or the queue is full.
func (l *links) send(messages []replica.Message) {
	if len(messages) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	batches := make(map[replica.Identity][]replica.Message)
	for _, m := range messages {
		batches[m.To] = append(batches[m.To], m)
	}
	for to, batch := range batches {
		p := l.peers[to]
		if p == nil {
			p = l.inbound[to]
		}
		if p == nil {
			continue
		}
		select {
		case p.queue <- batch:
		default:
		}
	}
}

// connTo returns the connection dialed to a replica, nil when there is none.
func (l *links) connTo(id replica.Identity) *member.Conn {
	l.mu.Lock()
	p := l.peers[id]
	l.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.currentConn()
}

// run dials the replica and sends to it, again after each failure, until ctx
// ends.
func (l *link) run(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		if conn, err := n.dial(ctx, n.addressOf(l.member)); err == nil {
			n.checkIncarnation(l.member, conn.Peer())
			l.serve(ctx, conn)
		}
		l.discardQueue()
		select {
		case <-n.cfg.Clock.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// serve sends queued batches until the connection fails.
func (l *link) serve(ctx context.Context, conn *member.Conn) {
	l.setConn(conn)
	defer l.setConn(nil)
	for {
		select {
		case batch := <-l.queue:
			if conn.Notify(ctx, member.KindReplica, member.ReplicaMessages{Messages: batch}) != nil {
				conn.Close()
				return
			}
		case <-conn.Done():
			return
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

// discardQueue discards the queued batches, which are stale once a dial or connection
// has failed.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *link) currentConn() *member.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

func (l *link) setConn(c *member.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

func (n *Node) dial(ctx context.Context, address string) (*member.Conn, error) {
	return member.DialTLS(ctx, address, n.cfg.MemberKey, n.selfPeer(), n, n.cfg.TLS)
}

// addressOf returns the address at which this control reaches a replica: the
// configured one, else the one in the membership.
func (n *Node) addressOf(m replica.Member) string {
	if address, ok := n.cfg.Peers[m.ID]; ok {
		return address
	}
	return m.Address
}

// callLeader forwards a call to the leader.
func (n *Node) callLeader(ctx context.Context, kind member.Kind, message, reply any) error {
	n.mu.Lock()
	leader, notLeader := n.groupLocked().Leader, n.notLeader()
	n.mu.Unlock()
	conn := n.links.connTo(leader)
	if conn == nil {
		return errors.Trace(notLeader)
	}
	return conn.Call(ctx, kind, message, reply)
}
