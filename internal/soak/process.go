package soak

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rosereach/platform"
)

const (
	// processorShare is the part of a processor that an entry has at times, as a quota of each
	// processorPeriod.
	processorShare  = 0.4
	processorPeriod = 100 * time.Millisecond
)

// process is one program under test, on its own IP address. It signals only the
// child that it started, by process ID.
type process struct {
	node   platform.SimulatedNode
	folder string
	binary string
	// startWith is the program for the next start, empty for binary.
	startWith string
	// env is added to the environment.
	env []string

	mu      sync.Mutex
	cmd     *exec.Cmd
	isOlder bool // the program that runs is not binary
	log     *os.File
	stopped bool
	exited  chan struct{}

	// disruptions are the process's own, in order. The last one may not have ended.
	disruptions []disruption
}

// newProcess creates the process's folder, opens its log and writes its settings
// file. It starts nothing.
func newProcess(root, binary string, node platform.SimulatedNode) (*process, error) {
	p := &process{node: node, folder: filepath.Join(root, node.Name), binary: binary}
	p.node.DataDir = filepath.Join(p.folder, "data")
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.log = log
	return p, p.writeSettings()
}

func (p *process) writeSettings() error {
	return errors.Trace(os.WriteFile(p.settings(), p.node.Settings(), 0o600))
}

func (p *process) settings() string { return filepath.Join(p.folder, "node.toml") }

// start starts the program. The kernel kills it when the soak process dies
// (Pdeathsig).
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	role := "entry"
	if p.node.Control {
		role = "control"
	}
	binary := cmp.Or(p.startWith, p.binary)
	p.startWith = ""
	cmd := exec.Command(binary, role, "--member-key", "soak", "--log-level", "debug")
	cmd.Env = append(append(os.Environ(), p.env...), fmt.Sprintf("%s=%s", platform.SettingsVariable, p.settings()))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	p.cmd, p.isOlder, p.stopped, p.exited = cmd, binary != p.binary, false, make(chan struct{})
	go func(exited chan struct{}) {
		cmd.Wait() //nolint:errcheck // the exit status does not matter: the soak kills it
		close(exited)
	}(p.exited)
	return nil
}

// signal sends a signal to the program if it is running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped {
		return
	}
	// Signaling a program that has just exited fails, which is harmless.
	p.cmd.Process.Signal(sig) //nolint:errcheck // see above
}

// kill sends SIGKILL to the program and waits for it to exit.
func (p *process) kill() {
	p.disrupt(killed)
	p.signal(syscall.SIGKILL)
	p.awaitExit()
}

// stop asks the program to shut down with SIGTERM, and reports whether it had to be killed.
func (p *process) stop() (killed bool) {
	p.disrupt(planned)
	return p.terminate()()
}

// terminate sends SIGTERM to the program, and SIGKILL after its grace time, as the platform does. The
// returned function waits for it to exit and reports whether it had to be killed.
func (p *process) terminate() (wait func() (killed bool)) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	outlasted := make(chan bool, 1)
	go func() {
		select {
		case <-exited:
			outlasted <- false
		case <-time.After(p.grace()):
			p.signal(syscall.SIGKILL)
			outlasted <- true
		}
	}()
	return func() bool {
		p.awaitExit()
		return <-outlasted
	}
}

// grace returns the time between SIGTERM and SIGKILL.
func (p *process) grace() time.Duration {
	return cmp.Or(p.node.GracePeriod, platform.SimulatedGracePeriod)
}

// freeze pauses the program for the given time.
func (p *process) freeze(d time.Duration) {
	p.disrupt(frozen)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.endDisruption()
}

// limitProcessor lets the program run for a part of each processorPeriod until the context ends.
func (p *process) limitProcessor(ctx context.Context, share float64) {
	on := time.Duration(share * float64(processorPeriod))
	for ctx.Err() == nil {
		sleep(ctx, on)
		p.signal(syscall.SIGSTOP)
		time.Sleep(processorPeriod - on)
		p.signal(syscall.SIGCONT)
	}
}

// reload writes other seeds into the program's settings file, and signals it if hangUp
// is true.
func (p *process) reload(seeds []string, hangUp bool) error {
	p.node.Seeds = seeds
	if err := p.writeSettings(); err != nil {
		return err
	}
	if hangUp {
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// disrupt records that a disruption begins.
func (p *process) disrupt(kind disruptionKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disruptions = append(p.disruptions, disruption{kind: kind, begin: time.Now()})
}

// endDisruption records that the last disruption has ended.
func (p *process) endDisruption() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.disruptions); n > 0 {
		p.disruptions[n-1].end = time.Now()
	}
}

// awaitExit waits for the program to exit.
func (p *process) awaitExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// wipe deletes the data folder of a program that has exited. Its next start joins
// the existing group instead of starting a new one.
func (p *process) wipe() error {
	if err := os.RemoveAll(p.node.DataDir); err != nil {
		return errors.Trace(err)
	}
	p.node.Bootstrap = false
	return p.writeSettings()
}

// disruptedSince reports whether a disruption lasts or ended after the given time.
func (p *process) disruptedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disruptions, func(d disruption) bool { return d.end.IsZero() || d.end.After(t) })
}
