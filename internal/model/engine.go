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

	// minDelay and maxDelay are the bounds of the random delay of load reports and
	// cache events.
	minDelay = 500 * time.Millisecond
	maxDelay = 2 * time.Second

	// cacheEventLoss is the share of cache events that are lost.
	cacheEventLoss = 0.1
)

type (
	// EngineConfig holds the settings of an engine. A step takes StepTime, plus
	// StepPerSequence for each sequence that generates a token, plus
	// PrefillPerToken for at most ChunkTokens uncached prompt tokens.
	EngineConfig struct {
		ID              string
		Region          string
		Zone            string
		MaxBatch        int
		CacheTokens     int64
		ChunkTokens     int64
		StepTime        time.Duration
		StepPerSequence time.Duration
		PrefillPerToken time.Duration
	}

	// Job is one answer for an engine to generate. OnFirst and OnEnd are called
	// when its first and its last token are generated.
	Job struct {
		Priority     int
		Prompt       []Segment
		OutputTokens int
		OnFirst      func()
		OnEnd        func()

		prefillLeft int64
		generated   int
		ordinal     uint64
	}

	// Engine simulates continuous batching: sequences join and leave the batch
	// between steps.
	Engine struct {
		cfg          EngineConfig
		clock        *Clock
		random       *rand.Rand
		cache        *prefixCache
		waiting      []*Job
		running      []*Job
		stepping     bool
		lastOrdinal  uint64
		inputTokens  int64
		hitTokens    int64
		onLoad       func(backend.Load)
		onCacheEvent func(CacheEvent)
	}
)

// DefaultEngine returns the settings of a typical current worker.
func DefaultEngine(id, region, zone string) EngineConfig {
	return EngineConfig{
		ID: id, Region: region, Zone: zone, MaxBatch: 16, CacheTokens: 120_000, ChunkTokens: 256,
		StepTime: 12 * time.Millisecond, StepPerSequence: 300 * time.Microsecond, PrefillPerToken: 100 * time.Microsecond,
	}
}

// NewEngine returns an idle engine. Load reports and cache events are passed to
// the two callbacks after a random delay; some cache events are lost.
func NewEngine(c *Clock, cfg EngineConfig, random *rand.Rand, report func(backend.Load), event func(CacheEvent)) *Engine {
	e := &Engine{cfg: cfg, clock: c, random: random, onLoad: report, onCacheEvent: event}
	e.cache = newPrefixCache(cfg.CacheTokens, e.publishCacheEvent)
	c.After(time.Duration(random.Int64N(int64(reportInterval))), e.publishLoad)
	return e
}

// Submit queues a job, ordered by priority and then by arrival.
func (e *Engine) Submit(j *Job) {
	e.lastOrdinal++
	j.ordinal = e.lastOrdinal
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *Job) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(a.ordinal) - int(b.ordinal)
	})
	e.waiting = slices.Insert(e.waiting, i, j)
	if !e.stepping {
		e.startStep()
	}
}

// InFlight returns the number of waiting and running jobs.
func (e *Engine) InFlight() int { return len(e.waiting) + len(e.running) }

// HitTokens returns the number of tokens of all prompts, and how many of them
// were found in the cache.
func (e *Engine) HitTokens() (input, hits int64) { return e.inputTokens, e.hitTokens }

func (e *Engine) startStep() {
	e.fillBatch()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	d := e.cfg.StepTime
	budget := e.cfg.ChunkTokens
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			d += e.cfg.StepPerSequence
		}
	}
	for _, j := range e.prefilling() {
		chunk := min(budget, j.prefillLeft)
		j.prefillLeft -= chunk
		budget -= chunk
		d += time.Duration(chunk) * e.cfg.PrefillPerToken
	}
	e.clock.After(d, e.finishStep)
}

// prefilling returns the running jobs in the prefill phase, the highest priority
// first.
func (e *Engine) prefilling() []*Job {
	var jobs []*Job
	for _, j := range e.running {
		if j.prefillLeft > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return b.Priority - a.Priority })
	return jobs
}

func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		hit := e.cache.lookupAndStore(j.Prompt)
		tokens := promptTokens(j.Prompt)
		e.inputTokens += tokens
		e.hitTokens += hit
		j.prefillLeft = max(tokens-hit, 1)
		e.running = append(e.running, j)
	}
}

func (e *Engine) finishStep() {
	remaining := e.running[:0]
	var ended []*Job
	for _, j := range e.running {
		if j.prefillLeft > 0 {
			remaining = append(remaining, j)
			continue
		}
		j.generated++
		if j.generated == 1 && j.OnFirst != nil {
			j.OnFirst()
		}
		if j.generated >= j.OutputTokens {
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
	e.startStep()
}

func (e *Engine) publishLoad() {
	load := backend.Load{
		MeasuredAt: e.clock.Now(), Queued: len(e.waiting), Running: len(e.running),
		CacheUsed:     float64(e.cache.usedTokens) / float64(max(e.cfg.CacheTokens, 1)),
		TokenInterval: e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerSequence,
	}
	e.clock.After(e.drawDelay(), func() { e.onLoad(load) })
	e.clock.After(reportInterval, e.publishLoad)
}

func (e *Engine) publishCacheEvent(key uint64, stored bool) {
	if e.random.Float64() < cacheEventLoss {
		return
	}
	e.clock.After(e.drawDelay(), func() { e.onCacheEvent(CacheEvent{Server: e.cfg.ID, Key: key, Stored: stored}) })
}

func (e *Engine) drawDelay() time.Duration {
	return minDelay + time.Duration(e.random.Int64N(int64(maxDelay-minDelay)))
}

func promptTokens(prompt []Segment) int64 {
	var n int64
	for _, s := range prompt {
		n += s.Tokens
	}
	return n
}
