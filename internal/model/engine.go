package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosereach/core/backend"
)

const (
	// reportInterval is the interval between load reports of an engine.
	reportInterval = time.Second

	// minLag and maxDelay are the bounds of the random delay of load reports and
	// cache events.
	minLag = 500 * time.Millisecond
	maxLag = 2 * time.Second

	// eventLoss is the share of cache events that are lost.
	eventLoss = 0.1
)

type (
	// EngineConfig holds the settings of an engine. A step takes StepTime, plus
	// StepPerSequence for each sequence that generates a token, plus
	// PrefillPerToken for at most ChunkTokens uncached prompt tokens.
	EngineConfig struct {
		ID              string
		Region          string
		Zone            string
		Batch           int
		CacheTokens     int64
		ChunkTokens     int64
		StepTime        time.Duration
		StepPerSequence time.Duration
		PrefillPerToken time.Duration
	}

	// Job is one answer for an engine to generate. OnFirst and OnEnd are called
	// when its first and its last token are generated.
	Job struct {
		Priority int
		Prompt   []Segment
		Output   int
		OnFirst  func()
		OnEnd    func()

		prefill int64
		made    int
		order   uint64
	}

	// Engine simulates continuous batching: sequences join and leave the batch
	// between steps.
	Engine struct {
		cfg     EngineConfig
		clock   *Clock
		random  *rand.Rand
		cache   *prefixCache
		waiting []*Job
		running []*Job
		busy    bool
		last    uint64
		input   int64
		hits    int64
		report  func(backend.Load)
		event   func(CacheEvent)
	}
)

// DefaultEngine returns the settings of a typical current worker.
func DefaultEngine(id, region, zone string) EngineConfig {
	return EngineConfig{
		ID: id, Region: region, Zone: zone, Batch: 16, CacheTokens: 120_000, ChunkTokens: 256,
		StepTime: 12 * time.Millisecond, StepPerSequence: 300 * time.Microsecond, PrefillPerToken: 100 * time.Microsecond,
	}
}

// NewEngine returns an idle engine. Load reports and cache events are passed to
// the two callbacks after a random delay; some cache events are lost.
func NewEngine(c *Clock, cfg EngineConfig, random *rand.Rand, report func(backend.Load), event func(CacheEvent)) *Engine {
	e := &Engine{cfg: cfg, clock: c, random: random, report: report, event: event}
	e.cache = newPrefixCache(cfg.CacheTokens, e.publish)
	c.After(time.Duration(random.Int64N(int64(reportInterval))), e.publishLoad)
	return e
}

// Submit queues a job, ordered by priority and then by arrival.
func (e *Engine) Submit(j *Job) {
	e.last++
	j.order = e.last
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *Job) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(a.order) - int(b.order)
	})
	e.waiting = slices.Insert(e.waiting, i, j)
	if !e.busy {
		e.step()
	}
}

// InFlight returns the number of waiting and running jobs.
func (e *Engine) InFlight() int { return len(e.waiting) + len(e.running) }

// HitTokens returns the number of tokens of all prompts, and how many of them
// were found in the cache.
func (e *Engine) HitTokens() (input, hits int64) { return e.input, e.hits }

func (e *Engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	d := e.cfg.StepTime
	budget := e.cfg.ChunkTokens
	for _, j := range e.running {
		if j.prefill == 0 {
			d += e.cfg.StepPerSequence
		}
	}
	for _, j := range e.reading() {
		chunk := min(budget, j.prefill)
		j.prefill -= chunk
		budget -= chunk
		d += time.Duration(chunk) * e.cfg.PrefillPerToken
	}
	e.clock.After(d, e.produce)
}

// reading returns the running jobs in the prefill phase, the highest priority
// first.
func (e *Engine) reading() []*Job {
	var jobs []*Job
	for _, j := range e.running {
		if j.prefill > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return b.Priority - a.Priority })
	return jobs
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Batch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		hit := e.cache.use(j.Prompt)
		tokens := promptTokens(j.Prompt)
		e.input += tokens
		e.hits += hit
		j.prefill = max(tokens-hit, 1)
		e.running = append(e.running, j)
	}
}

func (e *Engine) produce() {
	remaining := e.running[:0]
	var ended []*Job
	for _, j := range e.running {
		if j.prefill > 0 {
			remaining = append(remaining, j)
			continue
		}
		j.made++
		if j.made == 1 && j.OnFirst != nil {
			j.OnFirst()
		}
		if j.made >= j.Output {
			ended = append(ended, j)
			continue
		}
		remaining = append(remaining, j)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	for _, j := range ended {
		if j.OnEnd != nil {
			j.OnEnd()
		}
	}
	e.step()
}

func (e *Engine) publishLoad() {
	load := backend.Load{
		MeasuredAt: e.clock.Now(), Queued: len(e.waiting), Running: len(e.running),
		CacheUsed:     float64(e.cache.held) / float64(max(e.cfg.CacheTokens, 1)),
		TokenInterval: e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerSequence,
	}
	e.clock.After(e.lag(), func() { e.report(load) })
	e.clock.After(reportInterval, e.publishLoad)
}

func (e *Engine) publish(key uint64, stored bool) {
	if e.random.Float64() < eventLoss {
		return
	}
	e.clock.After(e.lag(), func() { e.event(CacheEvent{Server: e.cfg.ID, Key: key, Stored: stored}) })
}

func (e *Engine) lag() time.Duration {
	return minLag + time.Duration(e.random.Int64N(int64(maxLag-minLag)))
}

func promptTokens(prompt []Segment) int64 {
	var n int64
	for _, s := range prompt {
		n += s.Tokens
	}
	return n
}
