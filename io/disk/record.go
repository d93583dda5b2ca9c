package disk

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"rosereach/core/encoding"
	"rosereach/core/replica"
)

// checksumBytes is the length of the checksum that precedes each record.
const checksumBytes = 8

var (
	bucketMeta   = []byte("meta")
	bucketLog    = []byte("log")
	keyFormat    = []byte("format")
	keyMeta      = []byte("folder")
	keyHardState = []byte("hard_state")
	keySnapshot  = []byte("snapshot")
	keyCommit    = []byte("commit")
)

// putRecord writes a record, preceded by the checksum of its key and data.
func putRecord(b *bbolt.Bucket, key []byte, record any) error {
	data, err := encoding.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	value := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(data)), checksum(key, data))
	return b.Put(key, append(value, data...))
}

// getRecord reads a record of bucket meta and verifies its checksum.
func (s *Store) getRecord(b *bbolt.Bucket, key []byte, record any) error {
	return s.decode("meta/"+string(key), key, b.Get(key), record)
}

// decode verifies the checksum of a stored value and decodes its record. Errors
// name the place, which is bucket/key.
func (s *Store) decode(place string, key, value []byte, record any) error {
	if len(value) < checksumBytes {
		return s.damagedError("record "+place, "it is missing or too short")
	}
	data := value[checksumBytes:]
	if binary.BigEndian.Uint64(value) != checksum(key, data) {
		return s.damagedError("record "+place, "its checksum differs")
	}
	if err := encoding.Unmarshal(data, record); err != nil {
		return s.damagedError("record "+place, err.Error())
	}
	return nil
}

// saveEntries replaces the log from the index of the first entry on.
func saveEntries(log *bbolt.Bucket, entries []replica.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(entries[0].Index)); k != nil; k, _ = c.Seek(indexKey(entries[0].Index)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := putRecord(log, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// saveSnapshot replaces the snapshot and drops the log entries that it covers,
// or all entries on a reset. It rebuilds the log from the few entries after the
// snapshot, because deleting many entries one by one becomes slower with each
// entry that is already deleted.
func saveSnapshot(tx *bbolt.Tx, w replica.Write) error {
	if err := putRecord(tx.Bucket(bucketMeta), keySnapshot, *w.Snapshot); err != nil {
		return err
	}
	kept := make(map[string][]byte)
	c := tx.Bucket(bucketLog).Cursor()
	for k, v := c.Seek(indexKey(w.Snapshot.Index + 1)); k != nil && !w.Reset; k, v = c.Next() {
		kept[string(k)] = append([]byte(nil), v...)
	}
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	log, err := tx.CreateBucket(bucketLog)
	if err != nil {
		return err
	}
	for _, k := range slices.Sorted(maps.Keys(kept)) {
		if err := log.Put([]byte(k), kept[k]); err != nil {
			return err
		}
	}
	return nil
}

// loadEntries reads the log, which must follow the snapshot without gaps.
func (s *Store) loadEntries(log *bbolt.Bucket, saved *replica.PersistentState) error {
	next := saved.Snapshot.Index + 1
	return log.ForEach(func(k, v []byte) error {
		var e replica.Entry
		place := fmt.Sprintf("log/%x", k)
		if err := s.decode(place, k, v, &e); err != nil {
			return err
		}
		if e.Index != next || binary.BigEndian.Uint64(k) != next {
			return s.damagedError("record "+place, fmt.Sprintf("entry %d is missing before it", next))
		}
		next++
		saved.Entries = append(saved.Entries, e)
		return nil
	})
}

// catchDamage calls f and converts bbolt's errors and panics on a damaged file to
// ErrDamaged, with file and place.
func (s *Store) catchDamage(place string, f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = s.damagedError(place, fmt.Sprint(r))
		}
	}()
	err = f()
	for _, cause := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrChecksum, bbolterrors.ErrVersionMismatch} {
		if errors.Is(err, cause) {
			return s.damagedError(place, err.Error())
		}
	}
	return err
}

// damagedError returns an ErrDamaged with place, problem and how to repair the replica.
func (s *Store) damagedError(place, problem string) error {
	return errors.Annotatef(ErrDamaged,
		"data file %s, %s: %s: move the folder away and start this control with an empty one and --join, so that it is repaired from the others; cause",
		s.path, place, problem)
}

func checksum(key, data []byte) uint64 {
	d := xxhash.New()
	d.Write(key)  //nolint:errcheck // it never fails
	d.Write(data) //nolint:errcheck // it never fails
	return d.Sum64()
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }
