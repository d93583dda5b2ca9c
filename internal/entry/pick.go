package entry

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/backend"
	"rosereach/core/placement"
	"rosereach/core/rollout"
	"rosereach/core/roster"
)

// noServerRetry is when a caller may come back when no server takes work: a
// crashed one is back, or another one announced, after about a second.
const noServerRetry = time.Second

// pick chooses a server for the next attempt of a request.
func (f *forwarding) pick(x *passage) (backend.Announcement, bool) {
	e := f.entry
	now := e.cfg.Clock.Now()
	f.mu.Lock()
	servers := f.usable(now, x)
	f.mu.Unlock()
	if len(servers) == 0 {
		return backend.Announcement{}, false
	}
	prompt := promptChunks(x)
	e.mu.Lock()
	defer e.mu.Unlock()
	candidates := e.candidates(now, servers, prompt)
	demand := placement.Demand{InputTokens: x.req.Input, OutputTokens: x.req.Output, Priority: x.priority()}
	picked := e.placement.Pick(now, demand, candidates, e.random)
	if picked < 0 {
		return backend.Announcement{}, false
	}
	server := candidates[picked].Server
	e.hints.StoreAll(now, hintID(server), prompt)
	f.mu.Lock()
	f.health.Try(server.ID)
	f.mu.Unlock()
	return server, true
}

// usable returns the servers that the request may go to, best known first
// choice: those that were not tried and are well, then any that were not tried,
// then those that were. Callers hold f.mu.
func (f *forwarding) usable(now time.Time, x *passage) []backend.Announcement {
	all := f.permitted(x)
	fresh := keep(all, func(r roster.Record) bool { return !contains(x.tried, r.Server.ID) })
	well := keep(fresh, func(r roster.Record) bool { return f.health.MayTry(now, r.Server.ID) })
	sound := keep(well, func(r roster.Record) bool { return !r.Silent && !f.health.IsGrey(now, r.Server.ID) })
	for _, list := range [][]roster.Record{sound, well, fresh, all} {
		if len(list) > 0 {
			return f.withLoads(list)
		}
	}
	return nil
}

// permitted returns the serving servers of the request's service, of the
// release that its roll-out gives the request.
func (f *forwarding) permitted(x *passage) []roster.Record {
	all := f.roster.Serving(x.service)
	o, ordered := f.entry.catalog.Load().Rollout(x.service)
	if !ordered {
		return all
	}
	target := keep(all, func(r roster.Record) bool { return r.Server.Release == o.Target })
	others := keep(all, func(r roster.Record) bool { return r.Server.Release != o.Target })
	switch {
	case o.Stage == rollout.StageCompleted, o.Stage == rollout.StageFull && len(target) > 0:
		return target
	case o.Stage == rollout.StageCanary && len(target) > 0 && f.isCanary(x, o):
		return target[:min(len(target), canaryServers(len(target), f.canaryShare()))]
	}
	return others
}

// isCanary draws whether a new release gets the request: all requests of a
// session get the same.
func (f *forwarding) isCanary(x *passage, o rollout.Order) bool {
	if x.req.Session == "" {
		return f.random.Float64() < f.canaryShare()
	}
	drawn := xxhash.Sum64String(x.req.Session + "\x00" + o.Target)
	return float64(drawn)/math.MaxUint64 < f.canaryShare()
}

func (f *forwarding) canaryShare() float64 {
	return rollout.CanaryShare(f.entry.cfg.Forwarding.ExposureShare)
}

// canaryServers is how many servers of a new release share its first requests:
// as many as carry the usual load with them, as some faults show only then,
// and two at least, so that one that is ill does not stand for the release.
func canaryServers(n int, share float64) int { return max(int(float64(n)*share), 2) }

// withLoads returns the announcements with the newest loads. Callers hold f.mu.
func (f *forwarding) withLoads(list []roster.Record) []backend.Announcement {
	servers := make([]backend.Announcement, 0, len(list))
	for _, r := range list {
		s := r.Server
		s.Load = f.loads[s.ID]
		servers = append(servers, s)
	}
	return servers
}

// promptChunks returns the request's prompt as pieces, each with a key for the
// model and the prompt up to and with it.
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

func keep(list []roster.Record, f func(roster.Record) bool) []roster.Record {
	var kept []roster.Record
	for _, r := range list {
		if f(r) {
			kept = append(kept, r)
		}
	}
	return kept
}
