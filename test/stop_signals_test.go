package test

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"rosereach/platform"
)

// platformEntry is an entry with the platform's settings, whose controls can't be reached.
type platformEntry struct {
	*process
	logs     *os.File // the reading side of its standard output
	settings string
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// portsOfEntry is the number of addresses that startPlatformEntry takes.
const portsOfEntry = 4

func startPlatformEntry(t *testing.T, addresses []string) *platformEntry {
	t.Helper()
	e := &platformEntry{settings: filepath.Join(t.TempDir(), "node.toml")}
	node := platform.SimulatedNode{Name: "entry", IP: ownIP, Zone: "z", Seeds: []string{ownIP}, Ports: platform.SimulatedPorts{
		Callers: portOf(t, addresses[0]), Readiness: portOf(t, addresses[1]), Control: portOf(t, addresses[2]), Internal: portOf(t, addresses[3]),
	}}
	if err := os.WriteFile(e.settings, node.Settings(), 0o600); err != nil {
		t.Fatal(err)
	}
	e.process = &process{
		t: t, cmd: exec.Command(program, "entry", "--member-key", "m"), address: addresses[0], stderr: &lockedBuffer{}, exited: make(chan struct{}),
	}
	e.cmd.Env, e.cmd.Stderr = append(os.Environ(), platform.SettingsVariable+"="+e.settings), e.stderr
	logs, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	e.logs, e.cmd.Stdout = logs, out
	t.Cleanup(func() { logs.Close() })
	if err := e.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	out.Close()
	t.Cleanup(e.kill)
	go func() {
		e.cmd.Wait()
		close(e.exited)
	}()
	waitFor(t, "the entry's port", func() bool {
		if e.hasExited() {
			t.Fatalf("the entry ends with %v: %s", e.cmd.ProcessState, e.stderr)
		}
		return e.answers()
	})
	return e
}

func (e *platformEntry) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// answers reports whether the entry answers a request, with the refusal that fits.
func (e *platformEntry) answers() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.address)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusServiceUnavailable
}

func (e *platformEntry) isReady() bool {
	resp, err := http.Get("http://" + e.address)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return !resp.Close
}

// Nothing but the end of its time ends a process that stops, and only the signals that mean it
// begin a stop: neither further signals, nor changed or missing settings, nor the end of what reads
// its logs. The last one ended the process at its next line.
func TestNothingCutsAStopShort(t *testing.T) {
	disturbances := map[string]func(e *platformEntry){
		"SIGTERM":     func(e *platformEntry) { e.cmd.Process.Signal(syscall.SIGTERM) },
		"SIGINT":      func(e *platformEntry) { e.cmd.Process.Signal(syscall.SIGINT) },
		"SIGHUP":      func(e *platformEntry) { e.cmd.Process.Signal(syscall.SIGHUP) },
		"no settings": func(e *platformEntry) { os.Remove(e.settings); e.cmd.Process.Signal(syscall.SIGHUP) },
		"bad settings": func(e *platformEntry) {
			os.WriteFile(e.settings, []byte("ip = 1"), 0o600)
			e.cmd.Process.Signal(syscall.SIGHUP)
		},
		"no log": func(e *platformEntry) { e.logs.Close() },
	}
	free := freeAddresses(t, len(disturbances)*portsOfEntry)
	for name, disturb := range disturbances {
		addresses := free[:portsOfEntry]
		free = free[portsOfEntry:]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startPlatformEntry(t, addresses)
			e.cmd.Process.Signal(syscall.SIGTERM)
			waitFor(t, "the stop", func() bool { return !e.isReady() })
			disturb(e)
			for range 3 {
				if !e.answers() {
					t.Fatalf("no answer during the stop: %s", e.stderr)
				}
			}
			<-e.exited
			if code := e.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the process ends with %v", e.cmd.ProcessState)
			}
		})
	}
}

// In calm, too, an entry goes on whoever reads its logs.
func TestEntryGoesOnWithoutReaderOfItsLogs(t *testing.T) {
	e := startPlatformEntry(t, freeAddresses(t, portsOfEntry))
	e.logs.Close()
	for range 3 {
		if !e.answers() {
			t.Fatalf("no answer: %s", e.stderr)
		}
	}
}

// An entry that serves the product's own protocol ended at once at SIGHUP, with all its requests.
func TestHangupStopsEntryInOrder(t *testing.T) {
	// Processes inherit that a signal is ignored, as it is under nohup, and not that it is caught.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(caught) })
	e := startFleet(t, 1).entries[0]
	e.cmd.Process.Signal(syscall.SIGHUP)
	<-e.exited
	if code := e.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the process ends with %v", e.cmd.ProcessState)
	}
}
