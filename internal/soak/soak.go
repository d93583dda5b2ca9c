// Package soak runs the real programs as separate processes on loopback through
// the platform's interfaces, injects faults into processes and backend servers,
// and checks what callers, backend servers and operators observe.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"rosereach/platform"
)

const (
	controlCount = 5
	entryCount   = 3
	serverCount  = 4
	callerCount  = 12
	patientCount = 6

	// insistentCount is the number of callers that stay with an entry that stops.
	insistentCount = 20

	// startTimeout limits the wait for the first accepted configuration and answer.
	startTimeout = 20 * time.Second

	// requestTimeout is the deadline that callers set on each request.
	requestTimeout = 4 * time.Second

	// patientTimeout is the deadline of requests that may outlast a planned stop, and routeTimeout
	// the longer one of their routes.
	patientTimeout = 9 * time.Second
	routeTimeout   = 12 * time.Second

	// recoveryTime is the time after the last fault within which requests have to
	// be served again and no rejected request may still run.
	recoveryTime = 12 * time.Second

	// propagationTime is the time after an acknowledged change within which removed
	// keys have to be rejected and reads have to show the new configuration.
	propagationTime = 3 * time.Second

	// The callers' key, and one that is removed during the run.
	goodKey, oldKey = "key-good", "key-old"

	// withoutOldKey is the first version of the configuration without the old key.
	withoutOldKey = 3
)

// idleTimeouts are the idle timeouts of callers' connections that the configuration's
// versions set in turn; 0 is none. The shortest is near the callers' pauses.
var idleTimeouts = []time.Duration{0, 30 * time.Millisecond, 10 * time.Second}

type (
	// Config holds the settings of a soak run. Folder receives settings, data
	// and logs of all processes and is kept. Progress may be nil.
	//
	// Controls is the number of controls, controlCount if it is 0. A group of three has no margin
	// beyond the one disk that it may lose.
	//
	// OlderBinary is a program of another build, empty for none. All processes begin with
	// it and are upgraded at their next start, so that both builds run side by side until
	// the faults and planned stops have reached each of them. Servers then show only faults
	// that both builds were made for, and lose no answers.
	Config struct {
		Binary      string
		OlderBinary string
		Controls    int

		Folder   string
		Seed     uint64
		Duration time.Duration
		Progress func(line string)
	}

	// Report is the result of a soak run. Faults are the injected faults in order, each
	// with its time of day.
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
		controls       []*process // guarded by mu
		added          int        // controls that were added to the first ones
		entries        []*process
		servers        []*server
		arrivals       *arrivals
		violations     violations
		ackedVersion   atomic.Uint64
		nextChange     atomic.Int64 // when the operator sends its next change, in Unix nanoseconds
		answered       atomic.Int64
		insisted       atomic.Int64 // requests of insistent callers
		mu             sync.Mutex
		outcomes       []requestOutcome
		entryAddresses []string
		faults         []string
	}
)

// Run executes a soak run and reports what it observed. An error means that the
// programs could not be started or served no request.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), arrivals: &arrivals{byID: make(map[string][]arrival)}} //nolint:gosec // deterministic faults for a given seed
	defer s.cleanUp()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	var announcers sync.WaitGroup
	for _, srv := range s.servers {
		announcers.Go(func() { srv.announceLoop(ctx, s.ports, s.controlIPs) })
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
	clients.Go(func() { s.nameLimits(loadCtx) })
	clients.Go(func() { s.limitProcessors(loadCtx) })
	if s.cfg.OlderBinary == "" {
		clients.Go(func() { s.failTogether(loadCtx) })
		for i := range patientCount {
			clients.Go(func() { s.runPatientCaller(loadCtx, i) })
		}
	}
	s.injectFaults(ctx)
	stopLoad()
	clients.Wait()
	s.checkFinalState(ctx)
	cancel()
	announcers.Wait()
	return s.report(), nil
}

