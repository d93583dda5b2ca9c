package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/juju/errors"

	"rosereach/platform"
)

// process is one of the programs under test, on an address of its own. Only
// what it started itself is ever ended, by its process id.
type process struct {
	node   platform.StandInNode
	folder string
	binary string

	mu      sync.Mutex
	cmd     *exec.Cmd
	log     *os.File
	stopped bool
	gone    chan struct{}
}

// newProcess writes the settings file of a process in a folder of its own.
func newProcess(root, binary string, node platform.StandInNode) (*process, error) {
	p := &process{node: node, folder: filepath.Join(root, node.Name), binary: binary}
	p.node.Folder = filepath.Join(p.folder, "data")
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

// start starts the program. It stays bound to this process: when the soak dies
// it dies too.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	role := "entry"
	if p.node.Control {
		role = "control"
	}
	cmd := exec.Command(p.binary, role, "--member-key", "soak", "--log-level", "debug")
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s", platform.SettingsVariable, p.settings()))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	p.cmd, p.stopped, p.gone = cmd, false, make(chan struct{})
	go func(gone chan struct{}) {
		cmd.Wait() //nolint:errcheck // it is killed on purpose
		close(gone)
	}(p.gone)
	return nil
}

// signal sends a signal to the program if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped {
		return
	}
	// A program that has just ended gets no signal, which is as well.
	p.cmd.Process.Signal(s) //nolint:errcheck // see above
}

// kill ends the program and waits for its end.
func (p *process) kill() { p.end(syscall.SIGKILL) }

// stop ends the program as planned and waits for its end.
func (p *process) stop() { p.end(syscall.SIGTERM) }

func (p *process) end(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	if gone != nil {
		<-gone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// wipe empties the data folder of a program that has ended, which then starts
// as one that is not part of the first start.
func (p *process) wipe() error {
	if err := os.RemoveAll(p.node.Folder); err != nil {
		return errors.Trace(err)
	}
	p.node.First = false
	return p.writeSettings()
}
