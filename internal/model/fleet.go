package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosereach/core/backend"
	"rosereach/core/limit"
	"rosereach/core/placement"
	"rosereach/core/retry"
)

const (
	// bytesPerToken and bytesPerOutputToken are the bytes that a prompt token and a
	// streamed output token take on the link between regions.
	bytesPerToken  = 4
	bytesPerOutput = 60

	// linkBytesPerSecond is 30 Mbit/s in each direction.
	linkBytesPerSecond = 30e6 / 8

	regionLatency = 30 * time.Millisecond
	zoneLatency   = 1500 * time.Microsecond

	// hintKeys and prefixLifetime limit the number and age of the prefixes in an
	// entry's index of a server's cache.
	hintKeys = 2000
	hintLife = 5 * time.Minute

	// stickiness is the probability that a session's next request goes to the
	// same entry, since callers cache an entry's address for a while.
	stickiness = 0.7

	// queueTarget is the queueing delay at the engines below which an entry
	// raises its concurrency limit.
	queueTarget = 200 * time.Millisecond

	// leastShare is the minimum of an entry's concurrency limit, in eighths of
	// its share of the engines' slots.
	leastShare = 7

	// maxAttempts limits the attempts of one request.
	maxAttempts = 3
)

type (
	// FleetConfig holds the settings of a simulated fleet.
	FleetConfig struct {
		Workload Workload
		Seed     uint64
		// Policy returns the placement policy of an entry.
		Policy func() placement.Policy
		// Gate returns the request queue of an entry with the given share of
		// the engines' slots. If nil, every request is sent immediately.
		Gate func(slots int) limit.Queue
		// Budget returns the retry budget of an entry. If nil, failed attempts
		// are retried without a budget.
		Budget   func() *retry.Budget
		Deadline time.Duration
		// Retries is how often a caller repeats a refused request at most.
		Retries int
		// Urgent is the share of sessions with a higher priority.
		Urgent float64
	}

	// Fleet simulates entries, engines and their callers.
	Fleet struct {
		cfg     FleetConfig
		Clock   *Clock
		random  *rand.Rand
		pause   *rand.Rand
		source  *Source
		entries []*entry
		engines []*Engine
		servers []backend.Announcement
		links   map[string]*Link
		Stats   Stats
		counted func(*Call) bool
		last    uint64
		asks    bool
		failing bool
		known   map[uint64]bool
		asked   int64
		repeats int64
	}

	// entry is the state of one entry: its view of the engines and its queue.
	entry struct {
		region  string
		zone    string
		policy  placement.Policy
		tracker *placement.Tracker
		hints   *placement.PrefixIndex
		load    map[string]backend.Load
		gate    limit.Queue
		adapt   *limit.Adaptive
		budget  *retry.Budget
		held    map[uint64]*Call
	}

	// Call is one request in the fleet.
	Call struct {
		Arrival
		ID       uint64
		Priority int
		At       time.Time
		Deadline time.Time
		tries    int
		attempts int
		rank     int
		entry    *entry
		engine   int
	}
)

// NewFleet returns an idle fleet.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		cfg: cfg, Clock: NewClock(), random: rand.New(rand.NewPCG(cfg.Seed, 11)),
		pause: rand.New(rand.NewPCG(cfg.Seed, 12)), links: make(map[string]*Link),
		counted: func(*Call) bool { return true }, known: make(map[uint64]bool),
	}
	f.source = NewSource(cfg.Workload, cfg.Seed)
	f.source.Urgent = cfg.Urgent
	locations := cfg.Workload.places()
	for i := range cfg.Workload.Engines {
		f.addEngine(i, locations[i%len(locations)])
	}
	for i := range cfg.Workload.Entries {
		f.addEntry(locations[i%len(locations)])
	}
	for _, r := range cfg.Workload.Regions {
		f.links[r.Name] = NewLink(f.Clock, linkBytesPerSecond, regionLatency)
	}
	return f
}

