package operator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/clock"
	"golang.org/x/time/rate"

	"rosereach/core/audit"
	"rosereach/core/key"
	"rosereach/core/operator"
)

const (
	// BootstrapName is the operator name of requests with the bootstrap key.
	BootstrapName = "bootstrap"

	// refusalInterval and refusalBurst limit the rate at which refused attempts are
	// recorded in the audit trail, so that unauthorized clients cannot push
	// changes out of it. The next record counts the attempts that were skipped.
	refusalInterval = time.Minute
	refusalBurst    = 32

	// refusalTimeout bounds the time to record one refused attempt.
	refusalTimeout = 2 * time.Second

	bearerPrefix = "Bearer "
)

type (
	// Options are the settings of the interface.
	Options struct {
		// BootstrapKey grants every right. When it is empty, there is no such
		// key.
		BootstrapKey string
		Clock        clock.Clock
		// Metrics serves the control's metrics.
		Metrics http.Handler
	}

	// refusalRecorder records refused attempts in the audit trail at a limited rate.
	refusalRecorder struct {
		clock   clock.Clock
		limiter *rate.Limiter
		backend Backend
		// skipped holds the number of attempts since the last record that were
		// not recorded. Taking it out locks it.
		skipped chan int
	}

	// operatorKey is the context key of the authenticated operator.
	operatorKey struct{}
)

func newRefusalRecorder(c clock.Clock, b Backend) *refusalRecorder {
	rec := &refusalRecorder{clock: c, limiter: rate.NewLimiter(rate.Every(refusalInterval), refusalBurst), backend: b, skipped: make(chan int, 1)}
	rec.skipped <- 0
	return rec
}

// authenticate returns middleware that refuses requests whose key does not have
// the right, and stores the operator in the context of the others.
func (s *server) authenticate(right operator.Right) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			o, ok := s.identify(r)
			if !ok {
				s.refusals.record(r, "unknown", "unauthorized")
				writeProblem(w, Problem{Status: http.StatusUnauthorized, Code: "unauthorized", Detail: "give an operator's key as bearer token"})
				return
			}
			if !o.May(right) {
				s.refusals.record(r, o.Name, "forbidden")
				writeProblem(w, Problem{Status: http.StatusForbidden, Code: "forbidden", Detail: "the role " + string(o.Role) + " has no right to " + string(right) + "; use another operator's key"})
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, o)))
		})
	}
}

// identify returns the operator to whom the request's key belongs.
func (s *server) identify(r *http.Request) (operator.Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return operator.Operator{}, false
	}
	o, err := s.backend.OperatorByKey(token)
	if err == nil {
		return o, true
	}
	if s.opts.BootstrapKey != "" && key.Contains([]string{s.bootstrapHash}, key.Hash(token)) {
		return operator.Operator{Name: BootstrapName, Role: operator.RoleOperator}, true
	}
	return operator.Operator{}, false
}

// actorName returns the actor for the audit trail. The bootstrap key may be shared,
// so a request that uses it may add the name of its sender.
func actorName(r *http.Request, claimed string) string {
	o, ok := r.Context().Value(operatorKey{}).(operator.Operator)
	if !ok {
		return ""
	}
	if o.Name == BootstrapName && claimed != "" {
		return BootstrapName + ":" + claimed
	}
	return o.Name
}

// record records a refused attempt, without key and body, unless the rate limit is
// exceeded.
func (rec *refusalRecorder) record(r *http.Request, actor, reason string) {
	skipped := <-rec.skipped
	if !rec.limiter.AllowN(rec.clock.Now(), 1) {
		rec.skipped <- skipped + 1
		return
	}
	rec.skipped <- 0
	ctx, cancel := context.WithTimeout(r.Context(), refusalTimeout)
	defer cancel()
	e := audit.Event{
		Kind: audit.Refused, Actor: actor, From: r.RemoteAddr, Subject: "route/" + r.Method + " " + r.URL.Path, Detail: reason,
	}
	if skipped > 0 {
		e.Detail += "; others not recorded before this one: " + strconv.Itoa(skipped)
	}
	if rec.backend.RecordAuditEvent(ctx, e) != nil {
		rec.skipped <- 1 + <-rec.skipped
	}
}
