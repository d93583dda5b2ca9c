package cmd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/lease"
	"rosereach/internal/control"
	"rosereach/internal/entry"
	"rosereach/internal/httpd"
	"rosereach/io/detour"
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
	process.memberKey, process.flushLogs = testMemberKey, func(time.Duration) {}
	p := &platformEntry{
		process: process, entry: entry.New(process.entryConfig(1)),
		callerListener: listenLocal(t), readinessListener: listenLocal(t), relayListeners: []net.Listener{listenLocal(t)},
	}
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

// dialDetour connects to a server through the entry.
func (f *stoppingFleet) dialDetour(t *testing.T, server string) (net.Conn, error) {
	t.Helper()
	conn, err := detour.Dial(t.Context(), f.entry.relayListeners[0].Addr().String(), testMemberKey, detour.Target{Server: server, Incarnation: 1})
	if err == nil {
		t.Cleanup(func() { conn.Close() })
	}
	return conn, err
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

// serveEcho starts a server that sends back what it gets.
func serveEcho(t *testing.T) string {
	t.Helper()
	l := listenLocal(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// An entry whose own callers had left ended at once and cut the streams that passed through it for
// other entries, with grace time left.
func TestStoppingEntryStaysForDetours(t *testing.T) {
	f := startStoppingFleet(t)
	awaitCondition(t, "a leader", func() bool { return len(f.control.Catalog().Documents().SealKeys) > 0 })
	f.control.Announce(backend.Announcement{
		ID: "a", Incarnation: 1, Sequence: 1, Service: "s", Address: serveEcho(t), Capacity: 8, State: backend.Serving, Region: "r", Zone: "z",
	})
	var conn net.Conn
	awaitCondition(t, "a detour", func() bool {
		var err error
		conn, err = f.dialDetour(t, "a")
		return err == nil
	})
	r := bufio.NewReader(conn)
	echo := func() error {
		io.WriteString(conn, "event\n")
		got, err := r.ReadString('\n')
		if err == nil && got != "event\n" {
			t.Errorf("%q", got)
		}
		return err
	}
	f.stop()
	awaitCondition(t, "the close", func() bool {
		if err := echo(); err != nil {
			t.Fatalf("the detour is cut: %v", err)
		}
		another, err := f.dialDetour(t, "a")
		if err == nil {
			another.Close()
		}
		return errors.Is(err, detour.ErrNoDetour)
	})
	for range 20 {
		if err := echo(); err != nil {
			t.Fatalf("the detour is cut: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case err := <-f.ended:
		t.Fatalf("the entry has ended: %v", err)
	default:
	}
	conn.Close()
	if err := f.awaitEnd(t); err != nil {
		t.Error(err)
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
