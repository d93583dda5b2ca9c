package health_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rosereach/core/health"
)

// thinFleet replays a fleet in which each entry sends an engine a request every
// 20 s: 64 entries, as many as watch one control, with 3 requests a second each.
type thinFleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	pool      *health.Pool
	recorders []*health.Recorder
	pending   []func() bool // outcomes that are due later; true when done
	verdicts  map[string]health.Verdict
	sent      map[string]int
}

const (
	fleetEntries = 64
	fleetEngines = 78
	fleetStep    = 50 * time.Millisecond
)

func newThinFleet(t *testing.T, seed uint64) *thinFleet {
	f := &thinFleet{t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), pool: health.NewPool(), sent: make(map[string]int)}
	for range fleetEntries {
		f.recorders = append(f.recorders, health.NewRecorder())
	}
	return f
}

// run replays for a while. Attempt records the outcome of an attempt and returns the
// time after which the entry knows it.
func (f *thinFleet) run(d time.Duration, attempt func(engine string, r *health.Recorder) (time.Duration, func())) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for i, r := range f.recorders {
			if f.random.Float64() < 3*fleetStep.Seconds() {
				f.send(r, attempt)
			}
			if f.now.UnixMilli()/fleetStep.Milliseconds()%20 == int64(i%20) {
				f.pool.Add(f.now, fmt.Sprint("entry-", i), r.Take(f.now))
			}
		}
		var rest []func() bool
		for _, p := range f.pending {
			if !p() {
				rest = append(rest, p)
			}
		}
		f.pending = rest
		f.verdicts = make(map[string]health.Verdict)
		for _, v := range f.pool.Verdicts(f.now, func(string) string { return "engines" }) {
			f.verdicts[v.Server] = v
		}
	}
}

// send sends a request to a random engine that is not reported as failing.
func (f *thinFleet) send(r *health.Recorder, attempt func(string, *health.Recorder) (time.Duration, func())) {
	engine := fmt.Sprint("engine-", f.random.IntN(fleetEngines))
	for f.isReported(engine) {
		engine = fmt.Sprint("engine-", f.random.IntN(fleetEngines))
	}
	f.sent[engine]++
	after, outcome := attempt(engine, r)
	due := f.now.Add(after)
	f.pending = append(f.pending, func() bool {
		if f.now.Before(due) {
			return false
		}
		outcome()
		return true
	})
}

func (f *thinFleet) isReported(engine string) bool {
	_, ok := f.verdicts[engine]
	return ok
}

// answer is the outcome of an attempt at an engine of normal speed.
func (f *thinFleet) answer(engine string, r *health.Recorder) (time.Duration, func()) {
	took := time.Duration(float64(400*time.Millisecond) * math.Exp(0.4*f.random.NormFloat64()))
	return took, func() { r.RecordAnswer(engine, 1) }
}

// countVerdicts returns the number of bad and of good engines that are reported.
func (f *thinFleet) countVerdicts() (bad, good int) {
	for id := range f.verdicts {
		if badEngine(id) {
			bad++
		} else {
			good++
		}
	}
	return bad, good
}

// badEngine marks 15 of the 78 engines.
func badEngine(id string) bool {
	return strings.HasSuffix(id, "7") && id != "engine-7" || strings.HasSuffix(id, "3")
}

func badEngines() (n int) {
	for i := range fleetEngines {
		if badEngine(fmt.Sprint("engine-", i)) {
			n++
		}
	}
	return n
}

func TestCrashedEnginesAreKnownWithinSeconds(t *testing.T) {
	for seed := range uint64(5) {
		f := newThinFleet(t, seed)
		f.run(5*time.Second, func(engine string, r *health.Recorder) (time.Duration, func()) { return f.answer(engine, r) })
		if len(f.verdicts) > 0 {
			t.Fatalf("seed %d: verdicts on healthy engines: %v", seed, f.verdicts)
		}
		crashed := func(engine string, r *health.Recorder) (time.Duration, func()) {
			if badEngine(engine) {
				return 1300 * time.Millisecond, func() { r.RecordFailure(engine, 1, true) }
			}
			return f.answer(engine, r)
		}
		// Announcements show a crash after four seconds; attempts must be faster.
		f.run(4*time.Second, crashed)
		bad, good := f.countVerdicts()
		if bad < badEngines()*9/10 || good > 0 {
			t.Errorf("seed %d: %d of %d crashed engines are known, and %d others are reported", seed, bad, badEngines(), good)
		}
	}
}

// An engine that fails part of its requests stays in use by entries that see it once
// in 20 s. Those that answer must not be reported.
func TestEnginesThatFailPartlyAreKnown(t *testing.T) {
	for seed := range uint64(5) {
		f := newThinFleet(t, seed)
		partly := func(engine string, r *health.Recorder) (time.Duration, func()) {
			if badEngine(engine) && f.random.Float64() < 0.45 {
				return 50 * time.Millisecond, func() { r.RecordFailure(engine, 1, false) }
			}
			return f.answer(engine, r)
		}
		f.run(3*time.Second, partly)
		f.sent = make(map[string]int)
		seen, wrong := 0, 0
		for range 20 {
			f.run(200*time.Millisecond, partly)
			bad, good := f.countVerdicts()
			seen, wrong = seen+bad, wrong+good
		}
		if share := float64(seen) / float64(20*badEngines()); share < 0.3 || wrong > 0 {
			t.Errorf("seed %d: engines that fail partly are known for %.2f of the time, others %d times", seed, share, wrong)
		}
	}
}

// A service that fails everywhere alike has no failing servers, and one entry that is
// cut off condemns no server.
func TestOrdinaryFailuresAndOneEntryCondemnNoServer(t *testing.T) {
	f := newThinFleet(t, 1)
	f.run(10*time.Second, func(engine string, r *health.Recorder) (time.Duration, func()) {
		switch {
		case r == f.recorders[0]:
			return 300 * time.Millisecond, func() { r.RecordFailure(engine, 1, true) }
		case f.random.Float64() < 0.14:
			return 50 * time.Millisecond, func() { r.RecordFailure(engine, 1, false) }
		}
		return f.answer(engine, r)
	})
	if bad, good := f.countVerdicts(); bad+good > 0 {
		t.Errorf("%d servers are reported", bad+good)
	}
}

func TestVerdictsEndAndRepeatForLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	p := health.NewPool()
	isFailing := func() bool {
		return len(p.Verdicts(now, func(string) string { return "s" })) > 0
	}
	unreachable := func() {
		for _, entry := range []string{"a", "b"} {
			p.Add(now, entry, []health.Sample{{Server: "1", Incarnation: 1, Unreachable: 1, LoadAge: -1}})
		}
	}
	var lengths []time.Duration
	for range 3 {
		unreachable()
		start := now
		for isFailing() {
			now = now.Add(100 * time.Millisecond)
		}
		lengths = append(lengths, now.Sub(start))
	}
	if lengths[0] > 2*time.Second || lengths[1] <= lengths[0] || lengths[2] <= lengths[1] {
		t.Fatalf("verdicts lasted %v", lengths)
	}
	unreachable()
	p.Add(now, "c", []health.Sample{{Server: "1", Incarnation: 2, Answers: 1, LoadAge: -1}})
	if isFailing() {
		t.Fatal("a new incarnation inherits a verdict")
	}
}
