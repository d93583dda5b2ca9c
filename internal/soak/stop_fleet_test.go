package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/platform"
)

const (
	// patientTime is the deadline of requests that outlast every stop here.
	patientTime = 30 * time.Second

	// shortGracePeriod is a grace time of other settings.
	shortGracePeriod = 4 * time.Second
)

// endless is a stream that outlasts every stop here.
var endless = script{events: 300, pause: 100 * time.Millisecond}

var (
	buildProgram = sync.OnceValues(func() (string, error) {
		folder, err := os.MkdirTemp("", "rosereach-stop-")
		if err != nil {
			return "", err
		}
		path := filepath.Join(folder, "rosereach")
		out, err := exec.Command("go", "build", "-o", path, "../..").CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("%w\n%s", err, out)
		}
		return path, nil
	})
	stopFleets atomic.Int64
)

type (
	// stopFleet is a control, two entries, of which the first is stopped, and servers.
	stopFleet struct {
		t        *testing.T
		grace    time.Duration
		ports    platform.SimulatedPorts
		control  *process
		entry    *process
		other    *process
		servers  []*server
		arrivals *arrivals

		stoppedAt time.Time // just before SIGTERM was sent
		exited    chan struct{}
		exitedAt  time.Time
		callers   sync.WaitGroup
		mu        sync.Mutex
		outcomes  []requestOutcome
	}

	// stopCaller is a caller with a connection to the entry that it never closes.
	stopCaller struct {
		f      *stopFleet
		client *http.Client
		number int
	}

	// slowBody sends a request body in chunks, with a pause before the last one.
	slowBody struct {
		rest  []string
		pause time.Duration
	}
)

// startStopFleet starts a fleet, with additions to the environment of its processes, and waits until
// its first entry answers.
func startStopFleet(t *testing.T, grace time.Duration, env ...string) *stopFleet {
	t.Helper()
	t.Parallel()
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	f := &stopFleet{t: t, grace: grace, arrivals: &arrivals{byID: make(map[string][]arrival)}, exited: make(chan struct{})}
	subnet := fmt.Sprintf("127.%d.%d", 80+os.Getpid()%100, stopFleets.Add(1))
	ip := func(i int) string { return fmt.Sprintf("%s.%d", subnet, i+10) }
	s := &soak{}
	if err := s.pickPorts(ip(0)); err != nil {
		t.Fatal(err)
	}
	f.ports = s.ports
	f.ports.LastInternal = f.ports.Internal + 1
	start := func(name string, i int, isControl bool) *process {
		node := platform.SimulatedNode{Name: name, IP: ip(i), Zone: "z", Seeds: []string{ip(0)}, Bootstrap: isControl, Control: isControl, Ports: f.ports, GracePeriod: grace}
		p, err := newProcess(t.TempDir(), binary, node)
		if err == nil {
			p.env = env
			err = p.start()
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			p.kill()
			p.log.Close()
		})
		return p
	}
	f.control, f.entry, f.other = start("control-1", 0, true), start("entry-1", 1, false), start("entry-2", 2, false)
	ctx, cancel := context.WithCancel(t.Context())
	var announcers sync.WaitGroup
	for i := range serverCount {
		srv, err := newServer(ctx, fmt.Sprintf("server-%d", i+1), ip(100+i), uint64(i), f.arrivals)
		if err != nil {
			t.Fatal(err)
		}
		f.servers = append(f.servers, srv)
		announcers.Go(func() { srv.announceLoop(ctx, f.ports, func() []string { return []string{ip(0)} }) })
	}
	t.Cleanup(func() {
		cancel()
		announcers.Wait()
		for _, srv := range f.servers {
			srv.http.Close()
		}
	})
	f.awaitService()
	return f
}

// awaitService puts the configuration and waits until the first entry answers.
func (f *stopFleet) awaitService() {
	f.t.Helper()
	client := &http.Client{Timeout: 2 * time.Second}
	config := platform.SimulatedConfig(1, "s", platform.SimulatedLimits{RequestTimeout: patientTime}, goodKey)
	isPut := false
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if !isPut {
			r, err := f.ports.PutConfigRequest(f.control.node.IP, config)
			isPut = err == nil && sendForStatus(client, r) == http.StatusOK
			continue
		}
		if f.newCaller(0).send("safe", script{}, time.Second, nil).status == http.StatusOK {
			f.outcomes = nil
			return
		}
	}
	f.t.Fatal("the entry answers no request")
}

