package entry

import (
	"context"

	"github.com/juju/errors"

	"rosereach/core/request"
	"rosereach/core/session"
)

// OpenSession chooses a version for a new session and returns its token. A
// resend with the same request ID gets the same token. The error is a
// *request.Refusal.
func (e *Entry) OpenSession(ctx context.Context, req request.Request) (string, error) {
	answer, err := e.execute(ctx, req, nil, e.runOpening)
	return string(answer.Body), err
}

func (e *Entry) runOpening(x *execution) {
	b, recorded, err := e.awaitOwnership(x.ctx, x, e.begin(x, nil))
	if recorded != nil {
		e.replayRecorded(x, *recorded)
		return
	}
	if err != nil {
		e.failRequest(x, b, err)
		return
	}
	token, err := e.seal(x.req)
	if err == nil {
		err = x.fire(request.Dispatch)
	}
	if err != nil {
		e.failRequest(x, b, err)
		return
	}
	e.finish(x, request.Answer{Outcome: request.Done, Status: 200, Body: []byte(token)}, 0, true)
}

// Resume opens a session token and returns the request bound to the session's
// version. The error is a *request.Refusal.
func (e *Entry) Resume(req request.Request, token string) (request.Request, error) {
	sealer := session.NewSealer(e.catalog.Load().Documents().SealKeys)
	t, err := sealer.Open(token, req.Workspace)
	if err != nil {
		return req, request.NewNotRun(request.CodeBadSession, errors.Cause(err).Error()+"; open a new session")
	}
	if req.Model != request.AutoModel && req.Model != t.Version.Model {
		return req, request.NewNotRun(request.CodeBadSession, "the session is for model "+t.Version.Model)
	}
	req.Session = t.ID
	req.Version = &t.Version
	return req, nil
}

func (e *Entry) seal(req request.Request) (string, error) {
	ref, err := e.chooseVersion(req)
	if err != nil {
		return "", err
	}
	if err := e.catalog.Load().Permit(req.Workspace, ref); err != nil {
		return "", catalogRefusal(err, req)
	}
	sealer := session.NewSealer(e.catalog.Load().Documents().SealKeys)
	return sealer.Seal(session.Token{
		ID: req.ID, Workspace: req.Workspace, Version: ref, OpenedAt: e.cfg.Clock.Now().UTC(),
	})
}
