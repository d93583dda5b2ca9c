package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/io/member"
)

// lookupTimeout bounds the wait for the ledger's reply about a refused request.
const lookupTimeout = 500 * time.Millisecond

// refuse ends a request that is not admitted. If the caller chose the request's
// ID, it may have run before, so not_run is returned only after the ledger has
// been queried.
func (e *Entry) refuse(x *execution, cause error) {
	if !x.req.IDFromCaller {
		e.failRequest(x, nil, cause)
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, lookupTimeout)
	defer cancel()
	reply, err := e.link.lookUpRecord(ctx, ledger.Query{Key: x.key(), BodyHash: x.hash})
	switch {
	case err != nil:
		e.endUnknown(x, unknownRefusal(cause))
	case reply.Status == ledger.Finished:
		e.replayRecorded(x, *reply.Answer)
	case reply.Status == ledger.Running:
		e.endUnknown(x, request.NewUnknown(request.CodeRunningElsewhere, "the request runs at "+reply.Owner.Entry+"; ask again"))
	case reply.Status == ledger.Expired:
		e.endUnknown(x, request.NewUnknown(request.CodeIDExpired, "the request id is older than the ledger's horizon; choose a new id"))
	case x.req.Idempotent && isEntryLocal(cause):
		// It may be running at another entry whose begin record has not arrived
		// yet: idempotent requests are dispatched in parallel with the record.
		e.endUnknown(x, unknownRefusal(cause))
	default:
		e.failRequest(x, nil, cause)
	}
}

// isEntryLocal reports whether another entry might have admitted the request,
// because it was refused for this entry's state and not for its workspace's
// permissions.
func isEntryLocal(cause error) bool {
	var refusal *request.Refusal
	if !errors.As(cause, &refusal) {
		return true
	}
	switch refusal.Code {
	case request.CodeOverloaded, request.CodeDraining, request.CodeNoLease, request.CodeNoBackend, request.CodeDeadlinePassed, request.CodeRateLimited:
		return true
	}
	return false
}

// unknownRefusal returns the refusal, with outcome unknown, of a request that
// did not run here but may have run before, according to what the ledger holds.
func unknownRefusal(cause error) *request.Refusal {
	var refusal *request.Refusal
	if !errors.As(cause, &refusal) {
		return request.NewUnknown(request.CodeLedgerUnavailable, cause.Error())
	}
	refused := *refusal
	refused.Outcome = request.Unknown
	refused.Detail += "; the ledger could not confirm whether the request ran before"
	return &refused
}

// endUnknown ends a request whose outcome is not known to this entry.
func (e *Entry) endUnknown(x *execution, refusal *request.Refusal) {
	refusal.RetryAfter = resendRetryAfter
	x.end(request.Answer{Outcome: request.Unknown, Code: refusal.Code}, refusal)
	e.executions.remove(x)
}

// lookUpRecord queries the leader for the ledger's record of a request.
func (l *link) lookUpRecord(ctx context.Context, q ledger.Query) (ledger.Reply, error) {
	var reply ledger.Reply
	conn := l.currentConn()
	if conn == nil {
		return reply, errNoControl
	}
	return reply, conn.Call(ctx, member.KindLookup, q, &reply)
}
