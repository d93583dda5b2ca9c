package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/quarantine"
	"rosereach/core/retry"
	"rosereach/io/member"
)

const (
	// trialPoll is the pause before a suspected request asks for the trial slot again, and
	// trialRequests how often it asks. Its caller is then told to come back after
	// trialRetryAfter or so.
	trialPoll       = 100 * time.Millisecond
	trialRequests   = 3
	trialRetryAfter = time.Second

	// trialTimeout bounds the wait for a control's reply.
	trialTimeout = 500 * time.Millisecond
)

// awaitTrial returns nil once the request may run: at once unless it has been at servers that
// ended, else when the controls let it run as the only such request of its service.
func (x *activeRequest) awaitTrial(ctx context.Context) *forward.Failure {
	f := x.forwarder
	for attempts := 1; f.isSuspected(x.digest); attempts++ {
		switch f.watcher.requestTrial(ctx, x.trial()) {
		case quarantine.RunFreely:
			return nil
		case quarantine.RunAlone:
			x.hasSlot = true
			level.Debug(x.log()).Log("msg", "Suspected request runs alone.", "id", x.req.ID, "digest", x.digest)
			return nil
		}
		if attempts == trialRequests || ctx.Err() != nil {
			return x.suspectedFailure()
		}
		select {
		case <-f.entry.cfg.Clock.After(trialPoll):
		case <-ctx.Done():
		}
	}
	return nil
}

func (x *activeRequest) suspectedFailure() *forward.Failure {
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	return &forward.Failure{
		Code: forward.Quarantined, RetryAfter: min(retry.WithJitter(trialRetryAfter, f.random), x.deadline.Sub(x.now())/retryAfterDivisor),
		Detail: "the request has been at backend servers that ended, and others are tried first",
	}
}

// isSuspected reports whether a control suspects the request.
func (f *forwarder) isSuspected(digest quarantine.Key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects(digest)
}

// trial returns the request's trial, before it has an outcome.
func (x *activeRequest) trial() quarantine.Trial {
	return quarantine.Trial{Digest: x.digest, Service: x.service, ID: quarantine.RequestID(x.req.ID)}
}

// endTrial gives the trial slot back with the outcome of its run: whether the answer was
// sound or the server ended. Neither says nothing about the request.
func (x *activeRequest) endTrial(a *attempt, sound, ended bool) {
	if !x.hasSlot {
		return
	}
	x.hasSlot = false
	r := member.TrialResult{Trial: x.trial(), HasOutcome: sound || ended}
	r.Trial.Ended = ended
	if a != nil {
		r.Trial.Server, r.Trial.Incarnation = a.server.ID, a.server.Incarnation
	}
	f := x.forwarder
	level.Debug(x.log()).Log("msg", "Suspected request has run alone.", "id", x.req.ID, "digest", x.digest, "srv", r.Trial.Server, "sound", sound, "ended", ended)
	f.entry.cfg.Clock.AfterFunc(0, trialReport{forwarder: f, end: r}.send)
}

// trialReport gives the trial slot back to the controls. It outlives the request.
type trialReport struct {
	forwarder *forwarder
	end       member.TrialResult
}

func (r trialReport) send() {
	e := r.forwarder.entry
	ctx, cancel := context.WithTimeout(e.ctx, evidenceTimeout)
	defer cancel()
	if err := r.forwarder.watcher.callNearest(ctx, member.KindTrialResult, r.end, nil); err != nil {
		level.Debug(e.cfg.Logger).Log("msg", "Failed to report a trial.", "digest", r.end.Trial.Digest, "err", err)
	}
}

// requestTrial asks the controls whether a suspected request may run. Without an answer it has to
// wait.
func (w *watcher) requestTrial(ctx context.Context, t quarantine.Trial) quarantine.Permission {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var reply member.TrialReply
	if err := w.callNearest(ctx, member.KindTrial, member.TrialRequest{Trial: t}, &reply); err != nil {
		level.Debug(w.entry.cfg.Logger).Log("msg", "No control grants a trial.", "digest", t.Digest, "err", err)
		return quarantine.Wait
	}
	return reply.Permission
}

// callNearest calls the nearest watched control.
func (w *watcher) callNearest(ctx context.Context, kind member.Kind, message, reply any) error {
	watched := w.watched()
	w.mu.Lock()
	slices.SortFunc(watched, func(a, b string) int { return cmp.Or(cmp.Compare(w.distances[a], w.distances[b]), cmp.Compare(a, b)) })
	var conn *member.Conn
	if len(watched) > 0 {
		conn = w.conns[watched[0]]
	}
	w.mu.Unlock()
	if conn == nil {
		return errors.Trace(errNoControl)
	}
	return conn.Call(ctx, kind, message, reply)
}
