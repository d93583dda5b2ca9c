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
	// endedRetention is how long a run can still be resumed after it ended.
	endedRetention = 10 * time.Second

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
		LoadDelay       time.Duration
		HonorsFence     bool
		OrderKey        string
		Clock           clock.Clock
	}

	// Engine is a fake model engine with continuous batching.
	Engine struct {
		cfg  EngineConfig
		Log  RunLog
		wake chan struct{}

		mu          sync.Mutex
		waiting     []*sequence
		running     []*sequence
		byID        map[string]*sequence
		ended       []*sequence
		prefixes    *prefixCache
		versions    []version.Ref
		orderFilter orderFilter
		reports     []backend.Load
		leaving     bool
		lastOrdinal uint64
	}
)

// NewEngine returns an engine. It generates no tokens until Run is called.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.ResumeWindow = cmp.Or(cfg.ResumeWindow, defaultResumeWindow)
	return &Engine{
		cfg: cfg, wake: make(chan struct{}, 1), byID: make(map[string]*sequence),
		prefixes: newPrefixCache(cfg.CacheTokens), versions: slices.Clone(cfg.Versions),
		orderFilter: orderFilter{key: cfg.OrderKey, honorsFence: cfg.HonorsFence},
	}
}

// Run generates tokens until the context ends. Each step is due relative to the
// due time of the one before, so that a late step does not delay later ones.
func (e *Engine) Run(ctx context.Context) error {
	next := e.cfg.Clock.Now()
	for {
		length, busy := e.prepareStep()
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
		e.generateTokens()
	}
}

// Leave makes the engine announce that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// InFlight returns the number of waiting and running sequences.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// prepareStep fills the batch from the queue. It returns the duration of the next step
// and whether the batch has any sequences.
func (e *Engine) prepareStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	e.cancelAbandoned(now)
	length := e.cfg.StepTime
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Capacity {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startSequence(s, now)
		length += s.prefillTime
	}
	e.recordLoad(now)
	length += time.Duration(len(e.running)) * e.cfg.StepPerSequence
	return length, len(e.running) > 0
}

// startSequence adds a sequence to the batch and starts its entry in the run log.
func (e *Engine) startSequence(s *sequence, now time.Time) {
	input := countTokens(s.prompt)
	cached := e.prefixes.lookupAndStore(s.ref, s.prompt)
	s.prefillTime = time.Duration(input-cached) * e.cfg.PrefillPerToken
	s.logIndex = e.Log.Start(Run{Backend: e.cfg.ID, RequestID: s.id, Attempt: s.attempt, Version: s.ref, ReceivedAt: s.received, StartedAt: now})
	s.state.Store(int32(running))
	e.running = append(e.running, s)
}

// generateTokens generates one token for every sequence in the batch.
func (e *Engine) generateTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.running[:0]
	for _, s := range e.running {
		if !s.addToken() {
			remaining = append(remaining, s)
			continue
		}
		e.endSequence(s)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// endSequence logs the result of a run and keeps it for endedRetention, so that it can
// be resumed.
func (e *Engine) endSequence(s *sequence) {
	s.endedAt = e.cfg.Clock.Now()
	e.Log.Finish(s.logIndex, s.generated.Load(), s.inState(completed))
	e.ended = append(e.ended, s)
}

// cancelAbandoned cancels the sequences that have had no reader for ResumeWindow,
// and removes ended runs after endedRetention.
func (e *Engine) cancelAbandoned(now time.Time) {
	abandoned := func(s *sequence) bool {
		if !s.isAbandoned(now, e.cfg.ResumeWindow) {
			return false
		}
		if s.inState(running) {
			s.state.Store(int32(canceled))
			e.endSequence(s)
			return true
		}
		s.state.Store(int32(canceled))
		e.forget(s)
		return true
	}
	e.running = slices.DeleteFunc(e.running, abandoned)
	e.waiting = slices.DeleteFunc(e.waiting, abandoned)
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > endedRetention {
		e.forget(e.ended[0])
		e.ended = e.ended[1:]
	}
}

func (e *Engine) forget(s *sequence) {
	if e.byID[s.id] == s {
		delete(e.byID, s.id)
	}
}

// enqueue adds a new sequence to the queue and attaches a stream to it. It returns
// false if the engine is leaving or has not loaded the version.
func (e *Engine) enqueue(s *sequence) (chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || !slices.Contains(e.versions, s.ref) {
		return nil, false
	}
	e.lastOrdinal++
	s.ordinal = e.lastOrdinal
	s.received = e.cfg.Clock.Now()
	s.runID = fmt.Sprintf("%s/%d/%d", e.cfg.ID, e.cfg.Incarnation, e.lastOrdinal)
	s.seed = xxhash.Sum64String(s.runID)
	s.usage = request.Usage{InputTokens: countTokens(s.prompt), OutputTokens: s.prefixTokens + s.maxTokens}
	e.byID[s.id] = s
	i, _ := slices.BinarySearchFunc(e.waiting, s, compareSequences)
	e.waiting = slices.Insert(e.waiting, i, s)
	e.wakeLoop()
	return s.attach(), true
}

// resume attaches a stream to the given run of a request. It returns false
// unless that run is active or completed within endedRetention.
func (e *Engine) resume(id string, ref version.Ref, run string) (*sequence, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.ref != ref || s.inState(canceled) || s.runID != run {
		return nil, nil, false
	}
	return s, s.attach(), true
}

// cancel ends the run of a request immediately.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.inState(completed) || s.inState(canceled) {
		return
	}
	if s.inState(running) {
		e.running = slices.DeleteFunc(e.running, func(r *sequence) bool { return r == s })
		s.state.Store(int32(canceled))
		e.endSequence(s)
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *sequence) bool { return w == s })
		s.state.Store(int32(canceled))
		e.forget(s)
	}
	s.notify()
}

// detachStream detaches a stream. The step loop cancels the run if no other stream is
// attached within the resume window.
func (e *Engine) detachStream(s *sequence, updated chan struct{}) {
	s.detach(updated, e.cfg.Clock.Now())
	e.wakeLoop()
}

// isActive reports whether the request is waiting or running.
func (e *Engine) isActive(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	return ok && (s.inState(waiting) || s.inState(running))
}

// recordLoad records the current load. Reports are published with a delay, so they
// are kept until a newer one is due.
func (e *Engine) recordLoad(now time.Time) {
	e.reports = append(e.reports, backend.Load{
		MeasuredAt: now, Queued: len(e.waiting), Running: len(e.running), CacheUsed: e.prefixes.usedShare(),
		TokenInterval: e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerSequence,
	})
	e.dropReports(now)
}

// dropReports drops all but the newest of the reports that are at least as old as
// the configured delay. Younger reports are kept.
func (e *Engine) dropReports(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[1].MeasuredAt) >= e.cfg.LoadDelay {
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
		HonorsFence: e.cfg.HonorsFence, Address: address,
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

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func countTokens(prompt []request.Message) int64 {
	const bytesPerToken = 4
	var n int64
	for _, m := range prompt {
		n += int64(len(m.Content)/bytesPerToken) + 1
	}
	return n
}
