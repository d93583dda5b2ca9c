package disk

import (
	"time"

	"github.com/juju/errors"
	"go.etcd.io/bbolt"

	"rosereach/core/quarantine"
)

var keyQuarantine = []byte("quarantine")

// Quarantine is what a control had listed at a time.
type Quarantine struct {
	// SavedAt is the time of day. It may be off by seconds, of an hour that a listing lasts.
	SavedAt  time.Time            `json:"saved_at"`
	Listings []quarantine.Listing `json:"listings"`
}

// SaveQuarantine stores what is listed and returns once it is synced. The error's cause is
// ErrFull when the disk has no space left.
func (s *Store) SaveQuarantine(q Quarantine) error {
	return s.writeError(s.db.Update(func(tx *bbolt.Tx) error { return putRecord(tx.Bucket(bucketMeta), keyQuarantine, q) }))
}

// Quarantine returns what was stored last, nothing in a new folder.
func (s *Store) Quarantine() (q Quarantine, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketMeta)
		if b.Get(keyQuarantine) == nil {
			return nil
		}
		return s.getRecord(b, keyQuarantine, &q)
	})
	return q, errors.Trace(err)
}