// start starts the controls, the entries and the backend servers.
func (s *soak) start(ctx context.Context) error {
	ip, controls := s.ip, cmp.Or(s.cfg.Controls, controlCount)
	if err := s.pickPorts(ip(0)); err != nil {
		return err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, ip(i))
	}
	for i := range controls + entryCount {
		n := platform.SimulatedNode{Name: fmt.Sprintf("entry-%d", i-controls+1), IP: ip(i), Zone: "z", Seeds: seeds, Bootstrap: true, Control: i < controls, Ports: s.ports}
		if n.Control {
			n.Name = fmt.Sprintf("control-%d", i+1)
		}
		p, err := newProcess(s.cfg.Folder, s.cfg.Binary, n)
		if err != nil {
			return err
		}
		p.startWith = s.cfg.OlderBinary
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
		srv, err := newServer(ctx, fmt.Sprintf("server-%d", i+1), ip(100+i), s.cfg.Seed+uint64(i), s.arrivals)
		if err != nil {
			return err
		}
		if s.cfg.OlderBinary != "" {
			srv.kinds = olderFaultKinds
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
	for _, p := range append(s.currentControls(), s.entries...) {
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
		if outcome := s.sendRequest(client, s.pickEntry(), "safe", "first", goodKey); outcome.status == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("no request was served within %s; see the logs in %s", startTimeout, s.cfg.Folder)
}

// runCaller runs one caller, which sends requests of random kinds one at a time
// until the context is canceled. Every other caller stays with its entry, and its
// connection there, until the entry answers no more; the others spread their requests
// over all entries.
func (s *soak) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, uint64(number))) //nolint:gosec // deterministic requests for a given seed
	client := newCallerClient(requestTimeout)
	kinds := []string{"safe", "unsafe", "unsafe", "streaming"}
	var address string
	for i := 0; ctx.Err() == nil; i++ {
		if number%2 == 0 || address == "" {
			address = s.pickEntry()
		}
		outcome := s.sendRequest(client, address, kinds[random.IntN(len(kinds))], fmt.Sprintf("c%d-%d", number, i), goodKey)
		s.record(outcome)
		if outcome.status == 0 {
			address = ""
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// runPatientCaller runs one caller that waits long: for streams that outlast a planned stop, late
// heads and lost answers, and one in three for large answers that it takes slowly. It stays with
// its entry, and its connection there, until the entry answers no more.
func (s *soak) runPatientCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+number)))  //nolint:gosec // deterministic requests for a given seed
	engines := rand.New(rand.NewPCG(s.cfg.Seed, uint64(200+number))) //nolint:gosec // as faults, so that the other requests of a seed stay as they are
	client, draw := newCallerClient(patientTimeout), drawPatientRequest
	if number%3 == 0 {
		client, draw = newSlowClient(patientTimeout), drawLargeRequest
	}
	var address string
	for i := 0; ctx.Err() == nil; i++ {
		if address == "" {
			address = s.pickEntry()
		}
		kind, wanted := draw(random)
		if kind == "streaming" && engines.IntN(2) == 0 {
			kind = platform.SimulatedEngineKind
		}
		outcome := s.sendScripted(client, address, kind, fmt.Sprintf("p%d-%d", number, i), wanted)
		s.record(outcome)
		if outcome.status == 0 {
			address = ""
		}
		sleep(ctx, time.Duration(random.IntN(300))*time.Millisecond)
	}
}

// drawPatientRequest draws a request whose answer ends, or begins, late or never.
func drawPatientRequest(random *rand.Rand) (kind string, wanted script) {
	long := time.Duration(1+random.IntN(7)) * time.Second
	switch random.IntN(6) {
	case 0:
		return "unsafe", script{work: long}
	case 1:
		return "unsafe", script{work: long / 8, lost: true}
	case 2:
		return "streaming", script{work: long}
	case 3:
		return "streaming", script{events: 50, lost: true}
	case 4:
		return "streaming", script{events: 600, pause: long / 600}
	default:
		return "streaming", script{events: 40, pause: long / 40}
	}
}

// drawLargeRequest draws a request with a large answer.
func drawLargeRequest(random *rand.Rand) (kind string, wanted script) {
	return []string{"safe", "unsafe"}[random.IntN(2)], script{size: 100_000 + random.IntN(900_000)}
}

// record checks and keeps the outcome of a request.
func (s *soak) record(outcome requestOutcome) {
	s.violations.checkAnswer(outcome)
	if outcome.status == http.StatusOK {
		s.answered.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcome)
}

// pickEntry returns one of the entries in the latest answer of the directory, empty for
// none.
func (s *soak) pickEntry() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entryAddresses) == 0 {
		return ""
	}
	return s.entryAddresses[int(time.Now().UnixNano())%len(s.entryAddresses)]
}

// sendRequest sends one request to an entry. The outcome has status 0 when the address
// is empty.
func (s *soak) sendRequest(client *http.Client, address, kind, id, key string) requestOutcome {
	outcome := requestOutcome{kind: kind, id: id, entry: address, timeLeft: requestTimeout}
	outcome.send(client, key)
	return outcome
}

