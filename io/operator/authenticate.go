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
	// BootstrapName is the name of whoever presents the bootstrap key.
	BootstrapName = "bootstrap"

	// noteInterval and noteBurst bound the refused attempts that go into the
	// audit trail, so that strangers cannot push changes out of it; the others
	// are counted in the next note.
	noteInterval = time.Minute
	noteBurst    = 32

	// noteTimeout bounds the wait until a refused attempt is recorded.
	noteTimeout = 2 * time.Second

	bearer = "Bearer "
)

type (
	// Options are the settings of the interface. The bootstrap key has every
	// right; an empty one is nobody's. Metrics shows the control's variables.
	Options struct {
		BootstrapKey string
		Clock        clock.Clock
		Metrics      http.Handler
	}

	// attempts records refused attempts, at a bounded rate.
	attempts struct {
		clock   clock.Clock
		limit   *rate.Limiter
		backend Backend
		skipped chan int
	}

	operatorKey struct{}
)

func newAttempts(c clock.Clock, b Backend) *attempts {
	a := &attempts{clock: c, limit: rate.NewLimiter(rate.Every(noteInterval), noteBurst), backend: b, skipped: make(chan int, 1)}
	a.skipped <- 0
	return a
}

// authenticate lets requests pass whose key has the right.
func (s *server) authenticate(right operator.Right) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			o, ok := s.identify(r)
			if !ok {
				s.attempts.note(r, "unknown", "unauthorized")
				writeProblem(w, Problem{Status: http.StatusUnauthorized, Code: "unauthorized", Detail: "give an operator's key as bearer token"})
				return
			}
			if !o.May(right) {
				s.attempts.note(r, o.Name, "forbidden")
				writeProblem(w, Problem{Status: http.StatusForbidden, Code: "forbidden", Detail: "the role " + string(o.Role) + " has no right to " + string(right) + "; use another operator's key"})
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, o)))
		})
	}
}

// identify returns whose key the request presents.
func (s *server) identify(r *http.Request) (operator.Operator, bool) {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || given == "" {
		return operator.Operator{}, false
	}
	o, err := s.backend.Operator(given)
	if err == nil {
		return o, true
	}
	if s.opts.BootstrapKey != "" && key.Contains([]string{s.bootstrapHash}, key.Hash(given)) {
		return operator.Operator{Name: BootstrapName, Role: operator.RoleOperator}, true
	}
	return operator.Operator{}, false
}

// actorOf returns the name that the audit trail gets. The bootstrap key is
// shared, so that whoever uses it may add a name.
func actorOf(r *http.Request, claimed string) string {
	o, ok := r.Context().Value(operatorKey{}).(operator.Operator)
	if !ok {
		return ""
	}
	if o.Name == BootstrapName && claimed != "" {
		return BootstrapName + ":" + claimed
	}
	return o.Name
}

// note records a refused attempt. It holds neither key nor body.
func (a *attempts) note(r *http.Request, actor, reason string) {
	skipped := <-a.skipped
	if !a.limit.AllowN(a.clock.Now(), 1) {
		a.skipped <- skipped + 1
		return
	}
	a.skipped <- 0
	ctx, cancel := context.WithTimeout(r.Context(), noteTimeout)
	defer cancel()
	e := audit.Event{
		Kind: audit.Refused, Actor: actor, From: r.RemoteAddr, Subject: "route/" + r.Method + " " + r.URL.Path, Detail: reason,
	}
	if skipped > 0 {
		e.Detail += "; others not recorded before this one: " + strconv.Itoa(skipped)
	}
	if a.backend.Note(ctx, e) != nil {
		a.skipped <- 1 + <-a.skipped
	}
}
