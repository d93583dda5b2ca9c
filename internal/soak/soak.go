// Package soak runs the real programs as separate processes on loopback through
// the platform's interfaces, injects faults into processes and backend servers,
// and checks what callers, backend servers and operators observe.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rosereach/platform"
)

const (
	controlCount = 5
	entryCount   = 3
	serverCount  = 4
	callerCount  = 12

	// startTimeout limits the wait for the first accepted configuration and answer.
	startTimeout = 20 * time.Second

	// requestTimeout is the deadline that callers set on each request.
	requestTimeout = 4 * time.Second

	// recoveryTime is the time after the last fault within which requests have to
	// be served again and no rejected request may still run.
	recoveryTime = 12 * time.Second

	// propagationTime is the time after an acknowledged change within which removed
	// keys have to be rejected and reads have to show the new configuration.
	propagationTime = 3 * time.Second

	// The callers' key, and one that is removed during the run.
	goodKey, oldKey = "key-good", "key-old"
)

type (
	// Config holds the settings of a soak run. Folder receives settings, data
	// and logs of all processes and is kept. Progress may be nil.
	Config struct {
		Binary   string
		Folder   string
		Seed     uint64
		Duration time.Duration
		Progress func(line string)
	}

	// Report is the result of a soak run. Faults are the injected faults in order.
	Report struct {
		Requests   int
		Answered   int
		Faults     []string
		Violations []Violation
	}

	// soak is the state of one run.
	soak struct {
		cfg            Config
		random         *rand.Rand
		ports          platform.SimulatedPorts
		controls       []*process
		entries        []*process
		servers        []*server
		runs           *runCounter
		violations     violations
		ackedVersion   atomic.Uint64
		unstableUntil  atomic.Int64
		answered       atomic.Int64
		mu             sync.Mutex
		outcomes       []requestOutcome
		entryAddresses []string
		faults         []string
	}
)

// Run executes a soak run and reports what it observed. An error means that the
// programs could not be started or served no request.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), runs: &runCounter{count: make(map[string]int)}} //nolint:gosec // deterministic faults for a given seed
	defer s.cleanUp()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var announcers sync.WaitGroup
	for _, srv := range s.servers {
		announcers.Go(func() { srv.announceLoop(ctx, s.ports, s.controlIPs()) })
	}
	if err := s.waitUntilServing(ctx); err != nil {
		return Report{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range callerCount {
		clients.Go(func() { s.runCaller(loadCtx, i) })
	}
	clients.Go(func() { s.runOperator(loadCtx) })
	clients.Go(func() { s.runResolver(loadCtx) })
	s.injectFaults(ctx)
	stopLoad()
	clients.Wait()
	s.checkFinalState(ctx)
	cancel()
	announcers.Wait()
	return s.report(), nil
}

// start starts the controls, the entries and the backend servers.
func (s *soak) start() error {
	subnet := 2 + s.cfg.Seed%200
	ip := func(i int) string { return fmt.Sprintf("127.77.%d.%d", subnet, i+10) }
	if err := s.pickPorts(ip(0)); err != nil {
		return err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, ip(i))
	}
	for i := range controlCount + entryCount {
		n := platform.SimulatedNode{Name: fmt.Sprintf("entry-%d", i-controlCount+1), IP: ip(i), Zone: "z", Seeds: seeds, Bootstrap: true, Control: i < controlCount, Ports: s.ports}
		if n.Control {
			n.Name = fmt.Sprintf("control-%d", i+1)
		}
		p, err := newProcess(s.cfg.Folder, s.cfg.Binary, n)
		if err != nil {
			return err
		}
		if n.Control {
			s.controls = append(s.controls, p)
		} else {
			s.entries = append(s.entries, p)
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range serverCount {
		srv, err := newServer(fmt.Sprintf("server-%d", i+1), ip(100+i), s.cfg.Seed+uint64(i), s.runs)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, srv)
	}
	return nil
}

// pickPorts lets the kernel pick ports that are free on the first address. The
// other addresses use the same ports, as nothing else listens there.
func (s *soak) pickPorts(ip string) error {
	for _, port := range []*int{&s.ports.Callers, &s.ports.Readiness, &s.ports.Control, &s.ports.Directory, &s.ports.Internal} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return errors.Trace(err)
		}
		defer l.Close() //nolint:errcheck // the port number is known by then
		_, text, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return errors.Trace(err)
		}
		if *port, err = strconv.Atoi(text); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// cleanUp kills all processes and closes the backend servers.
