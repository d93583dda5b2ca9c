package entry

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/placement"
	"rosereach/core/rollout"
	"rosereach/core/roster"
)

// minNoServerRetryAfter is the minimum Retry-After when no server can take a
// request: another server is announced after about a second.
const minNoServerRetryAfter = time.Second

const (
	// maxHomeRanks is the number of home servers ranked for a prompt: when the
	// first is unhealthy or full, all entries agree on the next.
	maxHomeRanks = 2

	// defaultCallTime is the estimated duration of a call to a plain service
	// until one has been observed.
	defaultCallTime = 100 * time.Millisecond
)

// chooseAndCommit chooses a server for the next attempt of a request and
// commits the attempt. It returns false if there is no usable server.
func (f *forwarder) chooseAndCommit(x *activeRequest) (*attempt, bool) {
	a, ok := f.chooseServer(x)
	if ok {
		f.commitAttempt(a)
	}
	return a, ok
}

// commitAttempt records that an attempt goes to the server chosen for it.
func (f *forwarder) commitAttempt(a *attempt) {
	e := f.entry
	e.mu.Lock()
	e.prefixHints.StoreAll(a.placedAt, hintID(a.server), a.prompt)
	e.mu.Unlock()
	f.mu.Lock()
	f.health.RecordAttempt(a.server.ID)
	f.mu.Unlock()
}

// chooseServer returns the attempt that would be made now, without recording
// it.
func (f *forwarder) chooseServer(x *activeRequest) (*attempt, bool) {
	e := f.entry
	now := e.cfg.Clock.Now()
	f.mu.Lock()
	servers, version := f.usableServers(now, x), f.roster.Version()
	f.mu.Unlock()
	if len(servers) == 0 {
		return nil, false
	}
	prompt := promptChunks(x)
	e.mu.Lock()
	defer e.mu.Unlock()
	candidates := e.candidates(now, servers, prompt)
	f.annotateCandidates(now, x, candidates, prompt)
	demand := x.demand(prompt)
	choice := f.placement.Choose(now, demand, candidates, e.random)
	if choice.Index < 0 {
		return nil, false
	}
	c, predicted := candidates[choice.Index], choice.Predicted
	uncached := c.UncachedTokens(demand)
	return &attempt{
		server: c.Server, predicted: predicted, expected: f.expectedTime(now, x, c.Server.ID, predicted), uncachedTokens: uncached, cachedTokens: demand.InputTokens - uncached, equivalentTokens: f.equivalentTokens(x, uncached),
		homes: x.homes(), placedAt: now, candidates: len(candidates), meanQueued: choice.MeanQueued, homeRank: c.HomeRank, rosterVersion: version, prompt: prompt,
	}, true
}

// expectedTime corrects a predicted time by the server's observed latency.
func (f *forwarder) expectedTime(now time.Time, x *activeRequest, server string, predicted placement.Estimate) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latencyModel.ExpectedTime(now, x.latencyGroup(), server, predicted)
}

// equivalentTokens converts prompt tokens of the request's model to the number
// of tokens of a typical model that take as long to process.
func (f *forwarder) equivalentTokens(x *activeRequest, tokens int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	perToken := f.placement.Costs.PrefillPerToken
	return int64(f.latencyModel.PrefillTime(x.latencyGroup(), time.Duration(tokens)*perToken) / perToken)
}

// demand returns the load that the request puts on a server. The last part of a
// prompt belongs to the request or its session alone.
func (x *activeRequest) demand(prompt []placement.Chunk) placement.Demand {
	d := placement.Demand{
		InputTokens: x.req.InputTokens, UnsharedTokens: x.req.InputTokens, OutputTokens: x.req.OutputTokens, Priority: x.priority(),
		Objective: x.route.Objective, ServiceTime: defaultCallTime, Bytes: int64(x.req.Body.Len()),
	}
	if len(prompt) > 0 {
		d.InputTokens = 0
		for _, c := range prompt {
			d.InputTokens += c.Tokens
		}
		d.UnsharedTokens = prompt[len(prompt)-1].Tokens
	}
	return d
}

// latencyGroup returns the key under which response times are compared:
// requests of the same route to the same model take about equally long.
func (x *activeRequest) latencyGroup() string { return x.route.Name + "/" + x.model }

// annotateCandidates ranks the candidates as home servers of the prompt's shared
// parts, separately within the entry's own region and outside it. The first home of
// each group counts as having the shared parts in its cache. It also sets the
// function that corrects predictions by each candidate's observed latency. Callers
// hold e.mu.
func (f *forwarder) annotateCandidates(now time.Time, x *activeRequest, candidates []placement.Candidate, prompt []placement.Chunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	group := x.latencyGroup()
	for i := range candidates {
		id := candidates[i].Server.ID
		candidates[i].ExpectedTime = func(e placement.Estimate) time.Duration {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.latencyModel.ExpectedTime(now, group, id, e)
		}
	}
	if len(prompt) < 2 {
		return
	}
	shared := prompt[len(prompt)-2].Key
	var sharedTokens, total int64
	for i, c := range prompt {
		total += c.Tokens
		if i < len(prompt)-1 {
			sharedTokens += c.Tokens
		}
	}
	for _, inGroup := range []func(placement.Candidate) bool{
		func(c placement.Candidate) bool { return c.SameRegion }, func(c placement.Candidate) bool { return !c.SameRegion },
	} {
		var indexes []int
		var ids []string
		var weights []float64
		for i, c := range candidates {
			if inGroup(c) {
				indexes, ids = append(indexes, i), append(ids, c.Server.ID)
				weights = append(weights, f.speeds.Weight(c.Server.ID, c.Server.Incarnation))
			}
		}
		for rank, i := range placement.RankHomes(shared, ids, weights, maxHomeRanks) {
			c := &candidates[indexes[i]]
			c.HomeRank = rank + 1
			if rank == 0 {
				c.CachedShare = max(c.CachedShare, float64(sharedTokens)/float64(max(total, 1)))
			}
		}
	}
}

