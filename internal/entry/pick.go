package entry

import (
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
// releases that its roll-out allows.
func (f *forwarding) permitted(x *passage) []roster.Record {
	all := f.roster.Serving(x.service)
	o, ordered := f.entry.catalog.Load().Rollout(x.service)
	canary := ordered && o.Stage == rollout.StageCanary && x.req.Session == "" &&
		f.random.Float64() < rollout.CanaryShare(f.entry.cfg.Forwarding.ExposureShare)
	allowed := keep(all, func(r roster.Record) bool { return f.mayUse(o, ordered, r.Server.Release, canary) })
	if len(allowed) == 0 && ordered && o.Stage != rollout.StageRolledBack {
		// A new release without servers yet takes nothing away from the old one.
		return keep(all, func(r roster.Record) bool { return r.Server.Release != o.Target })
	}
	return allowed
}

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
