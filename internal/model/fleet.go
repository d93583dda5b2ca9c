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
	// bytesPerPromptToken and bytesPerOutputToken are the bytes that a prompt token and a
	// streamed output token take on the link between regions.
	bytesPerPromptToken = 4
	bytesPerOutputToken = 60

	// linkBytesPerSecond is 30 Mbit/s in each direction.
	linkBytesPerSecond = 30e6 / 8

	regionLatency = 30 * time.Millisecond
	zoneLatency   = 1500 * time.Microsecond

	// maxPrefixKeys and prefixTTL limit the number and age of the prefixes in an
	// entry's index of a server's cache.
	maxPrefixKeys = 2000
	prefixTTL     = 5 * time.Minute

	// sameEntryProbability is the probability that a session's next request goes to the
	// same entry, since callers cache an entry's address for a while.
	sameEntryProbability = 0.7

	// targetQueueDelay is the queueing delay at the engines below which an entry
	// raises its concurrency limit.
	targetQueueDelay = 200 * time.Millisecond

	// minSlotEighths is the minimum of an entry's concurrency limit, in eighths of
	// its share of the engines' slots.
	minSlotEighths = 7

	// maxAttempts limits the attempts of one request.
	maxAttempts = 3
)

type (
	// FleetConfig holds the settings of a simulated fleet.
	FleetConfig struct {
		Workload Workload
		Seed     uint64
		// NewPolicy returns the placement policy of an entry.
		NewPolicy func() placement.Policy
		// NewQueue returns the request queue of an entry with the given share of
		// the engines' slots. If nil, every request is sent immediately.
		NewQueue func(slots int) limit.Queue
		// NewRetryBudget returns the retry budget of an entry. If nil, failed attempts
		// are retried without a budget.
		NewRetryBudget func() *retry.Budget
		Deadline       time.Duration
		// CallerRetries is the maximum number of times that a caller retries a
		// refused request.
		CallerRetries int
		// UrgentShare is the share of sessions with a higher priority.
		UrgentShare float64
	}

	// Fleet simulates entries, engines and their callers.
	Fleet struct {
		cfg             FleetConfig
		Clock           *Clock
		random          *rand.Rand
		arrivalRandom   *rand.Rand
		source          *Source
		entries         []*entry
		engines         []*Engine
		servers         []backend.Announcement
		links           map[string]*Link
		Stats           Stats
		include         func(*Call) bool
		lastID          uint64
		closedLoop      bool
		failing         bool
		seenPrefixes    map[uint64]bool
		requestedTokens int64
		repeatedTokens  int64
	}

	// entry is the state of one entry: its view of the engines and its queue.
	entry struct {
		region      string
		zone        string
		policy      placement.Policy
		tracker     *placement.Tracker
		prefixes    *placement.PrefixIndex
		load        map[string]backend.Load
		queue       limit.Queue
		slotLimit   *limit.Adaptive
		retryBudget *retry.Budget
		queued      map[uint64]*Call
	}

	// Call is one request in the fleet.
	Call struct {
		Arrival
		ID             uint64
		Priority       int
		ArrivedAt      time.Time
		Deadline       time.Time
		submissions    int
		attempts       int
		enginePriority int
		entry          *entry
		engine         int
	}
)

// NewFleet returns an idle fleet.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		cfg: cfg, Clock: NewClock(), random: rand.New(rand.NewPCG(cfg.Seed, 11)),
		arrivalRandom: rand.New(rand.NewPCG(cfg.Seed, 12)), links: make(map[string]*Link),
		include: func(*Call) bool { return true }, seenPrefixes: make(map[uint64]bool),
	}
	f.source = NewSource(cfg.Workload, cfg.Seed)
	f.source.UrgentShare = cfg.UrgentShare
	locations := cfg.Workload.locations()
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

