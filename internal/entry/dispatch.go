package entry

import (
	"slices"

	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/placement"
	"rosereach/core/request"
	"rosereach/core/version"
)

// target is what an attempt needs: a version of a model, or a plain service.
type target struct {
	ref     version.Ref
	service string
}

// dispatch checks lease, permission, version and backend server at this moment
// and claims a place on the server. Tried servers are passed over. Queued,
// retried, resumed and escalated attempts come through here like first ones.
func (e *Entry) dispatch(req request.Request, t target, tried []string, demand placement.Demand) (*claim, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	if !e.holder.IsLive(now) {
		return nil, request.NewNotRun(request.CodeNoLease, "this entry holds no lease; use another entry").
			WithAddresses(orderAddresses(e.peers, e.cfg.Region, e.cfg.Zone))
	}
	if err := e.permit(req, t); err != nil {
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
	candidates := e.candidates(servers)
	picked := e.placement.Pick(now, demand, candidates, e.random)
	if picked < 0 {
		return nil, request.NewNotRun(request.CodeOverloaded, "all backend servers are full").WithRetryAfter(backendLease)
	}
	return e.claim(req, t, candidates[picked].Server), nil
}

func (e *Entry) permit(req request.Request, t target) error {
	c := e.catalog.Load()
	if t.service != "" {
		_, err := c.PermitService(req.Workspace, t.service)
		return refusalOf(err, req)
	}
	return refusalOf(c.Permit(req.Workspace, t.ref), req)
}

func (e *Entry) candidates(servers []backend.Announcement) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		candidates = append(candidates, placement.Candidate{
			Server: s, InFlight: e.inFlight[s.ID], SameRegion: s.Region == e.cfg.Region,
		})
	}
	return candidates
}

// refusalOf turns the catalog's reasons into refusals that are not_run.
func refusalOf(err error, req request.Request) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, catalog.ErrNotServing) && req.Session != "":
		return request.NewNotRun(request.CodeSessionEnded, "the session's version takes no new work; open a new session")
	case errors.Is(err, catalog.ErrNotServing):
		return request.NewNotRun(request.CodeWithdrawn, "the version takes no new work")
	case errors.Is(err, catalog.ErrUnknownVersion):
		return request.NewNotRun(request.CodeUnknownModel, "no such model or version")
	case errors.Is(err, catalog.ErrUnknownService):
		return request.NewNotRun(request.CodeUnknownService, "no such service")
	}
	return request.NewNotRun(request.CodeNotPermitted, err.Error())
}
