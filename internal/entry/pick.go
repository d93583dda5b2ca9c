package entry

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/backend"
	"rosereach/core/placement"
	"rosereach/core/rollout"
	"rosereach/core/roster"
)

// noServerRetry is the minimum Retry-After when no server can take a
// request: another server is announced after about a second.
const noServerRetry = time.Second

const (
	// homeRanks is the number of home servers ranked for a prompt: when the
	// first is unhealthy or full, all entries agree on the next.
	homeRanks = 2

	// callTime is the estimated duration of a call to a plain service
	// until one has been observed.
	callTime = 100 * time.Millisecond
)

// pick chooses a server for the next attempt of a request and
// commits the attempt. It returns false if there is no usable server.
func (f *forwarding) pick(x *passage) (*attempt, bool) {
	a, ok := f.choose(x)
	if ok {
		f.commit(a)
	}
	return a, ok
}

// commit records that an attempt goes to the server chosen for it.
func (f *forwarding) commit(a *attempt) {
	e := f.entry
	e.mu.Lock()
	e.hints.StoreAll(a.placed, hintID(a.server), a.prompt)
	e.mu.Unlock()
	f.mu.Lock()
	f.health.Try(a.server.ID)
	f.mu.Unlock()
}

// choose returns the attempt that would be made now, without recording
// it.
func (f *forwarding) choose(x *passage) (*attempt, bool) {
	e := f.entry
	now := e.cfg.Clock.Now()
	f.mu.Lock()
	servers, version := f.usable(now, x), f.roster.Version()
	f.mu.Unlock()
	if len(servers) == 0 {
		return nil, false
	}
	prompt := promptChunks(x)
	e.mu.Lock()
	defer e.mu.Unlock()
	candidates := e.candidates(now, servers, prompt)
	f.settle(now, x, candidates, prompt)
	demand := x.demand(prompt)
	choice := f.placement.Choose(now, demand, candidates, e.random)
	if choice.Index < 0 {
		return nil, false
	}
	c, predicted := candidates[choice.Index], choice.Predicted
	uncached := c.Missing(demand)
	return &attempt{
		server: c.Server, predicted: predicted, expected: f.expect(now, x, c.Server.ID, predicted), unread: uncached, kept: demand.InputTokens - uncached, reading: f.reading(x, uncached),
		placed: now, candidates: len(candidates), crowd: choice.Queued, home: c.Home, roster: version, prompt: prompt,
	}, true
}

// expect corrects a predicted time by the server's observed slowness.
func (f *forwarding) expect(now time.Time, x *passage, server string, predicted placement.Estimate) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slowness.Expect(now, x.group(), server, predicted)
}

// reading converts prompt tokens of the request's model to the number
// of tokens of a typical model that take as long to process.
func (f *forwarding) reading(x *passage, tokens int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	perToken := f.placement.Costs.PrefillPerToken
	return int64(f.slowness.Reading(x.group(), time.Duration(tokens)*perToken) / perToken)
}

// demand returns the load that the request puts on a server. The last part of a
// prompt belongs to the request or its session alone.
func (x *passage) demand(prompt []placement.Chunk) placement.Demand {
	d := placement.Demand{
		InputTokens: x.req.Input, Own: x.req.Input, OutputTokens: x.req.Output, Priority: x.priority(),
		Objective: x.route.Objective, Service: callTime, Bytes: int64(len(x.req.Body)),
	}
	if len(prompt) > 0 {
		d.InputTokens = 0
		for _, c := range prompt {
			d.InputTokens += c.Tokens
		}
		d.Own = prompt[len(prompt)-1].Tokens
	}
	return d
}

// group returns the key under which response times are compared:
// requests of the same route to the same model take about equally long.
func (x *passage) group() string { return x.route.Name + "/" + x.model }

