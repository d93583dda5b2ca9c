package control

import (
	"context"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/io/member"
)

const (
	// inquireTimeout bounds the wait for one entry's answer about requests.
	inquireTimeout = 3 * time.Second

	// maxInquirers is how many entries are asked one after the other.
	maxInquirers = 2
)

// settle ends the open requests of an owner that is gone. First an entry is
// asked what backend servers know of those that must not run again. Callers
// hold n.mu.
func (n *Node) settle(ctx context.Context, o ledger.Owner) {
	open := inquiries(n.state.Ledger().Open(o))
	var entries []*member.Conn
	for c := range n.watchers {
		if c.Peer().ID != o.Entry && len(entries) < maxInquirers {
			entries = append(entries, c)
		}
	}
	go func() {
		s := state.Settle{Owner: o, Learnt: n.inquire(ctx, entries, open), At: n.cfg.Clock.Now().UTC()}
		n.Propose(ctx, state.Command{Settle: &s}) //nolint:errcheck // the next leader settles what is left
	}()
}

// inquiries returns what to ask about the records. Idempotent requests may
// begin anew, so nothing needs to be known of them.
func inquiries(open []ledger.Record) []member.Inquiry {
	var list []member.Inquiry
	for _, r := range open {
		if !r.Idempotent && r.Service != "" {
			list = append(list, member.Inquiry{Key: r.Key, Service: r.Service})
		}
	}
	return list
}

// inquire asks the entries in turn until one answers.
func (n *Node) inquire(ctx context.Context, entries []*member.Conn, open []member.Inquiry) []ledger.Learnt {
	if len(open) == 0 {
		return nil
	}
	for _, c := range entries {
		asking, cancel := context.WithTimeout(ctx, inquireTimeout)
		var reply member.InquireReply
		err := c.Call(asking, member.KindInquire, member.InquireRequest{Requests: open}, &reply)
		cancel()
		if err == nil {
			return reply.Learnt
		}
	}
	return nil
}
