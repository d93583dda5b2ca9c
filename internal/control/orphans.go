package control

import (
	"context"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/io/member"
)

const (
	// lookupTimeout bounds the wait for one entry's answer.
	lookupTimeout = 3 * time.Second

	// maxLookupEntries limits how many entries are asked, one after the other.
	maxLookupEntries = 2
)

// closeOrphans closes the open ledger records of an owner that is gone. Requests that
// must not run twice are first looked up at the backend servers, through an
// entry, as they may have run. Callers hold n.mu.
func (n *Node) closeOrphans(ctx context.Context, owner ledger.Owner) {
	lookups := orphanLookups(n.state.Ledger().Open(owner))
	var entries []*member.Conn
	for c := range n.watchers {
		if c.Peer().ID != owner.Entry && len(entries) < maxLookupEntries {
			entries = append(entries, c)
		}
	}
	go func() {
		s := state.CloseOwner{Owner: owner, Reported: n.lookUpOrphans(ctx, entries, lookups), At: n.cfg.Clock.Now().UTC()}
		n.Propose(ctx, state.Command{CloseOwner: &s}) //nolint:errcheck // the next leader closes the remaining records
	}()
}

// orphanLookups returns the lookups that the records need. Idempotent requests need
// none, as they may simply run again.
func orphanLookups(open []ledger.Record) []member.OutcomeQuery {
	var list []member.OutcomeQuery
	for _, r := range open {
		if !r.Idempotent && r.Service != "" {
			list = append(list, member.OutcomeQuery{Key: r.Key, Service: r.Service})
		}
	}
	return list
}

// lookUpOrphans sends the lookups to the entries in turn until one answers. It
// returns nil when none does.
func (n *Node) lookUpOrphans(ctx context.Context, entries []*member.Conn, lookups []member.OutcomeQuery) []ledger.ReportedAnswer {
	if len(lookups) == 0 {
		return nil
	}
	for _, c := range entries {
		callCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		var reply member.OutcomesReply
		err := c.Call(callCtx, member.KindOutcomes, member.OutcomesRequest{Requests: lookups}, &reply)
		cancel()
		if err == nil {
			return reply.Answers
		}
	}
	return nil
}
