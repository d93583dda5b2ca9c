package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosereach/core/quarantine"
)

// repeatWorld is a small service whose requests come again: polls that are the same each
// time, orders that are not, and requests that may crash the server that runs them. Entries
// learn of suspects and listings with a delay; servers start again some seconds after an end.
type repeatWorld struct {
	random  *rand.Rand
	now     time.Time
	pool    *quarantine.Pool
	entries []*repeatEntry
	servers []*repeatServer
	started uint64
	sent    int
	waiting []*repeatRequest
	reports []delayed
	crashes map[string][]time.Time // ends of servers by the request that crashed them
	arrived map[string][]time.Time
	sends   map[string]int
	answers map[string]int
	refused map[string]int
	// answered is the number of answers that the pool has not been told.
	answered int
	listed   []quarantine.Listing

	restart    time.Duration
	crashRate  float64
	crashOnAny bool // the release crashes on any request
}

type repeatEntry struct {
	list     *quarantine.List
	suspects map[quarantine.Key]bool
}

type repeatServer struct {
	incarnation uint64
	upAt        time.Time
	seenAt      time.Time
	running     []*repeatRequest
}

type repeatRequest struct {
	what      string
	digest    quarantine.Key
	id        string
	entry     int
	ends      int
	asks      int
	alone     bool
	triedLast *repeatServer
	at        time.Time // of the next step while it waits, of the end while it runs
	crashes   bool
}

type delayed struct {
	at     time.Time
	report quarantine.Report
}

const (
	repeatStep   = 10 * time.Millisecond
	repeatReport = 150 * time.Millisecond // from an end until the pool knows it
	repeatWatch  = 300 * time.Millisecond // from a judgment until the entries know it
	repeatBeat   = 1200 * time.Millisecond
	crashing     = "crashing"
)

func newRepeatWorld(seed uint64, entries, servers int) *repeatWorld {
	w := &repeatWorld{
		random: rand.New(rand.NewPCG(seed, 2)), now: start, pool: quarantine.NewPool(), crashes: make(map[string][]time.Time), arrived: make(map[string][]time.Time),
		sends: make(map[string]int), answers: make(map[string]int), refused: make(map[string]int), restart: 3 * time.Second, crashRate: 1,
	}
	for range entries {
		w.entries = append(w.entries, &repeatEntry{list: quarantine.NewList()})
	}
	for range servers {
		w.started++
		w.servers = append(w.servers, &repeatServer{incarnation: w.started, seenAt: start})
	}
	return w
}

func (s *repeatServer) name() string { return fmt.Sprint("server-", s.incarnation) }

// send sends a request that is the same each time for the same words.
func (w *repeatWorld) send(what string) {
	w.sent++
	w.sends[what]++
	r := &repeatRequest{
		what: what, digest: quarantine.DigestOf(service, "w", "GET", what, nil), id: fmt.Sprint(w.sent), entry: w.random.IntN(len(w.entries)), at: w.now,
		crashes: what == crashing,
	}
	w.waiting = append(w.waiting, r)
}