func (s *soak) cleanUp() {
	for _, p := range append(append([]*process(nil), s.controls...), s.entries...) {
		p.kill()
		p.log.Close() //nolint:errcheck // the process has exited
	}
	for _, srv := range s.servers {
		srv.http.Close() //nolint:errcheck // the run has ended
	}
}

// waitUntilServing puts the first configuration and waits until a request is
// answered.
func (s *soak) waitUntilServing(ctx context.Context) error {
	client := &http.Client{Timeout: 2 * time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s.ackedVersion.Load() == 0 && !s.putConfig(client, 1, goodKey, oldKey) {
			continue
		}
		s.updateEntryAddresses(client)
		if outcome := s.sendRequest(client, "safe", "first", goodKey); outcome.status == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("no request was served within %s; see the logs in %s", startTimeout, s.cfg.Folder)
}

// runCaller runs one caller, which sends requests of random kinds one at a time
// until the context is canceled.
func (s *soak) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, uint64(number))) //nolint:gosec // deterministic requests for a given seed
	client := &http.Client{Timeout: requestTimeout + time.Second}
	kinds := []string{"safe", "unsafe", "unsafe", "streaming"}
	for i := 0; ctx.Err() == nil; i++ {
		outcome := s.sendRequest(client, kinds[random.IntN(len(kinds))], fmt.Sprintf("c%d-%d", number, i), goodKey)
		s.violations.checkAnswer(outcome)
		if outcome.status == http.StatusOK {
			s.answered.Add(1)
		}
		s.mu.Lock()
		s.outcomes = append(s.outcomes, outcome)
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// sendRequest sends one request to one of the entries in the latest answer of the
// directory. The outcome has status 0 when no entry is known.
func (s *soak) sendRequest(client *http.Client, kind, id, key string) requestOutcome {
	outcome := requestOutcome{kind: kind, id: id}
	s.mu.Lock()
	var address string
	if len(s.entryAddresses) > 0 {
		address = s.entryAddresses[int(time.Now().UnixNano())%len(s.entryAddresses)]
	}
	s.mu.Unlock()
	if address == "" {
		return outcome
	}
	r, err := platform.NewCallerRequest(address, kind, id, key, requestTimeout)
	if err != nil {
		return outcome
	}
	r.GetBody = nil // keeps Go's client from resending the request on its own
	status, body := send(client, r)
	outcome.status, outcome.body = status, string(body)
	return outcome
}

// runResolver asks the directory for entries once a second, as callers do.
func (s *soak) runResolver(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		s.updateEntryAddresses(client)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// updateEntryAddresses asks the controls in turn for the entries and stores the
// first list that is not empty.
func (s *soak) updateEntryAddresses(client *http.Client) {
	for _, ip := range s.controlIPs() {
		r, err := s.ports.ResolveRequest(ip, "z")
		if err != nil {
			continue
		}
		status, body := send(client, r)
		if addresses, err := platform.DecodeResolved(body); status == http.StatusOK && err == nil && len(addresses) > 0 {
			s.mu.Lock()
			s.entryAddresses = addresses
			s.mu.Unlock()
			return
		}
	}
}

// runOperator puts the next configuration version every propagationTime and checks
// that reads show the acknowledged one. Versions from 4 on lack the old key,
// which must then be rejected, unless a fault is recent.
func (s *soak) runOperator(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for version := uint64(2); ctx.Err() == nil; version++ {
		acked := s.ackedVersion.Load()
		time.Sleep(propagationTime)
		for _, ip := range s.controlIPs() {
			s.checkRead(client, ip, acked)
		}
		keys := []string{goodKey}
		if version < 4 {
			keys = append(keys, oldKey)
		}
		s.putConfig(client, version, keys...)
		if version > 4 && s.ackedVersion.Load() >= 4 && s.isStable() {
			if outcome := s.sendRequest(client, "safe", fmt.Sprintf("old-%d", version), oldKey); outcome.status == http.StatusOK {
				s.violations.add("removed keys rejected within the time limit", outcome.id, "answered under configuration %d", s.ackedVersion.Load())
			}
		}
	}
}

// putConfig sends a configuration to the controls in turn until one
// acknowledges it.
func (s *soak) putConfig(client *http.Client, version uint64, keys ...string) bool {
	text := platform.SimulatedConfig(version, "s", keys...)
	for _, ip := range s.controlIPs() {
		r, err := s.ports.PutConfigRequest(ip, text)
		if err != nil {
			continue
		}
		if sendForStatus(client, r) == http.StatusOK {
			s.ackedVersion.Store(max(s.ackedVersion.Load(), version))
			return true
		}
	}
	return false
}

// checkRead checks that a control that answers returns a configuration version of
// at least minVersion. A control that does not answer is skipped.
func (s *soak) checkRead(client *http.Client, ip string, minVersion uint64) {
	r, err := s.ports.GetConfigRequest(ip)
	if err != nil {
		return
	}
	status, text := send(client, r)
	if status != http.StatusOK {
		return
	}
	version, err := platform.ConfigVersion(text)
	if err != nil || version < minVersion {
		s.violations.add("acknowledged configuration is never rolled back", ip, "reads version %d (%v), %d was acknowledged", version, err, minVersion)
	}
}

// injectFaults injects random faults one after another for the configured
// duration.
func (s *soak) injectFaults(ctx context.Context) {
	for deadline := time.Now().Add(s.cfg.Duration); time.Now().Before(deadline) && ctx.Err() == nil; {
		s.injectFault()
		if s.cfg.Progress != nil {
			s.cfg.Progress(fmt.Sprintf("seed %d, %d faults, %d answered, configuration %d, %d breaches, last: %s", s.cfg.Seed, len(s.faults),
				s.answered.Load(), s.ackedVersion.Load(), len(s.violations.all()), s.faults[len(s.faults)-1]))
		}
		time.Sleep(time.Duration(500+s.random.IntN(2000)) * time.Millisecond)
	}
}

// injectFault injects one random fault and repairs it. At most one control is down
// at a time, except when all are killed, which keeps their data folders.
func (s *soak) injectFault() {
	control, entry := s.controls[s.random.IntN(controlCount)], s.entries[s.random.IntN(entryCount)]
	srv := s.servers[s.random.IntN(serverCount)]
	pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
	s.unstableUntil.Store(time.Now().Add(pause + recoveryTime).UnixNano())
	kind := s.random.IntN(8)
	name := []string{"kill control", "freeze control", "wipe control", "kill all controls", "kill entry", "stop entry", "freeze entry", "faulty server"}[kind]
	s.faults = append(s.faults, name)
	switch kind {
	case 0:
		s.restartAfter(control, control.kill, pause)
	case 1:
		control.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		control.signal(syscall.SIGCONT)
	case 2:
		control.kill()
		if err := control.wipe(); err != nil {
			s.violations.add("soak harness", control.node.Name, "%v", err)
		}
		s.restartAfter(control, func() {}, pause)
		time.Sleep(recoveryTime / 2)
	case 3:
		for _, p := range s.controls {
			p.kill()
		}
		for _, p := range s.controls {
			s.restart(p)
		}
	case 4:
		s.restartAfter(entry, entry.kill, pause)
	case 5:
		s.restartAfter(entry, entry.stop, pause)
	case 6:
		entry.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		entry.signal(syscall.SIGCONT)
	case 7:
		srv.setFaulty(true)
		time.Sleep(pause)
		srv.setFaulty(false)
	}
}

// restartAfter ends a program, waits for the pause and starts the program again.
func (s *soak) restartAfter(p *process, terminate func(), pause time.Duration) {
	terminate()
	time.Sleep(pause)
	s.restart(p)
}

func (s *soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.violations.add("soak harness", p.node.Name, "%v", err)
	}
}

// isStable reports whether recoveryTime has passed since the planned end of the
// last fault.
func (s *soak) isStable() bool { return time.Now().UnixNano() > s.unstableUntil.Load() }

// checkFinalState waits for recoveryTime after the last fault, then checks that
// requests are served, that reads show the acknowledged configuration, and how
// often each request ran.
func (s *soak) checkFinalState(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	served := false
	for deadline := time.Now().Add(recoveryTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		s.updateEntryAddresses(client)
		served = s.sendRequest(client, "safe", "last", goodKey).status == http.StatusOK
	}
	if !served {
		s.violations.add("recovery", "last", "no request is served %s after the last fault", recoveryTime)
	}
	for _, ip := range s.controlIPs() {
		s.checkRead(client, ip, s.ackedVersion.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, outcome := range s.outcomes {
		s.violations.checkRuns(outcome, s.runs.countFor(outcome.id))
	}
}

func (s *soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Requests: len(s.outcomes), Answered: int(s.answered.Load()), Faults: s.faults, Violations: s.violations.all()}
}

func (s *soak) controlIPs() []string {
	ips := make([]string, 0, len(s.controls))
	for _, p := range s.controls {
		ips = append(ips, p.node.IP)
	}
	return ips
}

// Binary returns the path of the running executable, which a soak run tests.
func Binary() (string, error) {
	path, err := os.Executable()
	return path, errors.Trace(err)
}