// settle ranks the candidates as home servers of the prompt's
// shared parts, separately within the entry's own region and outside it, and
// sets the function that corrects predictions by each one's observed slowness.
// Callers hold e.mu.
func (f *forwarding) settle(now time.Time, x *passage, candidates []placement.Candidate, prompt []placement.Chunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	group := x.group()
	for i := range candidates {
		id := candidates[i].Server.ID
		candidates[i].Expect = func(e placement.Estimate) time.Duration { return f.slowness.Expect(now, group, id, e) }
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
		for i, c := range candidates {
			if inGroup(c) {
				indexes, ids = append(indexes, i), append(ids, c.Server.ID)
			}
		}
		for rank, i := range placement.Home(shared, ids, homeRanks) {
			c := &candidates[indexes[i]]
			c.Home = rank + 1
			if rank == 0 {
				c.Prefix = max(c.Prefix, float64(sharedTokens)/float64(max(total, 1)))
			}
		}
	}
}

// usable returns the servers that the request may go to, as the first of
// these lists that is not empty: untried servers that are healthy and not
// silent, untried ones that may be probed, all untried ones, and tried ones
// except those that could not be connected to. Callers hold f.mu.
func (f *forwarding) usable(now time.Time, x *passage) []backend.Announcement {
	all := keep(f.permitted(x), func(r roster.Record) bool { return !slices.Contains(x.unreached, r.Server.ID) })
	untried := keep(all, func(r roster.Record) bool { return !slices.Contains(x.tried, r.Server.ID) })
	allowed := keep(untried, func(r roster.Record) bool { return f.health.MayTry(now, r.Server.ID) })
	healthy := keep(allowed, func(r roster.Record) bool { return !r.Silent && !f.health.IsGrey(now, r.Server.ID) })
	for _, list := range [][]roster.Record{healthy, allowed, untried, all} {
		if len(list) > 0 {
			return f.withLoads(list)
		}
	}
	return nil
}

// permitted returns the serving servers of the request's service that
// have the release assigned to the request by the service's roll-out.
func (f *forwarding) permitted(x *passage) []roster.Record {
	all := f.roster.Serving(x.service)
	o, ordered := f.entry.catalog.Load().Rollout(x.service)
	if !ordered {
		return all
	}
	target := keep(all, func(r roster.Record) bool { return r.Server.Release == o.Target })
	others := keep(all, func(r roster.Record) bool { return r.Server.Release != o.Target })
	exposureShare := f.entry.cfg.Forwarding.ExposureShare
	switch share := o.TargetShare(exposureShare); {
	case o.Stage == rollout.StageCompleted:
		return target
	case len(target) == 0 || !f.isMoved(x, o, share):
		return others
	case o.Stage == rollout.StageCanary:
		return target[:min(len(target), canaryServers(len(target), share))]
	}
	return target
}

// isMoved draws whether the request goes to the roll-out's target release,
// which gets the given share of the sessions. All requests of a session get the
// same result, and a session on the target stays there as the share grows.
func (f *forwarding) isMoved(x *passage, o rollout.Order, share float64) bool {
	if x.req.Session == "" || share >= 1 {
		return f.random.Float64() < share
	}
	drawn := xxhash.Sum64String(x.req.Session + "\x00" + o.Target)
	return float64(drawn)/math.MaxUint64 < share
}

// canaryServers returns how many of the n servers of a new release get its first
// requests. The number matches the share, so that each carries its normal load,
// as some faults appear only then. It is at least two, so that one unhealthy
// server does not represent the release.
func canaryServers(n int, share float64) int { return max(int(float64(n)*share), 2) }

// withLoads returns the announcements with the latest known loads. Callers hold
// f.mu.
func (f *forwarding) withLoads(list []roster.Record) []backend.Announcement {
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
func promptChunks(x *passage) []placement.Chunk {
	digest := xxhash.New()
	digest.WriteString(x.model) //nolint:errcheck // a hash takes all bytes
	chunks := make([]placement.Chunk, 0, len(x.req.Prompt))
	for _, p := range x.req.Prompt {
		digest.WriteString("\x00" + p.ID) //nolint:errcheck // a hash takes all bytes
		chunks = append(chunks, placement.Chunk{Key: digest.Sum64(), Tokens: p.Tokens})
	}
	return chunks
}

func keep(list []roster.Record, match func(roster.Record) bool) []roster.Record {
	var matching []roster.Record
	for _, r := range list {
		if match(r) {
			matching = append(matching, r)
		}
	}
	return matching
}