// try runs a request at a server, or lets it wait, or refuses it.
func (w *repeatWorld) try(r *repeatRequest) {
	e := w.entries[r.entry]
	if _, ok := e.list.Find(w.now, []quarantine.Key{r.digest}); ok {
		w.refused[r.what]++
		return
	}
	if e.suspects[r.digest] {
		switch w.pool.Acquire(w.now, service, r.digest, quarantine.RequestID(r.id)) {
		case quarantine.RunAlone:
			r.alone = true
		case quarantine.Wait:
			if r.asks++; r.asks > 3 {
				w.refused[r.what]++
				return
			}
			r.at = w.now.Add(100 * time.Millisecond)
			w.waiting = append(w.waiting, r)
			return
		}
	}
	var up []*repeatServer
	for _, s := range w.servers {
		if !w.now.Before(s.upAt) && s != r.triedLast {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		w.endTrial(r, nil, false, false)
		w.refused[r.what]++
		return
	}
	s := up[w.random.IntN(len(up))]
	r.triedLast = s
	r.at = w.now.Add(time.Duration((0.5 + w.random.ExpFloat64()) * float64(40*time.Millisecond)))
	w.arrived[r.what] = append(w.arrived[r.what], w.now)
	s.running = append(s.running, r)
}

func (w *repeatWorld) endTrial(r *repeatRequest, s *repeatServer, sound, ended bool) {
	if !r.alone {
		return
	}
	r.alone = false
	id := quarantine.RequestID(r.id)
	w.pool.Release(service, r.digest, id)
	if sound || ended {
		t := quarantine.Trial{Digest: r.digest, Service: service, ID: id, Server: s.name(), Incarnation: s.incarnation, Ended: ended}
		w.pool.Add(w.now, quarantine.Report{Trials: []quarantine.Trial{t}})
	}
}

// end ends a server with all that runs there. A request goes to a second server, if it is no
// suspect.
func (w *repeatWorld) end(s *repeatServer, cause string) {
	w.crashes[cause] = append(w.crashes[cause], w.now)
	byEntry := make(map[int]quarantine.End)
	lost := s.running
	s.running = nil
	for _, r := range lost {
		e, ok := byEntry[r.entry]
		if !ok {
			e = quarantine.End{Service: service, Server: s.name(), Incarnation: s.incarnation}
		}
		byEntry[r.entry] = e.WithRequest(quarantine.NewRequest(r.id, "w", nil).WithDigest(r.digest))
		w.endTrial(r, s, false, true)
		if r.ends++; r.ends < 2 && !w.entries[r.entry].suspects[r.digest] {
			r.at = w.now
			w.waiting = append(w.waiting, r)
		}
	}
	for entry, e := range byEntry {
		w.reports = append(w.reports, delayed{w.now.Add(repeatReport), quarantine.Report{Sender: fmt.Sprint(entry), Ends: []quarantine.End{e}}})
	}
	w.started++
	*s = repeatServer{incarnation: w.started, upAt: w.now.Add(w.restart), seenAt: w.now.Add(w.restart)}
}

// reportFalseEnd lets entry 0 report the end of a server that lives, under a poll.
func (w *repeatWorld) reportFalseEnd(s *repeatServer, what string) {
	w.sent++
	r := quarantine.NewRequest(fmt.Sprint(w.sent), "w", nil).WithDigest(quarantine.DigestOf(service, "w", "GET", what, nil))
	e := quarantine.End{Service: service, Server: s.name(), Incarnation: s.incarnation}
	w.pool.Add(w.now, quarantine.Report{Sender: "0", Ends: []quarantine.End{e.WithRequest(r)}})
}

func (w *repeatWorld) step() {
	w.now = w.now.Add(repeatStep)
	waiting := w.waiting
	w.waiting = nil
	for _, r := range waiting {
		if w.now.Before(r.at) {
			w.waiting = append(w.waiting, r)
			continue
		}
		w.try(r)
	}
	for _, s := range w.servers {
		w.runServer(s)
	}
	w.reports = slices.DeleteFunc(w.reports, func(d delayed) bool {
		if w.now.Before(d.at) {
			return false
		}
		w.pool.Add(w.now, d.report)
		return true
	})
	if w.now.Sub(start)%repeatWatch < repeatStep {
		w.judge()
	}
}

func (w *repeatWorld) runServer(s *repeatServer) {
	if !w.now.Before(s.seenAt.Add(repeatBeat)) {
		s.seenAt = w.now
	}
	for _, r := range slices.Clone(s.running) {
		if w.now.Before(r.at) {
			continue
		}
		if w.crashOnAny || r.crashes && w.random.Float64() < w.crashRate {
			w.end(s, r.what)
			return
		}
		s.running = slices.DeleteFunc(s.running, func(other *repeatRequest) bool { return other == r })
		w.answers[r.what]++
		w.answered++
		w.endTrial(r, s, true, false)
	}
}

func (w *repeatWorld) judge() {
	w.pool.Refute(func(server string, incarnation uint64) time.Time {
		for _, s := range w.servers {
			if s.name() == server && s.incarnation == incarnation {
				return s.seenAt
			}
		}
		return time.Time{}
	})
	w.listed = append(w.listed, w.pool.Judge(w.now)...)
	suspects, _ := w.pool.Suspects()
	w.pool.AddAnswers(w.now, service, float64(w.answered))
	w.answered = 0
	for _, e := range w.entries {
		e.suspects = make(map[quarantine.Key]bool)
		for _, k := range suspects {
			e.suspects[k] = true
		}
		for _, s := range w.pool.List().All(w.now) {
			e.list.Add(w.now, s)
		}
	}
}

// run sends 12 polls a second, each the same again and again, and 8 orders for a while, and
// calls also on each step.
func (w *repeatWorld) run(d time.Duration, also func()) {
	for end := w.now.Add(d); w.now.Before(end); w.step() {
		for i := range 12 {
			if w.random.Float64() < repeatStep.Seconds() {
				w.send(fmt.Sprint("poll-", i))
			}
		}
		if w.random.Float64() < 8*repeatStep.Seconds() {
			w.send(fmt.Sprint("order-", w.sent))
		}
		also()
	}
}

func (w *repeatWorld) crashingRate(perSecond float64) func() {
	return func() {
		if w.random.Float64() < perSecond*repeatStep.Seconds() {
			w.send(crashing)
		}
	}
}

// late returns how many crashing requests reached servers later than the contact time after
// the third end that they caused.
func (w *repeatWorld) late(what string) int {
	const contact = 4 * time.Second
	if len(w.crashes[what]) < 3 {
		return 0
	}
	n := 0
	for _, at := range w.arrived[what] {
		if at.Sub(w.crashes[what][2]) > contact {
			n++
		}
	}
	return n
}

// pollsServed sends polls and orders for a while and returns the share of the polls that is
// served.
func (w *repeatWorld) pollsServed() float64 {
	count := func(of map[string]int) (n int) {
		for i := range 12 {
			n += of[fmt.Sprint("poll-", i)]
		}
		return n
	}
	served, sent := count(w.answers), count(w.sends)
	w.run(10*time.Second, func() {})
	sent = count(w.sends) - sent
	for range 100 {
		w.step()
	}
	return float64(count(w.answers)-served) / float64(sent)
}

// A request crashes each server that runs it and comes again, at any entry of a small service,
// beside polls that come again as well. It is listed in time and no other is.
func TestRepeatedRequestIsListed(t *testing.T) {
	for _, rate := range []float64{0.1, 0.5, 2, 10} {
		for servers, entries := range map[int]int{3: 9, 40: 200} {
			for _, warm := range []time.Duration{0, 20 * time.Second} {
				for seed := range uint64(6) {
					if entries > 9 && seed >= 2 {
						continue // a large fleet takes most of the time
					}
					w := newRepeatWorld(seed, entries, servers)
					w.run(warm, func() {})
					w.run(max(40*time.Second, time.Duration(20/rate)*time.Second), w.crashingRate(rate))
					late := w.late(crashing)
					if late > 3 || len(w.listed) != 1 || w.listed[0].Key != quarantine.DigestOf(service, "w", "GET", crashing, nil) {
						t.Errorf("%v a second, %d servers, %v warm, seed %d: %d late, %d ends, listed %+v", rate, servers, warm, seed, late, len(w.crashes[crashing]), w.listed)
					}
					if got := w.pollsServed(); got < 0.95 {
						t.Errorf("%v a second, %d servers, %v warm, seed %d: %.2f of polls served afterwards", rate, servers, warm, seed, got)
					}
				}
			}
		}
	}
}

// Not each run crashes its server; one that ends well clears the request for a while only.
func TestRepeatedRequestThatCrashesSometimesIsListed(t *testing.T) {
	for seed := range uint64(6) {
		w := newRepeatWorld(seed, 9, 3)
		w.crashRate = 0.7
		w.run(120*time.Second, w.crashingRate(1))
		if len(w.listed) != 1 || w.listed[0].Key != quarantine.DigestOf(service, "w", "GET", crashing, nil) {
			t.Errorf("seed %d: %d ends, listed %+v", seed, len(w.crashes[crashing]), w.listed)
		}
	}
}

// Servers that end by themselves, one at a time and all at once, list no poll, and the polls
// are served soon after.
func TestFailingServersListNoRepeat(t *testing.T) {
	for _, group := range []int{1, 3} {
		for _, every := range []time.Duration{time.Second, 4 * time.Second} {
			for seed := range uint64(6) {
				w := newRepeatWorld(seed, 9, 3)
				next := w.now
				w.run(60*time.Second, func() {
					if w.now.Before(next) {
						return
					}
					next = w.now.Add(every * time.Duration(group))
					for _, i := range w.random.Perm(3)[:group] {
						if s := w.servers[i]; !w.now.Before(s.upAt) {
							w.end(s, "itself")
						}
					}
				})
				if got := w.pollsServed(); len(w.listed) > 0 || got < 0.95 {
					t.Errorf("%d at a time every %v, seed %d: listed %+v, %.2f of polls served afterwards", group, every, seed, w.listed, got)
				}
			}
		}
	}
}

// A release that crashes on any request lists none.
func TestServersThatCrashOnAnythingListNoRepeat(t *testing.T) {
	for seed := range uint64(6) {
		w := newRepeatWorld(seed, 9, 3)
		w.run(20*time.Second, func() {})
		w.crashOnAny = true
		w.run(60*time.Second, func() {})
		w.crashOnAny = false
		w.run(10*time.Second, func() {}) // servers start again, and polls are cleared by turns
		if got := w.pollsServed(); len(w.listed) > 0 || got < 0.95 {
			t.Errorf("seed %d: listed %+v, %.2f of polls served afterwards", seed, w.listed, got)
		}
	}
}

// An entry that is partitioned from servers reports ends of servers that live: no poll is
// listed, and none stays a suspect.
func TestEndsOfLivingServersAreRefuted(t *testing.T) {
	for seed := range uint64(6) {
		w := newRepeatWorld(seed, 9, 3)
		w.run(20*time.Second, func() {
			if w.random.Float64() < 10*repeatStep.Seconds() {
				w.reportFalseEnd(w.servers[w.random.IntN(3)], fmt.Sprint("poll-", w.random.IntN(12)))
			}
		})
		got := w.pollsServed()
		if suspects, _ := w.pool.Suspects(); len(w.listed) > 0 || len(suspects) > 0 || got < 0.95 {
			t.Errorf("seed %d: listed %+v, suspects %v, %.2f of polls served afterwards", seed, w.listed, suspects, got)
		}
	}
}

// Two requests that crash servers are both listed.
func TestTwoRepeatedRequestsAreListed(t *testing.T) {
	for seed := range uint64(6) {
		w := newRepeatWorld(seed, 9, 3)
		digest := quarantine.DigestOf(service, "w", "GET", "worse", nil)
		w.run(90*time.Second, func() {
			w.crashingRate(1)()
			if w.random.Float64() < repeatStep.Seconds() {
				w.send("worse")
				w.waiting[len(w.waiting)-1].crashes = true
			}
		})
		if late := max(w.late(crashing), w.late("worse")); late > 3 || len(w.listed) != 2 || !slices.ContainsFunc(w.listed, func(s quarantine.Listing) bool { return s.Key == digest }) {
			t.Errorf("seed %d: %d late, listed %+v", seed, late, w.listed)
		}
	}
}
