package cmd

import (
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/lease"
	"rosereach/internal/control"
	"rosereach/internal/entry"
	"rosereach/internal/httpd"
	"rosereach/platform"
)

const testMemberKey = "m"

// stoppingFleet is an entry with the platform's settings, and a control that it follows.
type stoppingFleet struct {
	control *control.Node
	entry   *platformEntry
	stop    func()
	ended   chan error
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := httpd.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func startStoppingFleet(t *testing.T) *stoppingFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	members := listenLocal(t)
	node, err := control.Open(control.Config{
		ID: "control", Folder: t.TempDir(), MemberKey: testMemberKey, OperatorKey: "o", Terms: lease.DefaultConfig(), Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	controlEnded := make(chan error, 1)
	go func() {
		controlEnded <- serveControl(ctx, log.NewNopLogger(), node, part{"members", func(ctx context.Context) error {
			return serveUntil(ctx, members, httpd.Server{Handler: node.Handler(), Timeouts: noWait})
		}})
	}()
	path := filepath.Join(t.TempDir(), "node.toml")
	settings := platform.SimulatedNode{
		Name: "e", IP: "127.0.0.1", Zone: "z", Seeds: []string{"127.0.0.1"},
		Ports: platform.SimulatedPorts{Internal: members.Addr().(*net.TCPAddr).Port, Control: 1, Callers: 2, Readiness: 3},
	}.Settings()
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	process, err := openPlatformProcess(log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	process.memberKey, process.flushLogs = testMemberKey, func() {}
	p := &platformEntry{
		process: process, entry: entry.New(process.entryConfig(1)),
		callerListener: listenLocal(t), readinessListener: listenLocal(t), relayListeners: []net.Listener{listenLocal(t)},
	}
	p.drainDeadline.Store(math.MaxInt64)
	running, stop := context.WithCancel(context.Background())
	f := &stoppingFleet{control: node, entry: p, stop: stop, ended: make(chan error, 1)}
	go func() { f.ended <- p.run(running) }()
	t.Cleanup(func() {
		stop()
		cancel()
		<-controlEnded
	})
	return f
}

func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

// awaitEnd waits until the entry has ended.
func (f *stoppingFleet) awaitEnd(t *testing.T) error {
	t.Helper()
	select {
	case err := <-f.ended:
		return err
	case <-time.After(20 * time.Second):
		t.Fatal("the entry does not end")
		return nil
	}
}

// An entry of which a part failed, here the readiness listener, closed its port at once and left no
// list: callers were refused connections, and their kept ones were closed without notice.
func TestEntryWithFailedPartStopsInOrder(t *testing.T) {
	f := startStoppingFleet(t)
	address := f.entry.callerListener.Addr().String()
	get := func() (status int, closes bool) {
		t.Helper()
		resp, err := http.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode, resp.Close
	}
	get()
	f.entry.readinessListener.Close()
	awaitCondition(t, "the stop", f.entry.entry.IsDraining)
	if status, closes := get(); !closes || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, closes %v", status, closes)
	}
	if err := f.awaitEnd(t); err == nil || !strings.Contains(err.Error(), "closed") {
		t.Errorf("the entry ends with %v", err)
	}
}