func (f *Fleet) addEngine(i int, loc location) {
	cfg := DefaultEngine(fmt.Sprintf("engine-%03d", i), loc.region, loc.zone)
	f.servers = append(f.servers, backend.Announcement{
		ID: cfg.ID, Incarnation: 1, Region: loc.region, Zone: loc.zone, Kind: backend.Engine, Capacity: cfg.MaxBatch, State: backend.Serving,
	})
	random := rand.New(rand.NewPCG(f.cfg.Seed, 100+uint64(i)))
	e := NewEngine(f.Clock, cfg, random, func(l backend.Load) { f.loadReported(cfg.ID, l) }, f.cacheChanged)
	f.engines = append(f.engines, e)
}

func (f *Fleet) addEntry(loc location) {
	e := &entry{
		region: loc.region, zone: loc.zone, policy: f.cfg.NewPolicy(),
		tracker:  placement.NewTracker(placement.DefaultCosts().PrefillPerToken),
		prefixes: placement.NewPrefixIndex(maxPrefixKeys, prefixTTL), load: make(map[string]backend.Load), queued: make(map[uint64]*Call),
	}
	if f.cfg.NewQueue != nil {
		slots := len(f.engines) * f.servers[0].Capacity / f.cfg.Workload.Entries
		e.queue = f.cfg.NewQueue(slots)
		minSlots := slots * minSlotEighths / 8
		e.slotLimit = limit.NewAdaptive(slots, minSlots, len(f.engines)*f.servers[0].Capacity, targetQueueDelay)
	}
	if f.cfg.NewRetryBudget != nil {
		e.retryBudget = f.cfg.NewRetryBudget()
	}
	f.entries = append(f.entries, e)
}

// OfferLoad generates open-loop load for the given duration: sessions arrive as a
// Poisson process with the given mean rate of requests per second.
func (f *Fleet) OfferLoad(rate float64, d time.Duration) { f.OfferLoadFrom(f.source, rate, d) }

// OfferLoadFrom is like OfferLoad with the sessions of another source.
func (f *Fleet) OfferLoadFrom(source *Source, rate float64, d time.Duration) {
	end := f.Clock.Now().Add(d)
	sessions := rate / f.cfg.Workload.MeanTurns()
	var arrive func()
	arrive = func() {
		if f.Clock.Now().After(end) {
			return
		}
		f.arrive(source.OpenSession())
		f.Clock.After(time.Duration(f.arrivalRandom.ExpFloat64()/sessions*float64(time.Second)), arrive)
	}
	f.Clock.After(time.Duration(f.arrivalRandom.ExpFloat64()/sessions*float64(time.Second)), arrive)
}

// Saturate generates closed-loop load: each of the given number of callers runs
// one session after the other without think time.
func (f *Fleet) Saturate(callers int) {
	f.closedLoop = true
	for range callers {
		f.arrive(f.source.OpenSession())
	}
}

func (f *Fleet) arrive(a Arrival) { f.arriveAt(a, f.entryFor(a)) }

