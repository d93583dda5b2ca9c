package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/placement"
	"rosereach/core/request"
	"rosereach/core/version"
)

const (
	// maxHintKeys and hintTTL limit the number and the age of the prompt
	// prefixes that are remembered for each server's cache.
	maxHintKeys = 2000
	hintTTL     = 5 * time.Minute

	// intraRegionLatency and interRegionLatency are the one-way latencies
	// within a region and between regions.
	intraRegionLatency = 1500 * time.Microsecond
	interRegionLatency = 30 * time.Millisecond

	// queueTarget is the delay in the engines' queues below which the entry
	// raises its concurrency limit.
	queueTarget = 200 * time.Millisecond

	// minShareEighths is the minimum of the entry's concurrency limit, in
	// eighths of the entry's share of the engines' capacity.
	minShareEighths = 7
)

// target is what an attempt needs: a version of a model, or the plain service if
// its name is set.
type target struct {
	ref     version.Ref
	service string
}

// dispatch checks the lease, the workspace's permission and the version's state,
// chooses a backend server other than the tried ones, and claims an attempt at it.
// Retries, and requests that were queued, are checked here as well.
func (e *Entry) dispatch(req request.Request, t target, tried []string, demand placement.Demand) (*claim, error) {
	prompt := messageChunks(req, t.ref)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	if err := e.checkLease(now); err != nil {
		return nil, err
	}
	if err := e.checkPermission(req, t); err != nil {
		return nil, err
	}
	var servers []backend.Announcement
	if t.service != "" {
		servers = e.registry.Services(now, t.service)
	} else {
		servers = e.registry.Engines(now, t.ref)
	}
	servers = slices.DeleteFunc(servers, func(a backend.Announcement) bool { return slices.Contains(tried, a.ID) })
	if len(servers) == 0 {
		return nil, request.NewNotRun(request.CodeNoBackend, "no backend server can take the request").
			WithRetryAfter(backendLease)
	}
	candidates := e.candidates(now, servers, prompt)
	e.adaptConcurrency(now, candidates)
	picked := e.placementPolicy.Pick(now, demand, candidates, e.random)
	if picked < 0 {
		return nil, request.NewNotRun(request.CodeOverloaded, "all backend servers are full").WithRetryAfter(backendLease)
	}
	e.prefixHints.StoreAll(now, hintID(candidates[picked].Server), prompt)
	return e.claimAttempt(req, t, candidates[picked].Server, candidates[picked].UncachedTokens(demand)), nil
}

func (e *Entry) checkPermission(req request.Request, t target) error {
	c := e.catalog.Load()
	if t.service != "" {
		_, err := c.PermitService(req.Workspace, t.service)
		return catalogRefusal(err, req)
	}
	return catalogRefusal(c.Permit(req.Workspace, t.ref), req)
}

func (e *Entry) candidates(now time.Time, servers []backend.Announcement, prompt []placement.Chunk) []placement.Candidate {
	e.prefixHints.Expire(now)
	candidates := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		c := placement.Candidate{
			Server: s, InFlight: e.tracker.InFlight(s.ID), InFlightAtReport: e.tracker.InFlightAt(s.ID, s.Load.MeasuredAt),
			BacklogTokens: e.tracker.Backlog(now, s.ID), CachedShare: e.prefixHints.CachedShare(now, hintID(s), prompt),
			NetworkLatency: intraRegionLatency, SameRegion: s.Region == e.cfg.Region, SameZone: s.Zone == e.cfg.Zone,
		}
		if !c.SameRegion {
			c.NetworkLatency = interRegionLatency
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// adaptConcurrency adjusts the number of concurrent model requests to the load
// that the engines report. Callers hold e.mu.
func (e *Entry) adaptConcurrency(now time.Time, candidates []placement.Candidate) {
	if candidates[0].Server.Kind != backend.Engine {
		return
	}
	var queued, running, capacity int
	for _, c := range candidates {
		queued += c.Server.Load.Queued
		running += c.Server.Load.Running
		capacity += c.Server.Capacity
	}
	e.concurrency.SetMinLimit(capacity * minShareEighths / 8 / max(len(e.peers), 1))
	e.engineAdmission.adaptSlots(now, e.concurrency, queued, running)
}

// hintID returns a key for one incarnation of a server. Each incarnation starts
// with an empty cache.
func hintID(a backend.Announcement) string { return a.ID + "/" + strconv.FormatUint(a.Incarnation, 10) }

// messageChunks returns one chunk for each message of the prompt. The key of each
// is a hash of the version and of the prompt up to and including the message.
func messageChunks(req request.Request, ref version.Ref) []placement.Chunk {
	if len(req.Messages) == 0 {
		return nil
	}
	digest := xxhash.New()
	digest.WriteString(ref.String()) //nolint:errcheck // a hash takes all bytes
	chunks := make([]placement.Chunk, 0, len(req.Messages))
	for _, m := range req.Messages {
		digest.WriteString(m.Role + "\x00" + m.Content) //nolint:errcheck // a hash takes all bytes
		chunks = append(chunks, placement.Chunk{Key: digest.Sum64(), Tokens: int64(len(m.Content)/bytesPerToken) + 1})
	}
	return chunks
}

// catalogRefusal converts a catalog error to a refusal with outcome not_run.
func catalogRefusal(err error, req request.Request) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, catalog.ErrNotServing) && req.Session != "":
		return request.NewNotRun(request.CodeSessionEnded, "the session's version accepts no new requests; open a new session")
	case errors.Is(err, catalog.ErrNotServing):
		return request.NewNotRun(request.CodeWithdrawn, "the version accepts no new requests")
	case errors.Is(err, catalog.ErrUnknownVersion):
		return request.NewNotRun(request.CodeUnknownModel, "no such model or version")
	case errors.Is(err, catalog.ErrUnknownService):
		return request.NewNotRun(request.CodeUnknownService, "no such service")
	}
	return request.NewNotRun(request.CodeNotPermitted, err.Error())
}
