package entry

import (
	"crypto/tls"
	"net/http"

	"github.com/go-chi/chi/v5"

	"rosereach/core/request"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
	"rosereach/io/member"
)

// Handler returns the HTTP handler for callers, backend servers and other
// entries.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.count)
		r.Use(e.meter.requests.Measure)
		caller.Mount(r, e, caller.Options{
			MaxBody: e.cfg.MaxBody, Timeout: e.cfg.Timeout, AddressTTL: e.cfg.AddressTTL, Clock: e.cfg.Clock,
		})
	})
	r.Get(member.Path, e.relay.serve)
	r.Post(iobackend.PathAnnounce, iobackend.AnnounceHandler(e.cfg.BackendKey, e.recordAnnouncement))
	return r
}

// count tracks the number of requests being answered, including those whose
// answer is still being written to a slow caller.
func (e *Entry) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// WorkspaceByKey returns the name of the workspace that a caller's key belongs to. The
// error is a *request.Refusal.
func (e *Entry) WorkspaceByKey(key string) (string, error) {
	name, err := e.catalog.Load().WorkspaceByKey(key)
	if err == nil {
		return name, nil
	}
	if !e.Ready() {
		return "", request.NewNotRun(request.CodeNoLease, "this entry holds no lease; use another entry").
			WithAddresses(e.addresses(e.cfg.Region, e.cfg.Zone))
	}
	return "", request.NewNotRun(request.CodeUnauthorized, "the key belongs to no workspace")
}

// Addresses returns the addresses of entries that accept callers, nearest first.
// An empty zone selects the entry's own region and availability zone. Without a
// lease the entry's list may be stale: the call is refused, and the refusal
// carries the last known addresses.
func (e *Entry) Addresses(region, zone string) ([]string, error) {
	if zone == "" {
		region, zone = e.cfg.Region, e.cfg.Zone
	}
	list := e.addresses(region, zone)
	if !e.Ready() {
		return nil, request.NewNotRun(request.CodeNoLease, "this entry holds no lease; use another entry").
			WithRetryAfter(resendRetryAfter).WithAddresses(list)
	}
	return list, nil
}

// security returns the TLS settings for connections to controls, nil for plain
// text.
func (c Config) security() (*tls.Config, error) {
	if c.TLS == nil {
		return nil, nil
	}
	return c.TLS()
}