func (f *Fleet) arriveAt(a Arrival, e *entry) {
	f.lastID++
	f.recordPrompt(a.Prompt)
	c := &Call{Arrival: a, ID: f.lastID, ArrivedAt: f.Clock.Now(), entry: e}
	if a.Urgent {
		c.Priority = 1
	}
	if f.cfg.Deadline > 0 {
		c.Deadline = c.ArrivedAt.Add(f.cfg.Deadline)
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
	d := placement.Demand{InputTokens: promptTokens(c.Prompt), OutputTokens: c.Class.OutputTokens, Priority: c.Priority}
	c.engine = c.entry.policy.Pick(now, d, candidates, f.random)
	server := f.servers[c.engine]
	c.entry.tracker.Start(now, server.ID, candidates[c.engine].UncachedTokens(d))
	c.entry.prefixes.StoreAll(now, server.ID, prompt)
	c.enginePriority = c.currentEnginePriority(now)
	if f.include(c) {
		f.Stats.QueueWaits = append(f.Stats.QueueWaits, now.Sub(c.ArrivedAt).Seconds())
	}
	c.attempts++
	f.Stats.Attempts++
	if c.attempts == 1 {
		f.Stats.Sent++
	}
	f.sendToServer(c.entry.region, server, d.InputTokens*bytesPerPromptToken, func() { f.submit(c) })
}

func (f *Fleet) submit(c *Call) {
	server := f.servers[c.engine]
	if f.failing {
		f.sendToEntry(c.entry.region, server, bytesPerOutputToken, func() { f.attemptFailed(c) })
		return
	}
	f.engines[c.engine].Submit(&Job{
		Priority: c.enginePriority, Prompt: c.Prompt, OutputTokens: c.OutputTokens,
		OnFirst: func() {
			f.sendToEntry(c.entry.region, server, bytesPerOutputToken, func() { f.firstTokenArrived(c) })
		},
		OnEnd: func() {
			f.sendToEntry(c.entry.region, server, int64(c.OutputTokens)*bytesPerOutputToken, func() { f.answerArrived(c) })
		},
	})
}

func (f *Fleet) firstTokenArrived(c *Call) {
	if f.include(c) {
		f.Stats.recordFirstToken(c, f.Clock.Now().Sub(c.ArrivedAt))
	}
}

func (f *Fleet) answerArrived(c *Call) {
	now := f.Clock.Now()
	c.entry.tracker.End(now, f.servers[c.engine].ID)
	if f.include(c) {
		f.Stats.recordEnd(c, now)
	}
	if c.entry.retryBudget != nil {
		c.entry.retryBudget.RecordSuccess()
	}
	f.release(c)
	f.followUp(c)
}

// followUp schedules the session's next request. With closed-loop load, a new
// session follows the last one.
func (f *Fleet) followUp(c *Call) {
	next, ok := c.next()
	switch {
	case ok:
		e := c.entry
		if next.random.Float64() >= sameEntryProbability {
			e = f.entryFor(next)
		}
		think := next.drawThinkTime()
		if f.closedLoop {
			think = 0
		}
		f.Clock.After(think, func() { f.arriveAt(next, e) })
	case f.closedLoop:
		f.arrive(f.source.OpenSession())
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
			BacklogTokens: e.tracker.Backlog(now, s.ID), CachedShare: e.prefixes.CachedShare(now, s.ID, prompt),
			NetworkLatency: networkLatency(e.region, s.Region), SameRegion: e.region == s.Region,
		}
	}
	return candidates, prompt
}

func (f *Fleet) sendToServer(region string, server backend.Announcement, n int64, fn func()) {
	if region == server.Region {
		f.Clock.After(zoneLatency, fn)
		return
	}
	f.links[region].Send(n, fn)
}

func (f *Fleet) sendToEntry(region string, server backend.Announcement, n int64, fn func()) {
	if region == server.Region {
		f.Clock.After(zoneLatency, fn)
		return
	}
	f.links[server.Region].Send(n, fn)
}

func (f *Fleet) loadReported(server string, l backend.Load) {
	for _, e := range f.entries {
		e.load[server] = l
		f.adaptSlots(e)
	}
}

func (f *Fleet) cacheChanged(c CacheEvent) {
	for _, e := range f.entries {
		if c.Stored {
			e.prefixes.Store(f.Clock.Now(), c.Server, c.Key)
		} else {
			e.prefixes.Evict(c.Server, c.Key)
		}
	}
}

func networkLatency(a, b string) time.Duration {
	if a == b {
		return zoneLatency
	}
	return regionLatency
}

type location struct{ region, zone string }

// locations returns all availability zones with their regions.
func (w Workload) locations() []location {
	var list []location
	for _, r := range w.Regions {
		for _, z := range r.Zones {
			list = append(list, location{r.Name, z})
		}
	}
	return list
}
