// Package soak runs the real programs as separate processes on loopback, on the
// platform's interfaces, breaks what may break, and checks what callers,
// backend servers and operators see.
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

	// startTime bounds the wait for the first plan and answer.
	startTime = 20 * time.Second

	// requestTime is the deadline that callers give.
	requestTime = 4 * time.Second

	// settleTime is how long after the last fault everything has to work again,
	// and nothing that was rejected may still run.
	settleTime = 12 * time.Second

	// inForceTime is when a removed key has to be out of force, and a read has
	// to show an acknowledged plan.
	inForceTime = 3 * time.Second

	// The callers' key, and one that is taken away.
	goodKey, oldKey = "key-good", "key-old"
)

type (
	// Config are the settings of a soak. Folder keeps settings, data and logs.
	Config struct {
		Binary   string
		Folder   string
		Seed     uint64
		Duration time.Duration
		Progress func(line string)
	}

	// Report is what a soak saw.
	Report struct {
		Requests int
		Answered int
		Faults   []string
		Breaches []Breach
	}

	// soak is one run.
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

// Run runs a soak and returns what it saw. The error says that the run itself
// could not be made.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), runs: &runs{count: make(map[string]int)}} //nolint:gosec // faults are drawn by it
	defer s.end()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var beating sync.WaitGroup
	for _, one := range s.servers {
		beating.Go(func() { one.beat(ctx, s.ports, s.controlIPs()) })
	}
	if err := s.waitServing(ctx); err != nil {
		return Report{}, err
	}
	load, stop := context.WithCancel(ctx)
	var working sync.WaitGroup
	for i := range callers {
		working.Go(func() { s.call(load, i) })
	}
	working.Go(func() { s.operate(load) })
	working.Go(func() { s.resolve(load) })
	s.breakThings(ctx)
	stop()
	working.Wait()
	s.finish(ctx)
	cancel()
	beating.Wait()
	return s.report(), nil
}

// start starts all programs and backend servers.
func (s *soak) start() error {
	base := 2 + s.cfg.Seed%200
	ip := func(i int) string { return fmt.Sprintf("127.77.%d.%d", base, i+10) }
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
		one, err := newServer(fmt.Sprintf("server-%d", i+1), ip(100+i), s.cfg.Seed+uint64(i), s.runs)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, one)
	}
	return nil
}

// drawPorts takes ports that the kernel finds free on the first address; the
// other addresses are used by nothing else.
func (s *soak) drawPorts(ip string) error {
	for _, port := range []*int{&s.ports.Callers, &s.ports.Readiness, &s.ports.Control, &s.ports.Directory, &s.ports.Internal} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return errors.Trace(err)
		}
		defer l.Close() //nolint:errcheck // it has served its purpose
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

// end ends all that was started.
func (s *soak) end() {
	for _, p := range append(append([]*process(nil), s.controls...), s.entries...) {
		p.kill()
		p.log.Close() //nolint:errcheck // it is not written any more
	}
	for _, one := range s.servers {
		one.http.Close() //nolint:errcheck // it is not used any more
	}
}

