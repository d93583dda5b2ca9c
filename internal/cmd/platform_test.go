package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rosereach/platform"
)

// A changed settings file is reloaded without a signal; an invalid one leaves the
// current settings unchanged.
func TestSettingsReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	node := platform.SimulatedNode{Name: "e", IP: "127.0.0.1", Zone: "z", Seeds: []string{"10.0.0.1"}, Ports: platform.SimulatedPorts{Internal: 7, Control: 8, Callers: 9, Readiness: 10}}
	write := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(node.Settings())
	t.Setenv(platform.SettingsVariable, path)
	n, err := openPlatformProcess(log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.watchSettings(ctx) }()
	node.Seeds = []string{"10.0.0.2", "10.0.0.3"}
	write(node.Settings())
	for len(n.memberAddresses()) != 2 {
		time.Sleep(5 * time.Millisecond)
	}
	if got := n.memberAddresses()[1]; got != "10.0.0.3:7" {
		t.Fatalf("member address %s, want 10.0.0.3:7", got)
	}
	write([]byte("node_name = \"\""))
	n.reload()
	if len(n.memberAddresses()) != 2 {
		t.Fatal("invalid settings took effect")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// A process does not start with an invalid settings file, and reports all
// findings.
func TestInvalidSettingsPreventStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte("ip = \"here\""), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	_, err := openPlatformProcess(log.NewNopLogger())
	if exitCodeOf(err) != exitSettings {
		t.Fatalf("exit code %d, %v", exitCodeOf(err), err)
	}
	for _, place := range []string{"node_name", "ip", "zone", "region", "seeds", "internal_ports"} {
		if !strings.Contains(err.Error(), place) {
			t.Errorf("%s is not reported in %v", place, err)
		}
	}
}

// A SIGHUP that came before the settings were watched, or after, at the end of a stop, ended the
// process at once.
func TestHangupOutsideOfTheWatchEndsNoProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	node := platform.SimulatedNode{Name: "e", IP: "127.0.0.1", Zone: "z", Seeds: []string{"10.0.0.1"}, Ports: platform.SimulatedPorts{Internal: 7, Control: 8, Callers: 9, Readiness: 10}}
	if err := os.WriteFile(path, node.Settings(), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	p, err := openPlatformProcess(log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	hangUp := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		<-p.hangups
	}
	hangUp()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := p.watchSettings(ctx); err != nil {
		t.Fatal(err)
	}
	hangUp()
}
