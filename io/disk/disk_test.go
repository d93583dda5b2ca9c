package disk

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"rosereach/core/replica"
)

func open(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func entry(index, term uint64, data string) replica.Entry {
	return replica.Entry{Index: index, Term: term, Data: []byte(data)}
}

// Load returns what was saved: new entries replace the log from their first index
// on, a snapshot drops the entries that it covers, a reset drops all, and the
// incarnation does not change when the folder is reopened.
func TestSaveAndLoad(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	first := replica.Bootstrap(replica.Member{Identity: replica.Identity{ID: "a", Incarnation: s.Meta().Incarnation}})
	if err := s.JoinGroup("g", first); err != nil {
		t.Fatal(err)
	}
	hard := replica.HardState{Term: 3, Vote: replica.Identity{ID: "b", Incarnation: 2}}
	snapshot := replica.Snapshot{Index: 3, Term: 1, Members: first.Snapshot.Members, Data: []byte("state")}
	for _, w := range []replica.Write{
		{Entries: []replica.Entry{entry(2, 1, "two"), entry(3, 1, "three"), entry(4, 1, "four"), entry(5, 1, "five")}},
		{HardState: &hard, Entries: []replica.Entry{entry(4, 2, "other")}},
		{Snapshot: &snapshot},
	} {
		if err := s.Save(w); err != nil {
			t.Fatal(err)
		}
	}
	meta := s.Meta()
	s.Close()
	again := open(t, folder)
	saved, err := again.Load()
	if err != nil {
		t.Fatal(err)
	}
	want := replica.PersistentState{HardState: hard, Snapshot: snapshot, Entries: []replica.Entry{entry(4, 2, "other")}}
	if diff := cmp.Diff(want, saved); diff != "" {
		t.Error(diff)
	}
	if again.Meta() != meta || meta.Group != "g" || meta.Incarnation == 0 {
		t.Errorf("meta %+v, before %+v", again.Meta(), meta)
	}
	reset := replica.Snapshot{Index: 9, Term: 4}
	if err := again.Save(replica.Write{Snapshot: &reset, Reset: true}); err != nil {
		t.Fatal(err)
	}
	if saved, err = again.Load(); err != nil || len(saved.Entries) != 0 || saved.Snapshot.Index != 9 {
		t.Errorf("after a reset: %+v, %v", saved, err)
	}
}

// A damaged folder, or one of another program, yields the expected cause, with
// folder and place in the text. It is never initialized as a new one.
func TestDamagedFolder(t *testing.T) {
	payload := []byte("a payload that is easy to find")
	for _, tc := range []struct {
		name   string
		damage func(t *testing.T, folder string)
		cause  error
		says   string
	}{
		{"a changed byte in a record", func(t *testing.T, folder string) {
			rewrite(t, folder, func(data []byte) []byte { return bytes.ReplaceAll(data, payload, bytes.ToUpper(payload)) })
		}, ErrDamaged, "log/0000000000000002"},
		{"an emptied file", func(t *testing.T, folder string) {
			rewrite(t, folder, func([]byte) []byte { return nil })
		}, ErrDamaged, "no bytes"},
		{"a file of zeros", func(t *testing.T, folder string) {
			rewrite(t, folder, func(data []byte) []byte { return make([]byte, len(data)) })
		}, ErrDamaged, "file header"},
		{"another program's file", func(t *testing.T, folder string) {
			rewrite(t, folder, func([]byte) []byte { return bytes.Repeat([]byte("text"), 1<<14) })
		}, ErrDamaged, "file header"},
		{"data file missing, other files present", func(t *testing.T, folder string) {
			if err := os.Rename(filepath.Join(folder, dataFileName), filepath.Join(folder, "old.db")); err != nil {
				t.Fatal(err)
			}
		}, ErrForeign, "old.db"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			folder := t.TempDir()
			s := open(t, folder)
			if err := s.Save(replica.Write{Entries: []replica.Entry{entry(1, 1, "x"), entry(2, 1, string(payload))}}); err != nil {
				t.Fatal(err)
			}
			s.Close()
			tc.damage(t, folder)
			err := loadAgain(folder)
			if !errors.Is(err, tc.cause) || !strings.Contains(err.Error(), tc.says) || !strings.Contains(err.Error(), folder) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// A folder that is open cannot be opened again.
func TestFolderLock(t *testing.T) {
	folder := t.TempDir()
	open(t, folder)
	if _, err := Open(folder); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("error %v", err)
	}
}

func loadAgain(folder string) error {
	s, err := Open(folder)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Load()
	return err
}

func rewrite(t *testing.T, folder string, change func([]byte) []byte) {
	t.Helper()
	path := filepath.Join(folder, dataFileName)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(data), fileMode); err != nil {
		t.Fatal(err)
	}
}