// usableServers returns the servers that the request may go to, as the first of
// these lists that is not empty: untried servers that are available, not degraded, not
// silent and not reported as failing by other entries; all untried servers that are
// available; all untried ones; and all servers except those that could not be
// connected to. A request that ran at as many servers as its route allows may go to these, and to no
// others. Callers hold f.mu.
func (f *forwarder) usableServers(now time.Time, x *activeRequest) []backend.Announcement {
	all := filterRecords(f.permittedServers(now, x), func(r roster.Record) bool { return !slices.Contains(x.unreachable, r.Server.ID) })
	untried := filterRecords(all, func(r roster.Record) bool { return !slices.Contains(x.tried, r.Server.ID) })
	if forward.IsOutOfServers(x.route, len(x.ranAt)) {
		all = filterRecords(all, func(r roster.Record) bool { return slices.Contains(x.ranAt, r.Server.ID) })
		untried = all
	}
	allowed := filterRecords(untried, func(r roster.Record) bool { return f.health.IsAvailable(now, r.Server.ID) })
	healthy := filterRecords(allowed, func(r roster.Record) bool {
		return !r.Silent && !f.health.IsDegraded(now, r.Server.ID) && !f.isReportedFailing(r.Server)
	})
	for _, list := range [][]roster.Record{healthy, allowed, untried, all} {
		if len(list) > 0 {
			return f.withLoads(list)
		}
	}
	return nil
}

// permittedServers returns the servers assigned to the request that may get it now. If
// the request was assigned to a roll-out's target and no server there may, it goes to the
// other releases, unless it belongs to a session. Callers hold f.mu.
func (f *forwarder) permittedServers(now time.Time, x *activeRequest) []roster.Record {
	list, others := f.assignedServers(now, x)
	if open := f.takers(now, list); len(open) > 0 || x.req.Session != "" {
		return open
	}
	return f.takers(now, others)
}

// assignedServers returns the servers of the request's service that have the release
// assigned to the request by the service's roll-out, in its home regions and in zones that
// are not evacuated, without those that said that they leave. Others are the servers that it may go to instead. Callers hold f.mu.
func (f *forwarder) assignedServers(now time.Time, x *activeRequest) (list, others []roster.Record) {
	all := f.located(x.homes(), f.staying(now, f.roster.Serving(x.service)))
	o, ordered := f.entry.catalog.Load().Rollout(x.service)
	if !ordered {
		return all, nil
	}
	target := filterRecords(all, func(r roster.Record) bool { return r.Server.Release == o.Target })
	others = filterRecords(all, func(r roster.Record) bool { return o.MayServe(r.Server.Release) })
	exposureShare := f.entry.cfg.Forwarding.ExposureShare
	switch share := o.TargetShare(exposureShare); {
	case o.Stage == rollout.StageCompleted:
		return target, nil
	case len(target) == 0 || !f.goesToTarget(x, o, share):
		return others, nil
	default:
		return target[:o.TargetServers(len(target), share)], others
	}
}

// goesToTarget decides at random whether the request goes to the roll-out's target
// release, which gets the given share of the sessions. All requests of a session
// get the same result, and a session on the target stays there as the share grows.
func (f *forwarder) goesToTarget(x *activeRequest, o rollout.Order, share float64) bool {
	switch {
	case x.req.Session != "" && o.Stage == rollout.StageProbe:
		return false
	case x.req.Session == "":
		return f.random.Float64() < o.RouteShare(x.route.Name, f.entry.cfg.Forwarding.ExposureShare)
	case share >= 1:
		return true
	}
	drawn := xxhash.Sum64String(x.req.Session + "\x00" + o.Target)
	return float64(drawn)/math.MaxUint64 < share
}

// withLoads returns the announcements with the latest known loads. Callers hold
// f.mu.
func (f *forwarder) withLoads(list []roster.Record) []backend.Announcement {
	servers := make([]backend.Announcement, 0, len(list))
	for _, r := range list {
		s := r.Server
		s.Load = f.loads[s.ID]
		servers = append(servers, s)
	}
	return servers
}

// promptChunks returns the parts of the request's prompt. The key of each is a
// hash of the model and of the prompt up to and including the part.
func promptChunks(x *activeRequest) []placement.Chunk {
	digest := xxhash.New()
	digest.WriteString(x.model) //nolint:errcheck // a hash takes all bytes
	chunks := make([]placement.Chunk, 0, len(x.req.Prompt))
	for _, p := range x.req.Prompt {
		digest.WriteString("\x00" + p.ID) //nolint:errcheck // a hash takes all bytes
		chunks = append(chunks, placement.Chunk{Key: digest.Sum64(), Tokens: p.Tokens})
	}
	return chunks
}

func filterRecords(list []roster.Record, match func(roster.Record) bool) []roster.Record {
	var matching []roster.Record
	for _, r := range list {
		if match(r) {
			matching = append(matching, r)
		}
	}
	return matching
}