func (f *Fleet) addEngine(i int, loc place) {
	cfg := DefaultEngine(fmt.Sprintf("engine-%03d", i), loc.region, loc.zone)
	f.servers = append(f.servers, backend.Announcement{
		ID: cfg.ID, Incarnation: 1, Region: loc.region, Zone: loc.zone, Kind: backend.Engine, Capacity: cfg.Batch, State: backend.Serving,
	})
	random := rand.New(rand.NewPCG(f.cfg.Seed, 100+uint64(i)))
	e := NewEngine(f.Clock, cfg, random, func(l backend.Load) { f.reported(cfg.ID, l) }, f.cacheChanged)
	f.engines = append(f.engines, e)
}

func (f *Fleet) addEntry(loc place) {
	e := &entry{
		region: loc.region, zone: loc.zone, policy: f.cfg.Policy(),
		tracker: placement.NewTracker(placement.DefaultCosts().PrefillPerToken),
		hints:   placement.NewPrefixIndex(hintKeys, hintLife), load: make(map[string]backend.Load), held: make(map[uint64]*Call),
	}
	if f.cfg.Gate != nil {
		slots := len(f.engines) * f.servers[0].Capacity / f.cfg.Workload.Entries
		e.gate = f.cfg.Gate(slots)
		minSlots := slots * leastShare / 8
		e.adapt = limit.NewAdaptive(slots, minSlots, len(f.engines)*f.servers[0].Capacity, queueTarget)
	}
	if f.cfg.Budget != nil {
		e.budget = f.cfg.Budget()
	}
	f.entries = append(f.entries, e)
}

// Offer generates open-loop load for the given duration: sessions arrive as a
// Poisson process with the given mean rate of requests per second.
func (f *Fleet) Offer(rate float64, d time.Duration) { f.OfferFrom(f.source, rate, d) }

// OfferFrom is like OfferLoad with the sessions of another source.
func (f *Fleet) OfferFrom(source *Source, rate float64, d time.Duration) {
	end := f.Clock.Now().Add(d)
	sessions := rate / f.cfg.Workload.MeanTurns()
	var arrive func()
	arrive = func() {
		if f.Clock.Now().After(end) {
			return
		}
		f.arrive(source.Open())
		f.Clock.After(time.Duration(f.pause.ExpFloat64()/sessions*float64(time.Second)), arrive)
	}
	f.Clock.After(time.Duration(f.pause.ExpFloat64()/sessions*float64(time.Second)), arrive)
}

// Saturate generates closed-loop load: each of the given number of callers runs
// one session after the other without think time.
func (f *Fleet) Saturate(callers int) {
	f.asks = true
	for range callers {
		f.arrive(f.source.Open())
	}
}

func (f *Fleet) arrive(a Arrival) { f.arriveAt(a, f.entryFor(a)) }

func (f *Fleet) arriveAt(a Arrival, e *entry) {
	f.last++
	f.remember(a.Prompt)
	c := &Call{Arrival: a, ID: f.last, At: f.Clock.Now(), entry: e}
	if a.Urgent {
		c.Priority = 1
	}
	if f.cfg.Deadline > 0 {
		c.Deadline = c.At.Add(f.cfg.Deadline)
	}
	f.admit(c)
}

func (f *Fleet) entryFor(a Arrival) *entry {
	var local []*entry
	for _, e := range f.entries {
		if e.region == a.Region {
			local = append(local, e)
		}
	}
	if len(local) == 0 {
		local = f.entries
	}
	return local[a.random.IntN(len(local))]
}

// send chooses an engine for the call and sends it there.
func (f *Fleet) send(c *Call) {
	now := f.Clock.Now()
	candidates, prompt := f.candidates(c)
	d := placement.Demand{InputTokens: promptTokens(c.Prompt), OutputTokens: c.Class.Output, Priority: c.Priority}
	c.engine = c.entry.policy.Pick(now, d, candidates, f.random)
	server := f.servers[c.engine]
	c.entry.tracker.Start(now, server.ID, candidates[c.engine].UncachedTokens(d))
	c.entry.hints.StoreAll(now, server.ID, prompt)
	c.rank = c.rankNow(now)
	if f.counted(c) {
		f.Stats.Waits = append(f.Stats.Waits, now.Sub(c.At).Seconds())
	}
	c.attempts++
	f.Stats.Attempts++
	if c.attempts == 1 {
		f.Stats.Sent++
	}
	f.travel(c.entry.region, server, d.InputTokens*bytesPerToken, func() { f.submit(c) })
}

