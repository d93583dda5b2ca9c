package control

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/io/member"
)

const (
	// rejoinAfter is how long a control has no contact with a leader before it asks
	// to join again. An election would be over by then, so the control may have
	// been removed.
	rejoinAfter = 3 * electionTimeout

	// rejoinInterval is the pause between two attempts to join again.
	rejoinInterval = time.Second
)

// maintainMembership makes this control join the group of its seeds, and join it again
// when it was removed while it was unreachable.
func (n *Node) maintainMembership(ctx context.Context) error {
	lastContact := n.cfg.Clock.Now()
	for {
		interval := joinInterval
		switch now := n.cfg.Clock.Now(); {
		case !n.hasGroup():
			if err := n.joinOrFound(ctx); err != nil {
				return err
			}
		case n.hasLeaderContact(now):
			lastContact = now
		case now.Sub(lastContact) > rejoinAfter:
			n.requestMembership(ctx, n.knownControls())
			interval = rejoinInterval
		}
		select {
		case <-n.cfg.Clock.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) hasGroup() bool { return n.store.Meta().Group != "" }

// hasLeaderContact reports whether this control leads with a majority or heard from a
// leader recently.
func (n *Node) hasLeaderContact(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica != nil && n.replica.HasLeader(now)
}

// joinOrFound asks the seeds for membership. If none of them has a group, the seed
// with the lowest address founds one, provided that its settings say that the
// whole system starts for the first time. No other control ever founds a group,
// so there is never a second one.
func (n *Node) joinOrFound(ctx context.Context) error {
	seeds := n.cfg.Seeds.Addresses()
	if n.requestMembership(ctx, seeds) || n.hasGroup() {
		return nil
	}
	if !n.cfg.Seeds.MayFound || len(seeds) == 0 || slices.Min(seeds) != n.cfg.Address {
		return nil
	}
	return n.foundGroupIfNone()
}

// requestMembership asks controls in turn for membership, following their redirects to
// the leader. It reports whether this control was accepted.
func (n *Node) requestMembership(ctx context.Context, addresses []string) bool {
	asked := map[string]bool{n.cfg.Address: true}
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		reply, err := n.requestJoin(ctx, address)
		var problem *member.Problem
		switch {
		case err == nil:
			if err := n.adoptGroup(reply.Group); err != nil {
				level.Error(n.cfg.Logger).Log("msg", "Group can't be joined.", "control", address, "err", err)
				continue
			}
			return true
		case errors.As(err, &problem) && problem.Address != "":
			addresses = append([]string{problem.Address}, addresses...)
		default:
			level.Debug(n.cfg.Logger).Log("msg", "Control doesn't accept this one as a member.", "control", address, "err", err)
		}
	}
	return false
}

// knownControls returns the addresses of the group's members and of the seeds.
func (n *Node) knownControls() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, m := range n.groupLocked().Members.All() {
		addresses = append(addresses, m.Address)
	}
	return append(addresses, n.cfg.Seeds.Addresses()...)
}
