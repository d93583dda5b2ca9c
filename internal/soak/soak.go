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
	controls = 5
	entries  = 3
	servers  = 4
	callers  = 12

	// startTime limits the wait for the first accepted configuration and answer.
	startTime = 20 * time.Second

	// requestTime is the deadline that callers set on each request.
	requestTime = 4 * time.Second

	// settleTime is the time after the last fault within which requests have to
	// be served again and no rejected request may still run.
	settleTime = 12 * time.Second

	// inForceTime is the time after an acknowledged change within which removed
	// keys have to be rejected and reads have to show the new configuration.
	inForceTime = 3 * time.Second

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
		Requests int
		Answered int
		Faults   []string
		Breaches []Breach
	}

	// soak is the state of one run.
	soak struct {
		cfg       Config
		random    *rand.Rand
		ports     platform.StandInPorts
		controls  []*process
		entries   []*process
		servers   []*server
		runs      *runs
		breaches  breaches
		acked     atomic.Uint64
		unstable  atomic.Int64
		answered  atomic.Int64
		mu        sync.Mutex
		ended     []ended
		addresses []string
		faults    []string
	}
)

// Run executes a soak run and reports what it observed. An error means that the
// programs could not be started or served no request.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), runs: &runs{count: make(map[string]int)}} //nolint:gosec // deterministic faults for a given seed
	defer s.end()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var announcers sync.WaitGroup
	for _, srv := range s.servers {
		announcers.Go(func() { srv.beat(ctx, s.ports, s.controlIPs()) })
	}
	if err := s.waitServing(ctx); err != nil {
		return Report{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() { s.call(loadCtx, i) })
	}
	clients.Go(func() { s.operate(loadCtx) })
	clients.Go(func() { s.resolve(loadCtx) })
	s.breakThings(ctx)
	stopLoad()
	clients.Wait()
	s.finish(ctx)
	cancel()
	announcers.Wait()
	return s.report(), nil
}

// start starts the controls, the entries and the backend servers.
func (s *soak) start() error {
	subnet := 2 + s.cfg.Seed%200
	ip := func(i int) string { return fmt.Sprintf("127.77.%d.%d", subnet, i+10) }
	if err := s.drawPorts(ip(0)); err != nil {
		return err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, ip(i))
	}
	for i := range controls + entries {
		n := platform.StandInNode{Name: fmt.Sprintf("entry-%d", i-controls+1), IP: ip(i), Zone: "z", Seeds: seeds, First: true, Control: i < controls, Ports: s.ports}
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
	for i := range servers {
		srv, err := newServer(fmt.Sprintf("server-%d", i+1), ip(100+i), s.cfg.Seed+uint64(i), s.runs)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, srv)
	}
	return nil
}

