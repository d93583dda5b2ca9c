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
	"rosereach/io/platform"
)

// resumeWindow is how long a sequence goes on without a reader.
const resumeWindow = 2 * time.Second

type (
	// EngineConfig are the settings of a fake engine. A step takes StepTime and
	// StepPerSequence for each sequence in the batch, and makes one token for
	// each. A prompt costs PrefillPerToken for each token that is not cached.
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
		LoadLag         time.Duration
		HonoursFence    bool
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
		cache    *prefixCache
		versions []version.Ref
		fence    platform.Fence
		reports  []backend.Load
		leaving  bool
		ordinal  uint64
	}

	// sequence is one answer in the making. Tokens grow until Want are there.
	// Readers counts the streams that read it; one without a reader is kept for
	// resumeWindow. Run is its name towards entries.
	sequence struct {
		id       string
		run      string
		readers  int
		ref      version.Ref
		priority int
		arrival  uint64
		prompt   []request.Message
		skip     int64
		want     int64
		seed     uint64
		prefill  time.Duration
		tokens   []string
		done     bool
		canceled bool
		moved    chan struct{}
		logPlace int
		usage    request.Usage
	}
)

// NewEngine returns an engine, which Run sets to work.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg: cfg, wake: make(chan struct{}, 1), byID: make(map[string]*sequence),
		cache: newPrefixCache(cfg.CacheTokens), versions: slices.Clone(cfg.Versions),
	}
}

// Run makes tokens until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		wait, busy := e.step()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-e.cfg.Clock.After(wait):
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

// step fills the batch from the waiting sequences, the highest priority first,
// and returns how long the next step takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	wait := e.cfg.StepTime
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Capacity {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		wait += s.prefill
	}
	e.report()
	wait += time.Duration(len(e.running)) * e.cfg.StepPerSequence
	return wait, len(e.running) > 0
}

// produce adds one token to every sequence in the batch.
func (e *Engine) produce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var still []*sequence
	for _, s := range e.running {
		if !s.canceled {
			s.grow()
		}
		if s.done || s.canceled {
			e.Log.Finish(s.logPlace, int64(len(s.tokens)), s.done)
			continue
		}
		still = append(still, s)
	}
	e.running = still
}

// resume returns the sequence of a run that is still there.
func (e *Engine) resume(id, run string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.run != run || s.canceled {
		return nil, false
	}
	s.readers++
	return s, true
}

// detach ends a reader. A sequence that nobody reads is cancelled after the
// resume window.
func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.done {
		return
	}
	e.cfg.Clock.AfterFunc(resumeWindow, func() {
		if e.isUnread(s) {
			e.cancel(s)
		}
	})
}

func (e *Engine) isUnread(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.readers == 0
}

// abandon cancels the request that its entry no longer wants.
func (e *Engine) abandon(id string) {
	e.mu.Lock()
	s, ok := e.byID[id]
	e.mu.Unlock()
	if ok {
		e.cancel(s)
	}
}

// start puts a new sequence into the queue.
func (e *Engine) start(s *sequence, attempt int) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || !slices.Contains(e.versions, s.ref) {
		return nil, false
	}
	e.ordinal++
	s.arrival = e.ordinal
	s.readers = 1
	s.run = fmt.Sprintf("%s/%d/%d", e.cfg.ID, e.cfg.Incarnation, e.ordinal)
	s.seed = xxhash.Sum64String(s.run)
	input := tokensOf(s.prompt)
	cached := e.cache.use(s.ref, s.prompt)
	s.prefill = time.Duration(input-cached) * e.cfg.PrefillPerToken
	s.usage = request.Usage{InputTokens: input, OutputTokens: s.skip + s.want}
	s.logPlace = e.Log.Start(Run{
		Backend: e.cfg.ID, RequestID: s.id, Attempt: attempt, Version: s.ref, StartedAt: e.cfg.Clock.Now(),
	})
	e.byID[s.id] = s
	e.waiting = append(e.waiting, s)
	e.nudge()
	return s, true
}

// cancel ends a sequence whose caller has gone.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done {
		return
	}
	s.canceled = true
	e.waiting = slices.DeleteFunc(e.waiting, func(w *sequence) bool { return w == s })
}

// report keeps load reports for as long as they lag behind.
func (e *Engine) report() {
	now := e.cfg.Clock.Now()
	e.reports = append(e.reports, backend.Load{
		At: now, Queued: len(e.waiting), Running: len(e.running), CacheUsed: e.cache.used(),
		TokenInterval: e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerSequence,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.cfg.LoadLag {
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

// grow adds the next token. The text names token, version and run, so that an
// answer put together from two runs can be told.
func (s *sequence) grow() {
	n := s.skip + int64(len(s.tokens))
	s.tokens = append(s.tokens, fmt.Sprintf("t%d.%s.%x ", n, s.ref, uint16(s.seed)))
	if int64(len(s.tokens)) >= s.want {
		s.done = true
	}
	close(s.moved)
	s.moved = make(chan struct{})
}

// after returns the tokens from the offset on, and a channel that is closed
// when there are more.
func (e *Engine) after(s *sequence, offset int64) (tokens []string, done bool, moved <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := offset - s.skip; at >= 0 && at < int64(len(s.tokens)) {
		tokens = slices.Clone(s.tokens[at:])
	}
	return tokens, s.done, s.moved
}

func tokensOf(prompt []request.Message) int64 {
	const bytesPerToken = 4
	var n int64
	for _, m := range prompt {
		n += int64(len(m.Content)/bytesPerToken) + 1
	}
	return n
}
