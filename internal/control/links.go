package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/core/replica"
	"rosereach/io/member"
)

const (
	// linkQueue bounds the batches that wait for a peer; more are dropped, as
	// the replicas send again what was lost.
	linkQueue = 256

	// redialDelay lies between two attempts to reach a peer.
	redialDelay = 100 * time.Millisecond
)

type (
	// links are the connections to the group's other replicas.
	links struct {
		node *Node

		mu      sync.Mutex
		peers   map[replica.Identity]*link
		callers map[replica.Identity]*link
	}

	// link sends to one replica over a connection that it dials itself or, to a
	// caller that is not in the membership known here, over the caller's.
	link struct {
		member replica.Member
		queue  chan []replica.Message
		stop   context.CancelFunc

		mu   sync.Mutex
		conn *member.Conn
	}
)

func newLinks(n *Node) *links {
	return &links{node: n, peers: make(map[replica.Identity]*link), callers: make(map[replica.Identity]*link)}
}

// called notes who sends over a connection. A new replica, which knows no
// members yet, answers the leader over it.
func (l *links) called(ctx context.Context, id replica.Identity, conn *member.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.callers[id]; old != nil && old.current() == conn {
		return
	}
	p := &link{queue: make(chan []replica.Message, linkQueue), conn: conn}
	l.callers[id] = p
	go p.serve(ctx, conn)
}

// update starts and ends links as the membership changes.
func (l *links) update(ctx context.Context, members replica.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.peers {
		if !members.IsMember(id) {
			p.stop()
			delete(l.peers, id)
		}
	}
	for _, m := range members.All() {
		if m.Identity == l.node.self || l.peers[m.Identity] != nil {
			continue
		}
		running, stop := context.WithCancel(ctx)
		p := &link{member: m, queue: make(chan []replica.Message, linkQueue), stop: stop}
		l.peers[m.Identity] = p
		go p.run(running, l.node)
	}
}

// send queues messages for their replicas.
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
			p = l.callers[to]
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

// to returns the connection to a replica, nil when there is none.
func (l *links) to(id replica.Identity) *member.Conn {
	l.mu.Lock()
	p := l.peers[id]
	l.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.current()
}

func (p *link) run(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		if conn, err := n.dial(ctx, n.addressOf(p.member)); err == nil {
			p.serve(ctx, conn)
		}
		p.drain()
		select {
		case <-n.cfg.Clock.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// serve sends what is queued until the connection fails.
func (p *link) serve(ctx context.Context, conn *member.Conn) {
	p.set(conn)
	defer p.set(nil)
	for {
		select {
		case batch := <-p.queue:
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

// drain drops what waited for a connection: it has become old.
func (p *link) drain() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (p *link) current() *member.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *link) set(c *member.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
}

func (n *Node) dial(ctx context.Context, address string) (*member.Conn, error) {
	return member.DialTLS(ctx, address, n.cfg.MemberKey, n.cfg.peer(), n, n.cfg.Security)
}

// addressOf returns where this control reaches a replica.
func (n *Node) addressOf(m replica.Member) string {
	if address, ok := n.cfg.Peers[m.ID]; ok {
		return address
	}
	return m.Address
}

// callLeader passes a message on to the leader.
func (n *Node) callLeader(ctx context.Context, kind member.Kind, message, reply any) error {
	n.mu.Lock()
	leader, unknown := n.groupLocked().Leader, n.notLeader()
	n.mu.Unlock()
	conn := n.links.to(leader)
	if conn == nil {
		return errors.Trace(unknown)
	}
	return conn.Call(ctx, kind, message, reply)
}
