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
	// bytesPerToken and bytesPerOutput are what a token of a prompt and one of
	// a streamed answer take on the link between regions.
	bytesPerToken  = 4
	bytesPerOutput = 60

	// linkBytesPerSecond is 30 Mbit/s each way.
	linkBytesPerSecond = 30e6 / 8

	regionLatency = 30 * time.Millisecond
	zoneLatency   = 1500 * time.Microsecond

	// hintKeys and hintLife bound what an entry remembers of a server's cache.
	hintKeys = 2000
	hintLife = 5 * time.Minute

	// stickiness is the chance that a session's next request comes to the same
	// entry: callers keep an address for a while.
	stickiness = 0.7

	// queueTarget is the delay in the engines' queues under which an entry
	// lets more requests run.
	queueTarget = 200 * time.Millisecond

	// leastShare is, in eighths, how much of its share of the engines' places
	// an entry always uses.
	leastShare = 7

	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
)

type (
	// FleetConfig are the settings of a run. Policy makes the placement policy
	// of one entry, Gate its queue for its share of the engines' places;
	// without Gate every request is sent on at once. Budget makes an entry's
	// budget for repeated attempts; without it each failed attempt is repeated.
	// Callers repeat a refused request at most Retries times. Urgent is the
	// share of sessions with a higher priority.
	FleetConfig struct {
		Workload Workload
		Seed     uint64
		Policy   func() placement.Policy
		Gate     func(slots int) limit.Queue
		Budget   func() *retry.Budget
		Deadline time.Duration
		Retries  int
		Urgent   float64
	}

	// Fleet is entries and engines with callers around them.
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

	// entry is one entry's view of the engines.
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

	// Call is one request on its way through the fleet.
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

// NewFleet returns a fleet that is idle.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		cfg: cfg, Clock: NewClock(), random: rand.New(rand.NewPCG(cfg.Seed, 11)),
		pause: rand.New(rand.NewPCG(cfg.Seed, 12)), links: make(map[string]*Link),
		counted: func(*Call) bool { return true }, known: make(map[uint64]bool),
	}
	f.source = NewSource(cfg.Workload, cfg.Seed)
	f.source.Urgent = cfg.Urgent
	places := cfg.Workload.places()
	for i := range cfg.Workload.Engines {
		f.addEngine(i, places[i%len(places)])
	}
	for i := range cfg.Workload.Entries {
		f.addEntry(places[i%len(places)])
	}
	for _, r := range cfg.Workload.Regions {
		f.links[r.Name] = NewLink(f.Clock, linkBytesPerSecond, regionLatency)
	}
	return f
}

func (f *Fleet) addEngine(i int, p place) {
	cfg := DefaultEngine(fmt.Sprintf("engine-%03d", i), p.region, p.zone)
	f.servers = append(f.servers, backend.Announcement{
		ID: cfg.ID, Incarnation: 1, Region: p.region, Zone: p.zone, Kind: backend.Engine, Capacity: cfg.Batch, State: backend.Serving,
	})
	random := rand.New(rand.NewPCG(f.cfg.Seed, 100+uint64(i)))
	e := NewEngine(f.Clock, cfg, random, func(l backend.Load) { f.reported(cfg.ID, l) }, f.cacheChanged)
	f.engines = append(f.engines, e)
}

func (f *Fleet) addEntry(p place) {
	e := &entry{
		region: p.region, zone: p.zone, policy: f.cfg.Policy(),
		tracker: placement.NewTracker(placement.DefaultCosts().PrefillPerToken),
		hints:   placement.NewPrefixIndex(hintKeys, hintLife), load: make(map[string]backend.Load), held: make(map[uint64]*Call),
	}
	if f.cfg.Gate != nil {
		slots := len(f.engines) * f.servers[0].Capacity / f.cfg.Workload.Entries
		e.gate = f.cfg.Gate(slots)
		least := slots * leastShare / 8
		e.adapt = limit.NewAdaptive(slots, least, len(f.engines)*f.servers[0].Capacity, queueTarget)
	}
	if f.cfg.Budget != nil {
		e.budget = f.cfg.Budget()
	}
	f.entries = append(f.entries, e)
}

// Offer lets sessions arrive at the given rate of requests a second, until the
// duration has passed.
func (f *Fleet) Offer(rate float64, d time.Duration) { f.OfferFrom(f.source, rate, d) }

// OfferFrom lets sessions of another source arrive.
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

// Saturate keeps the given number of callers busy without a pause, each with
// one session after the other.
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
	var near []*entry
	for _, e := range f.entries {
		if e.region == a.Region {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		near = f.entries
	}
	return near[a.random.IntN(len(near))]
}

// send places the call and sends it to the engine.
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

// followUp lets the session ask again.
func (f *Fleet) followUp(c *Call) {
	next, again := c.next()
	switch {
	case again:
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

func (f *Fleet) travel(region string, server backend.Announcement, n int64, do func()) {
	if region == server.Region {
		f.Clock.After(zoneLatency, do)
		return
	}
	f.links[region].Send(n, do)
}

func (f *Fleet) travelBack(region string, server backend.Announcement, n int64, do func()) {
	if region == server.Region {
		f.Clock.After(zoneLatency, do)
		return
	}
	f.links[server.Region].Send(n, do)
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

// places returns the availability zones of all regions.
func (w Workload) places() []place {
	var all []place
	for _, r := range w.Regions {
		for _, z := range r.Zones {
			all = append(all, place{r.Name, z})
		}
	}
	return all
}
