// Package disk keeps a control's durable state in one folder: a log of
// commands and the newest snapshot. Nothing counts before it is synced.
package disk

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"go.etcd.io/bbolt"
)

const (
	fileName = "rosereach.db"

	// formatVersion is the version of the folder's format.
	formatVersion = 1

	lockTimeout = time.Second
	fileMode    = 0o600
	folderMode  = 0o700
)

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	keyFormat   = []byte("format")
	keySnapshot = []byte("snapshot")
)

type (
	// Store is an open data folder. It is safe for concurrent use.
	Store struct {
		db *bbolt.DB
	}

	// Entry is one entry of the log.
	Entry struct {
		Index uint64
		Data  []byte
	}
)

// Open opens the data folder and makes it when it is missing. It fails when
// another process has it open, or when it has another format.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Annotatef(err, "data folder %s", folder)
	}
	path := filepath.Join(folder, fileName)
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, errors.Annotatef(err, "data file %s: stop the other process, or move a damaged file away and repair the replica; open", path)
	}
	s := &Store{db: db}
	if err := s.prepare(path); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// Close ends the use of the folder.
func (s *Store) Close() error { return errors.Trace(s.db.Close()) }

// Append writes entries and returns once they are synced.
func (s *Store) Append(entries []Entry) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLog)
		b.FillPercent = 1
		for _, e := range entries {
			if err := b.Put(indexKey(e.Index), e.Data); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Annotate(err, "log")
}

// Load returns the newest snapshot, nil when there is none, and the entries
// after the index of that snapshot.
func (s *Store) Load() (snapshot []byte, entries []Entry, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		snapshot = append([]byte(nil), tx.Bucket(bucketMeta).Get(keySnapshot)...)
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			entries = append(entries, Entry{Index: binary.BigEndian.Uint64(k), Data: append([]byte(nil), v...)})
			return nil
		})
	})
	return snapshot, entries, errors.Annotate(err, "log")
}

// SaveSnapshot replaces the snapshot and drops the entries up to index.
func (s *Store) SaveSnapshot(index uint64, snapshot []byte) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(bucketMeta).Put(keySnapshot, snapshot); err != nil {
			return err
		}
		c := tx.Bucket(bucketLog).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= index; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Annotate(err, "snapshot")
}

func (s *Store) prepare(path string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return errors.Trace(err)
		}
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return errors.Trace(err)
		}
		format := meta.Get(keyFormat)
		if format == nil {
			return meta.Put(keyFormat, indexKey(formatVersion))
		}
		if v := binary.BigEndian.Uint64(format); v != formatVersion {
			return errors.Errorf("data file %s has format %d, this program reads %d: use the program that wrote it", path, v, formatVersion)
		}
		return nil
	})
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }
