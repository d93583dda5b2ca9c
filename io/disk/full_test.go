package disk

import (
	"bytes"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"rosereach/core/replica"
)

// limitFileSize keeps files from growing beyond size until the returned function is called.
func limitFileSize(t *testing.T, size int64) (lift func()) {
	t.Helper()
	var usual syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &usual); err != nil {
		t.Fatal(err)
	}
	signal.Ignore(syscall.SIGXFSZ)
	limit := usual
	limit.Cur = uint64(size)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	lift = func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &usual); err != nil {
			t.Error(err)
		}
		signal.Reset(syscall.SIGXFSZ)
	}
	t.Cleanup(lift)
	return lift
}

// A data file that could not grow counted as broken, and ended its control: no write is lost
// by that, and the same one succeeds once there is space.
func TestFileThatCannotGrowIsAFullDisk(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	small := replica.Write{Entries: []replica.Entry{entry(1, 1, "small")}}
	if err := s.Save(small); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(folder, dataFileName))
	if err != nil {
		t.Fatal(err)
	}
	large := replica.Write{Entries: []replica.Entry{entry(2, 1, string(bytes.Repeat([]byte("x"), int(4*info.Size()))))}}
	lift := limitFileSize(t, info.Size())
	for range 3 {
		if err := s.Save(large); !errors.Is(err, ErrFull) {
			t.Fatalf("error %v", err)
		}
	}
	if err := s.SaveQuarantine(Quarantine{}); err != nil && !errors.Is(err, ErrFull) {
		t.Errorf("a write that needs less: %v", err)
	}
	lift()
	if err := s.Save(large); err != nil {
		t.Fatal(err)
	}
	s.Close()
	saved, err := open(t, folder).Load()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(append(small.Entries, large.Entries...), saved.Entries); diff != "" {
		t.Error(diff)
	}
}
