package control

import (
	"context"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/io/member"
)

const (
	// inquireTimeout bounds the wait for one entry's answer.
	inquireTimeout = 3 * time.Second

	// maxInquirers limits how many entries are asked, one after the other.
	maxInquirers = 2
)

// settle closes the open ledger records of an owner that is gone. Requests that
// must not run twice are first looked up at the backend servers, through an
// entry, as they may have run. Callers hold n.mu.
func (n *Node) settle(ctx context.Context, owner ledger.Owner) {
	lookups := inquiries(n.state.Ledger().Open(owner))
	var entries []*member.Conn
	for c := range n.watchers {
		if c.Peer().ID != owner.Entry && len(entries) < maxInquirers {
			entries = append(entries, c)
		}
	}
	go func() {
		s := state.Settle{Owner: owner, Learnt: n.inquire(ctx, entries, lookups), At: n.cfg.Clock.Now().UTC()}
		n.Propose(ctx, state.Command{Settle: &s}) //nolint:errcheck // the next leader closes the remaining records
	}()
}

// inquiries returns the lookups that the records need. Idempotent requests need
// none, as they may simply run again.
func inquiries(open []ledger.Record) []member.Inquiry {
	var list []member.Inquiry
	for _, r := range open {
		if !r.Idempotent && r.Service != "" {
			list = append(list, member.Inquiry{Key: r.Key, Service: r.Service})
		}
	}
	return list
}

// inquire sends the lookups to the entries in turn until one answers. It
// returns nil when none does.
func (n *Node) inquire(ctx context.Context, entries []*member.Conn, lookups []member.Inquiry) []ledger.Learnt {
	if len(lookups) == 0 {
		return nil
	}
	for _, c := range entries {
		callCtx, cancel := context.WithTimeout(ctx, inquireTimeout)
		var reply member.InquireReply
		err := c.Call(callCtx, member.KindInquire, member.InquireRequest{Requests: lookups}, &reply)
		cancel()
		if err == nil {
			return reply.Learnt
		}
	}
	return nil
}