func (f *stopFleet) address(p *process) string {
	return net.JoinHostPort(p.node.IP, strconv.Itoa(f.ports.Callers))
}

// newCaller returns a caller without a connection.
func (f *stopFleet) newCaller(number int) *stopCaller {
	return &stopCaller{f: f, number: number, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// connect returns a number of callers with open connections to the entry. Only the route for safe
// requests has a history then.
func (f *stopFleet) connect(n int) []*stopCaller {
	f.t.Helper()
	list := make([]*stopCaller, n)
	var all sync.WaitGroup
	for i := range list {
		list[i] = f.newCaller(i)
		all.Go(func() {
			if o := list[i].send("safe", script{}, patientTime, nil); o.status != http.StatusOK {
				f.t.Errorf("caller %d got status %d before the stop", i, o.status)
			}
		})
	}
	all.Wait()
	return list
}

// send sends a request to the entry, with its ID as the body unless another one is given.
func (c *stopCaller) send(kind string, wanted script, timeLeft time.Duration, body io.Reader) requestOutcome {
	c.f.mu.Lock()
	i := len(c.f.outcomes)
	id := fmt.Sprintf("r%d-%d", c.number, i)
	c.f.outcomes = append(c.f.outcomes, requestOutcome{id: id})
	c.f.mu.Unlock()
	o := requestOutcome{kind: kind, id: id, entry: c.f.address(c.f.entry), script: wanted, timeLeft: timeLeft}
	r, err := platform.NewCallerRequest(o.entry, kind, id, goodKey, timeLeft)
	if err != nil {
		c.f.t.Error(err)
		return o
	}
	r.GetBody = nil // keeps Go's client from resending the request on its own
	r.URL.RawQuery = wanted.query()
	if kind == platform.SimulatedEngineKind {
		platform.SetOutputTokens(r, tokensPerEvent*wanted.eventCount())
	}
	if body != nil {
		r.Body, r.ContentLength = io.NopCloser(body), -1
		if slow, ok := body.(*slowBody); ok {
			slow.rest[len(slow.rest)-1] += id
		}
	}
	o.observe(c.client, r, platform.AnsweringServer)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.outcomes[i] = o
	return o
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	if len(b.rest) == 1 {
		time.Sleep(b.pause)
	}
	n := copy(p, b.rest[0])
	b.rest = b.rest[1:]
	return n, nil
}

// after runs a function for each caller at the given time after SIGTERM, or before it for a
// negative one.
func (f *stopFleet) after(d time.Duration, list []*stopCaller, run func(*stopCaller)) {
	if !f.stoppedAt.IsZero() {
		d -= time.Since(f.stoppedAt)
	}
	for _, c := range list {
		f.callers.Go(func() {
			time.Sleep(d)
			run(c)
		})
	}
}

// insist lets a number of callers connect anew to a process, at once after each answer, until the test
// has seen the end of the entry.
func (f *stopFleet) insist(p *process, n int) {
	for range n {
		f.callers.Go(func() {
			for {
				select {
				case <-f.exited:
					return
				default:
				}
				if !f.askAnew(p) {
					time.Sleep(insistentPause)
				}
			}
		})
	}
}

// askAnew sends a request on a connection of its own, and reports whether the connection was taken.
func (f *stopFleet) askAnew(p *process) bool {
	conn, err := net.Dial("tcp", f.address(p))
	if err != nil {
		return false
	}
	defer conn.Close()
	r, err := platform.NewCallerRequest(f.address(p), "safe", "anew", goodKey, requestTimeout)
	if err != nil {
		f.t.Error(err)
		return false
	}
	r.Close = true
	if r.Write(conn) == nil {
		io.Copy(io.Discard, conn)
	}
	return true
}

// awaitArrivals waits until the servers have got a number of requests.
func (f *stopFleet) awaitArrivals(n int) {
	f.t.Helper()
	for deadline := time.Now().Add(startTimeout); len(f.arrivals.all()) < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%d requests have reached a server, want %d", len(f.arrivals.all()), n)
		}
	}
}

