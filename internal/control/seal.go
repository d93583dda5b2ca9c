package control

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/go-kit/log/level"

	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/state"
)

const (
	// sealSecretBytes is the length of a key that signs session tokens.
	sealSecretBytes = 32

	// firstSealChangeID is the fixed id of the change that adds the first key. A
	// change is executed once per id, so there is one first key even when
	// several leaders try to add it.
	firstSealChangeID = "system-first-seal-key"
)

// ensureSealKey adds the first key for session tokens in a new group.
func (n *Node) ensureSealKey(ctx context.Context) {
	if len(n.Catalog().Documents().SealKeys) > 0 {
		return
	}
	key := catalog.SealKey{ID: rand.Text(), Secret: make([]byte, sealSecretBytes)}
	rand.Read(key.Secret) //nolint:errcheck // it never fails
	document, err := json.Marshal(key)
	if err != nil {
		return
	}
	c := change.Change{
		ID: firstSealChangeID, Kind: change.RotateSeal, Name: key.ID, Document: document, Actor: "system",
		At: n.cfg.Clock.Now().UTC(),
	}
	if _, err := n.Propose(ctx, state.Command{Change: &c}); err != nil {
		level.Error(n.cfg.Logger).Log("msg", "First seal key is not added.", "err", err)
	}
}