func (f *Fleet) submit(c *Call) {
	server := f.servers[c.engine]
	if f.failing {
		f.travelBack(c.entry.region, server, bytesPerOutput, func() { f.fail(c) })
		return
	}
	f.engines[c.engine].Submit(&Job{
		Priority: c.rank, Prompt: c.Prompt, Output: c.Output,
		OnFirst: func() {
			f.travelBack(c.entry.region, server, bytesPerOutput, func() { f.first(c) })
		},
		OnEnd: func() {
			f.travelBack(c.entry.region, server, int64(c.Output)*bytesPerOutput, func() { f.end(c) })
		},
	})
}

func (f *Fleet) first(c *Call) {
	if f.counted(c) {
		f.Stats.first(c, f.Clock.Now().Sub(c.At))
	}
}

func (f *Fleet) end(c *Call) {
	now := f.Clock.Now()
	c.entry.tracker.End(now, f.servers[c.engine].ID)
	if f.counted(c) {
		f.Stats.end(c, now)
	}
	if c.entry.budget != nil {
		c.entry.budget.RecordSuccess()
	}
	f.leave(c)
	f.followUp(c)
}

// followUp schedules the session's next request. With closed-loop load, a new
// session follows the last one.
func (f *Fleet) followUp(c *Call) {
	next, ok := c.next()
	switch {
	case ok:
		e := c.entry
		if next.random.Float64() >= stickiness {
			e = f.entryFor(next)
		}
		think := next.think()
		if f.asks {
			think = 0
		}
		f.Clock.After(think, func() { f.arriveAt(next, e) })
	case f.asks:
		f.arrive(f.source.Open())
	}
}

func (f *Fleet) candidates(c *Call) ([]placement.Candidate, []placement.Chunk) {
	now := f.Clock.Now()
	prompt := make([]placement.Chunk, len(c.Prompt))
	for i, s := range c.Prompt {
		prompt[i] = placement.Chunk(s)
	}
	e := c.entry
	candidates := make([]placement.Candidate, len(f.servers))
	for i, s := range f.servers {
		s.Load = e.load[s.ID]
		candidates[i] = placement.Candidate{
			Server: s, InFlight: e.tracker.InFlight(s.ID), InFlightAtReport: e.tracker.InFlightAt(s.ID, s.Load.MeasuredAt),
			BacklogTokens: e.tracker.Backlog(now, s.ID), CachedShare: e.hints.CachedShare(now, s.ID, prompt),
			NetworkLatency: distance(e.region, s.Region), SameRegion: e.region == s.Region,
		}
	}
	return candidates, prompt
}

func (f *Fleet) travel(region string, server backend.Announcement, n int64, fn func()) {
	if region == server.Region {
		f.Clock.After(zoneLatency, fn)
		return
	}
	f.links[region].Send(n, fn)
}

func (f *Fleet) travelBack(region string, server backend.Announcement, n int64, fn func()) {
	if region == server.Region {
		f.Clock.After(zoneLatency, fn)
		return
	}
	f.links[server.Region].Send(n, fn)
}

func (f *Fleet) reported(server string, l backend.Load) {
	for _, e := range f.entries {
		e.load[server] = l
		f.adapt(e)
	}
}

func (f *Fleet) cacheChanged(c CacheEvent) {
	for _, e := range f.entries {
		if c.Stored {
			e.hints.Store(f.Clock.Now(), c.Server, c.Key)
		} else {
			e.hints.Evict(c.Server, c.Key)
		}
	}
}

func distance(a, b string) time.Duration {
	if a == b {
		return zoneLatency
	}
	return regionLatency
}

type place struct{ region, zone string }

// places returns all availability zones with their regions.
func (w Workload) places() []place {
	var list []place
	for _, r := range w.Regions {
		for _, z := range r.Zones {
			list = append(list, place{r.Name, z})
		}
	}
	return list
}
