package fake

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/request"
	"rosereach/core/version"
)

const (
	// keepEnded is how long a run can still be resumed after it ended.
	keepEnded = 10 * time.Second

	// defaultResumeWindow applies if the settings set no resume window.
	defaultResumeWindow = 2 * time.Second
)

type (
	// EngineConfig holds the settings of a fake engine. A step takes StepTime
	// plus StepPerSequence for each sequence in the batch, and generates one
	// token for each. A prompt costs PrefillPerToken for each uncached token.
	// A run without a reader is canceled after ResumeWindow, where 0 means the
	// default. Orders must carry OrderKey unless it is empty.
	EngineConfig struct {
		ID              string
		Incarnation     uint64
		Region          string
		Zone            string
		Versions        []version.Ref
		Capacity        int
		CacheTokens     int64
		StepTime        time.Duration
		StepPerSequence time.Duration
		PrefillPerToken time.Duration
		ResumeWindow    time.Duration
		LoadLag         time.Duration
		HonoursFence    bool
		OrderKey        string
		Clock           clock.Clock
	}

	// Engine is a fake model engine with continuous batching.
	Engine struct {
		cfg  EngineConfig
		Log  RunLog
		wake chan struct{}

		mu       sync.Mutex
		waiting  []*sequence
		running  []*sequence
		byID     map[string]*sequence
		ended    []*sequence
		cache    *prefixCache
		versions []version.Ref
		orders   orderGate
		reports  []backend.Load
		leaving  bool
		ordinal  uint64
	}
)

// NewEngine returns an engine. It generates no tokens until Run is called.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.ResumeWindow = cmp.Or(cfg.ResumeWindow, defaultResumeWindow)
	return &Engine{
		cfg: cfg, wake: make(chan struct{}, 1), byID: make(map[string]*sequence),
		cache: newPrefixCache(cfg.CacheTokens), versions: slices.Clone(cfg.Versions),
		orders: orderGate{key: cfg.OrderKey, honoursFence: cfg.HonoursFence},
	}
}

// Run generates tokens until the context ends. Each step is due relative to the
// due time of the one before, so that a late step does not delay later ones.
func (e *Engine) Run(ctx context.Context) error {
	next := e.cfg.Clock.Now()
	for {
		length, busy := e.step()
		if !busy {
			select {
			case <-e.wake:
				next = e.cfg.Clock.Now()
				continue
			case <-ctx.Done():
				return nil
			}
		}
		next = next.Add(length)
		select {
		case <-e.cfg.Clock.After(next.Sub(e.cfg.Clock.Now())):
		case <-ctx.Done():
			return nil
		}
		e.produce()
	}
}

// Leave makes the engine announce that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Busy returns the number of waiting and running sequences.
func (e *Engine) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// step fills the batch from the queue. It returns the duration of the next step
// and whether the batch has any sequences.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	e.dropAbandoned(now)
	length := e.cfg.StepTime
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Capacity {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(s, now)
		length += s.prefill
	}
	e.report(now)
	length += time.Duration(len(e.running)) * e.cfg.StepPerSequence
	return length, len(e.running) > 0
}

// begin adds a sequence to the batch and starts its entry in the run log.
func (e *Engine) begin(s *sequence, now time.Time) {
	input := tokensOf(s.prompt)
	cached := e.cache.use(s.ref, s.prompt)
	s.prefill = time.Duration(input-cached) * e.cfg.PrefillPerToken
	s.logPlace = e.Log.Start(Run{Backend: e.cfg.ID, RequestID: s.id, Attempt: s.attempt, Version: s.ref, ReceivedAt: s.received, StartedAt: now})
	s.state.Store(int32(running))
	e.running = append(e.running, s)
}