// drawPorts lets the kernel pick ports that are free on the first address. The
// other addresses use the same ports, as nothing else listens there.
func (s *soak) drawPorts(ip string) error {
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

// end kills all processes and closes the backend servers.
func (s *soak) end() {
	for _, p := range append(append([]*process(nil), s.controls...), s.entries...) {
		p.kill()
		p.log.Close() //nolint:errcheck // the process has exited
	}
	for _, srv := range s.servers {
		srv.http.Close() //nolint:errcheck // the run has ended
	}
}

// waitServing puts the first configuration and waits until a request is
// answered.
func (s *soak) waitServing(ctx context.Context) error {
	client := &http.Client{Timeout: 2 * time.Second}
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s.acked.Load() == 0 && !s.put(client, 1, goodKey, oldKey) {
			continue
		}
		s.find(client)
		if outcome := s.request(client, "safe", "first", goodKey); outcome.status == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("no request was served within %s; see the logs in %s", startTime, s.cfg.Folder)
}

// call runs one caller, which sends requests of random kinds one at a
// time until the context is cancelled.
func (s *soak) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, uint64(number))) //nolint:gosec // deterministic requests for a given seed
	client := &http.Client{Timeout: requestTime + time.Second}
	kinds := []string{"safe", "unsafe", "unsafe", "streaming"}
	for i := 0; ctx.Err() == nil; i++ {
		outcome := s.request(client, kinds[random.IntN(len(kinds))], fmt.Sprintf("c%d-%d", number, i), goodKey)
		s.breaches.checkAnswer(outcome)
		if outcome.status == http.StatusOK {
			s.answered.Add(1)
		}
		s.mu.Lock()
		s.ended = append(s.ended, outcome)
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// request sends one request to an entry from the last directory answer. The
// status stays 0 when no entry is known.
func (s *soak) request(client *http.Client, kind, id, key string) ended {
	outcome := ended{kind: kind, id: id}
	s.mu.Lock()
	var address string
	if len(s.addresses) > 0 {
		address = s.addresses[int(time.Now().UnixNano())%len(s.addresses)]
	}
	s.mu.Unlock()
	if address == "" {
		return outcome
	}
	r, err := platform.CallerRequest(address, kind, id, key, requestTime)
	if err != nil {
		return outcome
	}
	r.GetBody = nil // keeps Go's client from resending the request on its own
	status, body := read(client, r)
	outcome.status, outcome.body = status, string(body)
	return outcome
}

// resolve asks the directory for entries once a second, as callers do.
func (s *soak) resolve(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		s.find(client)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// find asks the controls in turn for the entries and stores the
// first list that is not empty.
func (s *soak) find(client *http.Client) {
	for _, ip := range s.controlIPs() {
		r, err := s.ports.Resolve(ip, "z")
		if err != nil {
			continue
		}
		status, body := read(client, r)
		if addresses, err := platform.Resolved(body); status == http.StatusOK && err == nil && len(addresses) > 0 {
			s.mu.Lock()
			s.addresses = addresses
			s.mu.Unlock()
			return
		}
	}
}

// operate puts the next configuration version every propagationTime and checks
// that reads show the acknowledged one. Versions from 4 on lack the old key,
// which must then be rejected, unless a fault is recent.
func (s *soak) operate(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for version := uint64(2); ctx.Err() == nil; version++ {
		acked := s.acked.Load()
		time.Sleep(inForceTime)
		for _, ip := range s.controlIPs() {
			s.checkRead(client, ip, acked)
		}
		keys := []string{goodKey}
		if version < 4 {
			keys = append(keys, oldKey)
		}
		s.put(client, version, keys...)
		if version > 4 && s.acked.Load() >= 4 && s.isCalm() {
			if outcome := s.request(client, "safe", fmt.Sprintf("old-%d", version), oldKey); outcome.status == http.StatusOK {
				s.breaches.add("removed keys rejected within the time limit", outcome.id, "answered under configuration %d", s.acked.Load())
			}
		}
	}
}

// put sends a configuration to the controls in turn until one
// acknowledges it.
func (s *soak) put(client *http.Client, version uint64, keys ...string) bool {
	text := platform.StandInConfig(version, "s", keys...)
	for _, ip := range s.controlIPs() {
		r, err := s.ports.PutConfig(ip, text)
		if err != nil {
			continue
		}
		if call(client, r) == http.StatusOK {
			s.acked.Store(max(s.acked.Load(), version))
			return true
		}
	}
	return false
}

// checkRead checks that a control that answers returns a configuration version of
// at least minVersion. A control that does not answer is skipped.
func (s *soak) checkRead(client *http.Client, ip string, minVersion uint64) {
	r, err := s.ports.GetConfig(ip)
	if err != nil {
		return
	}
	status, text := read(client, r)
	if status != http.StatusOK {
		return
	}
	version, err := platform.ConfigVersion(text)
	if err != nil || version < minVersion {
		s.breaches.add("acknowledged configuration is never rolled back", ip, "reads version %d (%v), %d was acknowledged", version, err, minVersion)
	}
}

// breakThings injects random faults one after another for the configured
// duration.
func (s *soak) breakThings(ctx context.Context) {
	for deadline := time.Now().Add(s.cfg.Duration); time.Now().Before(deadline) && ctx.Err() == nil; {
		s.breakOne()
		if s.cfg.Progress != nil {
			s.cfg.Progress(fmt.Sprintf("seed %d, %d faults, %d answered, configuration %d, %d breaches, last: %s", s.cfg.Seed, len(s.faults),
				s.answered.Load(), s.acked.Load(), len(s.breaches.all()), s.faults[len(s.faults)-1]))
		}
		time.Sleep(time.Duration(500+s.random.IntN(2000)) * time.Millisecond)
	}
}

// breakOne injects one random fault and repairs it. At most one control is down
// at a time, except when all are killed, which keeps their data folders.
func (s *soak) breakOne() {
	control, entry := s.controls[s.random.IntN(controls)], s.entries[s.random.IntN(entries)]
	srv := s.servers[s.random.IntN(servers)]
	pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
	s.unstable.Store(time.Now().Add(pause + settleTime).UnixNano())
	kind := s.random.IntN(8)
	name := []string{"kill control", "freeze control", "wipe control", "kill all controls", "kill entry", "stop entry", "freeze entry", "faulty server"}[kind]
	s.faults = append(s.faults, name)
	switch kind {
	case 0:
		s.away(control, control.kill, pause)
	case 1:
		control.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		control.signal(syscall.SIGCONT)
	case 2:
		control.kill()
		if err := control.wipe(); err != nil {
			s.breaches.add("soak harness", control.node.Name, "%v", err)
		}
		s.away(control, func() {}, pause)
		time.Sleep(settleTime / 2)
	case 3:
		for _, p := range s.controls {
			p.kill()
		}
		for _, p := range s.controls {
			s.restart(p)
		}
	case 4:
		s.away(entry, entry.kill, pause)
	case 5:
		s.away(entry, entry.stop, pause)
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

// away ends a program, waits for the pause and starts the program again.
func (s *soak) away(p *process, terminate func(), pause time.Duration) {
	terminate()
	time.Sleep(pause)
	s.restart(p)
}

func (s *soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.breaches.add("soak harness", p.node.Name, "%v", err)
	}
}

// isCalm reports whether recoveryTime has passed since the planned end of the
// last fault.
func (s *soak) isCalm() bool { return time.Now().UnixNano() > s.unstable.Load() }

// finish waits for recoveryTime after the last fault, then checks that
// requests are served, that reads show the acknowledged configuration, and how
// often each request ran.
func (s *soak) finish(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	served := false
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		s.find(client)
		served = s.request(client, "safe", "last", goodKey).status == http.StatusOK
	}
	if !served {
		s.breaches.add("recovery", "last", "no request is served %s after the last fault", settleTime)
	}
	for _, ip := range s.controlIPs() {
		s.checkRead(client, ip, s.acked.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, outcome := range s.ended {
		s.breaches.checkRuns(outcome, s.runs.of(outcome.id))
	}
}

func (s *soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Requests: len(s.ended), Answered: int(s.answered.Load()), Faults: s.faults, Breaches: s.breaches.all()}
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
