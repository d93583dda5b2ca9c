// Package disk stores a control's durable state in one folder: hard state, log
// and the newest snapshot, each record with a checksum. Writes return once they
// are synced. A damaged folder, or one that holds other files, is an error and
// is never reinitialized.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"rosereach/core/replica"
)

const (
	dataFileName = "rosereach.db"

	// formatVersion is the version of the data file's format.
	formatVersion = 2

	lockTimeout = time.Second
	fileMode    = 0o600
	folderMode  = 0o700

	// lostAndFound exists at the root of a new file system and does not make the
	// data folder a foreign one.
	lostAndFound = "lost+found"
)

// The causes of errors, for errors.Is.
const (
	ErrDamaged = errors.ConstError("the data folder is damaged")
	ErrForeign = errors.ConstError("the data folder is not rosereach's")
	ErrFull    = errors.ConstError("the disk is full")
)

type (
	// Store is an open data folder. It is safe for concurrent use.
	Store struct {
		db   *bbolt.DB
		path string

		mu   sync.Mutex
		meta Meta
	}

	// Meta identifies the replica that a folder belongs to.
	Meta struct {
		// Incarnation is a random number, generated when the folder is created.
		Incarnation uint64 `json:"incarnation"`
		// Group is empty until the replica has joined a group.
		Group string `json:"group"`
	}
)

// Open opens the data folder and initializes it if it is missing or empty. It
// fails when another process has it open, and with ErrDamaged or ErrForeign.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Annotatef(err, "data folder %s", folder)
	}
	path := filepath.Join(folder, dataFileName)
	if err := checkFolder(folder, path); err != nil {
		return nil, err
	}
	s := &Store{path: path}
	err := s.catchDamage("file header", func() error {
		db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
		s.db = db
		return err
	})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, errors.Errorf("data file %s is open in another process: stop that process first", path)
	}
	if err != nil {
		return nil, err
	}
	if err := s.prepare(); err != nil {
		s.db.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the data file, so that another process may open the folder.
func (s *Store) Close() error { return errors.Trace(s.db.Close()) }

// Meta returns the identity that is stored in the folder.
func (s *Store) Meta() Meta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meta
}

// JoinGroup stores the group that the replica has joined, with its initial state.
func (s *Store) JoinGroup(group string, first replica.PersistentState) error {
	meta := s.Meta()
	meta.Group = group
	err := s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketMeta)
		if err := putRecord(b, keyMeta, meta); err != nil {
			return err
		}
		if err := putRecord(b, keyHardState, first.HardState); err != nil {
			return err
		}
		return putRecord(b, keySnapshot, first.Snapshot)
	})
	if err != nil {
		return s.writeError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meta = meta
	return nil
}

// Save writes a replica's changes in one transaction and returns once it is
// synced. The error's cause is ErrFull when the disk has no space left.
func (s *Store) Save(w replica.Write) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if w.Commit > 0 {
			if err := putRecord(tx.Bucket(bucketMeta), keyCommit, w.Commit); err != nil {
				return err
			}
		}
		if w.HardState != nil {
			if err := putRecord(tx.Bucket(bucketMeta), keyHardState, *w.HardState); err != nil {
				return err
			}
		}
		if w.Snapshot != nil {
			if err := saveSnapshot(tx, w); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		log.FillPercent = 1
		return saveEntries(log, w.Entries)
	})
	return s.writeError(err)
}

// Load returns the stored state after it has verified the checksum of every
// record.
func (s *Store) Load() (replica.PersistentState, error) {
	var saved replica.PersistentState
	err := s.catchDamage("log", func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			meta := tx.Bucket(bucketMeta)
			if err := s.getRecord(meta, keyHardState, &saved.HardState); err != nil {
				return err
			}
			if err := s.getRecord(meta, keySnapshot, &saved.Snapshot); err != nil {
				return err
			}
			if meta.Get(keyCommit) != nil {
				if err := s.getRecord(meta, keyCommit, &saved.Commit); err != nil {
					return err
				}
			}
			return s.loadEntries(tx.Bucket(bucketLog), &saved)
		})
	})
	return saved, err
}

// checkFolder returns an error for a folder with an empty data file, or with
// other files but no data file. Open must not initialize these as new: the data
// may be lost, or the folder may belong to another program.
func checkFolder(folder, path string) error {
	info, err := os.Stat(path)
	if err == nil && info.Size() > 0 {
		return nil
	}
	if err == nil {
		return errors.Annotatef(ErrDamaged, "data file %s has no bytes: move it away and repair this replica, or restore it; cause", path)
	}
	if !os.IsNotExist(err) {
		return errors.Annotatef(err, "data file %s", path)
	}
	list, err := os.ReadDir(folder)
	if err != nil {
		return errors.Annotatef(err, "data folder %s", folder)
	}
	for _, f := range list {
		if f.Name() != lostAndFound {
			return errors.Annotatef(ErrForeign, "data folder %s holds %s but no %s: give an empty folder or rosereach's own; cause", folder, f.Name(), dataFileName)
		}
	}
	return nil
}

// prepare creates the buckets of a new data file, or checks the format of an
// existing one and reads its Meta.
func (s *Store) prepare() error {
	return s.catchDamage("meta", func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			if tx.Bucket(bucketMeta) == nil {
				return s.create(tx)
			}
			if tx.Bucket(bucketLog) == nil {
				return s.damagedError("bucket log", "it is missing")
			}
			format := tx.Bucket(bucketMeta).Get(keyFormat)
			if len(format) != len(indexKey(0)) {
				return s.damagedError("record meta/format", "it is missing")
			}
			if v := binary.BigEndian.Uint64(format); v != formatVersion {
				return errors.Errorf("data file %s has format %d, this program reads %d: use the program that wrote it", s.path, v, formatVersion)
			}
			return s.getRecord(tx.Bucket(bucketMeta), keyMeta, &s.meta)
		})
	})
}

// create writes the initial records of a new data file.
func (s *Store) create(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(bucketLog); err != nil {
		return err
	}
	if err := meta.Put(keyFormat, indexKey(formatVersion)); err != nil {
		return err
	}
	s.meta = Meta{Incarnation: newIncarnation()}
	for key, record := range map[string]any{
		string(keyMeta): s.meta, string(keyHardState): replica.HardState{}, string(keySnapshot): replica.Snapshot{},
	} {
		if err := putRecord(meta, []byte(key), record); err != nil {
			return err
		}
	}
	return nil
}

// writeError annotates a write error. A full disk becomes ErrFull, since the caller
// can retry once space is free.
func (s *Store) writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case isFull(err):
		return errors.Annotatef(ErrFull, "data file %s: %v: free space on the disk; cause", s.path, err)
	}
	return errors.Annotatef(err, "data file %s", s.path)
}

// isFull reports whether a write failed for lack of space. When the file has to grow, the
// library has the cause in the error's text only.
func isFull(err error) bool {
	return slices.ContainsFunc([]syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG}, func(full syscall.Errno) bool {
		return errors.Is(err, full) || strings.HasSuffix(err.Error(), ": "+full.Error())
	})
}

// newIncarnation returns a random 63-bit number, which no other folder has.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // it never fails
	return binary.BigEndian.Uint64(b[:]) >> 1
}
