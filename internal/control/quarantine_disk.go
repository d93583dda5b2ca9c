package control

import (
	"context"

	"github.com/go-kit/log/level"

	"rosereach/io/disk"
)

// loadQuarantine restores what this control had listed before it stopped: all controls and
// entries may have stopped at the same time.
func (n *Node) loadQuarantine() error {
	if n.cfg.ForgetQuarantine {
		n.saveListed()
		return nil
	}
	saved, err := n.store.Quarantine()
	if err != nil {
		return err
	}
	now := n.cfg.Clock.Now()
	elapsed := max(now.Sub(saved.SavedAt), 0)
	for _, s := range saved.Listings {
		s.Left -= elapsed
		n.fleet.parts.List().Add(now, s)
	}
	return nil
}

// saveListed wakes the writer of the quarantine.
func (n *Node) saveListed() {
	select {
	case n.listedChanged <- struct{}{}:
	default:
	}
}

// runQuarantineWriter stores what is listed after each change. A write that fails is tried
// again, as the list goes on without it.
func (n *Node) runQuarantineWriter(ctx context.Context) error {
	for {
		select {
		case <-n.listedChanged:
		case <-ctx.Done():
			return nil
		}
		if err := n.store.SaveQuarantine(n.listed()); err != nil {
			level.Warn(n.cfg.Logger).Log("msg", "Quarantine cannot be stored.", "err", err)
			n.pause(ctx, diskFullRetryDelay)
			n.saveListed()
		}
	}
}

func (n *Node) listed() disk.Quarantine {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	return disk.Quarantine{SavedAt: now, Listings: n.fleet.parts.List().All(now)}
}