// waitServing waits for the first plan and the first answer.
func (s *soak) waitServing(ctx context.Context) error {
	client := &http.Client{Timeout: 2 * time.Second}
	for until := time.Now().Add(startTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s.acked.Load() == 0 && !s.put(client, 1, goodKey, oldKey) {
			continue
		}
		s.find(client)
		if e := s.request(client, "safe", "first", goodKey); e.status == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("nothing was served within %s; see the logs in %s", startTime, s.cfg.Folder)
}

// call is one caller: requests of all kinds, one after the other.
func (s *soak) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, uint64(number))) //nolint:gosec // requests are drawn by it
	client := &http.Client{Timeout: requestTime + time.Second}
	kinds := []string{"safe", "unsafe", "unsafe", "streaming"}
	for i := 0; ctx.Err() == nil; i++ {
		e := s.request(client, kinds[random.IntN(len(kinds))], fmt.Sprintf("c%d-%d", number, i), goodKey)
		s.breaches.checkAnswer(e)
		if e.status == http.StatusOK {
			s.answered.Add(1)
		}
		s.mu.Lock()
		s.ended = append(s.ended, e)
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// request sends one request to an entry of the last list.
func (s *soak) request(client *http.Client, kind, id, key string) ended {
	e := ended{kind: kind, id: id}
	s.mu.Lock()
	var address string
	if len(s.addresses) > 0 {
		address = s.addresses[int(time.Now().UnixNano())%len(s.addresses)]
	}
	s.mu.Unlock()
	if address == "" {
		return e
	}
	r, err := platform.CallerRequest(address, kind, id, key, requestTime)
	if err != nil {
		return e
	}
	r.GetBody = nil // Go's client must not send it twice by itself
	status, body := read(client, r)
	e.status, e.body = status, string(body)
	return e
}

// resolve asks the directory again and again, as callers do.
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

// operate changes the plan, reads it back, and takes the old key away once.
func (s *soak) operate(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for version := uint64(2); ctx.Err() == nil; version++ {
		before := s.acked.Load()
		time.Sleep(inForceTime)
		for _, ip := range s.controlIPs() {
			s.checkRead(client, ip, before)
		}
		keys := []string{goodKey}
		if version < 4 {
			keys = append(keys, oldKey)
		}
		s.put(client, version, keys...)
		if version > 4 && s.acked.Load() >= 4 && s.isCalm() {
			if e := s.request(client, "safe", fmt.Sprintf("old-%d", version), oldKey); e.status == http.StatusOK {
				s.breaches.add("removed keys out of force in their bound", e.id, "answered under plan %d", s.acked.Load())
			}
		}
	}
}

// put sends a plan to the controls in turn until one acknowledges it.
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

// checkRead checks that a control that answers shows no older plan than one
// that was acknowledged a while ago.
func (s *soak) checkRead(client *http.Client, ip string, least uint64) {
	r, err := s.ports.GetConfig(ip)
	if err != nil {
		return
	}
	status, text := read(client, r)
	if status != http.StatusOK {
		return
	}
	version, err := platform.ConfigVersion(text)
	if err != nil || version < least {
		s.breaches.add("no way back for a configuration", ip, "reads version %d (%v), %d was acknowledged", version, err, least)
	}
}

// breakThings draws one fault after the other.
func (s *soak) breakThings(ctx context.Context) {
	for until := time.Now().Add(s.cfg.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		s.breakOne()
		if s.cfg.Progress != nil {
			s.cfg.Progress(fmt.Sprintf("seed %d, %d faults, %d answered, plan %d, %d breaches, last: %s", s.cfg.Seed, len(s.faults),
				s.answered.Load(), s.acked.Load(), len(s.breaches.all()), s.faults[len(s.faults)-1]))
		}
		time.Sleep(time.Duration(500+s.random.IntN(2000)) * time.Millisecond)
	}
}

// breakOne breaks one thing and mends it. At most one control is away at a
// time, but for the kill of all, which keeps their disks.
func (s *soak) breakOne() {
	c, e := s.controls[s.random.IntN(controls)], s.entries[s.random.IntN(entries)]
	one := s.servers[s.random.IntN(servers)]
	pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
	s.unstable.Store(time.Now().Add(pause + settleTime).UnixNano())
	kind := s.random.IntN(8)
	name := []string{"kill control", "freeze control", "wipe control", "kill all controls", "kill entry", "stop entry", "freeze entry", "faulty server"}[kind]
	s.faults = append(s.faults, name)
	switch kind {
	case 0:
		s.away(c, c.kill, pause)
	case 1:
		c.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		c.signal(syscall.SIGCONT)
	case 2:
		c.kill()
		if err := c.wipe(); err != nil {
			s.breaches.add("the soak itself", c.node.Name, "%v", err)
		}
		s.away(c, func() {}, pause)
		time.Sleep(settleTime / 2)
	case 3:
		for _, p := range s.controls {
			p.kill()
		}
		for _, p := range s.controls {
			s.restart(p)
		}
	case 4:
		s.away(e, e.kill, pause)
	case 5:
		s.away(e, e.stop, pause)
	case 6:
		e.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		e.signal(syscall.SIGCONT)
	case 7:
		one.setFaulty(true)
		time.Sleep(pause)
		one.setFaulty(false)
	}
}

// away ends a program, waits and starts it again.
func (s *soak) away(p *process, end func(), pause time.Duration) {
	end()
	time.Sleep(pause)
	s.restart(p)
}

func (s *soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.breaches.add("the soak itself", p.node.Name, "%v", err)
	}
}

func (s *soak) isCalm() bool { return time.Now().UnixNano() > s.unstable.Load() }

// finish lets everything settle and checks what has to hold in the end.
func (s *soak) finish(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	served := false
	for until := time.Now().Add(settleTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		s.find(client)
		served = s.request(client, "safe", "last", goodKey).status == http.StatusOK
	}
	if !served {
		s.breaches.add("recovery", "last", "nothing is served %s after the last fault", settleTime)
	}
	for _, ip := range s.controlIPs() {
		s.checkRead(client, ip, s.acked.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ended {
		s.breaches.checkRuns(e, s.runs.of(e.id))
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

// Binary returns the path of the running program, which is what a soak tests.
func Binary() (string, error) {
	path, err := os.Executable()
	return path, errors.Trace(err)
}
