package control

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/replica"
	"rosereach/io/member"
)

const (
	// rejoinAfter is how long a control hears no leader before it asks for its
	// place again: elections are over by then, so it may have been removed.
	rejoinAfter = 3 * electionTimeout

	// rejoinInterval lies between two such questions.
	rejoinInterval = time.Second

	// replaceAfter and removeAfter are how long a voter has to be silent until a
	// newcomer takes its place, and until it is removed without one. Machines
	// that restart or are cut off for some seconds keep their place.
	replaceAfter = 3 * time.Second
	removeAfter  = 20 * time.Second
)

// keepPlace gets this control into the group of its seeds and back into it
// when it was removed while it was out of reach.
func (n *Node) keepPlace(ctx context.Context) error {
	heard := n.cfg.Clock.Now()
	for {
		interval := enrolInterval
		switch now := n.cfg.Clock.Now(); {
		case !n.hasGroup():
			if err := n.seekSeeds(ctx); err != nil {
				return err
			}
		case n.hearsLeader(now):
			heard = now
		case now.Sub(heard) > rejoinAfter:
			n.askPlace(ctx, n.knownControls())
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

func (n *Node) hearsLeader(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica != nil && n.replica.HearsLeader(now)
}

// seekSeeds asks the seeds for a place. The first of them founds the group when
// none of the others knows one. No other control ever founds, and it does so
// only when its settings say that the whole system starts for the first time,
// so there is never a second group.
func (n *Node) seekSeeds(ctx context.Context) error {
	seeds := n.cfg.Seeds.Addresses()
	if n.askPlace(ctx, seeds) || n.hasGroup() {
		return nil
	}
	if !n.cfg.Seeds.Founds || len(seeds) == 0 || slices.Min(seeds) != n.cfg.Address {
		return nil
	}
	return n.foundAlone()
}

// askPlace asks controls in turn for a place, follows them to the leader, and
// reports whether one was given.
func (n *Node) askPlace(ctx context.Context, addresses []string) bool {
	asked := map[string]bool{n.cfg.Address: true}
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		reply, err := n.askJoin(ctx, address)
		var problem *member.Problem
		switch {
		case err == nil:
			if err := n.takeGroup(reply.Group); err != nil {
				level.Error(n.cfg.Logger).Log("msg", "Group cannot be joined.", "control", address, "err", err)
				continue
			}
			return true
		case errors.As(err, &problem) && problem.Address != "":
			addresses = append([]string{problem.Address}, addresses...)
		default:
			level.Debug(n.cfg.Logger).Log("msg", "No place there.", "control", address, "err", err)
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

// dropSilent removes a voter that is gone, and reports whether it did. With a
// newcomer that caught up it does so soon, else after a while; it always keeps
// as many voters as the group needs to bear its losses. Callers hold n.mu.
func (n *Node) dropSilent(now time.Time, members replica.Membership) bool {
	if n.cfg.Seeds == nil || len(members.Voters)-1 < n.cfg.Seeds.KeepVoters {
		return false
	}
	silence := removeAfter
	for _, l := range members.Learners {
		if _, again := earlier(members, l.Identity); !again && n.replica.IsCaughtUp(l.Identity) {
			silence = replaceAfter
		}
	}
	silent := n.replica.SilentVoters(now, silence)
	if len(silent) == 0 {
		return false
	}
	if err := n.replica.Remove(now, silent[0]); err != nil {
		level.Debug(n.cfg.Logger).Log("msg", "Control is not removed yet.", "control", silent[0].ID, "err", err)
		return false
	}
	level.Warn(n.cfg.Logger).Log("msg", "Removes a silent control.", "control", silent[0].ID, "voters", len(members.Voters)-1)
	return true
}