// sendScripted is sendRequest for a patient caller, which tells the server what to do.
func (s *soak) sendScripted(client *http.Client, address, kind, id string, wanted script) requestOutcome {
	outcome := requestOutcome{kind: kind, id: id, entry: address, script: wanted, timeLeft: patientTimeout}
	outcome.send(client, goodKey)
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
// that reads show the acknowledged one. Versions from withoutOldKey on lack the old key.
func (s *soak) runOperator(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for version := uint64(2); ctx.Err() == nil; version++ {
		acked := s.ackedVersion.Load()
		s.nextChange.Store(time.Now().Add(propagationTime).UnixNano())
		time.Sleep(propagationTime)
		for _, ip := range s.controlIPs() {
			s.checkRead(client, ip, acked)
		}
		if acked >= withoutOldKey {
			s.checkRemovedKey(client, acked)
		}
		keys := []string{goodKey}
		if version < withoutOldKey {
			keys = append(keys, oldKey)
		}
		s.putConfig(client, version, keys...)
	}
}

// checkRemovedKey checks that entries reject the old key, unless they or the controls
// were disrupted shortly before.
func (s *soak) checkRemovedKey(client *http.Client, acked uint64) {
	for i, p := range s.entries {
		if s.isDisrupted(p) {
			continue
		}
		o := s.sendRequest(client, s.callerAddress(p), "safe", fmt.Sprintf("old-%d-%d", acked, i), oldKey)
		if o.status == http.StatusOK && !s.isDisrupted(p) {
			s.violations.add("removed keys rejected within the time limit", o.id, "%s answered at %s, configuration %d was acknowledged %s before",
				o.entry, clockTime(o.endedAt), acked, propagationTime)
		}
	}
}

// isDisrupted reports whether an entry or a control was disrupted since contactTime before
// the last propagationTime.
func (s *soak) isDisrupted(entry *process) bool {
	since := time.Now().Add(-contactTime - propagationTime)
	return slices.ContainsFunc(append(s.currentControls(), entry), func(p *process) bool { return p.disruptedSince(since) })
}

// putConfig sends a configuration to the controls in turn until one
// acknowledges it.
func (s *soak) putConfig(client *http.Client, version uint64, keys ...string) bool {
	limits := platform.SimulatedLimits{RequestTimeout: routeTimeout, IdleTimeout: idleTimeouts[version%uint64(len(idleTimeouts))]}
	text := platform.SimulatedConfig(version, "s", limits, keys...)
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
// at least minVersion, and reports whether it answers.
func (s *soak) checkRead(client *http.Client, ip string, minVersion uint64) bool {
	r, err := s.ports.GetConfigRequest(ip)
	if err != nil {
		return false
	}
	status, text := send(client, r)
	if status != http.StatusOK {
		return false
	}
	version, err := platform.ConfigVersion(text)
	if err != nil || version < minVersion {
		s.violations.add("acknowledged configuration is never rolled back", ip, "reads version %d (%v), %d was acknowledged", version, err, minVersion)
	}
	return true
}

// checkFinalState waits for recoveryTime after the last fault, then checks that
// requests are served, that reads show the acknowledged configuration, and how
// often each request ran.
func (s *soak) checkFinalState(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	served := false
	for deadline := time.Now().Add(recoveryTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		s.updateEntryAddresses(client)
		served = s.sendRequest(client, s.pickEntry(), "safe", "last", goodKey).status == http.StatusOK
	}
	if !served {
		s.violations.add("recovery", "last", "no request is served %s after the last fault", recoveryTime)
	}
	isRead := false
	for _, ip := range s.controlIPs() {
		isRead = s.checkRead(client, ip, s.ackedVersion.Load()) || isRead
	}
	if !isRead {
		s.violations.add("acknowledged configuration is read back", "", "no control answers a read %s after the last fault, %d was acknowledged", recoveryTime, s.ackedVersion.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, outcome := range s.outcomes {
		s.violations.checkRuns(outcome, s.arrivals.runs(outcome.id))
	}
	o := observation{outcomes: s.outcomes, arrivals: s.arrivals.all(), entries: s.entryDisruptions(), grace: platform.SimulatedGracePeriod}
	s.violations.checkLost(o)
	s.violations.checkLeaving(o)
	s.violations.checkHeldOff(o)
	s.violations.checkLimits(o)
}

func (s *soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Requests: len(s.outcomes), Answered: int(s.answered.Load()), Faults: s.faults, Violations: s.violations.all()}
}

// ip returns the address of the process with the number.
func (s *soak) ip(i int) string { return fmt.Sprintf("127.77.%d.%d", 2+s.cfg.Seed%200, i+10) }

// currentControls returns the controls that have not been removed.
func (s *soak) currentControls() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.controls)
}

func (s *soak) controlIPs() []string {
	var ips []string
	for _, p := range s.currentControls() {
		ips = append(ips, p.node.IP)
	}
	return ips
}

// Binary returns the path of the running executable, which a soak run tests.
func Binary() (string, error) {
	path, err := os.Executable()
	return path, errors.Trace(err)
}
