package entry

import (
	"rosereach/core/cascade"
	"rosereach/core/request"
	"rosereach/core/version"
)

// chooseVersion returns the model version that the request runs on. The error
// is a *request.Refusal.
func (e *Entry) chooseVersion(req request.Request) (version.Ref, error) {
	if req.Version != nil {
		return *req.Version, nil
	}
	c := e.catalog.Load()
	policy, err := c.Policy(req.Workspace)
	if err != nil {
		return version.Ref{}, catalogRefusal(err, req)
	}
	permitted := c.PermittedVersions(req.Workspace)
	if req.Model != request.AutoModel {
		permitted = versionsOfModel(permitted, req.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	plan, ok := e.modelPolicy.Choose(e.cfg.Clock.Now(), cascade.Demand{
		Workspace: req.Workspace, Policy: policy, Permitted: permitted,
		InputTokens: int64(len(req.Body) / bytesPerToken), InSession: req.Session != "",
	}, e.random)
	if !ok {
		return version.Ref{}, request.NewNotRun(request.CodeNotPermitted, "no permitted version serves the model")
	}
	return plan.Steps[0], nil
}

func versionsOfModel(versions []version.Version, model string) []version.Version {
	var found []version.Version
	for _, v := range versions {
		if v.Ref.Model == model {
			found = append(found, v)
		}
	}
	return found
}