// terminate sends SIGTERM to the entry, and SIGKILL after its grace time.
func (f *stopFleet) terminate() {
	f.entry.disrupt(planned)
	f.stoppedAt = f.entry.disruptions[0].begin
	wait := f.entry.terminate()
	go func() {
		if wait() {
			f.t.Errorf("the entry was killed %s after SIGTERM", f.grace)
		}
		f.exitedAt = time.Now()
		close(f.exited)
	}()
}

// awaitEnd waits until the entry and all requests have ended, and returns the outcomes of the
// requests that were not answered before SIGTERM.
func (f *stopFleet) awaitEnd() []requestOutcome {
	f.t.Helper()
	<-f.exited
	f.callers.Wait()
	if code := f.entry.cmd.ProcessState.ExitCode(); code != 0 {
		f.t.Errorf("exit code %d", code)
	}
	f.t.Logf("the entry has ended %s after SIGTERM", f.exitedAt.Sub(f.stoppedAt).Round(time.Millisecond))
	return slices.DeleteFunc(f.outcomes, func(o requestOutcome) bool { return o.endedAt.Before(f.stoppedAt) })
}

// observed returns what callers and servers saw.
func (f *stopFleet) observed(outcomes []requestOutcome) observation {
	return observation{outcomes: outcomes, arrivals: f.arrivals.all(), grace: f.grace, entries: map[string][]disruption{f.address(f.entry): f.entry.disruptions}}
}

// describe describes the outcome of a request for a failure.
func (f *stopFleet) describe(o requestOutcome) string {
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(f.stoppedAt).Round(time.Millisecond).String()
	}
	text := fmt.Sprintf("%s %s %+v: sent %s, head %s, end %s after SIGTERM, status %d, closed %v", o.id, o.kind, o.script, since(o.sentAt), since(o.headAt), since(o.endedAt), o.status, o.closed)
	for _, a := range f.arrivals.of(o.id) {
		text += fmt.Sprintf("; %s worked %s to %s", a.server, since(a.at), since(a.end))
	}
	return text
}

// checkNoneLost checks that no request was lost: rule LOST.
func (f *stopFleet) checkNoneLost(outcomes []requestOutcome) {
	f.t.Helper()
	var v violations
	v.checkLost(f.observed(outcomes))
	byID := f.observed(outcomes).byRequest()
	for i, one := range v.all() {
		if i == 5 {
			f.t.Errorf("%d requests are lost", len(v.all()))
			break
		}
		f.t.Errorf("%s: %s", one.Guarantee, f.describe(byID[one.ID]))
	}
}

// checkAnswered checks that every request without the head of an answer gets one: that it was not
// run, only if it was not, or that its outcome is unknown.
func (f *stopFleet) checkAnswered(outcomes []requestOutcome) {
	f.t.Helper()
	unanswered := 0
	for _, o := range outcomes {
		runs := f.arrivals.runs(o.id)
		switch {
		case o.headAt.IsZero():
			if unanswered++; unanswered <= 5 {
				f.t.Errorf("no answer: %s", f.describe(o))
			}
		case platform.IsNotRun(o.status) && runs > 0 && o.kind != "safe":
			f.t.Errorf("not true that it was not run: %s", f.describe(o))
		}
	}
	if unanswered > 0 {
		f.t.Errorf("%d of %d requests got no answer", unanswered, len(outcomes))
	}
}

// logTime matches the time of a line of the log.
var logTime = regexp.MustCompile(`ts=(\S+)`)

// loggedSinceStop returns the lines of the entry's log since SIGTERM.
func (f *stopFleet) loggedSinceStop() string {
	f.t.Helper()
	text, err := os.ReadFile(filepath.Join(f.entry.folder, "log"))
	if err != nil {
		f.t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		if match := logTime.FindStringSubmatch(line); match != nil {
			if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil && at.After(f.stoppedAt) {
				lines = append(lines, line)
			}
		}
	}
	return strings.Join(lines, "")
}
