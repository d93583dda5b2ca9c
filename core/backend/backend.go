// Package backend describes backend servers: their announcements and the load
// that they report.
package backend

import (
	"time"

	"rosereach/core/finding"
	"rosereach/core/version"
)

// The kinds of backend server.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Plain is a server of a plain service, which runs no model.
	Plain Kind = "plain"
)

// The states that a backend server announces.
const (
	Serving State = "serving"
	// Leaving is final for an incarnation.
	Leaving State = "leaving"
)

type (
	// Kind distinguishes model engines from plain services.
	Kind string

	// State is the state that a backend server announces.
	State string

	// Load is a load report.
	Load struct {
		// MeasuredAt is the time of measurement.
		MeasuredAt time.Time `json:"at"`
		// Queued is the number of waiting requests.
		Queued int `json:"queued"`
		// Running is the number of requests in the batch.
		Running int `json:"running"`
		// CacheUsed is the used share of the prefix cache, 0 to 1.
		CacheUsed float64 `json:"cache_used"`
		// TokenInterval is the time between two tokens of a request.
		TokenInterval time.Duration `json:"token_interval"`
	}

	// Announcement is the description that a backend server sends of itself
	// every second.
	Announcement struct {
		ID string `json:"id"`
		// Incarnation grows with each start of the server.
		Incarnation uint64 `json:"incarnation"`
		// Sequence grows with each announcement of an incarnation.
		Sequence uint64 `json:"sequence"`
		Region   string `json:"region"`
		Zone     string `json:"availability_zone"`
		Kind     Kind   `json:"kind"`
		// Versions are the model versions that an engine has loaded.
		Versions []version.Ref `json:"versions,omitempty"`
		// Service is the name of a plain server's service.
		Service string `json:"service,omitempty"`
		// Release is the software version of a plain service.
		Release string `json:"release,omitempty"`
		// Models are the names of the models that the server has loaded.
		Models []string `json:"models,omitempty"`
		// Capacity is the number of requests that the server runs at once.
		Capacity int   `json:"capacity"`
		State    State `json:"state"`
		// HonorsFence is set when the server rejects orders with an outdated
		// fencing number.
		HonorsFence bool `json:"honours_fence"`
		// Address is host:port.
		Address string `json:"address"`
		Load    Load   `json:"load"`
		// Warmup is how much longer the server warms up, counted from when it sent the
		// announcement. Records of servers leave it out.
		Warmup time.Duration `json:"warmup,omitempty"`
	}
)

// Check validates the announcement and returns all findings.
func (a Announcement) Check() finding.List {
	var found finding.List
	if a.ID == "" {
		found.Add("id", "missing", "a name")
	}
	if a.Incarnation == 0 {
		found.Add("incarnation", "missing", "a number that grows with each start")
	}
	if a.Kind != Engine && a.Kind != Plain {
		found.Add("kind", "unknown kind "+string(a.Kind), "engine, plain")
	}
	if a.Kind == Plain && a.Service == "" {
		found.Add("service", "missing", "the name of a service")
	}
	if a.State != Serving && a.State != Leaving {
		found.Add("state", "unknown state "+string(a.State), "serving, leaving")
	}
	if a.Address == "" {
		found.Add("address", "missing", "host:port")
	}
	if a.Capacity < 1 {
		found.Add("capacity", "too small", "1 or more")
	}
	return found
}

// Serves reports whether the server is an engine with the version loaded.
func (a Announcement) Serves(ref version.Ref) bool {
	if a.Kind != Engine {
		return false
	}
	for _, v := range a.Versions {
		if v == ref {
			return true
		}
	}
	return false
}

// IsNewerThan reports whether the announcement supersedes another of the same
// backend server. Within an incarnation, nothing but Leaving supersedes Leaving.
func (a Announcement) IsNewerThan(other Announcement) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation > other.Incarnation
	}
	if other.State == Leaving && a.State != Leaving {
		return false
	}
	return a.Sequence > other.Sequence
}
