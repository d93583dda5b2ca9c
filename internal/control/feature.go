package control

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"rosereach/core/change"
	"rosereach/core/state"
	"rosereach/io/member"
)

// enableFeatures enables the features that the commands need and the group has not enabled
// yet, and refuses the commands if a member does not know one: it would hold another state
// than the others from then on. Commands of a kind that this build itself does not know are
// refused as well.
func (n *Node) enableFeatures(ctx context.Context, commands []state.Command) error {
	for _, c := range commands {
		if what := c.Unsupported(); what != "" {
			return &member.Problem{Code: member.CodeRefused, Detail: "this control's build does not know " + what}
		}
		if c.Change == nil || c.Change.Kind.Feature() == "" {
			continue
		}
		if err := n.enableFeature(ctx, c.Change.Kind.Feature()); err != nil {
			return err
		}
	}
	return nil
}

// featureInterval is the pause between two tries to enable a feature in advance.
const featureInterval = time.Second

// prepareFeatures enables evacuations once the routing plan has home regions or servers with
// a time to warm up, measured roll-outs once there is an order, and elections by half of the
// voters in a small group. It answers an order that
// arrives while a control is down that the leader has not reached yet: nobody can tell its
// build then. Callers hold n.mu.
func (n *Node) prepareFeatures(ctx context.Context, now time.Time) {
	docs := n.state.Documents()
	if docs.Routing == nil || now.Sub(n.featuresTriedAt) < featureInterval {
		return
	}
	n.featuresTriedAt = now
	needed := map[change.Feature]bool{
		change.Evacuations:      docs.Routing.Config.UsesLocations(),
		change.MeasuredRollouts: len(docs.Rollouts) > 0,
		change.HalfElections:    n.membershipConfig().LacksMargin(len(n.groupLocked().Members.Voters)),
	}
	for f, isNeeded := range needed {
		if !n.hasFeature(f) && isNeeded && len(n.membersWithout(f)) == 0 {
			go n.enableFeature(ctx, f) //nolint:errcheck // it is tried again
		}
	}
}

// hasFeature reports whether the group has enabled a feature. Callers hold n.mu.
func (n *Node) hasFeature(f change.Feature) bool {
	_, enabled := n.state.Documents().Features[f]
	return enabled
}

func (n *Node) enableFeature(ctx context.Context, f change.Feature) error {
	n.mu.Lock()
	_, enabled := n.state.Documents().Features[f]
	lacking := n.membersWithout(f)
	n.mu.Unlock()
	switch {
	case enabled:
		return nil
	case len(lacking) > 0:
		n.cfg.Logger.Log("msg", "Feature waits for controls of older builds.", "feature", f, "controls", len(lacking), "first", lacking[0])
		return &member.Problem{Code: member.CodeRefused, Detail: "control " + lacking[0] + " runs a build without " + string(f) + " or has not been reached: retry when all controls run the new one"}
	}
	if !n.IsLeader() {
		return nil // The leader enables it.
	}
	n.cfg.Logger.Log("msg", "Feature is enabled.", "feature", f)
	c := change.Change{ID: ulid.Make().String(), Kind: change.EnableFeature, Name: string(f), Actor: "system"}.WithTime(n.cfg.Clock.Now())
	_, err := n.Propose(ctx, state.Command{Change: &c})
	return err
}

// membersWithout returns the members of the group that do not know a feature, as far as this
// control has reached them. Callers hold n.mu.
func (n *Node) membersWithout(f change.Feature) []string {
	var lacking []string
	for _, m := range n.groupLocked().Members.All() {
		if m.Identity == n.self {
			continue
		}
		view, ok := n.fleet.peers[m.Address]
		if !ok || len(change.Missing([]change.Feature{f}, view.features)) > 0 {
			lacking = append(lacking, m.ID)
		}
	}
	return lacking
}

// missingFeatures returns the enabled features that a replica does not know. Callers hold
// n.mu.
func (n *Node) missingFeatures(known []change.Feature) []change.Feature {
	var enabled []change.Feature
	for f := range n.state.Documents().Features {
		enabled = append(enabled, f)
	}
	return change.Missing(enabled, known)
}
