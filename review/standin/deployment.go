package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// The ports of the system's processes. Each process has a loopback address of its own.
const (
	portCallers   = 8227
	portReadiness = 8220
	portControl   = 8229
	portDirectory = 8224
	portInternal  = 7340
	portMetrics   = 9464
)

const (
	// contact is contact_ms of the bounds: how long all has to be calm before machines count as
	// in touch.
	contact = 4 * time.Second

	// margin is added to the time from which on requests are judged.
	margin = 500 * time.Millisecond
)

// bounds are those of the site vitrina.
const bounds = `
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_skew_ms = 6000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.9
retry_window_s = 10
budget_slack = 52
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
recover_s = 12
pass_ms = 400
reuse_window_s = 7.8
session_s = 5
ttl_max_s = 5
`

type (
	// role is a role of the deploy file.
	role struct {
		Run string            `toml:"run"`
		Env map[string]string `toml:"env"`
	}

	// deployment is a small system: its processes, and the folder with their settings,
	// disks and logs.
	deployment struct {
		rec    *record
		folder string
		prefix string // the first three numbers of all addresses
		roles  map[string]role

		controls []*process
		entries  []*process
	}

	// process is one program of the system.
	process struct {
		d         *deployment
		name      string
		role      string
		ip        string
		zone      string
		bootstrap bool

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
	}
)

// newDeployment prepares a deployment of one region with the given numbers of controls and
// entries, and starts nothing.
func newDeployment(rec *record, controls, entries int) (*deployment, error) {
	d := &deployment{rec: rec}
	var file struct {
		Roles map[string]role `toml:"roles"`
	}
	if _, err := toml.DecodeFile("deploy/system.toml", &file); err != nil {
		return nil, err
	}
	d.roles = file.Roles
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d.folder = folder
	if err := d.choosePrefix(); err != nil {
		return nil, err
	}
	for i := range controls {
		d.controls = append(d.controls, &process{d: d, name: fmt.Sprintf("core-%d", i+1), role: "control", ip: d.ip(10 + i), zone: zoneOf(i), bootstrap: true})
	}
	for i := range entries {
		d.entries = append(d.entries, &process{d: d, name: fmt.Sprintf("front-%d", i+1), role: "entry", ip: d.ip(50 + i), zone: zoneOf(i)})
	}
	return d, nil
}

func zoneOf(i int) string { return []string{"za", "zb", "zc"}[i%3] }

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s.%d", d.prefix, host) }

// choosePrefix chooses loopback addresses on which the ports are free.
func (d *deployment) choosePrefix() error {
	for range 20 {
		d.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250)) //nolint:gosec // it only avoids other tests
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(10), portControl)); err == nil {
			return l.Close()
		}
	}
	return fmt.Errorf("no free loopback address")
}

// start starts all processes.
func (d *deployment) start() error {
	for _, p := range append(append([]*process(nil), d.controls...), d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that were started, and removes the folder.
func (d *deployment) stop() {
	for _, p := range append(append([]*process(nil), d.controls...), d.entries...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder) //nolint:errcheck // a temporary folder
	}
}

// settings returns the process's settings file.
func (p *process) settings() string {
	var seeds []string
	for _, c := range p.d.controls[:min(3, len(p.d.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", c.at(portControl)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"r\"\n", p.name, p.role, p.ip, p.zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = %v\n", portInternal, portInternal+15, strings.Join(seeds, ","), p.bootstrap)
	b.WriteString("discovery = \"registration\"\nentry = \"directory\"\nheartbeat_ms = 1200\nconfig_mode = \"highest\"\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"rollout\"]\n")
	if p.role == "control" {
		fmt.Fprintf(&b, "counts_as_loss = true\ndata_dir = %q\n", filepath.Join(p.d.folder, p.name, "data"))
	}
	b.WriteString("[zones]\nza = \"r\"\nzb = \"r\"\nzc = \"r\"\n[listen]\n")
	if p.role == "control" {
		fmt.Fprintf(&b, "control = %q\ndirectory = %q\n", p.at(portControl), p.at(portDirectory))
	} else {
		fmt.Fprintf(&b, "frontend = %q\nreadiness = %q\n", p.at(portCallers), p.at(portReadiness))
	}
	b.WriteString("[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	return b.String() + bounds
}

// at returns an address of the process.
func (p *process) at(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// start starts the program with the command of the deploy file. The kernel kills it when
// this program dies.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	folder := filepath.Join(p.d.folder, p.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, "node.toml")
	if err := os.WriteFile(settings, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the program has it open
	r := p.d.roles[p.role]
	words := strings.Fields(r.Run)
	cmd := exec.Command(words[0], words[1:]...) //nolint:forbidigo,gosec // the cases start the programs that they break
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEREACH_NODE_FILE=" + settings}
	for name, value := range r.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.bootstrap = false // it is true at the first start only
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.d.rec.add("%s started", p.name)
	go func() {
		err := cmd.Wait()
		p.d.rec.add("%s ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
