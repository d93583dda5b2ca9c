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
	// keepEnded is how long an answer that ended can still be resumed.
	keepEnded = 10 * time.Second

	// defaultResumeWindow counts when the settings name no resume window.
	defaultResumeWindow = 2 * time.Second
)

type (
	// EngineConfig are the settings of a fake engine. A step takes StepTime and
	// StepPerSequence for each sequence in the batch, and makes one token for
	// each. A prompt costs PrefillPerToken for each token that is not cached.
	// An answer that nobody reads is canceled after ResumeWindow, 0 for the
	// default. Orders need OrderKey unless it is empty.
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

	// Engine is a fake model engine that batches continuously.
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

// NewEngine returns an engine, which Run sets to work.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.ResumeWindow = cmp.Or(cfg.ResumeWindow, defaultResumeWindow)
	return &Engine{
		cfg: cfg, wake: make(chan struct{}, 1), byID: make(map[string]*sequence),
		cache: newPrefixCache(cfg.CacheTokens), versions: slices.Clone(cfg.Versions),
		orders: orderGate{key: cfg.OrderKey, honoursFence: cfg.HonoursFence},
	}
}

// Run makes tokens until the context ends. A step that took longer than
// planned does not delay the next one.
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

// Busy returns the number of answers in the making.
func (e *Engine) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// step fills the batch from the waiting sequences and returns how long the
// next step takes.
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

// begin moves a sequence into the batch, where it counts as a run.
func (e *Engine) begin(s *sequence, now time.Time) {
	input := tokensOf(s.prompt)
	cached := e.cache.use(s.ref, s.prompt)
	s.prefill = time.Duration(input-cached) * e.cfg.PrefillPerToken
	s.logPlace = e.Log.Start(Run{Backend: e.cfg.ID, RequestID: s.id, Attempt: s.attempt, Version: s.ref, ReceivedAt: s.received, StartedAt: now})
	s.state.Store(int32(running))
	e.running = append(e.running, s)
}

// produce makes one token for every sequence in the batch.
func (e *Engine) produce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	still := e.running[:0]
	for _, s := range e.running {
		if !s.grow() {
			still = append(still, s)
			continue
		}
		e.end(s)
	}
	clear(e.running[len(still):])
	e.running = still
}

// end notes how far a run came. It can be resumed for a while.
func (e *Engine) end(s *sequence) {
	s.endedAt = e.cfg.Clock.Now()
	e.Log.Finish(s.logPlace, s.made.Load(), s.is(whole))
	e.ended = append(e.ended, s)
}

// dropAbandoned cancels the answers that nobody reads any more, and forgets
// those that ended long ago.
func (e *Engine) dropAbandoned(now time.Time) {
	gone := func(s *sequence) bool {
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
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
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

// start puts a new sequence into the queue. It fails when the engine takes no
// new work for the version.
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
	at, _ := slices.BinarySearchFunc(e.waiting, s, goesBefore)
	e.waiting = slices.Insert(e.waiting, at, s)
	e.nudge()
	return s.attach(), true
}

// resume returns the run of that name when it still goes on or ended shortly
// ago.
func (e *Engine) resume(id string, ref version.Ref, run string) (*sequence, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.ref != ref || s.is(canceled) || s.run != run {
		return nil, nil, false
	}
	return s, s.attach(), true
}

// cancel ends the run of a request at once.
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

// leave ends a stream. The step loop cancels the answer when no other stream
// comes within the resume window.
func (e *Engine) leave(s *sequence, moved chan struct{}) {
	s.detach(moved, e.cfg.Clock.Now())
	e.nudge()
}

// isRunning reports whether the request waits or runs.
func (e *Engine) isRunning(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	return ok && (s.is(waiting) || s.is(running))
}

// report keeps load reports for as long as they lag behind.
func (e *Engine) report(now time.Time) {
	e.reports = append(e.reports, backend.Load{
		MeasuredAt: now, Queued: len(e.waiting), Running: len(e.running), CacheUsed: e.cache.used(),
		TokenInterval: e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerSequence,
	})
	e.dropReports(now)
}

// dropReports drops the reports that a newer one of sufficient age replaces.
func (e *Engine) dropReports(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[1].MeasuredAt) >= e.cfg.LoadLag {
		e.reports = e.reports[1:]
	}
}

// Announcement returns what the engine says about itself now; its load is as
// old as the configured lag.
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