// produce generates one token for every sequence in the batch.
func (e *Engine) produce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.running[:0]
	for _, s := range e.running {
		if !s.grow() {
			remaining = append(remaining, s)
			continue
		}
		e.end(s)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// end logs the result of a run and keeps it for endedRetention, so that it can
// be resumed.
func (e *Engine) end(s *sequence) {
	s.endedAt = e.cfg.Clock.Now()
	e.Log.Finish(s.logPlace, s.made.Load(), s.is(whole))
	e.ended = append(e.ended, s)
}

// dropAbandoned cancels the sequences that have had no reader for ResumeWindow,
// and removes ended runs after endedRetention.
func (e *Engine) dropAbandoned(now time.Time) {
	abandoned := func(s *sequence) bool {
		if !s.isAbandoned(now, e.cfg.ResumeWindow) {
			return false
		}
		if s.is(running) {
			s.state.Store(int32(canceled))
			e.end(s)
			return true
		}
		s.state.Store(int32(canceled))
		e.forget(s)
		return true
	}
	e.running = slices.DeleteFunc(e.running, abandoned)
	e.waiting = slices.DeleteFunc(e.waiting, abandoned)
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > keepEnded {
		e.forget(e.ended[0])
		e.ended = e.ended[1:]
	}
}

func (e *Engine) forget(s *sequence) {
	if e.byID[s.id] == s {
		delete(e.byID, s.id)
	}
}

// start adds a new sequence to the queue and attaches a stream to it. It returns
// false if the engine is leaving or has not loaded the version.
func (e *Engine) start(s *sequence) (chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || !slices.Contains(e.versions, s.ref) {
		return nil, false
	}
	e.ordinal++
	s.arrival = e.ordinal
	s.received = e.cfg.Clock.Now()
	s.run = fmt.Sprintf("%s/%d/%d", e.cfg.ID, e.cfg.Incarnation, e.ordinal)
	s.seed = xxhash.Sum64String(s.run)
	s.usage = request.Usage{InputTokens: tokensOf(s.prompt), OutputTokens: s.skip + s.want}
	e.byID[s.id] = s
	i, _ := slices.BinarySearchFunc(e.waiting, s, goesBefore)
	e.waiting = slices.Insert(e.waiting, i, s)
	e.nudge()
	return s.attach(), true
}

// resume attaches a stream to the given run of a request. It returns false
// unless that run is active or completed within endedRetention.
func (e *Engine) resume(id string, ref version.Ref, run string) (*sequence, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.ref != ref || s.is(canceled) || s.run != run {
		return nil, nil, false
	}
	return s, s.attach(), true
}

// cancel ends the run of a request immediately.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.is(whole) || s.is(canceled) {
		return
	}
	if s.is(running) {
		e.running = slices.DeleteFunc(e.running, func(r *sequence) bool { return r == s })
		s.state.Store(int32(canceled))
		e.end(s)
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *sequence) bool { return w == s })
		s.state.Store(int32(canceled))
		e.forget(s)
	}
	s.notify()
}

// leave detaches a stream. The step loop cancels the run if no other stream is
// attached within the resume window.
func (e *Engine) leave(s *sequence, updated chan struct{}) {
	s.detach(updated, e.cfg.Clock.Now())
	e.nudge()
}

// isRunning reports whether the request is waiting or running.
func (e *Engine) isRunning(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	return ok && (s.is(waiting) || s.is(running))
}

// report records the current load. Reports are published with a delay, so they
// are kept until a newer one is due.
func (e *Engine) report(now time.Time) {
	e.reports = append(e.reports, backend.Load{
		MeasuredAt: now, Queued: len(e.waiting), Running: len(e.running), CacheUsed: e.cache.used(),
		TokenInterval: e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerSequence,
	})
	e.dropReports(now)
}

// dropReports drops the reports that are superseded by a newer one that is at
// least as old as the configured delay.
func (e *Engine) dropReports(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[1].MeasuredAt) >= e.cfg.LoadLag {
		e.reports = e.reports[1:]
	}
}

// Announcement returns the engine's current announcement. Its load report is
// delayed by the configured time.
func (e *Engine) Announcement(address string) backend.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := backend.Announcement{
		ID: e.cfg.ID, Incarnation: e.cfg.Incarnation, Region: e.cfg.Region, Zone: e.cfg.Zone, Kind: backend.Engine,
		Versions: slices.Clone(e.versions), Capacity: e.cfg.Capacity, State: backend.Serving,
		HonoursFence: e.cfg.HonoursFence, Address: address,
	}
	if e.leaving {
		a.State = backend.Leaving
	}
	e.dropReports(e.cfg.Clock.Now())
	if len(e.reports) > 0 {
		a.Load = e.reports[0]
	}
	return a
}

func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func tokensOf(prompt []request.Message) int64 {
	const bytesPerToken = 4
	var n int64
	for _, m := range prompt {
		n += int64(len(m.Content)/bytesPerToken) + 1
	}
	return n
}
